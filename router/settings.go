package router

// RetryEffect is the effect that retrying a request has.
type RetryEffect int

// Effects of a retry.
const (
	Idempotent        RetryEffect = iota // a retry is harmless
	IdempotentWithKey                    // a retry is harmless while the members remember the request's idempotency key
	NonIdempotent                        // the request may run twice
)

// ConsistencyLevel is the consistency level that a request requires; it determines which members may serve it.
type ConsistencyLevel int

// Consistency levels.
const (
	Any     ConsistencyLevel = iota // any member
	Bounded                         // a member whose data is no older than the staleness bound
	Session                         // a member that has the last commit of the client session
	Fresh                           // the primary
	Write                           // the primary
)

// IdempotencyScope determines which members recognize the retry of a request that has an idempotency key.
type IdempotencyScope int

// Scopes of an idempotency key.
const (
	ScopeAll   IdempotencyScope = iota // all members
	ScopeZone                          // the members of the zone in which the first attempt ran
	ScopeGroup                         // the members of the group
)

// LagBehavior determines how a member handles a read for which its replication lag is too large.
type LagBehavior int

// How a lagging member handles a read.
const (
	LagServes  LagBehavior = iota // responds with the data it has
	LagRejects                    // rejects the read as misrouted
	LagWaits                      // waits until it has applied the position
)

// Settings is the configuration of a Router. Times are in ms. UpdateSettings can later change only Tenants,
// OverQuotaWeight and the weights of request classes.
type Settings struct {
	Routers              int     // number of routers that share the members
	Zone                 string  // zone of this router
	PollsEndpointList    bool    // the endpoint list is only sent on request
	ListPollTimeout      float64 // the list must be requested at least this often
	SoftRemoval          bool    // members that are removed or missing from the list may still be used
	SlowStartFloor       float64 // share of its normal work that a member can do right after its start
	SlowStartDuration    float64 // time after a start until a member can do all of its normal work
	OverloadMultiple     float64 // a member in slow start may be sent this multiple of the work it can do
	OverloadWindow       float64 // window over which OverloadMultiple applies
	MaxAttempts          int     // per request
	CanHealthCheck       bool
	CanCancel            bool    // attempts can be canceled
	RetryAfter           float64 // longest retry-after that clients honor; 0 where none may be sent
	LagBehavior          LagBehavior
	ClientsMarkRetries   bool // clients mark their retries
	TracksSessionCommits bool // the router itself keeps the last commit of each client session
	OverQuotaWeight      float64
	RequestClasses       map[string]*RequestClass
	Tenants              map[string]float64 // quota of each tenant in requests per second, over all routers
}

// RequestClass holds the settings of one request class. Times are in ms.
type RequestClass struct {
	LatencyObjective  float64 // a response within it earns the full weight
	Deadline          float64 // from the original request on, over all retries by the client
	PriorityWeight    float64
	LateWeightShare   float64 // share of the weight that a response after the latency objective still earns
	Effect            RetryEffect
	Scope             IdempotencyScope
	IdempotencyWindow float64 // how long the members remember an idempotency key
	Level             ConsistencyLevel
	StalenessBound    float64 // for the level Bounded
}
