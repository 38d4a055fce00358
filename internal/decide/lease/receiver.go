package lease

import "wayloft/internal/invariant"

// Scope is what the acts of a lease are about, a group for example. A receiver remembers tokens by scope.
type Scope struct{ Lease, Subject string }

// Verdict is a receiver's decision on an act.
type Verdict int

// Verdicts: an act is carried out only where it is Accepted.
const (
	Accepted    Verdict = iota
	Stale               // a higher token has been seen; it goes into the answer
	NotLearned          // the coordinator has not yet said which token is in force
	Conflicting         // the same token came from two holders: the fleet's state is broken, and nothing more is accepted under it
)

// Receiver remembers the highest fencing token that it has seen of each scope, and accepts no act under a lower one. It begins knowing
// nothing, and accepts no act of a lease before TokenLearned: what it saw before it restarted may have been higher. It isn't safe for
// concurrent use.
type Receiver struct {
	learned map[string]Token              // the latest token known to the coordinator, by lease
	seen    map[string]map[string]seenAct // the latest act accepted, by lease and subject

	Rejected       int // acts rejected for their token since the start
	ScopesExamined int // scopes gone over to find what is known of a lease, since the start
}

// seenAct is what a receiver remembers of a scope.
type seenAct struct {
	token       Token
	holder      string
	conflicting bool // two holders acted under the token
}

// NewReceiver returns a receiver that knows no token.
func NewReceiver() *Receiver {
	return &Receiver{learned: map[string]Token{}, seen: map[string]map[string]seenAct{}}
}

// TokenLearned says which token is the latest that the coordinator has granted of a lease. It never lowers what is known.
func (r *Receiver) TokenLearned(lease string, token Token) {
	if known, ok := r.learned[lease]; !ok || token.Compare(known) > 0 {
		r.learned[lease] = token
	}
}

// Forget drops what is known of a lease that the fleet no longer has; until it is learned again no act of it is accepted.
func (r *Receiver) Forget(lease string) {
	delete(r.learned, lease)
	delete(r.seen, lease)
}

// CloseScope drops the memory of a scope that is gone; its token still holds for the lease's other scopes.
func (r *Receiver) CloseScope(scope Scope) {
	subjects := r.seen[scope.Lease]
	last, found := subjects[scope.Subject]
	if !found {
		return
	}
	delete(subjects, scope.Subject)
	if len(subjects) == 0 {
		delete(r.seen, scope.Lease)
	}
	r.TokenLearned(scope.Lease, last.token)
}

// Check decides on an act of a holder under a token. It also returns the highest token known of the scope.
func (r *Receiver) Check(scope Scope, holder string, token Token) (verdict Verdict, highest Token) {
	highest, learned := r.learned[scope.Lease]
	if !learned {
		return NotLearned, Token{}
	}
	last := r.seen[scope.Lease][scope.Subject]
	if last.token.Compare(highest) > 0 {
		highest = last.token
	}
	if token.Compare(highest) < 0 {
		r.Rejected++
		return Stale, highest
	}
	if token == last.token && last.holder != "" && last.holder != holder {
		invariant.Check(false, "one fencing token, one holder")
		last.conflicting = true
	}
	if last.conflicting && token == last.token {
		r.remember(scope, last)
		return Conflicting, highest
	}
	r.remember(scope, seenAct{token: token, holder: holder})
	return Accepted, token
}

func (r *Receiver) remember(scope Scope, act seenAct) {
	if r.seen[scope.Lease] == nil {
		r.seen[scope.Lease] = map[string]seenAct{}
	}
	r.seen[scope.Lease][scope.Subject] = act
}

// Learned reports whether acts of a lease may be accepted yet.
func (r *Receiver) Learned(lease string) bool {
	_, learned := r.learned[lease]
	return learned
}

// Highest returns the highest token known of a lease, over all its scopes, and who acted under it, if somebody did. A coordinator that
// knows only a lower one, or another holder, must not grant the lease.
func (r *Receiver) Highest(lease string) (highest Token, holder string) {
	highest = r.learned[lease]
	for _, last := range r.seen[lease] {
		r.ScopesExamined++
		if last.token.Compare(highest) >= 0 {
			highest, holder = last.token, last.holder
		}
	}
	return highest, holder
}
