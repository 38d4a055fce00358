package connpool

// Key names a sub-pool: connections of the same key are interchangeable.
type Key struct{ Member, Pool string }

// Request asks for a connection, for an attempt or a health check.
type Request struct {
	ID       string
	Key      Key
	Tenant   string
	Affinity any // connections released with an equal value are preferred; must be comparable
}

// Action is what a Decision asks the driver to do.
type Action int

const (
	// Open a connection that will be known as Conn. RequestID is the request it is opened for, if any.
	Open Action = iota
	// Assign the connection Conn to the request RequestID.
	Assign
	// Close the connection Conn.
	Close
	// Reject the request RequestID.
	Reject
	// CloseIdleInTransaction ends the session of the client that has held Conn for too long without sending anything.
	CloseIdleInTransaction
)

// RejectReason is why a request got no connection.
type RejectReason int

const (
	// NoCapacity means that no connection may be opened here. It says nothing about the member.
	NoCapacity RejectReason = iota
	// WaitTimedOut means that the request has waited for its pool's WaitTimeoutMs.
	WaitTimedOut
	// ConnectFailed means that the connection opened for the request could not be established.
	ConnectFailed
)

// FailureCause is why a connection could not be established.
type FailureCause int

const (
	// Unreachable means that the member could not be reached, or refused the login.
	Unreachable FailureCause = iota
	// TooManyConnections means that the member has reached its own connection limit.
	TooManyConnections
	// NoLocalResources means that this host lacked a descriptor, port, memory or route. It says nothing about the member.
	NoLocalResources
)

// Decision is one thing for the driver to do. Only the fields that its action names are set.
type Decision struct {
	Action    Action
	Conn      int
	Key       Key
	RequestID string
	Reason    RejectReason
	Unsettled bool // with Assign: the reuse delay has not passed, and more of the last response may still arrive
}
