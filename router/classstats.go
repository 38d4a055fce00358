package router

import (
	"math"
	"slices"

	"wayloft/internal/decide/decay"
)

const (
	sameTimeout        = 50.0 // timeouts are the same within this part of the deadline: the clock's tick and the network
	maxTimeoutVotes    = 10.0 // few, since all clients may change their timeout at once
	trustedVotes       = 3.0  // votes above which the rarer timeout counts as common
	firstTryVotes      = 3.0  // of a try that can't be a retry
	noRetriesExpected  = 0.5  // unsuccessful ends below which no client can be back
	latencyGuessFactor = 4    // an answer is assumed to take this part of the latency objective until some were measured
)

// classStats is what one request class has shown of itself.
type classStats struct {
	latency          decay.Mean // until an answer, ms
	arrivals         decay.Sum
	unsuccessfulEnds decay.Sum        // tries that ended here without success, whose clients may come back
	timeouts         [2]commonTimeout // the times to live that most tries have
}

// commonTimeout is a time to live, in ms, that many tries have, and how many lately.
type commonTimeout struct{ timeout, votes float64 }

// estimateAge estimates for how long the client of a request has been trying, in ms. Most first tries have one of two times to
// live, and a retry has what the earlier tries left of it. It guards against overload by retries that look new; the second
// time, against taking clients for old when others turn impatient. It misjudges clients whose time to live is rare.
func (s *classStats) estimateAge(now float64, class *RequestClass, ttl float64, isRetry bool) float64 {
	isFirstTry := !isRetry && s.unsuccessfulEnds.Read(now, 2*class.Deadline) < noRetriesExpected // nobody can be back
	known := slices.IndexFunc(s.timeouts[:], func(c commonTimeout) bool {
		return math.Abs(ttl-c.timeout) <= class.Deadline/sameTimeout
	})
	rarer := s.vote(known, ttl, isFirstTry)
	if isFirstTry {
		return 0
	}
	if known >= 0 && (known != rarer || !isRetry && s.timeouts[known].votes > trustedVotes) {
		return 0
	}
	s.unsuccessfulEnds.Add(now, 2*class.Deadline, -1)
	return math.Max(0, class.Deadline-ttl)
}

// vote counts a time to live for the timeout that it is known as; known below 0: against the rarer one, which it replaces once
// that has no votes left. It returns which of the two was the rarer one before.
func (s *classStats) vote(known int, ttl float64, isFirstTry bool) (rarer int) {
	if s.timeouts[1].votes < s.timeouts[0].votes {
		rarer = 1
	}
	votes := 1.0
	if isFirstTry {
		votes = firstTryVotes
	}
	if known >= 0 {
		s.timeouts[known].votes = math.Min(s.timeouts[known].votes+votes, maxTimeoutVotes)
		return rarer
	}
	s.timeouts[rarer].votes--
	if s.timeouts[rarer].votes < 0 {
		s.timeouts[rarer] = commonTimeout{timeout: ttl, votes: votes}
	}
	return rarer
}

// usualLatency is the smoothed latency of a request class over all members, in ms. Whoever sets a latency objective expects
// answers well inside it: until some were measured, a quarter of it is assumed.
func (r *Router) usualLatency(req *request) float64 {
	return req.stats.latency.Estimate(r.now, r.smoothingSpan, priorWeight, req.class.LatencyObjective/latencyGuessFactor)
}

// latencyRatio is the member's smoothed latency divided by what is usual.
func (r *Router) latencyRatio(m *member) float64 {
	return (m.latencyRatios.Read(r.now, r.smoothingSpan) + priorWeight) / (m.successes.Read(r.now, r.smoothingSpan) + priorWeight)
}

// expectedLatency is the latency, in ms, that is to be expected of the request at the member.
func (r *Router) expectedLatency(req *request, m *member) float64 {
	return r.usualLatency(req) * r.latencyRatio(m)
}
