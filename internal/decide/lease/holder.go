package lease

import (
	"maps"
	"math"

	"wayloft/internal/decide/random"
)

const (
	renewAt   = 1.0 / 3 // of a lease: two more renewals may fail before it ends
	spread    = 1.0 / 6 // of a lease by which renewals are drawn earlier, so that a fleet's don't come together
	retryPart = 1.0 / 8 // of a lease until an unanswered request is sent again
	queued    = 8.0     // leases until a candidate asks again though it was told to wait: its turn may have been missed
)

// Settings are given once. Times are ms.
type Settings struct {
	Duration     float64 // of a lease, as the coordinator counts it
	SafetyMargin float64 // before its end, from which the holder no longer acts: what an act takes, and the clocks' difference
	Seed         uint64
}

// Action tells what the host is to do.
type Action int

const (
	RequestLease  Action = iota // ask for the lease, or for more time, as request Number
	ReleaseLease                // tell the coordinator that the lease is free, under Fence
	TransferLease               // tell the coordinator to grant it to To next, under Fence
	Stop                        // what acts under Fence must end now: nothing more may go out
	Start                       // may act under Fence
)

// Decision is one thing for the host to do; only the fields of its verb are set.
type Decision struct {
	Action  Action
	Request uint64
	Token   Token
	To      string
}

// Holder is one process's part in one lease: candidate, then owner, then neither.
type Holder struct {
	set    Settings
	now    float64
	wanted bool
	acting bool
	to     string  // whom it is to be passed on to
	fence  Token   // of the lease that is held, or was last
	until  float64 // no act from then on
	number uint64
	asked  map[uint64]float64 // requests without an answer yet, and when they went out
	askAt  float64
	chance random.Source
	out    []Decision
	others Token // the highest that is known to be not this process's
	higher Token // the highest that a receiver knew: its own next one, maybe
}

// NewHolder makes one that wants nothing yet.
func NewHolder(set Settings) *Holder {
	return &Holder{set: set, chance: random.Source{Seed: set.Seed}, asked: map[uint64]float64{}, until: math.Inf(-1)}
}

// Advance sets the time; all that follows until the next call happens then. A holder that slept finds its lease over.
func (h *Holder) Advance(now float64) {
	h.now = math.Max(h.now, now) // a clock that goes back must not lengthen a lease
	if h.acting && h.now >= h.until {
		h.stop()
	}
	// What is older than a lease can bring none.
	maps.DeleteFunc(h.asked, func(_ uint64, at float64) bool { return at <= h.now-h.set.Duration })
}

// Acquire says that this process would hold the lease.
func (h *Holder) Acquire() {
	if !h.wanted {
		h.wanted, h.askAt = true, h.now
	}
}

// Release ends it: what is held is given back, or passed on to the process named. No grant that is still on its way counts.
func (h *Holder) Release(to string) {
	if !h.wanted {
		return
	}
	h.wanted, h.to = false, to
	clear(h.asked)
	if h.acting {
		h.stop()
		if to != "" {
			h.out = append(h.out, Decision{Action: TransferLease, Token: h.fence, To: to})
		} else {
			h.out = append(h.out, Decision{Action: ReleaseLease, Token: h.fence})
		}
	}
}

// Granted says that request number was answered with a grant or more time under fencing token. The time counts from when the
// request went out: when the coordinator counted it, nobody here can know.
func (h *Holder) Granted(number uint64, fence Token) {
	at, known := h.asked[number]
	if !known || !h.wanted || fence.Compare(h.fence) < 0 || fence.Compare(h.higher) < 0 ||
		fence.Compare(h.others) <= 0 && h.others != (Token{}) {
		return
	}
	delete(h.asked, number)
	if h.acting && fence != h.fence { // it was somebody else's in between: what was begun under the old fencing token must end
		h.stop()
	}
	until := at + h.set.Duration - h.set.SafetyMargin
	if fence == h.fence {
		until = math.Max(until, h.until)
	}
	h.fence, h.until = fence, until
	h.askAt = math.Min(at+h.set.Duration*(renewAt-spread*h.chance.Next()), math.Max(until, h.now))
	if !h.acting && h.now < h.until {
		h.acting = true
		h.out = append(h.out, Decision{Action: Start, Token: fence})
	}
}

// Denied says that somebody else holds the lease; this process is in the queue, and is told when it is its turn.
// It asks again after many leases only: a herd of candidates must not weigh on the coordinator.
func (h *Holder) Denied(number uint64) {
	_, known := h.asked[number]
	if delete(h.asked, number); known && number == h.number { // else its turn may have come since
		if h.askAt = h.now + h.set.Duration*queued*(1-spread*h.chance.Next()); h.acting {
			h.stop() // the coordinator has it otherwise
		}
	}
}

// ActRejected says that a receiver knows a higher fencing token: this one is over, whatever the clock says. Whose the higher one is, it doesn't
// say: a grant under it may be on its way here.
func (h *Holder) ActRejected(higher Token) {
	if higher.Compare(h.fence) > 0 {
		if higher.Compare(h.higher) > 0 {
			h.higher = higher
		}
		if h.acting {
			h.stop()
		}
	}
}

// Lost says that the coordinator has this fencing token, or none that is higher, as somebody else's or nobody's.
func (h *Holder) Lost(fence Token) {
	if fence.Compare(h.fence) < 0 { // told before this process's own grant
		return
	}
	if fence.Compare(h.others) > 0 {
		h.others = fence
	}
	if h.acting {
		h.stop()
	}
}

// RequestNow says that the coordinator has this process's turn come: it asks at once.
func (h *Holder) RequestNow() {
	if h.wanted {
		h.askAt = h.now
	}
}

func (h *Holder) stop() {
	h.acting, h.until = false, math.Min(h.until, h.now)
	h.out = append(h.out, Decision{Action: Stop, Token: h.fence})
}

// Valid tells whether an act may go out now, and the fencing token that goes with it. Ask it last, right before the act.
func (h *Holder) Valid() (Token, bool) { return h.fence, h.acting && h.now < h.until }

// NextDeadline is when At must be called again at the latest.
func (h *Holder) NextDeadline() float64 {
	due := math.Inf(1)
	if h.acting {
		due = h.until
	}
	if h.wanted {
		due = math.Min(due, h.askAt)
	}
	return due
}

// Next gives the next decision; false: none is left.
func (h *Holder) Next() (Decision, bool) {
	if len(h.out) > 0 {
		d := h.out[0]
		h.out = h.out[1:]
		return d, true
	}
	if h.wanted && h.askAt <= h.now {
		h.number++
		h.asked[h.number] = h.now
		h.askAt = h.now + h.set.Duration*retryPart*(1+h.chance.Next())
		return Decision{Action: RequestLease, Request: h.number}, true
	}
	return Decision{}, false
}
