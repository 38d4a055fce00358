package leasestate

import "slices"

// maxSessionsOrLeases limits the number of sessions, and that of leases. A lease is never deleted, since its fencing token must not be lost.
const maxSessionsOrLeases = 10000

// Session is the coordinator's record of one process.
type Session struct {
	Incarnation        uint64 `cbor:"1,keyasint"`
	Role               string `cbor:"2,keyasint"`
	Timeout            uint64 `cbor:"3,keyasint"` // ms; the session expires after a longer time without a heartbeat
	LastHeartbeat      uint64 `cbor:"4,keyasint"` // state time
	Address            string `cbor:"5,keyasint"`
	Policy             uint64 `cbor:"6,keyasint"`           // packed policy version that it has applied, as last reported
	RejectedOperations uint64 `cbor:"7,keyasint"`           // number of operations that it has rejected because of a stale fencing token
	RejectedPolicy     uint64 `cbor:"8,keyasint,omitempty"` // packed policy version that it couldn't apply
	Reason             string `cbor:"9,keyasint,omitempty"` // why it couldn't apply RejectedPolicy
}

// EndReason is the reason why a session ended. Its text is stored in snapshots and in the audit log.
type EndReason string

const (
	// EndExpired means that the session had no heartbeat for longer than its timeout.
	EndExpired EndReason = "silent"
	// EndReplaced means that the process was restarted. The new process doesn't know which leases the session held.
	EndReplaced EndReason = "anew"
	// EndClosed means that the session was closed at its own request.
	EndClosed EndReason = "left"
)

// heartbeat restarts the session's timeout.
func (s *Session) heartbeat(now, rejectedOperations uint64) {
	s.LastHeartbeat = now
	s.RejectedOperations = max(s.RejectedOperations, rejectedOperations)
}

// expiresAt returns the state time after which the session expires unless it has another heartbeat.
func (s *Session) expiresAt() uint64 { return s.LastHeartbeat + s.Timeout }

// openSession opens a session, or replaces an open one by one of a higher incarnation.
func (s *State) openSession(entry Entry) Result {
	open := s.data.Sessions[entry.Session]
	switch {
	case entry.Session == "" || entry.Timeout == 0:
		return Result{Rejection: rejectedInvalidSession}
	case open == nil && len(s.data.Sessions) >= maxSessionsOrLeases:
		return Result{Rejection: rejectedTooManySessions}
	case open != nil && entry.Incarnation < open.Incarnation:
		return Result{Rejection: rejectedOlderIncarnation, Number: open.Incarnation}
	case open != nil && entry.Incarnation == open.Incarnation: // a retry of the request
		open.LastHeartbeat = s.data.Now
		s.reportPolicy(open, entry.Policy, entry.RejectedPolicy, entry.Reason)
		return Result{Held: true}
	case open != nil:
		s.endSession(entry.Session, EndReplaced)
	}
	opened := &Session{
		Incarnation:   entry.Incarnation,
		Role:          entry.Role,
		Timeout:       entry.Timeout,
		LastHeartbeat: s.data.Now,
		Address:       entry.Address,
	}
	s.data.Sessions[entry.Session] = opened
	s.reportPolicy(opened, entry.Policy, entry.RejectedPolicy, entry.Reason)
	s.emit(Event{Session: entry.Session})
	return Result{Held: true}
}

// applySessionEntry applies an entry that requires an open session with the same incarnation. Every such entry also counts as a heartbeat.
func (s *State) applySessionEntry(entry Entry) Result {
	session := s.data.Sessions[entry.Session]
	if session == nil || session.Incarnation != entry.Incarnation {
		return Result{Rejection: RejectedNoSession}
	}
	session.heartbeat(s.data.Now, entry.RejectedOperations)
	switch entry.Kind {
	case KeepAlive:
		s.reportPolicy(session, entry.Policy, entry.RejectedPolicy, entry.Reason)
		return Result{Held: true}
	case CloseSession:
		s.endSession(entry.Session, EndClosed)
		return Result{}
	case AcquireLease:
		return s.acquireLease(entry)
	default:
		return s.applyHolderEntry(entry)
	}
}

// keepAliveAll applies the heartbeats of many sessions. Those of other incarnations are ignored.
func (s *State) keepAliveAll(heartbeats []Heartbeat) {
	for _, heartbeat := range heartbeats {
		session := s.data.Sessions[heartbeat.Session]
		if session == nil || session.Incarnation != heartbeat.Incarnation {
			continue
		}
		session.heartbeat(s.data.Now, heartbeat.RejectedOperations)
		s.reportPolicy(session, heartbeat.Policy, heartbeat.RejectedPolicy, heartbeat.Reason)
	}
}

// reportPolicy records which policy version a session has applied and which it has rejected. It emits no event, because hundreds of watchers
// would each be notified about hundreds of sessions.
func (s *State) reportPolicy(session *Session, applied, rejected uint64, reason string) {
	session.Policy, session.RejectedPolicy, session.Reason = applied, rejected, reason
	if applied > 0 {
		s.policyHistory().Acknowledged(applied)
	}
}

// expireSessions ends the sessions that had no heartbeat for longer than their timeout.
func (s *State) expireSessions() {
	var expired []string
	for name, session := range s.data.Sessions {
		if s.data.Now-session.LastHeartbeat > session.Timeout {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired) // map iteration order differs between nodes
	for _, name := range expired {
		s.endSession(name, EndExpired)
	}
}

// UntilExpiry returns the ms on the leader's clock until the first session expires unless it has another heartbeat; false if no session is
// open.
func (s *State) UntilExpiry() (remainingMs uint64, found bool) {
	for _, session := range s.data.Sessions {
		remaining := session.expiresAt() - min(s.data.Now, session.expiresAt())
		if !found || remaining < remainingMs {
			remainingMs, found = remaining, true
		}
	}
	return remainingMs, found
}

// endSession ends an open session and grants its leases to the next sessions in their queues.
func (s *State) endSession(name string, reason EndReason) {
	s.data.RejectedOperations += s.data.Sessions[name].RejectedOperations
	delete(s.data.Sessions, name)
	s.emit(Event{Session: name, Ended: true, Reason: reason})
	for _, leaseName := range s.Leases() {
		held := s.data.Leases[leaseName]
		held.dequeue(name)
		if held.Holder == name {
			s.freeLease(leaseName)
		}
	}
}
