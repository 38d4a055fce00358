package router

// Outcome tells how an attempt or a check ended.
type Outcome int

const (
	Succeeded Outcome = iota
	ServerError
	Overloaded
	TimedOut
	ConnectFailed
	Reset
	Canceled
	NotSent
	Misrouted
)

// Effect tells what a repeat of a request does.
type Effect int

const (
	Idempotent Effect = iota
	IdempotentWithKey
	NonIdempotent
)

// Level tells which members may take a request.
type Level int

const (
	Any Level = iota
	Bounded
	Session
	Fresh
	Write
)

// Scope tells which members discard the repeat of a referenced request.
type Scope int

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeGroup
)

// Lag tells what a member does with a read that it is too far behind for.
type Lag int

const (
	LagAnswers Lag = iota
	LagRefuses
	LagWaits
)

// Role is what an answer or a check says of the member that gave it.
type Role int

const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// State is what the list says of a member.
type State int

const (
	Up State = iota
	Draining
	Removed
)

// Settings are given at start; Revalue later takes others that differ in values and tenants alone. All times are
// milliseconds.
type Settings struct {
	Routers            int
	Zone               string
	PollsList          bool // the list comes only when asked for
	ListPollTimeout    float64
	SoftRemoval        bool
	SlowStartFloor     float64
	SlowStartDuration  float64
	OverloadMultiple   float64
	OverloadWindow     float64
	MaxAttempts        int // at most, for one request
	CanHealthCheck     bool
	CanCancel          bool
	RetryAfter         float64 // longest wait a client follows; 0 where none may be told
	Lag                Lag
	ClientsMarkRetries bool // clients mark the repeats of a request
	RemembersCommits   bool // session tokens are the router's own memory
	OverQuotaWeight    float64
	RequestClasses     map[string]*RequestClass
	Tenants            map[string]float64 // requests per second within the share, all routers together
}

type RequestClass struct {
	LatencyObjective  float64
	Deadline          float64 // over all tries of a client
	PriorityWeight    float64
	LateWeightShare   float64 // share of the value
	Effect            Effect
	Scope             Scope
	IdempotencyWindow float64
	Level             Level
	StalenessBound    float64
}

// Action tells what the host is to do.
type Action int

const (
	SendAttempt Action = iota
	CancelAttempt
	RejectRequest
	FailRequest
	HealthCheck
	RequestList
	CloseIdleConnections // the idle connections to a member
	SetTimer
)

// Decision is one thing for the host to do; only the fields of its verb are set.
type Decision struct {
	Action    Action
	RequestID string
	Member    string
	Attempt   int     // Revoke: which attempt
	Wait      float64 // Decline: when to come back; Submit: its time-out, 0 for none
	NotAfter  float64 // Submit: not written after this
	Time      float64 // Alarm
}
