// Package request represents a client request from its arrival to its final response. It is the only package through which
// the frontend (client sessions) and the backend (member connections) interact, and it guarantees that a request gets at
// most one final response. It uses no sockets. Nothing here is safe for concurrent use: all of it runs on the event loop.
package request

import (
	"wayloft/internal/invariant"
	"wayloft/internal/pg"
)

// ErrPinLost ends a session whose requests need the primary, and whose reserved connection leads to a member that is not the primary any more.
var ErrPinLost = &pg.Error{Code: pg.AdminShutdown, Text: "the member that this session's connection leads to is not the primary any more"}

// Response is the final response to a request. The request succeeded if Rows is not nil. Otherwise StatementError, if set, is
// the error of the statement, and Rejected means that the request did not run. If neither is set, it may have run.
type Response struct {
	Rows           []byte    // the member's complete response, unchanged
	StatementError *pg.Error // an error of the statement itself, which had no effect
	Rejected       bool      // the request did not run; a retry is safe
	PinLost        bool      // rejected, since the member of the client's reserved connection can't serve such requests any more
	RetryAfter     float64   // ms after which a rejected client may retry; 0: not specified
}

// Request is one client request, which gets at most one final response.
type Request struct {
	*pg.Statement
	Arrived  float64 // ms on the event loop's clock: when its last byte arrived, which may be before it was read
	Deadline float64 // ms on the event loop's clock
	Stream   *Stream // set for a request of several messages, otherwise nil

	GeneratedID bool // the id is not the client's

	// ClientClosed asks the operating system whether the client has closed its connection; nil: the system can't be asked.
	ClientClosed func() bool

	finished bool
	deliver  func(Response)
}

// New returns a request that arrived at this time, in ms on the event loop's clock. deliver is called once with the final
// response, unless the client disconnects first.
func New(statement *pg.Statement, arrived float64, deliver func(Response)) *Request {
	return &Request{Statement: statement, Arrived: arrived, Deadline: arrived + statement.TimeoutMs, deliver: deliver}
}

// LimitWait reduces the request's timeout to at most maxWait ms. It guards against clients that keep requests in memory
// through long timeouts.
func (r *Request) LimitWait(maxWait float64) {
	r.TimeoutMs = min(r.TimeoutMs, maxWait)
	r.Deadline = r.Arrived + r.TimeoutMs
}

// Finished reports whether the request needs no response any more.
func (r *Request) Finished() bool { return r.finished }

// Abandoned reports whether no attempt may start any more: the request is finished, or its client has closed the connection.
// It asks the operating system, since the event loop may not have handled the end of the connection yet. It must be called
// right before an attempt is written. It guards against an attempt for a client that disconnected while the router was busy,
// or while earlier events of the same batch were handled.
func (r *Request) Abandoned() bool {
	return r.finished || r.ClientClosed != nil && r.ClientClosed()
}

func (r *Request) finish(response Response) {
	invariant.Check(!r.finished, "one final response for a request")
	if !r.finished {
		r.finished = true
		r.deliver(response)
	}
}

// Succeed finishes the request with the member's response. For a stream, whose client has already received it, Rows is empty
// but not nil.
func (r *Request) Succeed(rows []byte) {
	if r.Stream != nil {
		rows = []byte{}
	}
	r.finish(Response{Rows: rows})
}

// Reject finishes a request that did not run. retryAfter is in ms; 0: not specified.
func (r *Request) Reject(retryAfter float64) {
	r.finish(Response{Rejected: true, RetryAfter: retryAfter})
}

// RejectPinned finishes a request that did not run, and can't run on the connection that is reserved for its client.
func (r *Request) RejectPinned() { r.finish(Response{Rejected: true, PinLost: true}) }

// StatementError finishes the request with an error of the statement itself, which had no effect.
func (r *Request) StatementError(e *pg.Error) { r.finish(Response{StatementError: e}) }

// Fail finishes a request that may have run.
func (r *Request) Fail() { r.finish(Response{}) }

// ClientGone records that the client has disconnected. It reports whether the request still needed a response.
func (r *Request) ClientGone() bool {
	unfinished := !r.finished
	r.finished = true
	return unfinished
}
