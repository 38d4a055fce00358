package leaseclient

import (
	"maps"
	"math"
	"slices"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/random"
	"wayloft/internal/decide/timerqueue"
)

// maxTracked bounds sessions, leases and token queries, each, that are kept of what the coordinator says: twice what it keeps itself.
const maxTracked = 20000

// Settings of a client; they don't change. Times are ms.
type Settings struct {
	Name, Role, Address          string   // of the process; Address receives the acts of lease holders
	Incarnation                  uint64   // Unix ms of the process's start, as the wall clock has it
	SessionTimeout, SafetyMargin float64  // of the session, and of each lease before the session ends
	Leases                       []string // that it requests from the start
	Seed                         uint64   // of the jitter
}

// Action is the kind of a decision.
type Action int

// What the driver of a client has to do.
const (
	Propose     Action = iota // propose Entry to the coordinator, as request number Request
	QueryTokens               // ask the coordinator which tokens of Leases are the latest, as request Request; TokensLearned takes the answer
	Start                     // Lease is this process's, under Token
	Stop                      // it no longer is: nothing more may go out under Token
)

// Decision is one thing that the driver has to do; only the fields of its action are set.
type Decision struct {
	Action  Action
	Request uint64
	Entry   leasestate.Entry
	Lease   string
	Leases  []string
	Token   lease.Token
}

// pendingRequest is a request to the coordinator that isn't answered yet.
type pendingRequest struct {
	kind          leasestate.Kind // of the entry proposed, or tokenQuery
	lease         string          // of an AcquireLease
	holderRequest uint64          // its number at the lease's holder
	leases        []string        // of a token query
}

// tokenQuery is the kind of a request that proposes no entry.
const tokenQuery leasestate.Kind = ""

// Client is one process's part in the fleet. It isn't safe for concurrent use.
type Client struct {
	settings  Settings
	started   bool // Advance has been called
	startedAt float64
	now       float64
	rng       random.Source
	decisions []Decision // not yet pulled by Next

	latestRequest uint64
	pending       map[uint64]pendingRequest // by number

	incarnation      incarnation
	sessionOpen      bool
	opening          backoff // of the request for a session
	heartbeat        backoff
	shuttingDown     bool
	shutdownComplete bool

	appliedPolicy   uint64 // number of the version that this process has applied
	rejectedPolicy  uint64 // number of one that it couldn't apply
	rejectionReason string

	holders    map[string]*holder // by lease
	deadlines  timerqueue.Queue[*holder]
	candidates map[string]float64 // leases that this process will request, and from when

	receiver     *lease.Receiver
	tokenQueries map[string]*backoff // by lease whose token this receiver has yet to learn
	reportedAt   map[string]float64  // by lease: when a higher token was reported to the coordinator

	sessions         map[string]Session // as the watch has them, by name
	leases           map[string]Lease
	sessionsComplete bool

	holdersAdvanced int // holders advanced so far because of time alone

	Reopened     int // sessions that the coordinator had ended
	RejectedActs int // acts of others rejected for their fencing token
}

// New returns a client without a session.
func New(settings Settings) *Client {
	c := &Client{
		settings:     settings,
		rng:          random.Source{Seed: settings.Seed},
		pending:      map[uint64]pendingRequest{},
		incarnation:  newIncarnation(settings.Incarnation),
		heartbeat:    notScheduled(),
		holders:      map[string]*holder{},
		candidates:   map[string]float64{},
		receiver:     lease.NewReceiver(),
		tokenQueries: map[string]*backoff{},
		reportedAt:   map[string]float64{},
		sessions:     map[string]Session{},
		leases:       map[string]Lease{},
	}
	for _, name := range settings.Leases {
		c.startRequesting(name)
	}
	return c
}

// Advance sets the time of all that follows until the next call.
func (c *Client) Advance(now float64) {
	c.checkStartupWindow(now)
	c.now = math.Max(c.now, now)
	for _, name := range slices.Sorted(maps.Keys(c.candidates)) {
		if c.candidates[name] <= c.now {
			delete(c.candidates, name)
			c.startRequesting(name)
		}
	}
	c.advanceDueHolders()
}

