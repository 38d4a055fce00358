package simulation

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"wayloft/internal/decide/lease"
)

const (
	// maxOperationsPerLease limits the check to the first operations of a lease. Later operations can't make a prefix of the history
	// wrong, and the cost of the search grows faster than the history.
	maxOperationsPerLease = 400
	linearizationTimeout  = 10 * time.Second
	nanosecondsPerMs      = 1e6
)

// leaseHistory is the state of leaseModel: the highest fencing token of a lease so far, and the holder of that token, empty if not known.
type leaseHistory struct {
	token  lease.Token
	holder string
}

// leaseModel is the sequential specification of a lease: tokens never decrease, and a token has one holder. It does not model lease
// expiry.
var leaseModel = porcupine.Model{
	Init:  func() any { return leaseHistory{} },
	Step:  func(state, _, output any) (bool, any) { return state.(leaseHistory).step(output.(Operation)) },
	Equal: func(a, b any) bool { return a == b },
}

// step reports whether an operation is allowed next, and returns the resulting state.
func (h leaseHistory) step(operation Operation) (bool, leaseHistory) {
	order := operation.Token.Compare(h.token)
	if order < 0 {
		return false, h
	}
	next := h
	if order > 0 {
		next = leaseHistory{token: operation.Token}
	}
	if !operation.Held {
		return true, next
	}
	if next.holder != "" && next.holder != operation.Session {
		return false, h
	}
	next.holder = operation.Session
	return true, next
}

// CheckLinearizable checks that a history of lease requests is linearizable: a single process that handled the requests one at a time
// could have given the same responses. It returns the violations.
func CheckLinearizable(operations []Operation) (violations []string) {
	histories := historyByLease(operations)
	for _, name := range slices.Sorted(maps.Keys(histories)) {
		history := histories[name]
		switch porcupine.CheckOperationsTimeout(leaseModel, history, linearizationTimeout) {
		case porcupine.Illegal:
			violations = append(violations, fmt.Sprintf("history of %s: its %d operations are not linearizable", name, len(history)))
		case porcupine.Unknown:
			violations = append(violations, fmt.Sprintf("history of %s: linearizability not decided within %s", name, linearizationTimeout))
		}
	}
	return violations
}

func historyByLease(operations []Operation) map[string][]porcupine.Operation {
	histories := map[string][]porcupine.Operation{}
	for _, operation := range operations {
		unanswered := operation.EndedMs < 0
		rejectedEarly := !operation.Held && operation.Token == (lease.Token{}) // rejected before the coordinator looked at the lease
		if unanswered || rejectedEarly || len(histories[operation.Lease]) >= maxOperationsPerLease {
			continue
		}
		histories[operation.Lease] = append(histories[operation.Lease], porcupine.Operation{
			ClientId: operation.Client,
			Input:    operation,
			Call:     int64(operation.StartedMs * nanosecondsPerMs),
			Output:   operation,
			Return:   int64(math.Max(operation.EndedMs, operation.StartedMs) * nanosecondsPerMs),
		})
	}
	return histories
}
