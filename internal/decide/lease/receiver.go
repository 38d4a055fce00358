package lease

import "wayloft/internal/invariant"

// Scope identifies what operations under a lease affect, for example a group. A receiver tracks tokens by scope.
type Scope struct{ Lease, Subject string }

// Verdict is a receiver's decision on an operation.
type Verdict int

// Verdicts. An operation is carried out only if it is Accepted.
const (
	Accepted    Verdict = iota
	Stale               // a higher token has been seen; the response reports it
	NotLearned          // the coordinator hasn't reported yet which token is in force
	Conflicting         // two holders used the same token: the fleet's state is broken, and no more operations are accepted under it
)

// Receiver keeps the highest fencing token seen per scope, and accepts no operation under a lower one. It starts without any tokens, and
// accepts no operation under a lease before TokenLearned: before a restart it may have seen a higher token. It is not safe for concurrent
// use.
type Receiver struct {
	learned        map[string]Token                    // the latest token that the coordinator reported, by lease
	lastOperations map[string]map[string]lastOperation // the latest accepted operation, by lease and subject

	Rejected       int // number of operations rejected as Stale
	ScopesExamined int // number of scopes that Highest has examined
}

// lastOperation describes the latest operation accepted for a scope.
type lastOperation struct {
	token       Token
	holder      string
	conflicting bool // two holders have used the token
}

// NewReceiver returns a receiver without any tokens.
func NewReceiver() *Receiver {
	return &Receiver{learned: map[string]Token{}, lastOperations: map[string]map[string]lastOperation{}}
}

// TokenLearned records the token that the coordinator reports as the latest of a lease. It never lowers a token already known.
func (r *Receiver) TokenLearned(lease string, token Token) {
	if known, ok := r.learned[lease]; !ok || token.Compare(known) > 0 {
		r.learned[lease] = token
	}
}

// Forget drops all tokens of a lease that no longer exists. No operation under it is accepted until TokenLearned is called again.
func (r *Receiver) Forget(lease string) {
	delete(r.learned, lease)
	delete(r.lastOperations, lease)
}

// CloseScope drops a scope that no longer exists. Its highest token then applies to the whole lease.
func (r *Receiver) CloseScope(scope Scope) {
	subjects := r.lastOperations[scope.Lease]
	last, found := subjects[scope.Subject]
	if !found {
		return
	}
	delete(subjects, scope.Subject)
	if len(subjects) == 0 {
		delete(r.lastOperations, scope.Lease)
	}
	r.TokenLearned(scope.Lease, last.token)
}

// Check decides on a holder's operation under a token. It also returns the highest token known for the scope.
func (r *Receiver) Check(scope Scope, holder string, token Token) (verdict Verdict, highest Token) {
	highest, learned := r.learned[scope.Lease]
	if !learned {
		return NotLearned, Token{}
	}
	last := r.lastOperations[scope.Lease][scope.Subject]
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
		r.record(scope, last)
		return Conflicting, highest
	}
	r.record(scope, lastOperation{token: token, holder: holder})
	return Accepted, token
}

func (r *Receiver) record(scope Scope, operation lastOperation) {
	if r.lastOperations[scope.Lease] == nil {
		r.lastOperations[scope.Lease] = map[string]lastOperation{}
	}
	r.lastOperations[scope.Lease][scope.Subject] = operation
}

// Learned reports whether the token of a lease is known, so that operations under it can be accepted.
func (r *Receiver) Learned(lease string) bool {
	_, learned := r.learned[lease]
	return learned
}

// Highest returns the highest token known for a lease, over all its scopes, and the holder that used it, if any. A coordinator that
// knows only a lower token, or another holder, must not grant the lease.
func (r *Receiver) Highest(lease string) (highest Token, holder string) {
	highest = r.learned[lease]
	for _, last := range r.lastOperations[lease] {
		r.ScopesExamined++
		if last.token.Compare(highest) >= 0 {
			highest, holder = last.token, last.holder
		}
	}
	return highest, holder
}
