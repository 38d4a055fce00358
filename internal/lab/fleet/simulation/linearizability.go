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
	// maxOperationsPerLease is how many operations of a lease are checked, the first ones: later ones can't make them wrong, and
	// the search grows faster than the history.
	maxOperationsPerLease = 400
	linearizationTimeout  = 10 * time.Second
	nanosecondsPerMs      = 1e6
)

// leaseHistory is the state of leaseModel: the highest fencing token of a lease so far, and its holder; empty: not known.
type leaseHistory struct {
	token  lease.Token
	holder string
}

// leaseModel says which responses may follow each other, if each takes effect at one moment between its request and its
// response: tokens never fall, and a token has one holder. It doesn't know that leases expire.
var leaseModel = porcupine.Model{
	Init:  func() any { return leaseHistory{} },
	Step:  func(state, _, output any) (bool, any) { return state.(leaseHistory).step(output.(Operation)) },
	Equal: func(a, b any) bool { return a == b },
}

// step reports whether an operation may come next, and what the state is after it.
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

// CheckLinearizable checks that a history of lease requests is linearizable: one process that handled one request after the other could have
// given the same responses. It returns what is wrong.
func CheckLinearizable(operations []Operation) (violations []string) {
	histories := historyByLease(operations)
	for _, name := range slices.Sorted(maps.Keys(histories)) {
		history := histories[name]
		switch porcupine.CheckOperationsTimeout(leaseModel, history, linearizationTimeout) {
		case porcupine.Illegal:
			violations = append(violations, fmt.Sprintf("history of %s: its %d operations are not linearizable", name, len(history)))
		case porcupine.Unknown:
			violations = append(violations, fmt.Sprintf("history of %s: not decided in %s", name, linearizationTimeout))
		}
	}
	return violations
}

func historyByLease(operations []Operation) map[string][]porcupine.Operation {
	histories := map[string][]porcupine.Operation{}
	for _, operation := range operations {
		unanswered := operation.EndedMs < 0
		refusedEarly := !operation.Held && operation.Token == (lease.Token{}) // before the coordinator looked at the lease
		if unanswered || refusedEarly || len(histories[operation.Lease]) >= maxOperationsPerLease {
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
