// Package clockoffset estimates the offset of the cluster's clock, to which the members' positions refer, from the
// router's own monotonic clock. It keeps the samples and the estimate; it reads no clock and does no I/O. All times are
// in milliseconds.
//
// A position is never later than the current time on the cluster's clock, so a position p received at r is a lower bound
// of the offset: offset >= p-r. A primary's position is its current time, so if it was requested at s it is an upper
// bound as well: offset <= p-s. A late sample (an old report, a partitioned primary) only lowers both bounds. An estimate
// that is too low makes positions look newer than they are, which permits stale reads. Therefore the estimate rises as
// soon as primaries agree, falls only on steady evidence and only until a primary has confirmed it, and always takes the
// upper end of the agreed interval.
package clockoffset

import (
	"math"
	"slices"
)

const (
	// RiseToleranceMs is how far positions may be ahead of the estimate before it rises: members round their clocks.
	RiseToleranceMs = 20.0
	// FallToleranceMs is how far primaries' positions may be behind the estimate before it falls.
	FallToleranceMs = 250.0

	maxReportDelayMs      = 10000.0 // twice the longest delay of a report: a late report doesn't explain an older position
	minSteadyMs           = 200.0   // how long a primary's samples must be consistent before the estimate may fall
	maxIntervalMs         = 500.0   // a wider interval is insufficient evidence for lowering the estimate
	confirmIntervalMs     = 50.0    // between the samples of a primary that contradicts the initial offset
	roundingMs            = 2.0     // positions are rounded to ms, those of commits upward
	replicaConfirmDelayMs = 1000.0  // after which replicas alone confirm the initial offset, if they don't contradict it
	sampleLifetimeMs      = 60000.0 // a member that hasn't responded for this long is ignored
	maxMembers            = 64      // number of members whose samples are kept
	minPositionMs         = 1e12    // a lower position (before September 2001) can't be a clock reading,
	maxPositionMs         = 1e13    // nor is a higher one (after November 2286)
)

// Sample is one position that a member reported.
type Sample struct {
	Member   string
	Primary  bool
	Position float64 // on the cluster's clock
	Sent     float64 // on the router's clock: when the position was requested; -Inf if unknown
	Received float64 // on the router's clock: when the position arrived, or later
}

// Estimate is the estimated offset and the samples that it is based on. The zero value has the initial offset 0, which
// assumes that the router's clock was right when the router started, and isn't settled.
type Estimate struct {
	offset      float64
	settled     bool // may be used
	confirmed   bool // by a primary; it only rises from then on
	sampled     bool
	firstSample float64
	members     map[string]*memberSamples
}

// memberSamples summarizes the samples of one member.
type memberSamples struct {
	primary        bool
	lastReceived   float64    // when the latest sample was received
	count          int        // number of samples, up to 2
	lowerBounds    [2]float64 // from the latest two samples, newest first
	steadyInterval interval   // intersection of the intervals of the latest run of consistent samples
	steadySince    float64    // when the first sample of that run was received
	lastSent       float64    // when the latest sample of that run was requested
}

// interval is the range of offsets consistent with a sample.
type interval struct{ low, high float64 }

func (i interval) overlaps(o interval) bool {
	return i.low <= o.high+roundingMs && o.low <= i.high+roundingMs
}

func (i interval) intersect(o interval) interval {
	return interval{max(i.low, o.low), min(i.high, o.high)}
}

// Offset returns the cluster's clock minus the router's.
func (e *Estimate) Offset() float64 { return e.offset }

// Settled reports whether the estimate may be used: a primary or, after a delay, replicas have confirmed it. Until then
// positions can't be converted to the router's clock.
func (e *Estimate) Settled(now float64) bool {
	if !e.settled && e.sampled && now-e.firstSample >= replicaConfirmDelayMs && e.replicasConfirm(now) {
		e.settled = true
	}
	return e.settled
}

// Add adds a sample, and corrects the estimate if the members agree that it is wrong.
func (e *Estimate) Add(s Sample) {
	if !(s.Position >= minPositionMs && s.Position < maxPositionMs) {
		return
	}
	if !e.sampled {
		e.sampled, e.firstSample = true, s.Received
	}
	bounds := interval{s.Position - s.Received, s.Position - s.Sent}
	if m := e.findOrAddMember(s.Member, s.Primary, s.Received); m != nil {
		m.add(s.Primary, s.Sent, s.Received, bounds)
	}
	if !s.Primary {
		return
	}
	rises := bounds.low > e.offset+RiseToleranceMs
	switch {
	case e.confirmed && !rises:
	case !rises && bounds.high >= e.offset-maxReportDelayMs && bounds.high-bounds.low <= maxReportDelayMs:
		e.settled, e.confirmed = true, true // the initial offset and a primary agree
	default:
		e.correctOffset(s.Received)
	}
}

// RecheckDelay returns after how many ms a member should be checked again to find out soon which clock is wrong, and whether it should
// be.
func (e *Estimate) RecheckDelay(member string) (wait float64, wanted bool) {
	m := e.members[member]
	return confirmIntervalMs, m != nil && m.primary && !e.confirmed
}

// Forget removes a member and its samples.
func (e *Estimate) Forget(member string) { delete(e.members, member) }

