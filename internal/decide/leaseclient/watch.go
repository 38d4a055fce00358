package leaseclient

import (
	"maps"
	"slices"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
)

// Session is a session as the coordinator's watch reports it.
type Session struct {
	Name, Role, Address string
	Incarnation, Policy uint64 // Policy is the number of the policy version that the process has applied
	Ended               bool
}

// Lease is a lease as the coordinator's watch reports it.
type Lease struct {
	Name, Holder string
	Token        lease.Token
	Open, Ended  leasestate.Order
	Steps        []leasestate.Step
}

// Update is one message of the coordinator's watch: the whole state, or what has changed.
type Update struct {
	Complete        bool // the whole state
	WithoutSessions bool // Sessions is empty since the watcher didn't ask for sessions
	Sessions        []Session
	Leases          []Lease
	Policies        []Policy // policy versions, the one in force last
}

// Policy is a policy version and its difference from the version before, which is nil if it is too long for an update.
type Policy struct {
	Version    policy.Version
	Difference *policy.Difference
}

// UpdateReceived applies an update of the watch. The update may be old: a higher fencing token is valid whenever it arrives, but a lower one
// only shows that the coordinator should be asked.
func (c *Client) UpdateReceived(update Update) {
	if update.Complete {
		clear(c.sessions)
		clear(c.leases)
		c.sessionsComplete = !update.WithoutSessions
	}
	for _, session := range update.Sessions {
		if session.Ended {
			delete(c.sessions, session.Name)
		} else if len(c.sessions) < maxTracked {
			c.sessions[session.Name] = session
		}
	}
	for _, latest := range update.Leases {
		c.updateLease(latest)
	}
}

// updateLease applies what an update reports of one lease.
func (c *Client) updateLease(latest Lease) {
	if len(c.leases) < maxTracked {
		c.leases[latest.Name] = latest
	}
	if h := c.holder(latest.Name); h != nil {
		if latest.Holder != c.settings.Name {
			h.Lost(latest.Token)
		} else if token, valid := h.Valid(); !valid || token != latest.Token {
			h.RequestNow()
		}
		c.pullDecisions(h)
	}
	c.reportHigherToken(latest)
	if c.receiver.Learned(latest.Name) && latest.Holder != "" {
		c.receiver.TokenLearned(latest.Name, latest.Token) // before its holder's first order arrives
	}
}

// SessionsComplete reports whether Sessions returns all sessions that the coordinator has: a watch may leave them out.
func (c *Client) SessionsComplete() bool { return c.sessionsComplete }

// Sessions returns the sessions of a role that the watch has reported, sorted by name.
func (c *Client) Sessions(role string) (found []Session) {
	for _, name := range slices.Sorted(maps.Keys(c.sessions)) {
		if c.sessions[name].Role == role {
			found = append(found, c.sessions[name])
		}
	}
	return found
}

// Lease returns what the watch has reported of a lease.
func (c *Client) Lease(name string) (Lease, bool) {
	latest, found := c.leases[name]
	return latest, found
}
