package switchover

import (
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// OrderState is what a process remembers of a group's lease between orders, and between two spells of holding it under one fencing
// token: the rank that its steps have come to, which members remember, and the order that it ended last. The zero value is that of a
// process that has never held the lease.
type OrderState struct {
	token         lease.Token
	rank          uint64
	lastEnded     leasestate.Order // the order that ended last, and how
	endUnreported bool             // the coordinator has yet to record that
}

// BeginLease starts a spell of holding the lease under a fencing token; under the same token as before, the state goes on.
func (s *OrderState) BeginLease(token lease.Token) {
	if token != s.token {
		*s = OrderState{token: token}
	}
}

// StartOrder gives an Executor for the open order, or nil where there is none to carry out. The coordinator node that tells of it may
// lag: orders up to the last that ended are old. An order that this build doesn't know is an *UnknownFormError, and has ended.
func (s *OrderState) StartOrder(settings Settings, open leasestate.Order, steps []leasestate.Step, now float64) (*Executor, error) {
	if open.Number <= s.lastEnded.Number {
		return nil, nil
	}
	executor, err := NewExecutor(settings, open.Text, steps, s.rank, now)
	if err != nil {
		s.lastEnded, s.endUnreported = leasestate.Order{Number: open.Number, Text: err.Error()}, true
	}
	return executor, err
}

// Update takes in how far an executor's steps have come, and whether its order is over for this process: ended, or another's.
func (s *OrderState) Update(executor *Executor, number uint64) {
	s.rank = max(s.rank, executor.rank)
	if executor.Finished() {
		s.lastEnded = leasestate.Order{Number: number, Text: executor.outcome}
		s.endUnreported = executor.outcome != ""
	}
}

// UnreportedEnd gives the order whose end the coordinator has yet to record, if there is one: until then no other order
// can be given.
func (s *OrderState) UnreportedEnd() (leasestate.Order, bool) { return s.lastEnded, s.endUnreported }

// EndReported takes in that the coordinator has recorded the end of an order.
func (s *OrderState) EndReported(number uint64) {
	s.endUnreported = s.endUnreported && s.lastEnded.Number != number
}

// NeedsNewToken tells whether the lease must be acquired under another fencing token before another order is started: few ranks are left
// under this one.
func (s *OrderState) NeedsNewToken() bool { return s.rank > 1<<RankBits-minFreeRanks }
