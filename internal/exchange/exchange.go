// Package exchange is where the two sides meet: one txn, what its client said, until when it waits, and its one
// final answer. It owns the rule that there is exactly one; it must never know a socket of either side.
package exchange

import (
	"wayloft/internal/must"
	"wayloft/internal/pg"
)

// Answer is how a txn ended.
type Answer struct {
	Committed []byte    // what a member answered, whole and byte for byte; nil where it was not committed
	Fault     *pg.Error // what is wrong with the statement itself
	Declined  bool      // else rolled back
	Wait      float64
}

// Txn is one txn on its way.
type Txn struct {
	*pg.Statement
	Arrived, Expiry float64 // ms; Arrived: when its last byte came, which may be before its turn
	Talk            *Talk   // of a txn that takes more than one question; else nil

	// ClientClosed asks the system whether the client's connection has ended; nil: nothing can be asked.
	ClientClosed func() bool

	over    bool
	deliver func(Answer)
}

// New takes a txn in; deliver is called once, unless its client leaves first.
func New(s *pg.Statement, arrived float64, deliver func(Answer)) *Txn {
	return &Txn{Statement: s, Arrived: arrived, Expiry: arrived + s.Wait, deliver: deliver}
}

// Cap limits the time that the client may wait. Guards against txns that are held for as long as a client likes.
func (t *Txn) Cap(most float64) {
	t.Wait = min(t.Wait, most)
	t.Expiry = t.Arrived + t.Wait
}

// Over tells whether nothing is owed any more.
func (t *Txn) Over() bool { return t.over }

// Abandoned tells that no attempt may begin any more, asked right before one is written: nothing is owed, or the client
// has closed its connection, whether or not the loop has heard of that. Guards against an attempt for a client
// that left while the router was held up, or behind the batch of events in which the attempt was decided.
func (t *Txn) Abandoned() bool {
	return t.over || t.ClientClosed != nil && t.ClientClosed()
}

func (t *Txn) finish(a Answer) {
	must.Hold(!t.over, "one final answer for a txn")
	if !t.over {
		t.over = true
		t.deliver(a)
	}
}

// Commit passes on what a member answered; of a talk the client has heard it already.
func (t *Txn) Commit(rows []byte) {
	if t.Talk != nil {
		rows = []byte{}
	}
	t.finish(Answer{Committed: rows})
}

// Decline says that trying again is harmless, after so many ms if that is more than 0.
func (t *Txn) Decline(wait float64) { t.finish(Answer{Declined: true, Wait: wait}) }

// Reject says what is wrong with the statement itself; it did not take effect.
func (t *Txn) Reject(e *pg.Error) { t.finish(Answer{Fault: e}) }

// RollBack promises nothing.
func (t *Txn) RollBack() { t.finish(Answer{}) }

// Leave says that the client has gone away; it reports whether an answer was still owed.
func (t *Txn) Leave() bool {
	owed := !t.over
	t.over = true
	return owed
}
