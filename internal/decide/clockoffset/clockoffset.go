// Package clockoffset estimates how far the cluster's clock, on which members date their positions, is ahead of the
// router's own monotonic clock. It owns the samples and the estimate; it reads no clock and does no I/O. All times are
// milliseconds.
//
// A position is never later than the cluster's present, so a position p that was received at r bounds the offset from
// below: offset >= p-r. A primary's position is its present, so one that was asked for at s bounds it from above as
// well: offset <= p-s. A sample that is late (an old report, a primary that is cut off) only lowers both ends. Too low
// an estimate makes positions look newer than they are, which allows stale reads. Hence the estimate rises as soon as
// primaries agree, falls only on steady evidence and only before a primary has confirmed it, and always takes the upper
// end of the agreed interval.
package clockoffset

import (
	"math"
	"slices"
)

const (
	// RiseToleranceMs is by how much positions may lie ahead of the estimate before it rises: members round their clocks.
	RiseToleranceMs = 20.0
	// FallToleranceMs is by how much primaries' positions may lie behind the estimate before it falls.
	FallToleranceMs = 250.0

	maxReportDelayMs      = 10000.0 // twice the longest delay of a report: a position older than this isn't merely late
	minSteadyMs           = 200.0   // for how long a primary must show one offset before the estimate may fall
	maxIntervalMs         = 500.0   // a wider interval is too little evidence for a fall
	confirmIntervalMs     = 50.0    // between the samples of a primary that contradicts the start value
	roundingMs            = 2.0     // positions are rounded to ms, commits up
	replicaConfirmDelayMs = 1000.0  // after which replicas alone confirm the start value, if they don't contradict it
	sampleLifetimeMs      = 60000.0 // a member without a response for so long has no vote
	maxMembers            = 64      // members whose samples are kept
	minPositionMs         = 1e12    // a lower position (before September 2001) is no reading of a clock,
	maxPositionMs         = 1e13    // nor is a higher one (after November 2286)
)

// Sample is one position that a member reported.
type Sample struct {
	Member   string
	Primary  bool
	Position float64 // on the cluster's clock
	Sent     float64 // on the router's clock: when the member was asked; -Inf if it isn't known
	Received float64 // on the router's clock: not before the position came
}

// Estimate is the offset and what it rests on. Its zero value begins with offset 0, which means that the router's clock
// was set right at its start, and isn't settled.
type Estimate struct {
	offset      float64
	settled     bool // it may be used
	confirmed   bool // by a primary: from here on it only rises
	sampled     bool
	firstSample float64
	members     map[string]*memberSamples
}

// memberSamples is what one member has reported.
type memberSamples struct {
	primary      bool
	lastReceived float64    // when its last sample was received
	count        int        // samples, two at most
	lows         [2]float64 // lower bounds from the last two samples
	steady       interval   // the intersection of the intervals that its latest samples have in common
	steadySince  float64    // when the first of that run was received
	lastSent     float64    // when the last of it was asked for
}

// interval holds the offsets that a sample allows.
type interval struct{ low, high float64 }

func (i interval) overlaps(o interval) bool {
	return i.low <= o.high+roundingMs && o.low <= i.high+roundingMs
}

func (i interval) intersect(o interval) interval {
	return interval{max(i.low, o.low), min(i.high, o.high)}
}

// Offset is the cluster's clock less the router's.
func (e *Estimate) Offset() float64 { return e.offset }

// Settled reports whether the estimate is confirmed. Until then no position can be judged.
func (e *Estimate) Settled(now float64) bool {
	if !e.settled && e.sampled && now-e.firstSample >= replicaConfirmDelayMs && e.replicasConfirm(now) {
		e.settled = true
	}
	return e.settled
}

// Add takes in a sample, and corrects the estimate where members agree that it is wrong.
func (e *Estimate) Add(s Sample) {
	if !(s.Position >= minPositionMs && s.Position < maxPositionMs) {
		return
	}
	if !e.sampled {
		e.sampled, e.firstSample = true, s.Received
	}
	bounds := interval{s.Position - s.Received, s.Position - s.Sent}
	if w := e.samplesOf(s.Member, s.Primary, s.Received); w != nil {
		w.add(s.Primary, s.Sent, s.Received, bounds)
	}
	if !s.Primary {
		return
	}
	rises := bounds.low > e.offset+RiseToleranceMs
	switch {
	case e.confirmed && !rises:
	case !rises && bounds.high >= e.offset-maxReportDelayMs && bounds.high-bounds.low <= maxReportDelayMs:
		e.settled, e.confirmed = true, true // the clock at the start and a primary agree
	default:
		e.correct(s.Received)
	}
}

// Confirm reports whether, and in how many ms, a member should be checked again, so that it is soon known which clock is wrong.
func (e *Estimate) Confirm(member string) (wait float64, wanted bool) {
	w := e.members[member]
	return confirmIntervalMs, w != nil && w.primary && !e.confirmed
}

