package switchover

import (
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// OrderState is the state that a process keeps for the lease of a group across orders, and across periods of holding it under the same
// fencing token: the rank of its latest step, which members store, and the last order that it ended. The zero value is the state of a process
// that has never held the lease.
type OrderState struct {
	token         lease.Token
	rank          uint64
	lastEnded     leasestate.Order // the last order that ended; Text is its outcome
	endUnreported bool             // the coordinator has yet to record the end of lastEnded
}

// BeginLease starts a period of holding the lease under a fencing token. It keeps the state if the token is the same as before, and resets
// it otherwise.
func (s *OrderState) BeginLease(token lease.Token) {
	if token != s.token {
		*s = OrderState{token: token}
	}
}

// StartOrder returns an Executor for the open order, or nil if there is none to execute. The coordinator node that reported the order may
// lag behind, so orders up to the last one that ended are ignored. It returns an *UnknownFormatError for an order or step of an unknown
// format, and ends that order.
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

// Update records the rank of the executor's latest step, and whether the order is over for this process: it has ended, or another process
// executes it.
func (s *OrderState) Update(executor *Executor, number uint64) {
	s.rank = max(s.rank, executor.rank)
	if executor.Finished() {
		s.lastEnded = leasestate.Order{Number: number, Text: executor.outcome}
		s.endUnreported = executor.outcome != ""
	}
}

// UnreportedEnd returns the last order that ended, and whether the coordinator has yet to record its end. Until then no other order can be
// placed.
func (s *OrderState) UnreportedEnd() (leasestate.Order, bool) { return s.lastEnded, s.endUnreported }

// EndReported records that the coordinator has recorded the end of an order.
func (s *OrderState) EndReported(number uint64) {
	s.endUnreported = s.endUnreported && s.lastEnded.Number != number
}

// NeedsNewToken reports whether the lease must be acquired under a new fencing token before another order is started, because too few ranks
// are left under the current one.
func (s *OrderState) NeedsNewToken() bool { return s.rank > 1<<RankBits-minFreeRanks }
