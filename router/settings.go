package router

// Effect is what a retry of a request does.
type Effect int

// The effects of a retry.
const (
	Idempotent        Effect = iota // no harm
	IdempotentWithKey               // no harm while the members remember the request's idempotency key
	NonIdempotent                   // it may run twice
)

// Level is the consistency that a request needs; it tells which members may take it.
type Level int

// The consistency levels.
const (
	Any     Level = iota // any member
	Bounded              // a member whose data is no older than the staleness bound
	Session              // a member that has the last commit of the client's session
	Fresh                // the primary
	Write                // the primary
)

// Scope tells which members recognize the retry of a request that is idempotent with a key.
type Scope int

// The scopes of an idempotency key.
const (
	ScopeAll   Scope = iota // all members
	ScopeZone               // the members of the zone in which the first attempt ran
	ScopeGroup              // the members of the group
)

// Lag is what a member does with a read for which its replication lag is too large.
type Lag int

// The ways of a lagging member.
const (
	LagAnswers Lag = iota // answers with the data it has
	LagRefuses            // rejects the read as misrouted
	LagWaits              // waits until it has applied the position
)

// Settings are the configuration of a Router. Times are ms. UpdateSettings may later change Tenants, OverQuotaWeight and
// the weights of request classes, nothing else.
type Settings struct {
	Routers            int     // how many routers share the members
	Zone               string  // this router's zone
	PollsList          bool    // the list comes only when asked for
	ListPollTimeout    float64 // a list must be asked for at least this often
	SoftRemoval        bool    // members that are removed or missing from the list may still be used
	SlowStartFloor     float64 // share of its usual work that a member can do when it has just started
	SlowStartDuration  float64 // until it can do all of it
	OverloadMultiple   float64 // how many times what it can do a member in slow start may be sent
	OverloadWindow     float64 // the window over which that is counted
	MaxAttempts        int     // for one request
	CanHealthCheck     bool
	CanCancel          bool    // attempts can be given up
	RetryAfter         float64 // longest wait that a client follows; 0 where none may be told
	Lag                Lag
	ClientsMarkRetries bool // clients mark the retries of a request
	RemembersCommits   bool // session tokens are the router's own memory
	OverQuotaWeight    float64
	RequestClasses     map[string]*RequestClass
	Tenants            map[string]float64 // quota in requests per second, over all routers
}

// RequestClass is what the settings say of requests of one kind. Times are ms.
type RequestClass struct {
	LatencyObjective  float64 // a response within it earns the whole weight
	Deadline          float64 // over all tries of a client
	PriorityWeight    float64
	LateWeightShare   float64 // share of the weight that a response after the latency objective still earns
	Effect            Effect
	Scope             Scope
	IdempotencyWindow float64 // how long the members remember a key
	Level             Level
	StalenessBound    float64 // for Bounded
}
