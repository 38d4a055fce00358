package connpool

const (
	reuseDelayMs         = 2.0 // within which what a member still sends behind a response has arrived
	maxConcurrentCancels = 4   // to one member
	idleTimeoutFraction  = 0.75
)

// Bounds are the limits of one pool. 0 stands for no limit, unless a field says otherwise.
type Bounds struct {
	PerMember                  int     // connections to one member
	Total                      int     // connections to all members together
	MinIdle                    int     // connections kept open to each listed member
	WaitTimeoutMs              float64 // how long a request waits; 0: it is rejected where no connection is idle or may be opened
	IdleTimeoutMs              float64 // after which an idle connection is closed
	MaxAgeMs                   float64 // after which a connection is not reused
	MaxUses                    int     // after which a connection is not reused
	ReuseDelayMs               float64 // between two uses of a connection, where another one is available
	IdleInTransactionTimeoutMs float64 // how long a client may hold a connection without sending anything
}

// StatementBounds returns the bounds of a pool whose requests are one statement each. None of them waits, since a request that
// gets no connection can be sent to another member. serverIdleTimeoutMs is when a member closes an idle connection; the pool
// closes it before that.
func StatementBounds(serverIdleTimeoutMs float64) Bounds {
	return Bounds{IdleTimeoutMs: idleTimeoutFraction * serverIdleTimeoutMs, ReuseDelayMs: reuseDelayMs}
}

// CancelBounds returns the bounds of the pool for cancel requests. Each uses up its connection.
func CancelBounds(waitTimeoutMs float64) Bounds {
	return Bounds{PerMember: maxConcurrentCancels, WaitTimeoutMs: waitTimeoutMs, MaxUses: 1}
}

// Settings are fixed for the lifetime of a Pool. The driver chooses the names of the pools.
type Settings struct {
	MaxTotal     int // connections in all
	MaxPerMember int // connections to one member, over all pools; 0 for no limit
	Seed         uint64
	Pools        map[string]Bounds
}
