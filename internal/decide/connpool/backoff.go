package connpool

import "math"

const (
	minLimitRaiseIntervalMs = 1000.0
	maxLimitRaiseIntervalMs = 60000.0

	connectBackoffUnitMs = 10.0 // doubled for each consecutive failure, including the first
	maxConnectBackoffMs  = 1000.0

	minLocalPauseMs = 10.0
	maxLocalPauseMs = 100.0
)

// learnedLimit estimates how many connections a member accepts, after the member has refused one with "too many connections". The
// limit is raised by one connection at a time; the interval doubles each time the member refuses again.
type learnedLimit struct {
	conns           int // 0 means no limit
	raiseIntervalMs float64
	raiseAt         float64
}

// recordRefusal sets the limit to the number of established connections.
func (l *learnedLimit) recordRefusal(established int, now float64) {
	if l.conns > 0 {
		l.raiseIntervalMs = math.Min(2*l.raiseIntervalMs, maxLimitRaiseIntervalMs)
	}
	l.conns = max(1, established)
	l.raiseAt = now + l.raiseIntervalMs
}

// raiseIfDue raises the limit by one once its interval has passed, and removes a limit that is far above the number of connections.
func (l *learnedLimit) raiseIfDue(total int, now float64) {
	if l.conns == 0 || now < l.raiseAt {
		return
	}
	l.raiseAt = now + l.raiseIntervalMs
	l.conns++
	if l.conns > total+1 && l.conns > 2*total {
		l.conns = 0
		l.raiseIntervalMs = minLimitRaiseIntervalMs
	}
}

// connectBackoff delays connection attempts to a member that has no established connection.
type connectBackoff struct {
	failures float64 // consecutive
	retryAt  float64
}

func (b *connectBackoff) recordFailure(established int, now float64) {
	b.failures++
	if established == 0 {
		b.retryAt = now + math.Min(maxConnectBackoffMs, connectBackoffUnitMs*math.Exp2(b.failures))
	}
}

// mustBackOff reports whether a sub-pool whose requests can wait must not open a connection yet.
func (p *Pool) mustBackOff(sub *subPool) bool {
	m := sub.member
	if sub.bounds.WaitTimeoutMs == 0 || m.established() > 0 {
		return false
	}
	return p.now < m.connectBackoff.retryAt || m.learnedLimit.conns > 0 && m.opening > 0
}

// localBackoff spaces out dials to a member after dials have failed for lack of resources on this host, so that only one is tried at
// a time.
type localBackoff struct {
	failures float64 // consecutive
	dialAt   float64
}

func (b *localBackoff) recordFailure(now float64) {
	b.failures++
	b.dialAt = now + b.delayMs()
}

// recordDial starts the delay when a dial starts, so that dials are spaced out even if one of them hangs.
func (b *localBackoff) recordDial(now float64) {
	if b.failures > 0 {
		b.dialAt = now + b.delayMs()
	}
}

func (b *localBackoff) paused(now float64) bool { return b.failures > 0 && now < b.dialAt }

func (b *localBackoff) delayMs() float64 {
	return math.Min(maxLocalPauseMs, minLocalPauseMs*math.Exp2(b.failures-1))
}

// OpenFailed records that a connection could not be established. NoLocalResources does not count against the member.
func (p *Pool) OpenFailed(connID int, cause FailureCause) {
	c := p.conns[connID]
	if c == nil || c.state != connOpening {
		return
	}
	p.removeConn(c)
	p.recordOpenFailure(c.sub.member, cause)
	w := c.openedFor
	if w == nil || !w.waiting {
		return
	}
	switch {
	case cause == NoLocalResources:
		p.reject(w, NoCapacity)
	case cause == Unreachable || c.sub.bounds.WaitTimeoutMs == 0:
		p.reject(w, ConnectFailed)
	}
}

func (p *Pool) recordOpenFailure(m *memberState, cause FailureCause) {
	if cause == NoLocalResources {
		m.localBackoff.recordFailure(p.now)
		return
	}
	m.localBackoff.failures = 0
	if cause == TooManyConnections {
		m.learnedLimit.recordRefusal(m.established(), p.now)
	}
	m.connectBackoff.recordFailure(m.established(), p.now)
}
