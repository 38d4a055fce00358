// Package request is where the two sides meet: one request, what its client said, until when it waits, and its one
// final answer. It owns the rule that there is exactly one; it must never know a socket of either side.
package request

import (
	"wayloft/internal/invariant"
	"wayloft/internal/pg"
)

// Response is how a request ended.
type Response struct {
	Rows           []byte    // what a member answered, whole and byte for byte; nil where it was not committed
	StatementError *pg.Error // what is wrong with the statement itself
	Rejected       bool      // else failed
	RetryAfter     float64
}

// Request is one request on its way.
type Request struct {
	*pg.Statement
	Arrived, Deadline float64 // ms; Arrived: when its last byte came, which may be before its turn
	Stream            *Stream // of a request that takes more than one question; else nil

	// ClientClosed asks the system whether the client's connection has ended; nil: nothing can be asked.
	ClientClosed func() bool

	finished bool
	deliver  func(Response)
}

// New takes a request in; deliver is called once, unless its client leaves first.
func New(s *pg.Statement, arrived float64, deliver func(Response)) *Request {
	return &Request{Statement: s, Arrived: arrived, Deadline: arrived + s.Wait, deliver: deliver}
}

// LimitWait limits the time that the client may wait. Guards against requests that are held for as long as a client likes.
func (t *Request) LimitWait(most float64) {
	t.Wait = min(t.Wait, most)
	t.Deadline = t.Arrived + t.Wait
}

// Finished tells whether nothing is owed any more.
func (t *Request) Finished() bool { return t.finished }

// Abandoned tells that no attempt may begin any more, asked right before one is written: nothing is owed, or the client
// has closed its connection, whether or not the loop has heard of that. Guards against an attempt for a client
// that left while the router was held up, or behind the batch of events in which the attempt was decided.
func (t *Request) Abandoned() bool {
	return t.finished || t.ClientClosed != nil && t.ClientClosed()
}

func (t *Request) finish(a Response) {
	invariant.Check(!t.finished, "one final answer for a txn")
	if !t.finished {
		t.finished = true
		t.deliver(a)
	}
}

// Succeed passes on what a member answered; of a talk the client has heard it already.
func (t *Request) Succeed(rows []byte) {
	if t.Stream != nil {
		rows = []byte{}
	}
	t.finish(Response{Rows: rows})
}

// Reject says that trying again is harmless, after so many ms if that is more than 0.
func (t *Request) Reject(wait float64) { t.finish(Response{Rejected: true, RetryAfter: wait}) }

// StatementError says what is wrong with the statement itself; it did not take effect.
func (t *Request) StatementError(e *pg.Error) { t.finish(Response{StatementError: e}) }

// Fail promises nothing.
func (t *Request) Fail() { t.finish(Response{}) }

// ClientGone says that the client has gone away; it reports whether an answer was still owed.
func (t *Request) ClientGone() bool {
	owed := !t.finished
	t.finished = true
	return owed
}
