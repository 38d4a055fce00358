package lease

import (
	"maps"
	"math"

	"wayloft/internal/decide/random"
)

const (
	renewAfterShare = 1.0 / 3 // of a lease's duration until it is renewed: two more requests may fail before it ends
	jitterShare     = 1.0 / 6 // of it by which renewals are drawn earlier, so that those of a fleet don't come together
	retryAfterShare = 1.0 / 8 // of it until an unanswered request is sent again
	queuedDurations = 8.0     // lease durations until a queued candidate asks again: the notice of its turn may have been lost
)

// Settings of a holder; they don't change. Times are ms.
type Settings struct {
	Duration     float64 // of a lease, as the coordinator counts it
	SafetyMargin float64 // before the lease ends, in which the holder no longer acts: the time that an act takes, and the clocks' drift
	Seed         uint64  // of the jitter
}

// Action is the kind of a decision.
type Action int

// What the driver of a holder has to do.
const (
	RequestLease  Action = iota // send a request for the lease, or to renew it, with the number Request
	ReleaseLease                // report to the coordinator that the lease held under Token is released
	TransferLease               // ask the coordinator to grant the lease held under Token to To next
	Stop                        // end what acts under Token: nothing more may go out
	Start                       // begin to act under Token
)

// Decision is one thing that the driver has to do; only the fields of its action are set.
type Decision struct {
	Action  Action
	Request uint64
	Token   Token
	To      string
}

// Holder is one process's part in one lease, as a candidate and as its holder. While it is valid nobody else is granted the lease, as
// long as the clocks of holder and coordinator drift by less than the safety margin over a lease. It isn't safe for concurrent use.
type Holder struct {
	settings       Settings
	now            float64
	wanted         bool               // the process would hold the lease
	acting         bool               // Start was decided, and no Stop since
	token          Token              // of the latest grant
	validUntil     float64            // end of the grant, less the safety margin
	latestRequest  uint64             // number of the latest request
	unanswered     map[uint64]float64 // when each request without an answer was sent, by number
	nextRequestAt  float64
	random         random.Source
	decisions      []Decision // not yet pulled by Next
	highestForeign Token      // the highest that is known to be another process's, or nobody's
	highestSeen    Token      // the highest that a receiver named: it may be this process's own next one
}

// NewHolder returns a holder that doesn't want the lease yet.
func NewHolder(settings Settings) *Holder {
	return &Holder{
		settings:   settings,
		random:     random.Source{Seed: settings.Seed},
		unanswered: map[uint64]float64{},
		validUntil: math.Inf(-1),
	}
}

// Advance sets the time of all that follows until the next call. A holder whose machine slept finds its lease over.
func (h *Holder) Advance(now float64) {
	h.now = math.Max(h.now, now) // a clock that goes back must not lengthen a lease
	if h.acting && h.now >= h.validUntil {
		h.stop()
	}
	// A grant counts from its request: an answer to one that is older than a lease brings no time.
	maps.DeleteFunc(h.unanswered, func(_ uint64, sentAt float64) bool { return sentAt <= h.now-h.settings.Duration })
}

// Acquire says that the process would hold the lease.
func (h *Holder) Acquire() {
	if !h.wanted {
		h.wanted, h.nextRequestAt = true, h.now
	}
}

// Release says that the process would no longer hold the lease: what it holds is given back, or transferred to the process named.
// Grants that are still on their way no longer count.
func (h *Holder) Release(successor string) {
	if !h.wanted {
		return
	}
	h.wanted = false
	clear(h.unanswered)
	if !h.acting {
		return
	}
	h.stop()
	if successor != "" {
		h.decide(Decision{Action: TransferLease, Token: h.token, To: successor})
	} else {
		h.decide(Decision{Action: ReleaseLease, Token: h.token})
	}
}

