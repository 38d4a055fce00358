package router

// writeCandidate returns the member to which a request that needs the primary may be sent now, or nil. Where no primary
// is known and health checks reveal no roles, requests are sent to members until one accepts: a replica rejects a write
// without effect.
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