// Next returns the next decision, or false if none is left. All must be pulled after each input.
func (c *Client) Next() (Decision, bool) {
	if len(c.decisions) == 0 && !c.shuttingDown {
		c.decideDueRequests()
	}
	if len(c.decisions) == 0 {
		return Decision{}, false
	}
	decision := c.decisions[0]
	c.decisions = c.decisions[1:]
	return decision, true
}

// decideDueRequests decides what is due of the session, or else of the token queries.
func (c *Client) decideDueRequests() {
	switch {
	case !c.sessionOpen && c.opening.dueAt <= c.now:
		c.requestSession()
	case c.sessionOpen && c.heartbeat.dueAt <= c.now:
		c.sendHeartbeat()
	default:
		c.queryTokens()
	}
}

// NextDeadline returns when Advance must be called next at the latest; +Inf: not because of time.
func (c *Client) NextDeadline() float64 {
	deadline := math.Min(c.opening.dueAt, c.heartbeat.dueAt)
	if first := c.deadlines.First(); first != nil {
		deadline = math.Min(deadline, first.At())
	}
	for _, requestAt := range c.candidates {
		deadline = math.Min(deadline, requestAt)
	}
	for _, query := range c.tokenQueries {
		deadline = math.Min(deadline, query.dueAt)
	}
	return deadline
}

// Signed returns an entry as one of this process's present session.
func (c *Client) Signed(entry leasestate.Entry) leasestate.Entry {
	entry.Session, entry.Incarnation = c.settings.Name, c.incarnation.current
	return entry
}

// propose decides to propose an entry of this process's session.
func (c *Client) propose(entry leasestate.Entry) {
	c.proposeRequest(pendingRequest{kind: entry.Kind}, c.Signed(entry))
}

func (c *Client) proposeRequest(request pendingRequest, entry leasestate.Entry) {
	c.decide(Decision{Action: Propose, Request: c.addPending(request), Entry: entry})
}

func (c *Client) addPending(request pendingRequest) (number uint64) {
	c.latestRequest++
	c.pending[c.latestRequest] = request
	return c.latestRequest
}

func (c *Client) decide(decision Decision) { c.decisions = append(c.decisions, decision) }

// retryLater puts something off that brought no answer.
func (c *Client) retryLater(b *backoff) { b.scheduleRetry(c.now, c.settings.SessionTimeout, &c.rng) }

// removePending ends a request; false: there is none of this number.
func (c *Client) removePending(number uint64) (pendingRequest, bool) {
	request, found := c.pending[number]
	delete(c.pending, number)
	return request, found
}

// Answered takes in the coordinator's answer to a request.
func (c *Client) Answered(number uint64, result leasestate.Result) {
	request, found := c.removePending(number)
	if !found {
		return
	}
	if result.Refusal == leasestate.RefusedNoSession && request.kind != leasestate.OpenSession {
		c.sessionLost()
		return
	}
	switch request.kind {
	case leasestate.OpenSession:
		c.handleOpenSessionResponse(result)
	case leasestate.KeepAlive:
		c.heartbeatAcknowledged()
	case leasestate.AcquireLease:
		c.handleAcquireResponse(request, result)
	case leasestate.CloseSession:
		c.shutdownComplete = true
	case tokenQuery:
		c.handleTokens(request.leases, nil) // an answer that has no tokens
	}
}

// Failed says that a request brought no answer, or none that this build knows.
func (c *Client) Failed(number uint64) {
	request, found := c.removePending(number)
	if !found {
		return
	}
	switch request.kind {
	case leasestate.OpenSession:
		c.incarnation.outcomeUnknown = true
		c.retryLater(&c.opening)
	case leasestate.KeepAlive:
		c.retryLater(&c.heartbeat)
	case leasestate.CloseSession:
		c.shutdownComplete = true // the session's timeout will end it
	case tokenQuery:
		c.handleTokens(request.leases, nil)
	}
}
