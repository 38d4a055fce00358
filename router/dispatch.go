package router

import (
	"cmp"
	"math"
	"slices"
)

// nextWaiting goes over the requests that wait, the largest expected value first, and gives the next decision about one.
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

// dispatch sends or ends one waiting request; false: it goes on waiting.
func (r *Router) dispatch(req *request) (Decision, bool) {
	if req.attemptInFlight || req.finished {
		return Decision{}, false
	}
	if r.cannotSucceed(req) || !req.admitted && !r.admits(req, req.needsPrimary()) {
		return r.endRequest(req), true
	}
	req.admitted = true
	if r.lastUnplaced != nil && sameChoice(r.lastUnplaced, req) {
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

// sameChoice tells whether two requests have the same choice of members, so that one finds none where the other has just found
// none.
func sameChoice(a, b *request) bool {
	unrestricted := func(req *request) bool {
		return !req.sticky && req.requiredPosition == Never && len(req.attempts) == 0
	}
	return a.group == b.group && a.class == b.class && a.class.Level != Bounded && unrestricted(a) && unrestricted(b)
}

// recordUnplaced notes that no member was found for the request, and has the group's members checked, unless it is only that a
// known primary is full.
func (r *Router) recordUnplaced(req *request) {
	r.lastUnplaced = req
	if g := req.group; !req.needsPrimary() || r.primaryUnavailable(g) {
		g.lastUnplaced = r.now
		g.checkTimer.Set(math.Min(g.checkTimer.At(), r.now))
	}
}

// selectMember chooses a member for the request; nil: it waits.
func (r *Router) selectMember(req *request) *member {
	if req.sticky {
		return r.ifEligible(req, req.stickyMember)
	}
	if req.needsPrimary() {
		return r.writeCandidate(req)
	}
	return r.selectReadMember(req)
}

// send begins an attempt of the request at the member.
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
	req.attemptInFlight = true // no other is sent before it has ended
	m.lastAttemptSent, m.trialReady = r.now, false
	m.slowStartBudget.Spend(req.class.LatencyObjective)
	decision := Decision{Action: SendAttempt, RequestID: req.id, Member: m.id, NotAfter: r.notAfter(req, m)}
	if req.effect == Idempotent && !r.settings.CanCancel {
		decision.Wait = r.lostAfter(a) // a time-out in place of a cancellation
	}
	return decision
}

// notAfter is until when the attempt may be written: its connection may take a while to come up, while the data that is known
// to be at the member ages (rule 5) and the idempotency window closes (rule 2). The router may be stalled after it has asked.
func (r *Router) notAfter(req *request, m *member) float64 {
	latest := math.Inf(1)
	if req.class.Level == Bounded && r.settings.Lag == LagAnswers && m != r.primary(m.group) {
		latest = m.position + req.class.StalenessBound - maxStall
	}
	if req.mayHaveRunSince != Never && req.class.Effect == IdempotentWithKey {
		latest = math.Min(latest, req.mayHaveRunSince+req.class.IdempotencyWindow-maxStall)
	}
	return latest
}

// cannotSucceed tells that no attempt of the request can do any good any more.
func (r *Router) cannotSucceed(req *request) bool {
	inTime := r.now + r.usualLatency(req)
	class, attempts := req.class, req.sentAttempts()
	lateIsWorthless := class.LateWeightShare == 0
	return attempts >= r.settings.MaxAttempts ||
		inTime > req.deadline ||
		lateIsWorthless && inTime > req.firstArrival+class.LatencyObjective ||
		req.sticky && (req.stickyMember == nil || req.stickyMember.draining || req.stickyMember.down) ||
		attempts == 0 && r.unsentTooLong(req) ||
		req.mayHaveRunSince != Never && r.retryForbidden(req)
}

// unsentTooLong: a request that could not be sent in half of its time is ended, so that its client has the other half to come
// back in, perhaps to another router.
func (r *Router) unsentTooLong(req *request) bool {
	return r.now+2*tick > req.halfTime &&
		(r.primaryUnavailable(req.group) || r.now > req.firstArrival+req.class.LatencyObjective)
}

// retryForbidden tells whether a request that may have run must not be sent again.
func (r *Router) retryForbidden(req *request) bool {
	class := req.class
	return req.effect == NonIdempotent ||
		class.Level == Write && req.lastOutcome == Reset || // docs/design.md: a write that met a reset ends in an error
		class.Effect == IdempotentWithKey && r.now-req.mayHaveRunSince > class.IdempotencyWindow-maxStall
}

// endRequest gives a request its final response without success: rejected if it can't have run or a retry does no harm when its
// client comes back, else failed.
func (r *Router) endRequest(req *request) Decision {
	r.endUnsuccessful(req)
	comesBack := r.now + r.settings.RetryAfter
	harmless := req.effect == Idempotent ||
		req.effect == IdempotentWithKey && req.class.Scope == ScopeAll &&
			comesBack-req.mayHaveRunSince < req.class.IdempotencyWindow
	if req.mayHaveRunSince != Never && !harmless {
		return Decision{Action: FailRequest, RequestID: req.id}
	}
	// A retry could not be answered in time either; the wait may be longer than needed after a short overload.
	return Decision{Action: RejectRequest, RequestID: req.id, Wait: r.settings.RetryAfter}
}
