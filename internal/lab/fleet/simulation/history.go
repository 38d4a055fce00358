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

// leaseHistory is what the history says of a lease so far: the highest fencing token that an answer told, and whose it is, if that is known.
type leaseHistory struct {
	token  lease.Token
	holder string
}

// leaseModel says which answers may follow each other, if each takes effect at one moment between its request and its answer: no
// fencing token is lower than one told before, and one fencing token has one holder. That grants end by time is not in the history.
var leaseModel = porcupine.Model{
	Init: func() any { return leaseHistory{} },
	Step: func(state, in, out any) (bool, any) {
		was, op := state.(leaseHistory), out.(Operation)
		if op.Token.Compare(was.token) < 0 {
			return false, was
		}
		next := was
		if op.Token.Compare(was.token) > 0 {
			next = leaseHistory{token: op.Token}
		}
		if op.Held {
			if next.holder != "" && next.holder != op.Session {
				return false, was
			}
			next.holder = op.Session
		}
		return true, next
	},
	Equal: func(a, b any) bool { return a == b },
}

// maxOperationsPerLease are the answers looked at of one lease, the first ones: what follows them can't make them wrong, and the search grows
// faster than the history.
const maxOperationsPerLease = 400

// Linear checks that what the coordinator answered could have been answered by one process, one request after the other.
func Linear(ops []Operation) (wrong []string) {
	by := map[string][]porcupine.Operation{}
	for _, op := range ops {
		if op.EndedMs < 0 || !op.Held && op.Token == (lease.Token{}) { // unanswered, or refused before the lease was looked at
			continue
		}
		if len(by[op.Lease]) >= maxOperationsPerLease {
			continue
		}
		by[op.Lease] = append(by[op.Lease], porcupine.Operation{ClientId: op.Client, Input: op, Call: int64(op.StartedMs * 1e6),
			Output: op, Return: int64(math.Max(op.EndedMs, op.StartedMs) * 1e6)})
	}
	for _, d := range slices.Sorted(maps.Keys(by)) {
		switch porcupine.CheckOperationsTimeout(leaseModel, by[d], 10*time.Second) {
		case porcupine.Illegal:
			wrong = append(wrong, fmt.Sprintf("history of %s: its %d answers can't be put in an order", d, len(by[d])))
		case porcupine.Unknown:
			wrong = append(wrong, fmt.Sprintf("history of %s: not decided in 10 s", d))
		}
	}
	return wrong
}
