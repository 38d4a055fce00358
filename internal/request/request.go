// Package request holds one client request from its arrival to its final response. It is the only place where the
// frontend (client sessions) and the backend (member connections) meet, and it guarantees that a request gets at most
// one final response. It uses no sockets. Nothing here is safe for concurrent use: all of it belongs to the event loop.
package request

import (
	"wayloft/internal/invariant"
	"wayloft/internal/pg"
)

// Response is the final response to a request. It succeeded if Rows is not nil. Otherwise StatementError, if set, says what is
// wrong with the statement, Rejected says that it did not run, and a response with neither says that it may have run.
type Response struct {
	Rows           []byte    // the member's answer, complete and byte for byte
	StatementError *pg.Error // an error of the statement itself, which did not take effect
	Rejected       bool      // it did not run; a retry is harmless
	RetryAfter     float64   // ms until a rejected client may come back; 0: not told
}

// Request is one client request for which at most one final response is owed.
type Request struct {
	*pg.Statement
	Arrived  float64 // ms on the loop's clock: when its last byte came, which may be before it was read
	Deadline float64 // ms on the loop's clock
	Stream   *Stream // set for a request of several messages; else nil

	// ClientClosed asks the operating system whether the client's connection has ended; nil: it can't be asked.
	ClientClosed func() bool

	finished bool
	deliver  func(Response)
}

// New returns a request that arrived at this time, in ms on the loop's clock. deliver is called once with the final response,
// unless the client goes away first.
func New(statement *pg.Statement, arrived float64, deliver func(Response)) *Request {
	return &Request{Statement: statement, Arrived: arrived, Deadline: arrived + statement.WaitMs, deliver: deliver}
}

// LimitWait shortens the time that the client may wait to at most maxWait ms. It guards against requests that stay in memory
// for as long as a client asks for.
func (r *Request) LimitWait(maxWait float64) {
	r.WaitMs = min(r.WaitMs, maxWait)
	r.Deadline = r.Arrived + r.WaitMs
}

// Finished reports whether no response is owed any more.
func (r *Request) Finished() bool { return r.finished }

// Abandoned reports whether no attempt may begin any more: the request is finished, or its client has closed the connection.
// It asks the operating system, since the event loop may not have handled the end of the connection yet. It must be called
// right before an attempt is written. It guards against an attempt for a client that left while the router was busy, or while
// earlier events of the same batch were handled.
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

// Succeed finishes the request with the member's answer. The client of a stream has received the answer already: its
// response has Rows that are empty, but not nil.
func (r *Request) Succeed(rows []byte) {
	if r.Stream != nil {
		rows = []byte{}
	}
	r.finish(Response{Rows: rows})
}

// Reject finishes a request that did not run. retryAfter is in ms; 0 tells the client nothing.
func (r *Request) Reject(retryAfter float64) {
	r.finish(Response{Rejected: true, RetryAfter: retryAfter})
}

// StatementError finishes the request with an error of the statement itself, which did not take effect.
func (r *Request) StatementError(e *pg.Error) { r.finish(Response{StatementError: e}) }

// Fail finishes a request that may have run.
func (r *Request) Fail() { r.finish(Response{}) }

// ClientGone records that the client has gone away. It reports whether a response was still owed.
func (r *Request) ClientGone() bool {
	owed := !r.finished
	r.finished = true
	return owed
}
