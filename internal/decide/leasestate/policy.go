package leasestate

import "wayloft/internal/decide/policy"

// proposePolicy applies a change of the policy. Whether its fields may change is judged before the entry gets into the log
// (policy.Difference.Judge): a build with another table of fields would make another state of the same entry.
func (s *State) proposePolicy(entry Entry) Result {
	history := s.policyHistory()
	before := history.Version
	version, why := history.Propose(s.data.Epoch, *entry.Proposal)
	if why != "" {
		return Result{Refusal: Refusal(why), Number: before.Number}
	}
	if version != before {
		s.emit(Event{Policy: version.Packed()})
	}
	return Result{Held: true, Number: version.Number}
}

// policyHistory returns the history of policies, for a change. From the first change on snapshots have the format that earlier builds
// refuse.
func (s *State) policyHistory() *policy.History {
	if s.data.Policy == nil {
		s.data.Policy, s.data.Version = &policy.History{}, formatWithPolicy
	}
	return s.data.Policy
}

// Policy returns the policy in force and its history, empty before the first proposal. The caller must neither change nor keep it.
func (s *State) Policy() *policy.History {
	if s.data.Policy == nil {
		return &policy.History{}
	}
	return s.data.Policy
}
