package router

// writeCandidate is the member to which a request that needs the primary may be sent now, nil if there is none. Where no
// primary is known and checks tell nothing, requests themselves ask the members for it: a replica rejects a write untouched.
func (r *Router) writeCandidate(req *request) *member {
	if primary := r.primary(req.group); primary != nil {
		return r.ifEligible(req, primary)
	}
	for _, m := range req.group.members {
		checksTellNothing := m.lastCheckErrored && !m.known || !r.settings.CanHealthCheck
		if checksTellNothing && r.now-m.lastKnownNotPrimary > recheckPeriod && r.eligible(req, m) {
			return m
		}
	}
	return nil
}
