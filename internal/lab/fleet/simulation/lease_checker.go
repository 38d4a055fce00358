package simulation

import (
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// leaseKey names a grant: a lease under one fencing token.
type leaseKey struct {
	lease string
	token lease.Token
}

// receiverKey names a lease at one receiver.
type receiverKey struct{ receiver, lease string }

// leaseChecker remembers what happened to leases, whatever the processes forget.
type leaseChecker struct {
	highestAccepted map[receiverKey]lease.Token
	tokenHolders    map[leaseKey]string    // who acted under a grant
	grantedTo       map[leaseKey]string    // session that got a grant, as a leader applied it
	latestGranted   map[string]lease.Token // by lease
	activeHolder    map[string]string      // by lease: who acts, as it sees it
	unheldSinceMs   map[string]float64     // by lease: when the last holder stopped
}

func newLeaseChecker() leaseChecker {
	return leaseChecker{
		highestAccepted: map[receiverKey]lease.Token{},
		tokenHolders:    map[leaseKey]string{},
		grantedTo:       map[leaseKey]string{},
		latestGranted:   map[string]lease.Token{},
		activeHolder:    map[string]string{},
		unheldSinceMs:   map[string]float64{},
	}
}

// eventApplied records the grants among the events that a leader applies.
func (w *World) eventApplied(e leasestate.Event) {
	if e.Lease == "" || e.Session == "" || e.Ended {
		return
	}
	key := leaseKey{e.Lease, e.Token}
	if _, known := w.grantedTo[key]; known {
		return
	}
	w.grantedTo[key] = e.Session
	if e.Token.Compare(w.latestGranted[e.Lease]) > 0 {
		w.latestGranted[e.Lease] = e.Token
	}
	w.Grants++
}

// checkNotSuperseded checks that a holder which finds its lease valid has the latest grant. After all coordinators lost their
// state a lease is granted again while its former holder finds its grant valid: receivers reject its acts then.
func (w *World) checkNotSuperseded(p *Process, name string, token lease.Token) {
	latest := w.latestGranted[name]
	if latest.Compare(token) > 0 && w.Faults[coordinatorsWiped] == 0 {
		w.violation("%s finds that it may act for %s under %v, which %s was granted", p.Name, name, token, w.grantedTo[leaseKey{name, latest}])
	}
}

// checkAccepted checks an act that a receiver accepted against all that it ever accepted.
func (w *World) checkAccepted(receiver *Process, name, holder string, token lease.Token) {
	w.AcceptedCommands++
	at := receiverKey{receiver.Name, name}
	if token.Compare(w.highestAccepted[at]) < 0 {
		w.violation("%s accepted an act of %s for %s under %v after one under %v", receiver.Name, holder, name, token, w.highestAccepted[at])
	}
	w.highestAccepted[at] = token
	key := leaseKey{name, token}
	if other := w.tokenHolders[key]; other != "" && other != holder {
		w.violation("%s: %v is both %s's and %s's", name, token, other, holder)
	}
	w.tokenHolders[key] = holder
}

// leaseStarted records that a process begins to act under a lease.
func (w *World) leaseStarted(p *Process, name string) {
	if w.activeHolder[name] == "" {
		if since, known := w.unheldSinceMs[name]; known {
			w.HolderGapsMs = append(w.HolderGapsMs, w.Now-since)
		}
	}
	w.activeHolder[name] = p.Name
}

// leaseStopped records that a process no longer acts under a lease.
func (w *World) leaseStopped(p *Process, name string) {
	if w.activeHolder[name] == p.Name {
		w.activeHolder[name], w.unheldSinceMs[name] = "", w.Now
	}
}
