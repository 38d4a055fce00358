// Package connpool decides which connection to a member a request gets, when connections are opened, kept and closed, and which
// requests wait for one. It enforces connection limits: in total, per member and per pool.
//
// The pool is a state machine without I/O or a clock. Its driver, internal/backend, calls Advance with the current time, then the
// inputs, which only update state, then Next until there are no more decisions. It does so again at NextDeadline at the latest.
// Times are Unix milliseconds. The pool assigns connection IDs; the driver assigns request IDs. The pool does not choose the member:
// package router does so before a request gets here.
package connpool

import (
	"math"
	"slices"

	"wayloft/internal/decide/random"
	"wayloft/internal/decide/timerqueue"
)

// Pool holds the state of all connections from one router to its members.
type Pool struct {
	settings   Settings
	now        float64
	random     random.Source
	lastConnID int
	conns      map[int]*conn
	members    map[string]*memberState
	poolTotals map[string]int // number of connections by pool
	waiters    map[string]*waiter
	contended  []*subPool // sub-pools with waiters, longest contended first
	decisions  []Decision // not yet returned by Next

	assignmentDue bool // the state has changed, so waiters may be served
	nextSweepAt   float64

	// A sweep visits only members and connections that have changed or are due, so that its cost does not grow with the number of
	// idle ones.
	dirty                   []*memberState // changed since the last sweep
	memberTimers            timerqueue.Queue[*memberState]
	idleInTransactionTimers timerqueue.Queue[*conn]
	sweepVisits             int // total number of members and connections visited
}

// New returns a pool without members or connections.
func New(settings Settings) *Pool {
	return &Pool{
		settings:   settings,
		random:     random.Source{Seed: settings.Seed},
		conns:      map[int]*conn{},
		members:    map[string]*memberState{},
		poolTotals: map[string]int{},
		waiters:    map[string]*waiter{},
	}
}

// Advance sets the current time. All inputs and decisions until the next call happen at this time.
func (p *Pool) Advance(now float64) { p.now, p.assignmentDue = now, true }

// NextDeadline returns the earliest time at which Next may have decisions without further input. After an input, this may be as
// early as NextSweep.
func (p *Pool) NextDeadline() float64 {
	if len(p.dirty) > 0 || len(p.contended) > 0 {
		return p.nextSweepAt
	}
	deadline := math.Inf(1)
	if timer := p.memberTimers.First(); timer != nil {
		deadline = timer.Deadline()
	}
	if timer := p.idleInTransactionTimers.First(); timer != nil {
		deadline = math.Min(deadline, timer.Deadline())
	}
	return math.Max(deadline, p.nextSweepAt)
}

// NextSweep returns the earliest time of the next sweep.
func (p *Pool) NextSweep() float64 { return p.nextSweepAt }

// Next returns the next decision, or false if there is none.
func (p *Pool) Next() (Decision, bool) {
	if p.now >= p.nextSweepAt {
		p.sweep()
	}
	if len(p.decisions) > 0 {
		return p.popDecision(), true
	}
	if !p.assignmentDue {
		return Decision{}, false
	}
	p.assignmentDue = false
	for _, sub := range slices.Clone(p.contended) {
		p.serveWaiters(sub)
	}
	if len(p.decisions) == 0 {
		return Decision{}, false
	}
	p.assignmentDue = true // a connection closed above may make room for another waiter
	return p.popDecision(), true
}

func (p *Pool) emit(d Decision) { p.decisions = append(p.decisions, d) }

func (p *Pool) popDecision() Decision {
	d := p.decisions[0]
	if p.decisions = p.decisions[1:]; len(p.decisions) == 0 {
		p.decisions = nil
	}
	return d
}

// ConnectionCount returns the number of connections, including those being opened.
func (p *Pool) ConnectionCount() int { return len(p.conns) }

// WaitingCount returns the number of requests waiting for a connection.
func (p *Pool) WaitingCount() int { return len(p.waiters) }

// IdleCount returns the number of idle connections to a member.
func (p *Pool) IdleCount(memberID string) (count int) {
	m := p.members[memberID]
	if m == nil {
		return 0
	}
	for _, sub := range m.subPools {
		count += len(sub.idle)
	}
	return count
}
