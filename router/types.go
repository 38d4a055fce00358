package router

// Outcome tells how a submission or a check ended.
type Outcome int

const (
	Committed Outcome = iota
	Errored
	Full
	TimedOut
	ConnectFailed
	Reset
	Revoked
	Moot
	Miss
)

// Effect tells what a repeat of a txn does.
type Effect int

const (
	Repeatable Effect = iota
	Referenced
	OnceOnly
)

// Level tells which members may take a txn.
type Level int

const (
	Any Level = iota
	Bounded
	Session
	Fresh
	Write
)

// Scope tells which members discard the repeat of a referenced txn.
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
	Unsaid Role = iota
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
	Routers        int
	Zone           string
	Ask            bool // the list comes only when asked for
	AskWithin      float64
	SoftRemoval    bool
	ColdFrom       float64
	WarmUp         float64
	FallMultiple   float64
	FallWindow     float64
	Submissions    int // at most, for one txn
	CanCheck       bool
	CanRevoke      bool
	RetryAfter     float64 // longest wait a client follows; 0 where none may be told
	Lag            Lag
	MarksRepeats   bool // clients mark the repeats of a txn
	Remembered     bool // session tokens are the router's own memory
	OverShareValue float64
	TxnTypes       map[string]*TxnType
	Tenants        map[string]float64 // txns per second within the share, all routers together
}

type TxnType struct {
	SLA       float64
	Expiry    float64 // over all tries of a client
	Value     float64
	LateValue float64 // share of the value
	Effect    Effect
	Scope     Scope
	Window    float64
	Level     Level
	Bound     float64
}

// Verb tells what the host is to do.
type Verb int

const (
	Submit Verb = iota
	Revoke
	Decline
	RollBack
	Check
	Watch
	Close // the idle connections to a member
	Alarm
)

// Decision is one thing for the host to do; only the fields of its verb are set.
type Decision struct {
	Verb   Verb
	Txn    string
	Member string
	Seq    int     // Revoke: which submission
	Wait   float64 // Decline: when to come back; Submit: its time-out, 0 for none
	By     float64 // Submit: not written after this
	At     float64 // Alarm
}
