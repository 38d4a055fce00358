package router

import (
	"cmp"
	"math"
	"slices"
)

const (
	checkWaitDivisor      = 8    // a read waits for checks on its behalf for its latency objective divided by this
	spilloverLimitDivisor = 2    // while suitable replicas are full, reads may use the limit of the primary divided by this
	failureExponent       = 4    // exponent of the success share in the sampling weight of a member
	retryDiscount         = 10.0 // factor by which a member that has not served a request is less likely to get it again
	sameZoneFactor        = 2.0  // crossing zones has a cost; a larger factor would overload zones with few members
)

// readCandidates holds the replicas that may serve a read, by what is known of their positions.
type readCandidates struct {
	trial                 *member   // suspected member that is due for a trial
	fresh                 []*member // known to have the position
	likelyFresh           []*member // likely to have the position, by their replication lag at the last check
	others                []*member // neither
	likelyFreshIneligible []*member // likely to have the position, but not eligible
	hasFreshIneligible    bool      // a replica that has the position is not eligible
	hasUnchecked          bool      // a replica has never been checked
}

// selectReadMember selects a member for a request that does not need the primary; nil if it must wait.
func (r *Router) selectReadMember(req *request) *member {
	found := r.readCandidates(req)
	if found.trial != nil {
		return found.trial
	}
	if len(found.fresh) > 0 {
		return r.sampleMember(req, found.fresh)
	}
	primary := r.primary(req.group)
	if found.hasFreshIneligible {
		// Guards against a shortage of replicas: the primary takes some of the reads.
		if found.hasUnchecked || primary == nil || primary.load >= primary.concurrencyLimit/spilloverLimitDivisor {
			return nil
		}
		return r.ifEligible(req, primary)
	}
	if req.lagBehavior != LagServes {
		return r.selectByLag(req, found, primary)
	}
	if found.hasUnchecked || r.waitsForChecks(req, found.likelyFreshIneligible) {
		return nil
	}
	return r.ifEligible(req, primary)
}

// readCandidates classifies the replicas of the request's group.
func (r *Router) readCandidates(req *request) readCandidates {
	var found readCandidates
	primary, needed := r.primary(req.group), r.provenPosition(req)
	for _, m := range req.group.members {
		eligible, likelyFresh := r.eligible(req, m), r.now-m.replicationLag >= needed
		switch {
		case eligible && m.suspected:
			found.trial = m
			return found
		case m == primary || m.suspected || m.draining || m.down || req.misroutedBy(m):
		case m.lastCheckSent == Never:
			found.hasUnchecked = r.settings.CanHealthCheck
		case eligible && m.position >= needed:
			found.fresh = append(found.fresh, m)
		case eligible && likelyFresh:
			found.likelyFresh = append(found.likelyFresh, m)
		case eligible:
			found.others = append(found.others, m)
		case m.position >= needed:
			found.hasFreshIneligible = true
		case likelyFresh && m.known:
			found.likelyFreshIneligible = append(found.likelyFreshIneligible, m)
		}
	}
	return found
}

// selectByLag selects a member where members enforce the required position themselves: one that is likely to be fresh
// enough, on the first attempt otherwise the one with the smallest lag, then the primary.
func (r *Router) selectByLag(req *request, found readCandidates, primary *member) *member {
	switch {
	case len(found.likelyFresh) > 0:
		return r.sampleMember(req, found.likelyFresh)
	case found.hasUnchecked:
		return nil
	case len(req.attempts) == 0 && len(found.others) > 0:
		return slices.MinFunc(found.others, func(a, b *member) int { return cmp.Compare(a.replicationLag, b.replicationLag) })
	}
	return r.ifEligible(req, primary)
}

// waitsForChecks reports whether the request waits briefly for health checks of two members that are likely to be fresh
// enough, as waiting operations do (docs/design.md). The first call requests the checks.
func (r *Router) waitsForChecks(req *request, candidates []*member) bool {
	if len(candidates) > 0 && r.settings.CanHealthCheck && req.checksRequestedAt == Never {
		req.checksRequestedAt = r.now
		r.sampleMember(req, candidates).requestCheck()
		r.sampleMember(req, candidates).requestCheck()
		return true
	}
	checkPending := func(m *member) bool { return m.checkInFlight && !m.suspected && !m.down }
	return r.now-req.checksRequestedAt < req.class.LatencyObjective/checkWaitDivisor &&
		slices.ContainsFunc(req.group.members, checkPending)
}

// sampleMember selects a member by weighted random sampling. The weight falls with the square of the product of smoothed
// latency and 1 + load.
func (r *Router) sampleMember(req *request, from []*member) *member {
	var selected *member
	highest := Never
	for _, m := range from {
		key := math.Log(r.random.Next()) / r.samplingWeight(req, m) // Efraimidis and Spirakis: the highest key wins
		if selected == nil || key > highest {
			selected, highest = m, key
		}
	}
	return selected
}

func (r *Router) samplingWeight(req *request, m *member) float64 {
	successes, failures := m.successes.Read(r.now, r.smoothingTime), m.failures.Read(r.now, r.smoothingTime)
	cost := r.latencyRatio(m) * (1 + m.load)
	// Guards against members that fail or reject quickly: their low latency would attract more requests.
	weight := math.Pow((successes+1)/(successes+failures+1), failureExponent) / (cost * cost)
	if req.triedAt(m) {
		weight /= retryDiscount
	}
	if m.zone == r.settings.Zone {
		weight *= sameZoneFactor
	}
	return weight
}

// provenPosition returns the position that a member must be known to have. Where members respond with whatever data they
// have, the data must still be fresh enough if this router stalls before the write.
func (r *Router) provenPosition(req *request) float64 {
	if req.class.Level == Bounded && req.lagBehavior == LagServes {
		return req.minimumPosition(r.now) + maxStall
	}
	return req.minimumPosition(r.now)
}
