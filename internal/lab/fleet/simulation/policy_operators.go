package simulation

import (
	"fmt"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/raftnode"
)

const (
	maxProposalRetries = 12
	proposalTimeoutMs  = 600
	// The delay before a proposal is retried, in ms: the minimum, and the maximum of a uniformly distributed extra.
	minProposalRetryMs    = 20
	proposalRetryJitterMs = 50
)

// proposeChange makes an operator read the policy from a random coordinator node and propose a change. The proposal is retried
// until its result is known or maxProposalRetries is exceeded.
func (w *World) proposeChange(operator int, change func(policy.Document) policy.Document) {
	from := w.policyRun.operators[operator]
	coordinator := w.randomCoordinator()
	w.send(from, coordinator, policyQueryBytes, func() {
		history := coordinator.node.State().Policy()
		base, document := history.Version, history.Document
		w.send(coordinator, from, policyQueryBytes, func() {
			next := change(document)
			if base.Number == 0 { // the coordinator has no policy, so propose the whole document
				next = w.randomDocument(w.policyRun.Fields)
			}
			proposal := policy.Propose(base, document, next, from.Name, fmt.Sprint("at ", int(w.Now)))
			w.Proposed++
			w.policyRun.proposedMs[proposal.Hash] = w.Now
			w.submitProposal(from, proposal, nil, 0)
		})
	})
}

// submitProposal sends a proposal to a coordinator node; if to is nil, to a random one.
func (w *World) submitProposal(from *Process, proposal policy.Proposal, to *Process, retries int) {
	if retries > maxProposalRetries {
		w.Unknown++
		return
	}
	if to == nil {
		to = w.randomCoordinator()
	}
	retry := func(next *Process) {
		w.After(minProposalRetryMs+w.rand.Float64()*proposalRetryJitterMs, func() { w.submitProposal(from, proposal, next, retries+1) })
	}
	var ended once
	onDecision := func(d raftnode.Decision) {
		if !ended.first() {
			return
		}
		switch {
		case d.Action == raftnode.Redirect:
			retry(w.processes[d.Leader.Name])
		case d.Action == raftnode.ResultUnknown:
			retry(nil)
		case d.Result.Held:
			w.Accepted++
			w.policyRun.proposalAccepted(d.Result.Number, proposal.Hash)
		default:
			w.Rejected++
		}
	}
	w.send(from, to, proposal.Difference.Size()+proposalExtraBytes, func() {
		w.lastRequest++
		entry := leasestate.Entry{Kind: leasestate.ProposePolicy, Proposal: &proposal}
		if w.options.SeededDefects.SkipCompareAndSet {
			entry.Proposal = rebase(proposal, to.node.State().Policy())
		}
		to.requesters[w.lastRequest] = requester{process: from, incarnation: from.incarnation, onDecision: onDecision}
		to.node.Advance(to.clock())
		to.node.Propose(w.lastRequest, entry)
	})
	w.After(proposalTimeoutMs, func() {
		if ended.first() {
			retry(nil)
		}
	})
}

// rebase makes the version in force the base of a proposal, whatever version the proposal was derived from.
func rebase(proposal policy.Proposal, history *policy.History) *policy.Proposal {
	if document, err := history.Document.Apply(proposal.Difference); err == nil {
		proposal.Base, proposal.Hash = history.Version.Packed(), document.Hash()
	}
	return &proposal
}
