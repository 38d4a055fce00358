package leasestate

import "wayloft/internal/decide/policy"

// proposePolicy applies a change of the policy. Whether its fields may change is checked before the entry is proposed
// (policy.Difference.Validate) and not here: builds whose tables of fields differ would compute different states from the same entry.
func (s *State) proposePolicy(entry Entry) Result {
	history := s.policyHistory()
	before := history.Version
	version, why := history.Propose(s.data.Epoch, *entry.Proposal)
	if why != "" {
		return Result{Rejection: Rejection(why), Number: before.Number}
	}
	if version != before {
		s.emit(Event{Policy: version.Packed()})
	}
	return Result{Held: true, Number: version.Number}
}

// policyHistory returns the policy history for modification. Once it exists, snapshots are written in the format that builds without policy
// support reject.
func (s *State) policyHistory() *policy.History {
	if s.data.Policy == nil {
		s.data.Policy, s.data.Version = &policy.History{}, formatWithPolicy
	}
	return s.data.Policy
}

// Policy returns the policy in force and its history, which is empty before the first proposal. The caller must neither modify nor retain
// it.
func (s *State) Policy() *policy.History {
	if s.data.Policy == nil {
		return &policy.History{}
	}
	return s.data.Policy
}