// Granted says that a request was answered with a grant, or with more time, under a token. The time counts from when the request was
// sent: when the coordinator counted it, the holder can't know.
func (h *Holder) Granted(request uint64, token Token) {
	sentAt, pending := h.unanswered[request]
	if !pending || !h.wanted || h.overtaken(token) {
		return
	}
	delete(h.unanswered, request)
	if h.acting && token != h.token { // another held the lease in between: what began under the old token must end
		h.stop()
	}
	validUntil := sentAt + h.settings.Duration - h.settings.SafetyMargin
	if token == h.token {
		validUntil = math.Max(validUntil, h.validUntil)
	}
	h.token, h.validUntil = token, validUntil
	renewAt := sentAt + h.settings.Duration*(renewAfterShare-jitterShare*h.random.Next())
	h.nextRequestAt = math.Min(renewAt, math.Max(validUntil, h.now))
	if !h.acting && h.now < h.validUntil {
		h.acting = true
		h.decide(Decision{Action: Start, Token: token})
	}
}

// overtaken reports whether a grant under a token is known to be over.
func (h *Holder) overtaken(token Token) bool {
	notAboveForeign := h.highestForeign != (Token{}) && token.Compare(h.highestForeign) <= 0
	return token.Compare(h.token) < 0 || token.Compare(h.highestSeen) < 0 || notAboveForeign
}

// Denied says that a request was answered with another's hold: the process is in the lease's queue and is notified of its turn. It asks
// again after many leases only, since a fleet of candidates must not weigh on the coordinator.
func (h *Holder) Denied(request uint64) {
	_, pending := h.unanswered[request]
	delete(h.unanswered, request)
	if !pending || request != h.latestRequest { // its turn may have come since
		return
	}
	h.nextRequestAt = h.now + h.settings.Duration*queuedDurations*(1-jitterShare*h.random.Next())
	if h.acting { // the coordinator has another holder
		h.stop()
	}
}

// ActRejected says that a receiver rejected an act and named a higher token: the grant is over, whatever the clock says. Whose the higher
// token is the receiver doesn't say: a grant under it may be on its way here.
func (h *Holder) ActRejected(higher Token) {
	if higher.Compare(h.token) <= 0 {
		return
	}
	if higher.Compare(h.highestSeen) > 0 {
		h.highestSeen = higher
	}
	if h.acting {
		h.stop()
	}
}

// Lost says that the coordinator has the lease under a token as another's, or as nobody's.
func (h *Holder) Lost(token Token) {
	if token.Compare(h.token) < 0 { // from before this process's own grant
		return
	}
	if token.Compare(h.highestForeign) > 0 {
		h.highestForeign = token
	}
	if h.acting {
		h.stop()
	}
}

// RequestNow says that a grant is to be had, since it is this process's turn: it sends a request at once.
func (h *Holder) RequestNow() {
	if h.wanted {
		h.nextRequestAt = h.now
	}
}

func (h *Holder) stop() {
	h.acting, h.validUntil = false, math.Min(h.validUntil, h.now)
	h.decide(Decision{Action: Stop, Token: h.token})
}

func (h *Holder) decide(decision Decision) { h.decisions = append(h.decisions, decision) }

// Valid reports whether an act may be sent now, and returns the token that goes with it. Call it right before the act.
func (h *Holder) Valid() (Token, bool) { return h.token, h.acting && h.now < h.validUntil }

// NextDeadline returns when Advance must be called next at the latest; +Inf: not because of time.
func (h *Holder) NextDeadline() float64 {
	deadline := math.Inf(1)
	if h.acting {
		deadline = h.validUntil
	}
	if h.wanted {
		deadline = math.Min(deadline, h.nextRequestAt)
	}
	return deadline
}

// Next returns the next decision, or false if none is left. All must be pulled after each input.
func (h *Holder) Next() (Decision, bool) {
	if len(h.decisions) > 0 {
		decision := h.decisions[0]
		h.decisions = h.decisions[1:]
		return decision, true
	}
	if !h.wanted || h.nextRequestAt > h.now {
		return Decision{}, false
	}
	h.latestRequest++
	h.unanswered[h.latestRequest] = h.now
	h.nextRequestAt = h.now + h.settings.Duration*retryAfterShare*(1+h.random.Next())
	return Decision{Action: RequestLease, Request: h.latestRequest}, true
}
