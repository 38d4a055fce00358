package router

import (
	"cmp"
	"math"
	"slices"
)

// nextWaiting goes through the waiting requests in order of descending expected value and returns the next decision
// about one.
func (r *Router) nextWaiting() (Decision, bool) {
	r.sortWaiting()
	for r.cursor < len(r.waiting) {
		req := r.waiting[r.cursor]
		r.cursor++
		if decision, ok := r.dispatch(req); ok {
			return decision, true
		}
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(req *request) bool { return req.attemptInFlight || req.finished })
	r.cursor = len(r.waiting)
	return Decision{}, false
}

func (r *Router) sortWaiting() {
	if r.waitingSorted {
		return
	}
	for _, req := range r.waiting {
		req.rank = r.expectedValue(req)
	}
	slices.SortStableFunc(r.waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.deadline, b.deadline))
	})
	r.waitingSorted = true
}

// dispatch sends or ends a waiting request, or returns false if it must keep waiting.
func (r *Router) dispatch(req *request) (Decision, bool) {
	if req.attemptInFlight || req.finished {
		return Decision{}, false
	}
	if r.cannotSucceed(req) || !req.admitted && !r.admits(req, req.needsPrimary()) {
		return r.endRequest(req), true
	}
	req.admitted = true
	if r.lastUnplaced != nil && sameCandidates(r.lastUnplaced, req) {
		return Decision{}, false
	}
	m := r.selectMember(req)
	if m == nil {
		r.recordUnplaced(req)
		return Decision{}, false
	}
	if m == r.primary(m.group) && !req.needsPrimary() && !r.admits(req, true) {
		return r.endRequest(req), true
	}
	return r.send(req, m), true
}

// sameCandidates reports whether two requests can be served by the same members, so that if none was found for one, none
// will be found for the other.
func sameCandidates(a, b *request) bool {
	unrestricted := func(req *request) bool {
		return !req.sticky && req.requiredPosition == Never && len(req.attempts) == 0
	}
	return a.group == b.group && a.class == b.class && a.lagBehavior == b.lagBehavior && a.class.Level != Bounded && unrestricted(a) && unrestricted(b)
}

// recordUnplaced records that no member was found for the request. The members of the group are then checked, unless the
// only reason is that a known primary has no capacity.
func (r *Router) recordUnplaced(req *request) {
	r.lastUnplaced = req
	if g := req.group; !req.needsPrimary() || r.primaryUnavailable(g) {
		g.lastUnplaced = r.now
		g.checkTimer.Set(math.Min(g.checkTimer.Deadline(), r.now))
	}
}

// selectMember selects a member for the request; nil if it must wait.
func (r *Router) selectMember(req *request) *member {
	if req.sticky {
		if req.needsPrimary() && req.stickyMember != r.primary(req.group) {
			return nil
		}
		return r.ifEligible(req, req.stickyMember)
	}
	if req.needsPrimary() {
		return r.writeCandidate(req)
	}
	return r.selectReadMember(req)
}

// send starts an attempt of the request at the member.
func (r *Router) send(req *request, m *member) Decision {
	expected := r.expectedLatency(req, m)
	a := &attempt{
		member: m, request: req, sentAt: r.now, waitingSince: r.now, expectedLatency: expected, inFlight: true,
		infrequent:          r.now-m.lastAttemptSent > expected/minConcurrencyLimit,
		previousAttemptSent: m.lastAttemptSent, previousTrialReady: m.trialReady,
	}
	req.attempts = append(req.attempts, a)
	if len(m.inFlight) == 0 {
		r.busyMembers = append(r.busyMembers, m)
	}
	m.inFlight, m.load = append(m.inFlight, a), m.load+1
	req.attemptInFlight = true // no other attempt is sent until this one has ended
	m.lastAttemptSent, m.trialReady = r.now, false
	m.slowStartBudget.Spend(req.class.LatencyObjective)
	decision := Decision{Action: SendAttempt, RequestID: req.id, Member: m.id, NotAfter: r.notAfter(req, m)}
	if req.effect == Idempotent && !r.settings.CanCancel {
		decision.Wait = r.lossTimeout(a) // a timeout instead of a cancellation
	}
	return decision
}

// notAfter returns the latest time at which the attempt may be written. While its connection is being established, the
// data known to be at the member ages (rule 5) and the idempotency window runs out (rule 2). The router may also stall
// between its last check of the time and the write.
func (r *Router) notAfter(req *request, m *member) float64 {
	latest := math.Inf(1)
	if req.class.Level == Bounded && req.lagBehavior == LagServes && m != r.primary(m.group) {
		latest = m.position + req.class.StalenessBound - maxStall
	}
	if req.mayHaveRunSince != Never && req.class.Effect == IdempotentWithKey {
		latest = math.Min(latest, req.mayHaveRunSince+req.class.IdempotencyWindow-maxStall)
	}
	return latest
}

// pinLost reports whether the request needs the primary and is pinned to a member in whose place another is the primary.
func (r *Router) pinLost(req *request) bool {
	if !req.sticky || !req.needsPrimary() {
		return false
	}
	primary := r.primary(req.group)
	return primary != nil && primary != req.stickyMember
}

// cannotSucceed reports whether no further attempt of the request can earn anything.
func (r *Router) cannotSucceed(req *request) bool {
	expectedEnd := r.now + r.usualLatency(req)
	class, attempts := req.class, req.sentAttempts()
	lateIsWorthless := class.LateWeightShare == 0
	return attempts >= r.settings.MaxAttempts ||
		expectedEnd > req.deadline ||
		lateIsWorthless && expectedEnd > req.firstArrival+class.LatencyObjective ||
		req.sticky && (req.stickyMember == nil || req.stickyMember.draining || req.stickyMember.down) ||
		r.pinLost(req) ||
		attempts == 0 && r.unsentTooLong(req) ||
		req.mayHaveRunSince != Never && r.retryForbidden(req)
}

// unsentTooLong reports whether a request that could not be sent within half of its time is to be ended, so that its
// client can use the other half for a retry, possibly at another router.
func (r *Router) unsentTooLong(req *request) bool {
	return r.now+2*tick > req.halfTime &&
		(r.primaryUnavailable(req.group) || r.now > req.firstArrival+req.class.LatencyObjective)
}

// retryForbidden reports whether a request that may have run must not be sent again.
func (r *Router) retryForbidden(req *request) bool {
	class := req.class
	return req.effect == NonIdempotent ||
		class.Level == Write && req.lastOutcome == Reset || // docs/design.md: a write whose connection was reset ends with an error
		class.Effect == IdempotentWithKey && r.now-req.mayHaveRunSince > class.IdempotencyWindow-maxStall
}

// endRequest gives a request its unsuccessful final response: a rejection if the request can't have run or a retry by
// the client will be harmless, otherwise a failure.
func (r *Router) endRequest(req *request) Decision {
	r.endUnsuccessful(req)
	retryAt := r.now + r.settings.RetryAfter
	harmless := req.effect == Idempotent ||
		req.effect == IdempotentWithKey && req.class.Scope == ScopeAll &&
			retryAt-req.mayHaveRunSince < req.class.IdempotencyWindow
	if req.mayHaveRunSince != Never && !harmless {
		return Decision{Action: FailRequest, RequestID: req.id}
	}
	// An earlier retry could not be served in time either; after a short overload the wait may be longer than needed.
	return Decision{Action: RejectRequest, RequestID: req.id, Wait: r.settings.RetryAfter, PinLost: r.pinLost(req)}
}
