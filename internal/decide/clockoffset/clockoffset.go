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
	// RiseTolerance is by how much positions may lie ahead of the estimate before it rises: members round their clocks.
	RiseTolerance = 20.0
	// FallTolerance is by how much primaries' positions may lie behind the estimate before it falls.
	FallTolerance = 250.0

	longestReportDelay = 10000.0 // twice the longest delay of a report; a position older than this isn't merely late
	steadyNeeded       = 200.0   // for how long a primary must show one offset before the estimate may fall
	widestInterval     = 500.0   // an interval that is wider tells too little for a fall
	confirmInterval    = 50.0    // between the samples of a primary that contradicts the start value
	rounding           = 2.0     // positions are rounded to ms, commits up
	grace              = 1000.0  // after which replicas alone confirm the start value, if they don't contradict it
	witnessLifetime    = 60000.0 // a member that was not heard for so long has no vote
	mostWitnesses      = 64      // members whose samples are kept
	earliestPosition   = 1e12    // a lower position (before September 2001) is no reading of a clock,
	latestPosition     = 1e13    // nor is a higher one (after November 2286)
)

// Sample is one position that a member told.
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
	offset     float64
	settled    bool // it may be used
	confirmed  bool // by a primary: from here on it only rises
	heard      bool
	firstHeard float64
	witnesses  map[string]*witness
}

// witness is what one member has told.
type witness struct {
	primary bool
	heard   float64    // when it last told a position
	count   int        // samples, two at most
	lows    [2]float64 // lower bounds from the last two samples
	steady  interval   // the intersection of the intervals that its latest samples have in common
	since   float64    // when the first of that run was received
	asked   float64    // when the last of it was asked for
}

// interval holds the offsets that a sample allows.
type interval struct{ low, high float64 }

func (i interval) meets(o interval) bool {
	return i.low <= o.high+rounding && o.low <= i.high+rounding
}

func (i interval) intersect(o interval) interval {
	return interval{max(i.low, o.low), min(i.high, o.high)}
}

// Offset is the cluster's clock less the router's.
func (e *Estimate) Offset() float64 { return e.offset }

// Settled tells whether the estimate is confirmed. Until then no position can be judged.
func (e *Estimate) Settled(now float64) bool {
	if !e.settled && e.heard && now-e.firstHeard >= grace && e.replicasConfirm(now) {
		e.settled = true
	}
	return e.settled
}

// Add takes in a sample, and corrects the estimate where members agree that it is wrong.
func (e *Estimate) Add(s Sample) {
	if !(s.Position >= earliestPosition && s.Position < latestPosition) {
		return
	}
	if !e.heard {
		e.heard, e.firstHeard = true, s.Received
	}
	bounds := interval{s.Position - s.Received, s.Position - s.Sent}
	if w := e.witness(s.Member, s.Primary, s.Received); w != nil {
		w.add(s.Primary, s.Sent, s.Received, bounds)
	}
	if !s.Primary {
		return
	}
	rises := bounds.low > e.offset+RiseTolerance
	switch {
	case e.confirmed && !rises:
	case !rises && bounds.high >= e.offset-longestReportDelay && bounds.high-bounds.low <= longestReportDelay:
		e.settled, e.confirmed = true, true // the clock at the start and a primary agree
	default:
		e.correct(s.Received)
	}
}

// Confirm tells whether, and in how many ms, a member should be asked again, so that it is soon known which clock is wrong.
func (e *Estimate) Confirm(member string) (wait float64, wanted bool) {
	w := e.witnesses[member]
	return confirmInterval, w != nil && w.primary && !e.confirmed
}

// Forget drops what a member has told.
func (e *Estimate) Forget(member string) { delete(e.witnesses, member) }

// witness finds a member's record, or makes one; nil: there is no room. A member that is heard keeps its place, else none
// of many would show anything for long enough.
func (e *Estimate) witness(member string, primary bool, now float64) *witness {
	if w := e.witnesses[member]; w != nil {
		return w
	}
	if e.witnesses == nil {
		e.witnesses = map[string]*witness{}
	}
	if len(e.witnesses) >= mostWitnesses && !e.makeRoom(primary, now) {
		return nil
	}
	w := &witness{heard: now}
	e.witnesses[member] = w
	return w
}

// makeRoom drops the member that was silent for longest, if that is too long, or if it is a replica and a primary comes.
func (e *Estimate) makeRoom(primary bool, now float64) bool {
	oldest, found := "", false
	for id, w := range e.witnesses {
		if now-w.heard < witnessLifetime && (w.primary || !primary) {
			continue
		}
		if o := e.witnesses[oldest]; !found || w.heard < o.heard || w.heard == o.heard && id < oldest {
			oldest, found = id, true
		}
	}
	if found {
		delete(e.witnesses, oldest)
	}
	return found
}

func (w *witness) add(primary bool, sent, now float64, bounds interval) {
	if w.primary != primary {
		*w = witness{primary: primary}
	}
	w.heard = now
	w.lows[0], w.lows[1] = bounds.low, w.lows[0]
	if w.count == 0 || !w.steady.meets(bounds) {
		w.steady, w.since = bounds, now
	} else {
		w.steady = w.steady.intersect(bounds)
	}
	w.asked = sent
	w.count = min(w.count+1, len(w.lows))
}

// low is the lower bound that the member vouches for; one that stands alone has to show it twice in a row.
func (w *witness) low(alone bool) float64 {
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
func (w *witness) steadyHigh() float64 {
	if w.asked-w.since < steadyNeeded || w.steady.high-w.steady.low > widestInterval {
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
	case low > e.offset+RiseTolerance:
		e.offset = safeEnd(primaries, low)
	case !e.confirmed && high < e.offset-FallTolerance:
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
		if high := highs[n-1]; !math.IsInf(high, 1) && high-highs[n-majority] <= widestInterval {
			return high
		}
	}
	return math.Inf(1)
}

// safeEnd is the least upper bound that members show whose lower bound is at least low.
func safeEnd(primaries []*witness, low float64) float64 {
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

func (e *Estimate) primaries(now float64) (all []*witness) {
	for _, w := range e.witnesses {
		if w.primary && now-w.heard < witnessLifetime {
			all = append(all, w)
		}
	}
	return all
}

// replicasConfirm tells whether no primary was heard, and most replicas don't contradict the estimate.
func (e *Estimate) replicasConfirm(now float64) bool {
	agree, contradict := 0, 0
	for _, w := range e.witnesses {
		switch {
		case now-w.heard >= witnessLifetime:
		case w.primary:
			return false
		case w.lows[0] > e.offset+RiseTolerance:
			contradict++
		default:
			agree++
		}
	}
	return agree > contradict
}