// findOrAddMember returns a member's samples, adding the member if it is new, or nil if there is no room. A member is kept while it
// responds; with many members, none would otherwise be kept long enough for its samples to count as steady.
func (e *Estimate) findOrAddMember(member string, primary bool, now float64) *memberSamples {
	if m := e.members[member]; m != nil {
		return m
	}
	if e.members == nil {
		e.members = map[string]*memberSamples{}
	}
	if len(e.members) >= maxMembers && !e.evictMember(primary, now) {
		return nil
	}
	m := &memberSamples{lastReceived: now}
	e.members[member] = m
	return m
}

// evictMember removes the member that has been silent longest among those that may be removed: members silent for sampleLifetimeMs
// and, to make room for a primary, replicas. It reports whether there was one.
func (e *Estimate) evictMember(primary bool, now float64) bool {
	oldest, found := "", false
	for id, m := range e.members {
		if now-m.lastReceived < sampleLifetimeMs && (m.primary || !primary) {
			continue
		}
		if o := e.members[oldest]; !found || m.lastReceived < o.lastReceived || m.lastReceived == o.lastReceived && id < oldest {
			oldest, found = id, true
		}
	}
	if found {
		delete(e.members, oldest)
	}
	return found
}

func (m *memberSamples) add(primary bool, sent, now float64, bounds interval) {
	if m.primary != primary {
		*m = memberSamples{primary: primary}
	}
	m.lastReceived = now
	m.lowerBounds[0], m.lowerBounds[1] = bounds.low, m.lowerBounds[0]
	if m.count == 0 || !m.steadyInterval.overlaps(bounds) {
		m.steadyInterval, m.steadySince = bounds, now
	} else {
		m.steadyInterval = m.steadyInterval.intersect(bounds)
	}
	m.lastSent = sent
	m.count = min(m.count+1, len(m.lowerBounds))
}

// lowerBound returns the lower bound that the member's latest two samples support. With one sample it is the bound of that one, but
// -Inf if there is no other primary: a single sample of a single primary isn't trusted.
func (m *memberSamples) lowerBound(onlyPrimary bool) float64 {
	switch {
	case m.count == len(m.lowerBounds):
		return min(m.lowerBounds[0], m.lowerBounds[1])
	case onlyPrimary:
		return math.Inf(-1)
	}
	return m.lowerBounds[0]
}

// steadyUpperBound returns the upper bound if the member's samples have been consistent for long enough, else +Inf. A
// position that doesn't advance never qualifies: the interval of a sample requested after the first response doesn't
// overlap that of the first.
func (m *memberSamples) steadyUpperBound() float64 {
	if m.lastSent-m.steadySince < minSteadyMs || m.steadyInterval.high-m.steadyInterval.low > maxIntervalMs {
		return math.Inf(1)
	}
	return m.steadyInterval.high
}

// correctOffset corrects the estimate if a majority of primaries agree that it is too low, or too high.
func (e *Estimate) correctOffset(now float64) {
	primaries := e.primaries(now)
	if len(primaries) == 0 {
		return
	}
	majority := len(primaries)/2 + 1
	var lows, highs []float64
	for _, m := range primaries {
		lows = append(lows, m.lowerBound(len(primaries) == 1))
		highs = append(highs, m.steadyUpperBound())
	}
	slices.Sort(lows)
	low, high := lows[len(lows)-majority], agreedUpperBound(highs, majority)
	switch {
	case low > e.offset+RiseToleranceMs:
		e.offset = minUpperBound(primaries, low)
	case !e.confirmed && high < e.offset-FallToleranceMs:
		e.offset = high
	default:
		return
	}
	e.settled, e.confirmed = true, true
}

// agreedUpperBound returns the highest bound on which a majority agrees to within maxIntervalMs, or +Inf if there is none.
func agreedUpperBound(highs []float64, majority int) float64 {
	slices.Sort(highs)
	for n := len(highs); n >= majority; n-- {
		if high := highs[n-1]; !math.IsInf(high, 1) && high-highs[n-majority] <= maxIntervalMs {
			return high
		}
	}
	return math.Inf(1)
}

// minUpperBound returns the lowest upper bound among the primaries whose lower bound is at least low, or low if there is none.
func minUpperBound(primaries []*memberSamples, low float64) float64 {
	upperBound := math.Inf(1)
	for _, m := range primaries {
		if m.steadyInterval.low >= low {
			upperBound = min(upperBound, m.steadyInterval.high)
		}
	}
	if math.IsInf(upperBound, 1) {
		return low
	}
	return upperBound
}

func (e *Estimate) primaries(now float64) (all []*memberSamples) {
	for _, m := range e.members {
		if m.primary && now-m.lastReceived < sampleLifetimeMs {
			all = append(all, m)
		}
	}
	return all
}

// replicasConfirm reports whether no primary has responded and most replicas don't contradict the estimate.
func (e *Estimate) replicasConfirm(now float64) bool {
	agree, contradict := 0, 0
	for _, m := range e.members {
		switch {
		case now-m.lastReceived >= sampleLifetimeMs:
		case m.primary:
			return false
		case m.lowerBounds[0] > e.offset+RiseToleranceMs:
			contradict++
		default:
			agree++
		}
	}
	return agree > contradict
}
