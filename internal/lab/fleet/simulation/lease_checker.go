package simulation

import (
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// leaseKey identifies a grant: a lease and its fencing token.
type leaseKey struct {
	lease string
	token lease.Token
}

// receiverKey identifies a lease at one receiver.
type receiverKey struct{ receiver, lease string }

// leaseChecker records the events of all leases. Unlike the state of the processes, it survives restarts.
type leaseChecker struct {
	highestAccepted map[receiverKey]lease.Token
	tokenHolders    map[leaseKey]string    // process whose commands under a grant were accepted
	grantedTo       map[leaseKey]string    // session that was given a grant, as a leader applied it
	latestGranted   map[string]lease.Token // by lease
	activeHolder    map[string]string      // by lease: process that considers itself the holder
	unheldSinceMs   map[string]float64     // by lease: when the latest holder stopped
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

// checkNotSuperseded checks that a holder that considers its lease valid has the latest grant. It does not apply after all coordinator
// nodes lost their state: the lease can then be granted again while the former holder still considers its grant valid, and receivers
// reject its commands.
func (w *World) checkNotSuperseded(p *Process, name string, token lease.Token) {
	latest := w.latestGranted[name]
	if latest.Compare(token) > 0 && w.Faults[coordinatorsWiped] == 0 {
		w.violation("%s considers its lease %s valid under %v, but a later grant went to session %s", p.Name, name, token, w.grantedTo[leaseKey{name, latest}])
	}
}

// checkAccepted checks a command that a receiver accepted against all commands that were accepted before.
func (w *World) checkAccepted(receiver *Process, name, holder string, token lease.Token) {
	w.AcceptedCommands++
	at := receiverKey{receiver.Name, name}
	if token.Compare(w.highestAccepted[at]) < 0 {
		w.violation("%s accepted a command of %s for %s under %v after one under %v", receiver.Name, holder, name, token, w.highestAccepted[at])
	}
	w.highestAccepted[at] = token
	key := leaseKey{name, token}
	if other := w.tokenHolders[key]; other != "" && other != holder {
		w.violation("%s: token %v was used by both %s and %s", name, token, other, holder)
	}
	w.tokenHolders[key] = holder
}

// leaseStarted records that a process starts to use a lease.
func (w *World) leaseStarted(p *Process, name string) {
	if w.activeHolder[name] == "" {
		if since, known := w.unheldSinceMs[name]; known {
			w.HolderGapsMs = append(w.HolderGapsMs, w.Now-since)
		}
	}
	w.activeHolder[name] = p.Name
}

// leaseStopped records that a process no longer uses a lease.
func (w *World) leaseStopped(p *Process, name string) {
	if w.activeHolder[name] == p.Name {
		w.activeHolder[name], w.unheldSinceMs[name] = "", w.Now
	}
}
