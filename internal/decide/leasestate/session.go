package leasestate

import "slices"

// maxSessionsOrLeases bounds sessions and leases, each. A lease is never deleted, since its fencing token must not be forgotten.
const maxSessionsOrLeases = 10000

// Session is a process as the coordinator knows it.
type Session struct {
	Incarnation    uint64 `cbor:"1,keyasint"`
	Role           string `cbor:"2,keyasint"`
	Timeout        uint64 `cbor:"3,keyasint"` // ms without a heartbeat that it outlives
	LastHeartbeat  uint64 `cbor:"4,keyasint"` // on the state's time
	Address        string `cbor:"5,keyasint"`
	Policy         uint64 `cbor:"6,keyasint"`           // number of the policy's version that it has applied, as it last reported
	RejectedActs   uint64 `cbor:"7,keyasint"`           // acts that it rejected for their fencing token
	RejectedPolicy uint64 `cbor:"8,keyasint,omitempty"` // number of a version that it couldn't apply
	Reason         string `cbor:"9,keyasint,omitempty"` // why it couldn't
}

// EndReason is why a session ended. Its text is in snapshots and in the audit log.
type EndReason string

const (
	// EndExpired is of a session without a heartbeat for longer than its timeout.
	EndExpired EndReason = "silent"
	// EndReplaced is of a session whose process was started again: the new one knows nothing of what the session held.
	EndReplaced EndReason = "anew"
	// EndClosed is of a session that ended at its own request.
	EndClosed EndReason = "left"
)

// heartbeat takes in that a session's process was alive now.
func (s *Session) heartbeat(now, rejectedActs uint64) {
	s.LastHeartbeat = now
	s.RejectedActs = max(s.RejectedActs, rejectedActs)
}

// expiresAt is the time after which a session ends that has no further heartbeat.
func (s *Session) expiresAt() uint64 { return s.LastHeartbeat + s.Timeout }

// openSession begins a session, or one of a higher incarnation in its place.
func (s *State) openSession(entry Entry) Result {
	open := s.data.Sessions[entry.Session]
	switch {
	case entry.Session == "" || entry.Timeout == 0:
		return Result{Refusal: refusedInvalidSession}
	case open == nil && len(s.data.Sessions) >= maxSessionsOrLeases:
		return Result{Refusal: refusedTooManySessions}
	case open != nil && entry.Incarnation < open.Incarnation:
		return Result{Refusal: refusedOlderIncarnation, Number: open.Incarnation}
	case open != nil && entry.Incarnation == open.Incarnation: // the same request once more
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

// applySessionEntry applies an entry that needs an open session of the same incarnation; each is a heartbeat, too.
func (s *State) applySessionEntry(entry Entry) Result {
	session := s.data.Sessions[entry.Session]
	if session == nil || session.Incarnation != entry.Incarnation {
		return Result{Refusal: RefusedNoSession}
	}
	session.heartbeat(s.data.Now, entry.RejectedActs)
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

// keepAliveAll takes in the heartbeats of many sessions; those of other incarnations count for nothing.
func (s *State) keepAliveAll(heartbeats []Heartbeat) {
	for _, heartbeat := range heartbeats {
		session := s.data.Sessions[heartbeat.Session]
		if session == nil || session.Incarnation != heartbeat.Incarnation {
			continue
		}
		session.heartbeat(s.data.Now, heartbeat.RejectedActs)
		s.reportPolicy(session, heartbeat.Policy, heartbeat.RejectedPolicy, heartbeat.Reason)
	}
}

// reportPolicy records which version of the policy a session has applied, and which it rejected. There is no event of it: each of
// hundreds of watchers would be notified of hundreds of sessions.
func (s *State) reportPolicy(session *Session, applied, rejected uint64, reason string) {
	session.Policy, session.RejectedPolicy, session.Reason = applied, rejected, reason
	if applied > 0 {
		s.policyHistory().Acknowledged(applied)
	}
}

// expireSessions ends the sessions without a heartbeat for longer than their timeout.
func (s *State) expireSessions() {
	var expired []string
	for name, session := range s.data.Sessions {
		if s.data.Now-session.LastHeartbeat > session.Timeout {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired) // the order of a map isn't the same on every node
	for _, name := range expired {
		s.endSession(name, EndExpired)
	}
}

// UntilExpiry returns how many ms of the leader's time may pass until the first session ends that has no further heartbeat; false: no
// session is open.
func (s *State) UntilExpiry() (remainingMs uint64, found bool) {
	for _, session := range s.data.Sessions {
		remaining := session.expiresAt() - min(s.data.Now, session.expiresAt())
		if !found || remaining < remainingMs {
			remainingMs, found = remaining, true
		}
	}
	return remainingMs, found
}

// endSession ends an open session: its leases go to the next of their queues.
func (s *State) endSession(name string, reason EndReason) {
	s.data.RejectedActs += s.data.Sessions[name].RejectedActs
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
