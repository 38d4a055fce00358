package router

// ifEligible returns m if the request may be sent there now, otherwise nil. m may be nil.
func (r *Router) ifEligible(req *request, m *member) *member {
	if m == nil || !r.eligible(req, m) {
		return nil
	}
	return m
}

// eligible reports whether the request may be sent to the member now. Every attempt must pass this check.
func (r *Router) eligible(req *request, m *member) bool {
	if m.draining || m.down || req.attemptInFlight || req.finished || req.pausedAt(m, r.now) {
		return false
	}
	if req.needsPrimary() && r.now < m.group.writesHeldUntil {
		return false
	}
	if !r.retryRecognizedBy(req, m) || !r.freshEnough(req, m) {
		return false
	}
	// Guards against full connection tables: pauses after a refused connection while health checks keep passing.
	if m.connectFailed && r.now-m.lastAttemptSent < r.expectedLatency(req, m) {
		return false
	}
	if !m.known && r.settings.CanHealthCheck && !m.lastCheckErrored {
		return false
	}
	if m.suspected && !r.trialAllowed(m, req) {
		return false
	}
	return r.slowStartAllows(m, req) && m.hasCapacity(r.now, r.expectedLatency(req, m))
}

// retryRecognizedBy implements rule 2: a request with an idempotency key that may have run is only sent to members that
// recognize it as a retry.
func (r *Router) retryRecognizedBy(req *request, m *member) bool {
	return req.mayHaveRunSince == Never || req.class.Effect != IdempotentWithKey || req.class.Scope != ScopeZone ||
		m.zone == req.mayHaveRunZone
}

// freshEnough implements rule 5: where members respond with whatever data they have, only a known position qualifies a
// member.
func (r *Router) freshEnough(req *request, m *member) bool {
	return req.class.Level == Any || req.lagBehavior != LagServes || m.position >= r.provenPosition(req) ||
		m == r.primary(m.group)
}
