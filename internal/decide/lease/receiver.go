package lease

import "wayloft/internal/invariant"

// Scope is what acts of one lease are about: one group, say. Each has a memory of its own.
type Scope struct{ Lease, Subject string }

// Verdict is what a receiver makes of an act.
type Verdict int

const (
	Accepted    Verdict = iota
	Stale               // a higher fencing token has been seen, which goes into the answer
	NotLearned          // this receiver has yet to hear from the coordinator which fencing token is in force, and takes nothing
	Conflicting         // the same fencing token from two holders: a promise is broken, and nothing more is taken under it
)

// Receiver remembers, for each scope, the highest fencing token that it has seen. It begins knowing nothing and takes no act of
// a lease until Learned says where the lease's fencing tokens stand: what it saw before it restarted may have been higher.
type Receiver struct {
	learned        map[string]Token           // by lease
	seen           map[string]map[string]seen // by lease and what the act was about
	Rejected       int                        // acts refused for their fencing token, since the start
	ScopesExamined int                        // scopes gone over for what is known of a lease, since the start
}

type seen struct {
	fence  Token
	holder string
	broken bool
}

// NewReceiver makes one that takes nothing yet.
func NewReceiver() *Receiver {
	return &Receiver{learned: map[string]Token{}, seen: map[string]map[string]seen{}}
}

// TokenLearned says which fencing token the coordinator knows to be the latest granted of a lease. It never lowers what is known.
func (r *Receiver) TokenLearned(duty string, fence Token) {
	if known, ok := r.learned[duty]; !ok || fence.Compare(known) > 0 {
		r.learned[duty] = fence
	}
}

// Forget drops what is kept of a lease that the fleet no longer has; until it is learned again nothing of it is taken.
func (r *Receiver) Forget(duty string) {
	delete(r.learned, duty)
	delete(r.seen, duty)
}

// CloseScope drops what is kept of a scope that is gone; the lease's own fencing token still holds for it.
func (r *Receiver) CloseScope(s Scope) {
	if was, ok := r.seen[s.Lease][s.Subject]; ok {
		if delete(r.seen[s.Lease], s.Subject); len(r.seen[s.Lease]) == 0 {
			delete(r.seen, s.Lease)
		}
		r.TokenLearned(s.Lease, was.fence)
	}
}

// Check judges an act. highest is the fencing token to answer with where it is Old.
func (r *Receiver) Check(s Scope, holder string, fence Token) (v Verdict, highest Token) {
	least, known := r.learned[s.Lease]
	if !known {
		return NotLearned, Token{}
	}
	was := r.seen[s.Lease][s.Subject]
	if highest = least; was.fence.Compare(least) > 0 {
		highest = was.fence
	}
	if fence.Compare(highest) < 0 {
		r.Rejected++
		return Stale, highest
	}
	if fence == was.fence && was.holder != "" && was.holder != holder {
		invariant.Check(false, "one fence, one holder")
		was.broken = true
	}
	if was.broken && fence == was.fence {
		r.see(s, was)
		return Conflicting, highest
	}
	r.see(s, seen{fence: fence, holder: holder})
	return Accepted, fence
}

func (r *Receiver) see(s Scope, what seen) {
	if r.seen[s.Lease] == nil {
		r.seen[s.Lease] = map[string]seen{}
	}
	r.seen[s.Lease][s.Subject] = what
}

// Learned tells whether anything of a lease may be taken yet.
func (r *Receiver) Learned(duty string) bool { _, known := r.learned[duty]; return known }

// Highest is the highest fencing token known of a lease, over all its scopes, and who acted under it, if somebody did; a coordinator that
// knows a lower one, or another holder, must not grant it.
func (r *Receiver) Highest(duty string) (highest Token, holder string) {
	highest = r.learned[duty]
	for _, was := range r.seen[duty] {
		if r.ScopesExamined++; was.fence.Compare(highest) >= 0 {
			highest, holder = was.fence, was.holder
		}
	}
	return highest, holder
}
