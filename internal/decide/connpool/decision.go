package connpool

// Key identifies a sub-pool. Connections with the same key are interchangeable.
type Key struct{ Member, Pool string }

// Request is a request for a connection, made for an attempt or a health check.
type Request struct {
	ID       string
	Key      Key
	Tenant   string
	Affinity any // prefers connections released with an equal value; must be comparable
}

// Action is what a Decision asks the driver to do.
type Action int

const (
	// Open asks to open a connection with the ID Conn. RequestID is the request it is opened for, if any.
	Open Action = iota
	// Assign asks to assign the connection Conn to the request RequestID.
	Assign
	// Close asks to close the connection Conn.
	Close
	// Reject asks to reject the request RequestID.
	Reject
	// CloseIdleInTransaction asks to end the session of the client that has held Conn without sending anything for longer than the
	// idle-in-transaction timeout.
	CloseIdleInTransaction
)

// RejectReason is why a request got no connection.
type RejectReason int

const (
	// NoCapacity means that the router may not open a connection. It does not indicate a fault of the member.
	NoCapacity RejectReason = iota
	// WaitTimedOut means that the request has waited for the WaitTimeoutMs of its pool.
	WaitTimedOut
	// ConnectFailed means that the connection opened for the request could not be established.
	ConnectFailed
)

// FailureCause is why a connection could not be established.
type FailureCause int

const (
	// Unreachable means that the member could not be reached or rejected the login.
	Unreachable FailureCause = iota
	// TooManyConnections means that the member has reached its own connection limit.
	TooManyConnections
	// NoLocalResources means that this host lacked a file descriptor, port, memory or a route. It does not indicate a fault of the
	// member.
	NoLocalResources
)

// Decision is an action for the driver to perform. Only the fields that apply to the action are set.
type Decision struct {
	Action    Action
	Conn      int
	Key       Key
	RequestID string
	Reason    RejectReason
	Unsettled bool // for Assign: the reuse delay has not passed, so more of the last response may still arrive
}
