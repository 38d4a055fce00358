package router

// ifEligible returns the member if the request may be sent there now, else nil. m may be nil.
func (r *Router) ifEligible(req *request, m *member) *member {
	if m == nil || !r.eligible(req, m) {
		return nil
	}
	return m
}

// eligible is the one place that every attempt passes: it tells whether the request may be sent to the member now.
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
	// Guards against full connection tables: after a refused connection, a pause, where checks go on passing.
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

// retryRecognizedBy: rule 2, a request with an idempotency key that may have run stays where its retries are recognized.
func (r *Router) retryRecognizedBy(req *request, m *member) bool {
	return req.mayHaveRunSince == Never || req.class.Effect != IdempotentWithKey || req.class.Scope != ScopeZone ||
		m.zone == req.mayHaveRunZone
}

// freshEnough: rule 5, where members answer with whatever they hold, only a known position will do.
func (r *Router) freshEnough(req *request, m *member) bool {
	return req.class.Level == Any || r.settings.Lag != LagAnswers || m.position >= r.provenPosition(req) ||
		m == r.primary(m.group)
}