// Forget drops the samples of a member.
func (e *Estimate) Forget(member string) { delete(e.members, member) }

// samplesOf finds a member's record, or makes one; nil: there is no room. A member keeps its place while it responds, else none
// of many would show one offset for long enough.
func (e *Estimate) samplesOf(member string, primary bool, now float64) *memberSamples {
	if w := e.members[member]; w != nil {
		return w
	}
	if e.members == nil {
		e.members = map[string]*memberSamples{}
	}
	if len(e.members) >= maxMembers && !e.makeRoom(primary, now) {
		return nil
	}
	w := &memberSamples{lastReceived: now}
	e.members[member] = w
	return w
}

// makeRoom drops the member that has sent nothing for longest, if that is too long, or if it is a replica and a primary comes.
func (e *Estimate) makeRoom(primary bool, now float64) bool {
	oldest, found := "", false
	for id, w := range e.members {
		if now-w.lastReceived < sampleLifetimeMs && (w.primary || !primary) {
			continue
		}
		if o := e.members[oldest]; !found || w.lastReceived < o.lastReceived || w.lastReceived == o.lastReceived && id < oldest {
			oldest, found = id, true
		}
	}
	if found {
		delete(e.members, oldest)
	}
	return found
}

func (w *memberSamples) add(primary bool, sent, now float64, bounds interval) {
	if w.primary != primary {
		*w = memberSamples{primary: primary}
	}
	w.lastReceived = now
	w.lows[0], w.lows[1] = bounds.low, w.lows[0]
	if w.count == 0 || !w.steady.overlaps(bounds) {
		w.steady, w.steadySince = bounds, now
	} else {
		w.steady = w.steady.intersect(bounds)
	}
	w.lastSent = sent
	w.count = min(w.count+1, len(w.lows))
}

// low is the lower bound that the member vouches for; one that stands alone has to show it twice in a row.
func (w *memberSamples) low(alone bool) float64 {
	switch {
	case w.count == len(w.lows):
		return min(w.lows[0], w.lows[1])
	case alone:
		return math.Inf(-1)
	}
	return w.lows[0]
}

// steadyHigh is the upper bound that the member has shown for long enough, and else +Inf. A position that stands still
// can't pass: what was asked for after the first answer has nothing in common with it.
func (w *memberSamples) steadyHigh() float64 {
	if w.lastSent-w.steadySince < minSteadyMs || w.steady.high-w.steady.low > maxIntervalMs {
		return math.Inf(1)
	}
	return w.steady.high
}

// correct moves the estimate to where a majority of primaries agree that it must be, if they do.
func (e *Estimate) correct(now float64) {
	primaries := e.primaries(now)
	if len(primaries) == 0 {
		return
	}
	majority := len(primaries)/2 + 1
	var lows, highs []float64
	for _, w := range primaries {
		lows = append(lows, w.low(len(primaries) == 1))
		highs = append(highs, w.steadyHigh())
	}
	slices.Sort(lows)
	low, high := lows[len(lows)-majority], agreedHigh(highs, majority)
	switch {
	case low > e.offset+RiseToleranceMs:
		e.offset = safeEnd(primaries, low)
	case !e.confirmed && high < e.offset-FallToleranceMs:
		e.offset = high
	default:
		return
	}
	e.settled, e.confirmed = true, true
}

// agreedHigh is the highest bound on which so many members agree; +Inf: there is none.
func agreedHigh(highs []float64, majority int) float64 {
	slices.Sort(highs)
	for n := len(highs); n >= majority; n-- {
		if high := highs[n-1]; !math.IsInf(high, 1) && high-highs[n-majority] <= maxIntervalMs {
			return high
		}
	}
	return math.Inf(1)
}

// safeEnd is the least upper bound that members show whose lower bound is at least low.
func safeEnd(primaries []*memberSamples, low float64) float64 {
	end := math.Inf(1)
	for _, w := range primaries {
		if w.steady.low >= low {
			end = min(end, w.steady.high)
		}
	}
	if math.IsInf(end, 1) {
		return low
	}
	return end
}

func (e *Estimate) primaries(now float64) (all []*memberSamples) {
	for _, w := range e.members {
		if w.primary && now-w.lastReceived < sampleLifetimeMs {
			all = append(all, w)
		}
	}
	return all
}

// replicasConfirm reports whether no primary has responded, and most replicas don't contradict the estimate.
func (e *Estimate) replicasConfirm(now float64) bool {
	agree, contradict := 0, 0
	for _, w := range e.members {
		switch {
		case now-w.lastReceived >= sampleLifetimeMs:
		case w.primary:
			return false
		case w.lows[0] > e.offset+RiseToleranceMs:
			contradict++
		default:
			agree++
		}
	}
	return agree > contradict
}
