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

// maxTracked bounds the sessions, the leases and the token queries that a client keeps, each: twice the coordinator's own limit.
const maxTracked = 20000

// Settings configure a client and don't change. Times are ms.
type Settings struct {
	Name, Role, Address          string   // of the process; Address receives orders from lease holders
	Incarnation                  uint64   // Unix ms of the process's start, by the wall clock
	SessionTimeout, SafetyMargin float64  // SafetyMargin is how long before a lease ends its holder stops acting
	Leases                       []string // requested from the start
	Seed                         uint64   // of the random numbers for jitter
}

// Action is the kind of a decision.
type Action int

// Actions that the driver of a client carries out.
const (
	Propose     Action = iota // propose Entry to the coordinator, as request number Request
	QueryTokens               // query the coordinator for the latest tokens of Leases, as request Request; TokensLearned takes the response
	Start                     // this process holds Lease, under Token
	Stop                      // it no longer holds Lease: nothing more may be sent under Token
)

// Decision is one action for the driver; only the fields that its Action uses are set.
type Decision struct {
	Action  Action
	Request uint64
	Entry   leasestate.Entry
	Lease   string
	Leases  []string
	Token   lease.Token
}

// pendingRequest is a request to the coordinator without a response yet.
type pendingRequest struct {
	kind          leasestate.Kind // of the proposed entry, or tokenQuery
	lease         string          // of an AcquireLease entry
	holderRequest uint64          // number that the lease's Holder gave to an AcquireLease request
	leases        []string        // of a token query
}

// tokenQuery is the kind of a request that proposes no entry.
const tokenQuery leasestate.Kind = ""

// Client manages one process's session and leases, and checks orders from lease holders. It isn't safe for concurrent use.
type Client struct {
	settings  Settings
	started   bool // Advance has been called
	startedAt float64
	now       float64
	rng       random.Source
	decisions []Decision // not yet returned by Next

	latestRequest uint64
	pending       map[uint64]pendingRequest // by request number

	incarnation      incarnation
	sessionOpen      bool
	opening          backoff // of the request to open a session
	heartbeat        backoff
	shuttingDown     bool
	shutdownComplete bool

	appliedPolicy   uint64 // number of the policy version that this process has applied
	rejectedPolicy  uint64 // number of one that it couldn't apply
	rejectionReason string

	holders    map[string]*holder // by lease
	deadlines  timerqueue.Queue[*holder]
	candidates map[string]float64 // when to begin requesting a lease, by lease

	receiver     *lease.Receiver
	tokenQueries map[string]*backoff // by lease whose token the receiver hasn't learned yet
	reportedAt   map[string]float64  // when a higher token was last reported to the coordinator, by lease

	sessions         map[string]Session // as last reported by the watch, by name
	leases           map[string]Lease
	sessionsComplete bool

	holdersAdvanced int // how often a holder was advanced because its timer was due

	SessionsReopened   int // how often the coordinator had ended the session, which is then opened again
	RejectedOperations int // orders and switchover steps rejected for a stale fencing token
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

// Advance sets the current time for all calls until the next Advance.
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

// Next returns the next decision, or false if none is left. After each input the driver must call it until it returns false.
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

// decideDueRequests decides the request of the session that is due, or else a token query.
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

// NextDeadline returns the latest time of the next call of Advance; +Inf: no timer is pending.
func (c *Client) NextDeadline() float64 {
	deadline := math.Min(c.opening.dueAt, c.heartbeat.dueAt)
	if first := c.deadlines.First(); first != nil {
		deadline = math.Min(deadline, first.Deadline())
	}
	for _, requestAt := range c.candidates {
		deadline = math.Min(deadline, requestAt)
	}
	for _, query := range c.tokenQueries {
		deadline = math.Min(deadline, query.dueAt)
	}
	return deadline
}

// WithSession returns an entry with the name and incarnation of this process's session.
func (c *Client) WithSession(entry leasestate.Entry) leasestate.Entry {
	entry.Session, entry.Incarnation = c.settings.Name, c.incarnation.current
	return entry
}

// propose decides to propose an entry for this process's session.
func (c *Client) propose(entry leasestate.Entry) {
	c.proposeRequest(pendingRequest{kind: entry.Kind}, c.WithSession(entry))
}

// proposeRequest decides to propose an entry as it is, and keeps request until the response arrives.
func (c *Client) proposeRequest(request pendingRequest, entry leasestate.Entry) {
	c.decide(Decision{Action: Propose, Request: c.addPending(request), Entry: entry})
}

func (c *Client) addPending(request pendingRequest) (number uint64) {
	c.latestRequest++
	c.pending[c.latestRequest] = request
	return c.latestRequest
}

func (c *Client) decide(decision Decision) { c.decisions = append(c.decisions, decision) }

// retryLater schedules the next attempt of a request that got no response.
func (c *Client) retryLater(b *backoff) { b.scheduleRetry(c.now, c.settings.SessionTimeout, &c.rng) }

// removePending removes and returns a pending request; false: there is none with this number.
func (c *Client) removePending(number uint64) (pendingRequest, bool) {
	request, found := c.pending[number]
	delete(c.pending, number)
	return request, found
}

// ResponseReceived handles the coordinator's response to a request.
func (c *Client) ResponseReceived(number uint64, result leasestate.Result) {
	request, found := c.removePending(number)
	if !found {
		return
	}
	if result.Rejection == leasestate.RejectedNoSession && request.kind != leasestate.OpenSession {
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
		c.handleTokens(request.leases, nil) // the response has no tokens
	}
}

// RequestFailed records that a request got no response, or none that this build understands.
func (c *Client) RequestFailed(number uint64) {
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
		c.shutdownComplete = true // the session will expire
	case tokenQuery:
		c.handleTokens(request.leases, nil)
	}
}
