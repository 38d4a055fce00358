package lease

import (
	"maps"
	"math"

	"wayloft/internal/decide/random"
)

const (
	renewAfterFraction   = 1.0 / 3 // of the lease duration, after which a renewal is requested: two more requests may fail before the lease ends
	jitterFraction       = 1.0 / 6 // of the lease duration, by which renewals are randomly advanced so that those of a fleet don't coincide
	retryAfterFraction   = 1.0 / 8 // of the lease duration, after which an unanswered request is retried
	queuedRetryDurations = 8.0     // lease durations after which a queued candidate requests again: the notice of its turn may have been lost
)

// Settings of a holder. They don't change. Times are in ms.
type Settings struct {
	Duration     float64 // of a lease, as the coordinator measures it
	SafetyMargin float64 // before the end of a lease, during which the holder no longer acts: covers the time an operation takes and clock drift
	Seed         uint64  // of the random jitter
}

// Action is the kind of a Decision.
type Action int

// Actions that the driver carries out.
const (
	RequestLease  Action = iota // send a request for the lease, or for its renewal, numbered Request
	ReleaseLease                // tell the coordinator that the lease held under Token is released
	TransferLease               // ask the coordinator to grant the lease held under Token to To next
	Stop                        // stop all work under Token: no further operation may be sent
	Start                       // start acting as the holder, under Token
)

// Decision is one action for the driver to carry out; only the fields of its Action are set.
type Decision struct {
	Action  Action
	Request uint64
	Token   Token
	To      string
}

// Holder is the state machine of one process for one lease, as a candidate and as the lease's holder. While it is valid no other process
// is granted the lease, provided that the clocks of holder and coordinator drift apart by less than the safety margin over a lease
// duration. It is not safe for concurrent use.
type Holder struct {
	settings        Settings
	now             float64
	wanted          bool               // the process wants to hold the lease
	acting          bool               // the latest of Start and Stop was Start
	token           Token              // of the latest grant
	validUntil      float64            // end of the grant minus the safety margin
	latestRequest   uint64             // number of the latest request
	unanswered      map[uint64]float64 // send times of the requests without a response, by number
	nextRequestAt   float64
	random          random.Source
	decisions       []Decision // not yet returned by Next
	highestForeign  Token      // the highest token known to be another process's, or no longer held by any
	highestReported Token      // the highest token that a receiver reported: it may be of this process's own next grant
}

// NewHolder returns a Holder that doesn't request the lease before Acquire.
func NewHolder(settings Settings) *Holder {
	return &Holder{
		settings:   settings,
		random:     random.Source{Seed: settings.Seed},
		unanswered: map[uint64]float64{},
		validUntil: math.Inf(-1),
	}
}

// Advance sets the current time, which applies to all inputs until the next call. If the machine was suspended for longer than the
// lease, this is where the holder stops.
func (h *Holder) Advance(now float64) {
	h.now = math.Max(h.now, now) // a clock that goes back must not lengthen a lease
	if h.acting && h.now >= h.validUntil {
		h.stop()
	}
	// A grant counts from its request, so a response to a request older than the lease duration can't extend the lease.
	maps.DeleteFunc(h.unanswered, func(_ uint64, sentAt float64) bool { return sentAt <= h.now-h.settings.Duration })
}

// Acquire starts requesting the lease.
func (h *Holder) Acquire() {
	if !h.wanted {
		h.wanted, h.nextRequestAt = true, h.now
	}
}

// Release stops requesting the lease. A lease that is held is released, or transferred to successor if one is named. Grants that are
// still in flight are ignored.
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
		h.emit(Decision{Action: TransferLease, Token: h.token, To: successor})
	} else {
		h.emit(Decision{Action: ReleaseLease, Token: h.token})
	}
}

// Granted handles a response that grants or renews the lease under a token. The lease counts from when the request was sent, since the
// holder can't know when the coordinator handled it.
func (h *Holder) Granted(request uint64, token Token) {
	sentAt, pending := h.unanswered[request]
	if !pending || !h.wanted || h.superseded(token) {
		return
	}
	delete(h.unanswered, request)
	if h.acting && token != h.token { // another process held the lease in between: work under the old token must stop
		h.stop()
	}
	validUntil := sentAt + h.settings.Duration - h.settings.SafetyMargin
	if token == h.token {
		validUntil = math.Max(validUntil, h.validUntil)
	}
	h.token, h.validUntil = token, validUntil
	renewAt := sentAt + h.settings.Duration*(renewAfterFraction-jitterFraction*h.random.Next())
	h.nextRequestAt = math.Min(renewAt, math.Max(validUntil, h.now))
	if !h.acting && h.now < h.validUntil {
		h.acting = true
		h.emit(Decision{Action: Start, Token: token})
	}
}

// superseded reports whether a grant under the token is known to have ended.
func (h *Holder) superseded(token Token) bool {
	notAboveForeign := h.highestForeign != (Token{}) && token.Compare(h.highestForeign) <= 0
	return token.Compare(h.token) < 0 || token.Compare(h.highestReported) < 0 || notAboveForeign
}

// Denied handles a response saying that another process holds the lease: this process is in the lease's queue and is notified of its
// turn. It requests again only after several lease durations, so that a fleet of candidates doesn't load the coordinator.
func (h *Holder) Denied(request uint64) {
	_, pending := h.unanswered[request]
	delete(h.unanswered, request)
	if !pending || request != h.latestRequest { // an older request: this process's turn may have come since
		return
	}
	h.nextRequestAt = h.now + h.settings.Duration*queuedRetryDurations*(1-jitterFraction*h.random.Next())
	if h.acting { // the coordinator has another holder
		h.stop()
	}
}

// OperationRejected handles the rejection of an operation by a receiver that has seen a higher token: the grant has ended, whatever the
// clock says. The receiver doesn't report whose token it is: a grant to this process under that token may be in flight.
func (h *Holder) OperationRejected(higher Token) {
	if higher.Compare(h.token) <= 0 {
		return
	}
	if higher.Compare(h.highestReported) > 0 {
		h.highestReported = higher
	}
	if h.acting {
		h.stop()
	}
}

// Lost handles the coordinator's report that under this token another process holds the lease, or none does.
func (h *Holder) Lost(token Token) {
	if token.Compare(h.token) < 0 { // older than this process's own grant
		return
	}
	if token.Compare(h.highestForeign) > 0 {
		h.highestForeign = token
	}
	if h.acting {
		h.stop()
	}
}

// RequestNow sends a request without delay, because it is this process's turn to be granted the lease.
func (h *Holder) RequestNow() {
	if h.wanted {
		h.nextRequestAt = h.now
	}
}

func (h *Holder) stop() {
	h.acting, h.validUntil = false, math.Min(h.validUntil, h.now)
	h.emit(Decision{Action: Stop, Token: h.token})
}

func (h *Holder) emit(decision Decision) { h.decisions = append(h.decisions, decision) }

// Valid reports whether an operation may be sent now, and returns the token to send with it. Call it immediately before sending.
func (h *Holder) Valid() (Token, bool) { return h.token, h.acting && h.now < h.validUntil }

// NextDeadline returns when Advance must be called next at the latest, +Inf if nothing is scheduled.
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

// Next returns the next decision, or false if none is left. Call it after each input until it returns false.
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
	h.nextRequestAt = h.now + h.settings.Duration*retryAfterFraction*(1+h.random.Next())
	return Decision{Action: RequestLease, Request: h.latestRequest}, true
}
