package connpool

const (
	reuseDelayMs         = 2.0 // anything that a member sends after a response has arrived by then
	maxConcurrentCancels = 4   // per member
	idleTimeoutFraction  = 0.75
)

// Bounds are the limits of one pool. 0 means no limit unless noted otherwise.
type Bounds struct {
	PerMember                  int     // maximum number of connections to one member
	Total                      int     // maximum number of connections to all members together
	MinIdle                    int     // number of connections kept open to each listed member
	WaitTimeoutMs              float64 // how long a request waits; 0: it is rejected if no connection is idle or may be opened
	IdleTimeoutMs              float64 // after this time, an idle connection is closed
	MaxAgeMs                   float64 // after this time, a connection is not reused
	MaxUses                    int     // after this many uses, a connection is not reused
	ReuseDelayMs               float64 // minimum time between two uses of a connection if another connection is available
	IdleInTransactionTimeoutMs float64 // how long a client may hold a connection without sending anything
}

// StatementBounds returns the bounds of a pool whose requests are single statements. They do not wait, because a request that gets
// no connection can be sent to another member. Members close connections that are idle for serverIdleTimeoutMs; the pool closes
// them earlier. The two bounds that are set hold for any pool unless its configuration says otherwise.
func StatementBounds(serverIdleTimeoutMs float64) Bounds {
	return Bounds{IdleTimeoutMs: idleTimeoutFraction * serverIdleTimeoutMs, ReuseDelayMs: reuseDelayMs}
}

// CancelBounds returns the bounds of the pool for cancel requests. A connection carries only one of them.
func CancelBounds(waitTimeoutMs float64) Bounds {
	return Bounds{PerMember: maxConcurrentCancels, WaitTimeoutMs: waitTimeoutMs, MaxUses: 1}
}

// Settings are the settings of a Pool, fixed for its lifetime. The driver chooses the pool names.
type Settings struct {
	MaxTotal     int // maximum number of connections in total
	MaxPerMember int // maximum number of connections to one member across all pools; 0 means no limit
	Seed         uint64
	Pools        map[string]Bounds
}
