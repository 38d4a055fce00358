package router

import (
	"math"
	"slices"

	"wayloft/internal/decide/decay"
)

const (
	timeoutToleranceDivisor = 50.0 // timeouts within this part of the deadline are equal: clock ticks and network delay
	maxTimeoutVotes         = 10.0 // low, because all clients may change their timeout at the same time
	commonTimeoutVotes      = 3.0  // with more votes than this, the rarer timeout is also a common one
	originalVotes           = 3.0  // votes of a request that can't be a retry
	minEndsForRetries       = 0.5  // with fewer unsuccessful ends than this, no retries are to be expected
	priorLatencyDivisor     = 4    // until latencies are measured, the latency objective divided by this is assumed
)

// classStats holds the measurements of one request class.
type classStats struct {
	latency          decay.Mean // until a response in ms, with estimates for late ones
	arrivals         decay.Sum
	unsuccessfulEnds decay.Sum        // requests that ended here without success and whose clients may retry
	timeouts         [2]commonTimeout // the two most common client timeouts
}

// commonTimeout is a client timeout in ms that many requests carry, with a count of recent ones.
type commonTimeout struct{ timeout, votes float64 }

// estimateAge estimates how long, in ms, the client has already been waiting since its original request. Most original
// requests carry one of two common timeouts, and a retry carries what is left of its timeout. This guards against
// overload by retries that look like new requests; the second timeout prevents original requests from being taken for
// retries when other clients switch to a shorter timeout. Clients with a rare timeout are misjudged.
func (s *classStats) estimateAge(now float64, class *RequestClass, ttl float64, isRetry bool) float64 {
	isOriginal := !isRetry && s.unsuccessfulEnds.Read(now, 2*class.Deadline) < minEndsForRetries // no client can be retrying
	index := slices.IndexFunc(s.timeouts[:], func(c commonTimeout) bool {
		return math.Abs(ttl-c.timeout) <= class.Deadline/timeoutToleranceDivisor
	})
	rarer := s.vote(index, ttl, isOriginal)
	if isOriginal {
		return 0
	}
	if index >= 0 && (index != rarer || !isRetry && s.timeouts[index].votes > commonTimeoutVotes) {
		return 0
	}
	s.unsuccessfulEnds.Add(now, 2*class.Deadline, -1)
	return math.Max(0, class.Deadline-ttl)
}

// vote counts a request's timeout for the common timeout with this index. If index is negative, it counts against the
// rarer common timeout, which it replaces once that has no votes left. It returns the index of the timeout that was
// rarer before.
func (s *classStats) vote(index int, ttl float64, isOriginal bool) (rarer int) {
	if s.timeouts[1].votes < s.timeouts[0].votes {
		rarer = 1
	}
	votes := 1.0
	if isOriginal {
		votes = originalVotes
	}
	if index >= 0 {
		s.timeouts[index].votes = math.Min(s.timeouts[index].votes+votes, maxTimeoutVotes)
		return rarer
	}
	s.timeouts[rarer].votes--
	if s.timeouts[rarer].votes < 0 {
		s.timeouts[rarer] = commonTimeout{timeout: ttl, votes: votes}
	}
	return rarer
}

// usualLatency returns the smoothed latency of a request class over all members, in ms. Latency objectives are normally
// set with ample margin: until latencies are measured, a quarter of the objective is assumed.
func (r *Router) usualLatency(req *request) float64 {
	return req.stats.latency.Estimate(r.now, r.smoothingTime, priorWeight, req.class.LatencyObjective/priorLatencyDivisor)
}

// latencyRatio returns the smoothed latency of the member relative to the usual latency.
func (r *Router) latencyRatio(m *member) float64 {
	return (m.latencyRatios.Read(r.now, r.smoothingTime) + priorWeight) / (m.successes.Read(r.now, r.smoothingTime) + priorWeight)
}

// expectedLatency returns the expected latency of the request at the member, in ms.
func (r *Router) expectedLatency(req *request, m *member) float64 {
	return r.usualLatency(req) * r.latencyRatio(m)
}
