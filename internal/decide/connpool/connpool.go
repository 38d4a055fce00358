// Package connpool decides about connections to members: which one an attempt gets, when one is opened, kept or closed,
// and who waits for one. It owns their count, in all, for each member and for each pool; it must never open a socket,
// read a clock or choose a member: that is router's, before anything is wanted here.
//
// The host calls At, then the inputs, which only update what is known, then pulls Next until it has nothing left, and
// calls again at Due. Times are Unix ms. Connections are numbered here; a want has the id that its host gave it.
package connpool

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"wayloft/internal/decide/random"
	"wayloft/internal/decide/timerqueue"
)

const (
	sweepGap  = 100.0   // ms between two looks at what is idle
	firstStep = 1000.0  // ms until a member that refused a connection is tried with one more
	lastStep  = 60000.0 // and at the longest, where it goes on refusing
	retryGap  = 10.0    // ms until the next try where none is up at all
	localGap  = 10.0    // ms until the next dial to a member after one that failed for a cause of this host's
	localMost = 100.0   // and at the longest, where it goes on
	leastPart = 0.75    // of an age or a number of uses: the rest is drawn, so that they don't all end at once
	settled   = 2.0     // ms within which what comes behind an answer has come
	rest      = 0.75    // of the time after which a member closes an idle connection: then it is closed here
	atOnce    = 4       // cancels to one member
)

// Bounds are those of one pool. A value of 0 stands for no bound, unless it says otherwise.
type Bounds struct {
	PerMember                  int     // connections to one member
	Total                      int     // to all members together
	MinIdle                    int     // kept up to each member that is up
	WaitTimeoutMs              float64 // ms that a want may wait for a connection; 0: one that can't have or open one is refused
	IdleTimeoutMs              float64 // ms after which an idle connection is closed
	MaxAgeMs                   float64 // ms after which a connection is not used again
	MaxUses                    int     // after which it is not used again
	ReuseDelayMs               float64 // ms that a connection rests before its next use, where another can be had
	IdleInTransactionTimeoutMs float64 // ms that a client may keep one and ask nothing
}

// StatementBounds are the bounds of a pool whose requests are one statement each: none has to wait, since who can't be sent now
// may go elsewhere. idleClose is when a member closes an idle connection.
func StatementBounds(idleClose float64) Bounds {
	return Bounds{IdleTimeoutMs: rest * idleClose, ReuseDelayMs: settled}
}

// CancelBounds are the bounds of the connections on which members are told to stop something.
func CancelBounds(wait float64) Bounds {
	return Bounds{PerMember: atOnce, WaitTimeoutMs: wait, MaxUses: 1}
}

// Settings are given once; the pools' names are their host's.
type Settings struct {
	MaxTotal     int // connections in all
	MaxPerMember int // to one member, over all pools
	Seed         uint64
	Pools        map[string]Bounds
}

// Key tells which connections are alike.
type Key struct{ Member, Pool string }

// Request is an attempt or a check that needs a connection.
type Request struct {
	ID       string
	Key      Key
	Tenant   string
	Affinity any // connections that were freed like this are preferred; must be comparable
}

// Action tells what the host is to do.
type Action int

const (
	Open                   Action = iota // a connection, numbered Conn
	Assign                               // Conn for Want
	Close                                // Conn
	Reject                               // Want
	CloseIdleInTransaction               // Conn has been kept by a client that asks nothing, for too long
)

// RejectReason a want is refused.
type RejectReason int

const (
	NoCapacity    RejectReason = iota // this router has no connection left: that tells nothing of the member
	WaitTimedOut                      // it has waited as long as it may
	ConnectFailed                     // the connection that was opened for it failed to come up
)

// FailureCause is why a connection did not come up.
type FailureCause int

const (
	Unreachable        FailureCause = iota // the member can't be reached, or did not let it in
	TooManyConnections                     // the member says that it holds too many
	NoLocalResources                       // this host had no descriptor, port, memory or route for it: that tells nothing of the member
)

// Decision is one thing for the host to do; only the fields of its verb are set.
type Decision struct {
	Action    Action
	Conn      int
	Key       Key
	RequestID string
	Reason    RejectReason
	Unsettled bool // Use: it has not rested; what comes behind its last answer may still be on its way
}

type state int

const (
	opening state = iota
	idle
	busy
)

type conn struct {
	id          int
	lane        *lane
	state       state
	opened      *want   // the want that it was opened for, if any
	since       float64 // idle, or at rest in its client's hands
	born        float64
	uses        int
	lastAge     float64
	lastUse     int
	like        any
	stale, rest bool // stale: not to be used again
	inside      timerqueue.Timer[*conn]
}

type want struct {
	Request
	lane          *lane
	at            float64
	waits, dialed bool // dialed: a connection is being opened for it
}

// lane holds the connections of one key and those who wait for one.
type lane struct {
	key     Key
	bounds  Bounds
	place   *place
	all     int
	opening int
	idle    []*conn // the one that has been idle longest first
	ring    []string
	waiting map[string][]*want // by tenant; those that have some are in the ring
	waits   int
	busyAt  float64 // when something was last wanted
}

// place is one member.
type place struct {
	member  string
	stirred bool // something has happened since the last sweep
	swept   timerqueue.Timer[*place]
	up      bool
	lanes   map[string]*lane
	all     int // connections, those being opened among them
	opening int
	bound   int // learned from refusals; 0: none
	raiseAt float64
	step    float64
	tryAt   float64 // not before, where none is up
	tries   float64

	localFailures float64 // dials in a row that failed for a cause of this host's
	localUntil    float64 // no dial before, after one of them
}

// Pool decides for one router.
type Pool struct {
	set     Settings
	now     float64
	chance  random.Source
	last    int
	conns   map[int]*conn
	places  map[string]*place
	totals  map[string]int // by pool
	wants   map[string]*want
	hungry  []*lane // where somebody waits, in turn
	out     []Decision
	fresh   bool
	sweepAt float64

	// What a sweep goes over, so that it costs by what has happened and is due, not by what is there.
	stirred []*place                 // something has happened to them since the last one
	later   timerqueue.Queue[*place] // by when there is something to do
	resting timerqueue.Queue[*conn]  // those kept by clients that ask nothing, by when they have been kept too long
	visited int                      // places and connections gone over so far
}

// New makes a pool that has no connection yet.
func New(set Settings) *Pool {
	return &Pool{set: set, chance: random.Source{Seed: set.Seed}, conns: map[int]*conn{}, places: map[string]*place{}, totals: map[string]int{},
		wants: map[string]*want{}}
}

// Advance sets the time; all that follows until the next call happens then.
func (p *Pool) Advance(now float64) { p.now, p.fresh = now, true }

func (p *Pool) place(member string) *place {
	m := p.places[member]
	if m == nil {
		m = &place{member: member, lanes: map[string]*lane{}, step: firstStep}
		m.swept.Of = m
		p.places[member] = m
	}
	p.stir(m)
	return m
}

// stir has the next sweep look at a member. Whatever changes something of a member, its lanes or connections says so.
func (p *Pool) stir(m *place) {
	if !m.stirred {
		m.stirred = true
		p.stirred = append(p.stirred, m)
	}
}

func (p *Pool) lane(k Key) *lane {
	m := p.place(k.Member)
	l := m.lanes[k.Pool]
	if l == nil {
		l = &lane{key: k, bounds: p.set.Pools[k.Pool], place: m, waiting: map[string][]*want{}}
		m.lanes[k.Pool] = l
	}
	return l
}

// MemberListed says whether a member is there for new work. One that is not keeps what is busy, and nothing else.
func (p *Pool) MemberListed(member string, up bool) {
	m := p.place(member)
	m.up = up
	if !up {
		p.RetireConnections(member)
		return
	}
	for name, b := range p.set.Pools {
		if b.MinIdle > 0 {
			p.lane(Key{member, name})
		}
	}
}

// RetireConnections says that no connection made so far is to be used again: the member started anew, moved, or is gone.
func (p *Pool) RetireConnections(member string) {
	p.CloseIdle(member)
	for _, c := range p.conns {
		c.stale = c.stale || c.lane.key.Member == member
	}
}

// CloseIdle has the idle connections to a member closed.
func (p *Pool) CloseIdle(member string) {
	if m := p.places[member]; m != nil {
		for _, name := range slices.Sorted(maps.Keys(m.lanes)) {
			for _, c := range slices.Clone(m.lanes[name].idle) {
				p.close(c)
			}
		}
	}
}

// close gives a connection up; its host closes it.
func (p *Pool) close(c *conn) {
	p.out = append(p.out, Decision{Action: Close, Conn: c.id, Key: c.lane.key})
	p.drop(c)
}

func (p *Pool) drop(c *conn) {
	l := c.lane
	p.stir(l.place)
	p.resting.Drop(&c.inside)
	delete(p.conns, c.id)
	l.all--
	l.place.all--
	if p.totals[l.key.Pool]--; p.totals[l.key.Pool] == 0 {
		delete(p.totals, l.key.Pool)
	}
	switch c.state {
	case opening:
		l.opening--
		l.place.opening--
		if c.opened != nil {
			c.opened.dialed = false
		}
	case idle:
		l.idle = slices.DeleteFunc(l.idle, func(o *conn) bool { return o == c })
	}
}

// Request asks for a connection; Use or Refuse answers it, unless it leaves.
func (p *Pool) Request(w Request) {
	l := p.lane(w.Key)
	l.busyAt = p.now
	if l.waiting[w.Tenant] == nil {
		l.ring = append(l.ring, w.Tenant)
	}
	one := &want{Request: w, lane: l, at: p.now, waits: true}
	l.waiting[w.Tenant] = append(l.waiting[w.Tenant], one)
	p.wants[w.ID] = one
	if l.waits++; l.waits == 1 {
		p.hungry = append(p.hungry, l)
	}
}

// Cancel says that a want is not waiting any more.
func (p *Pool) Cancel(id string) {
	if w := p.wants[id]; w != nil {
		p.take(w.lane, w.Tenant, slices.Index(w.lane.waiting[w.Tenant], w))
	}
}

// take takes a want out of its queue.
func (p *Pool) take(l *lane, tenant string, n int) *want {
	p.stir(l.place)
	list := l.waiting[tenant]
	w := list[n]
	w.waits = false
	delete(p.wants, w.ID)
	if l.waits--; l.waits == 0 {
		p.hungry = slices.DeleteFunc(p.hungry, func(o *lane) bool { return o == l })
	}
	if list = slices.Delete(list, n, n+1); len(list) > 0 {
		l.waiting[tenant] = list
		return w
	}
	delete(l.waiting, tenant)
	l.ring = slices.DeleteFunc(l.ring, func(o string) bool { return o == tenant })
	return w
}

// Opened says that a connection is up.
func (p *Pool) Opened(id int) {
	c := p.conns[id]
	if c == nil || c.state != opening {
		return
	}
	m := c.lane.place
	p.stir(m)
	c.lane.opening--
	m.opening--
	m.tries, m.localFailures = 0, 0
	if c.opened != nil {
		c.opened.dialed, c.opened = false, nil
	}
	c.born = p.now
	c.lastAge = c.lane.bounds.MaxAgeMs * (leastPart + (1-leastPart)*p.chance.Next())
	c.lastUse = int(math.Ceil(float64(c.lane.bounds.MaxUses) * (leastPart + (1-leastPart)*p.chance.Next())))
	p.rest(c)
}

// OpenFailed says that a connection did not come up. A member that has no room for it is supposed to hold no more than it
// does; that recovers by one after a second, more slowly where it goes on refusing. A cause of this host's says nothing of
// the member: dials to it go on, one after each pause.
func (p *Pool) OpenFailed(id int, why FailureCause) {
	c := p.conns[id]
	if c == nil || c.state != opening {
		return
	}
	l, m := c.lane, c.lane.place
	p.drop(c)
	if why == NoLocalResources {
		m.localFailures++
		m.localUntil = p.now + m.localPause()
		if c.opened != nil && c.opened.waits {
			p.refuse(c.opened, NoCapacity)
		}
		return
	}
	m.localFailures = 0
	if why == TooManyConnections {
		if m.bound > 0 {
			m.step = math.Min(2*m.step, lastStep)
		}
		m.bound = max(1, m.all-m.opening)
		m.raiseAt = p.now + m.step
	}
	if m.tries++; m.all-m.opening == 0 {
		m.tryAt = p.now + math.Min(firstStep, retryGap*math.Exp2(m.tries))
	}
	if w := c.opened; w == nil || !w.waits {
		return
	} else if why == Unreachable || l.bounds.WaitTimeoutMs == 0 { // else it waits on
		p.refuse(w, ConnectFailed)
	}
}

// localPause is how long no further dial to the member is made, after failures that are this host's own.
func (m *place) localPause() float64 {
	return math.Min(localMost, localGap*math.Exp2(m.localFailures-1))
}

func (p *Pool) refuse(w *want, why RejectReason) {
	p.Cancel(w.ID)
	p.out = append(p.out, Decision{Action: Reject, RequestID: w.ID, Key: w.lane.key, Reason: why})
}

// Release says that a connection can be used again, and like what it was left.
func (p *Pool) Release(id int, like any) {
	c := p.conns[id]
	if c == nil || c.state != busy {
		return
	}
	c.like, c.rest = like, false
	p.resting.Drop(&c.inside)
	if c.over(p.now) || p.overfull(c) {
		p.close(c)
		return
	}
	p.rest(c)
}

func (p *Pool) rest(c *conn) {
	p.stir(c.lane.place)
	c.state, c.since = idle, p.now
	if c.stale || !c.lane.place.up {
		p.close(c)
		return
	}
	c.lane.idle = append(c.lane.idle, c)
}

// over tells that a connection has served its time.
func (c *conn) over(now float64) bool {
	b := c.lane.bounds
	return c.stale || b.MaxAgeMs > 0 && now-c.born > c.lastAge || b.MaxUses > 0 && c.uses >= c.lastUse
}

// share is how many of a member's connections each pool has a right to, and whether one that waits has fewer.
func (p *Pool) share(m *place) (share int, poor bool) {
	users := 0
	for _, l := range m.lanes {
		if l.all > 0 || l.waits > 0 {
			users++
		}
	}
	share = max(1, p.bound(m)/max(1, users))
	for _, l := range m.lanes {
		poor = poor || l.waits > 0 && l.all < share
	}
	return share, poor
}

// overfull tells that another pool waits for the connection's place and has less of the member than it should, while
// this one has more. Guards against a pool that is never idle and so never lets go.
func (p *Pool) overfull(c *conn) bool {
	bound := p.bound(c.lane.place)
	if bound == 0 || c.lane.place.all < bound {
		return false
	}
	share, poor := p.share(c.lane.place)
	return poor && c.lane.all > share
}

// ConnectionClosed says that a connection has ended, whatever it was.
func (p *Pool) ConnectionClosed(id int) {
	if c := p.conns[id]; c != nil {
		p.drop(c)
	}
}

// SetTurn says whose turn it is on a connection that is in use: its client's, or the member's.
func (p *Pool) SetTurn(id int, clients bool) {
	if c := p.conns[id]; c != nil && c.state == busy {
		c.rest, c.since = clients, p.now
		if b := c.lane.bounds; clients && b.IdleInTransactionTimeoutMs > 0 {
			p.resting.Put(&c.inside, p.now+b.IdleInTransactionTimeoutMs)
		} else {
			p.resting.Drop(&c.inside)
		}
	}
}

// OpenCount tells how many connections there are, those being opened among them; Waiting, how many wait for one.
func (p *Pool) OpenCount() int    { return len(p.conns) }
func (p *Pool) WaitingCount() int { return len(p.wants) }

// IdleCount tells how many of those to a member are.
func (p *Pool) IdleCount(member string) (n int) {
	if m := p.places[member]; m != nil {
		for _, l := range m.lanes {
			n += len(l.idle)
		}
	}
	return n
}

// bound is how many connections a member may have, 0 for any number.
func (p *Pool) bound(m *place) int {
	switch {
	case m.bound > 0 && p.set.MaxPerMember > 0:
		return min(m.bound, p.set.MaxPerMember)
	case m.bound > 0:
		return m.bound
	}
	return p.set.MaxPerMember
}

// NextDeadline is when Next may have something although nothing came in; after an input, that may be as early as Sweep.
func (p *Pool) NextDeadline() float64 {
	if len(p.stirred) > 0 || len(p.hungry) > 0 {
		return p.sweepAt
	}
	at := math.Inf(1)
	if i := p.later.First(); i != nil {
		at = i.At()
	}
	if i := p.resting.First(); i != nil {
		at = math.Min(at, i.At())
	}
	return math.Max(at, p.sweepAt)
}

// NextSweep is when the next sweep may be at the earliest.
func (p *Pool) NextSweep() float64 { return p.sweepAt }

// Next gives the next decision; false: none is left.
func (p *Pool) Next() (Decision, bool) {
	if p.now >= p.sweepAt {
		p.sweepAt = p.now + sweepGap
		p.sweep()
	}
	if len(p.out) > 0 {
		return p.pop(), true
	}
	if p.fresh {
		p.fresh = false
		for _, l := range slices.Clone(p.hungry) {
			p.serve(l)
		}
		if len(p.out) > 0 { // who could not open one may, now that another has closed
			p.fresh = true
			return p.pop(), true
		}
	}
	return Decision{}, false
}

func (p *Pool) pop() Decision {
	d := p.out[0]
	if p.out = p.out[1:]; len(p.out) == 0 {
		p.out = nil
	}
	return d
}

// serve gives connections to who waits in a lane: first come first served within a tenant, tenants in turn.
func (p *Pool) serve(l *lane) {
	for l.waits > 0 && len(l.idle) > 0 {
		tenant := l.ring[0]
		w := p.take(l, tenant, 0)
		if l.waiting[tenant] != nil { // its turn is over
			l.ring = append(l.ring[1:], tenant)
		}
		c := p.choose(l, w)
		l.idle = slices.DeleteFunc(l.idle, func(o *conn) bool { return o == c })
		fresh := c.uses > 0 && p.now-c.since < l.bounds.ReuseDelayMs
		c.state = busy
		c.uses++
		p.out = append(p.out, Decision{Action: Assign, Conn: c.id, RequestID: w.ID, Key: l.key, Unsettled: fresh})
	}
	for w := l.undialed(); w != nil && l.opening < l.waits && p.mayOpen(l); w = l.undialed() {
		p.open(l, w)
	}
	if l.bounds.WaitTimeoutMs == 0 || !l.place.up {
		for w := l.undialed(); w != nil && (l.waits > l.opening || !l.place.up); w = l.undialed() {
			p.refuse(w, NoCapacity)
		}
	}
}

// choose picks among idle connections: one that is like what is wanted, then the newest that has rested, so that those
// not needed go idle for good.
func (p *Pool) choose(l *lane, w *want) *conn {
	var best *conn
	rank := func(c *conn) (n int) {
		if w.Affinity != nil && c.like == w.Affinity {
			n++
		}
		if c.uses == 0 || p.now-c.since >= l.bounds.ReuseDelayMs {
			n += 2
		}
		return n
	}
	for _, c := range slices.Backward(l.idle) {
		if best == nil || rank(c) > rank(best) {
			best = c
		}
	}
	return best
}

// undialed is the first who waits in a lane and has no connection opened for it.
func (l *lane) undialed() *want {
	for n, more := 0, true; more; n++ {
		more = false
		for _, tenant := range l.ring {
			if list := l.waiting[tenant]; n < len(list) {
				if more = true; !list[n].dialed {
					return list[n]
				}
			}
		}
	}
	return nil
}

// mayOpen tells whether a lane may have one more connection, after others that are idle made room for it.
func (p *Pool) mayOpen(l *lane) bool {
	b, m := l.bounds, l.place
	if m.localFailures > 0 && p.now < m.localUntil { // it would fail for the same cause
		return false
	}
	if !m.up || b.PerMember > 0 && l.all >= b.PerMember || b.Total > 0 && p.totals[l.key.Pool] >= b.Total && !p.yield(
		func(c *conn) bool { return c.lane.key.Pool == l.key.Pool }) {
		return false
	}
	if b.WaitTimeoutMs > 0 && m.all-m.opening == 0 && (p.now < m.tryAt || m.bound > 0 && m.opening > 0) {
		return false
	}
	if bound := p.bound(m); bound > 0 {
		if share, poor := p.share(m); poor && l.all >= share && m.all+1 >= bound {
			return false // it is another's turn
		}
		if m.all >= bound && !p.yield(func(c *conn) bool { return c.lane.place == m }) {
			return false
		}
	}
	return len(p.conns) < p.set.MaxTotal || p.yield(func(*conn) bool { return true })
}

// yield closes the connection that has been idle longest among those.
func (p *Pool) yield(among func(*conn) bool) bool {
	var oldest *conn
	for _, m := range p.places {
		for _, l := range m.lanes {
			if len(l.idle) > 0 && among(l.idle[0]) && (oldest == nil || l.idle[0].since < oldest.since ||
				l.idle[0].since == oldest.since && l.idle[0].id < oldest.id) {
				oldest = l.idle[0]
			}
		}
	}
	if oldest != nil {
		p.close(oldest)
	}
	return oldest != nil
}

func (p *Pool) open(l *lane, w *want) {
	p.last++
	c := &conn{id: p.last, lane: l, state: opening, opened: w}
	c.inside.Of = c
	p.stir(l.place)
	p.conns[c.id] = c
	l.all++
	l.opening++
	l.place.all++
	l.place.opening++
	if m := l.place; m.localFailures > 0 { // this one tries alone, even if it hangs
		m.localUntil = p.now + m.localPause()
	}
	p.totals[l.key.Pool]++
	d := Decision{Action: Open, Conn: c.id, Key: l.key}
	if w != nil {
		w.dialed, d.RequestID = true, w.ID
	}
	p.out = append(p.out, d)
}

// sweep closes what has been idle too long, keeps others warm, ends waits and forgets what is not used.
func (p *Pool) sweep() {
	p.fresh = true
	for i := p.later.First(); i != nil && i.At() <= p.now; i = p.later.First() {
		p.later.Drop(i)
		p.stir(i.Of)
	}
	places := p.stirred
	p.stirred = nil
	slices.SortFunc(places, func(m, o *place) int { return cmp.Compare(m.member, o.member) })
	for _, m := range places {
		if m.stirred = false; p.places[m.member] != m { // forgotten, and perhaps listed anew since
			continue
		}
		p.visited++
		if m.bound > 0 && p.now >= m.raiseAt {
			m.raiseAt = p.now + m.step
			if m.bound++; m.bound > m.all+1 && m.bound > 2*m.all {
				m.bound, m.step = 0, firstStep // it has not been near it for long
			}
		}
		for _, name := range slices.Sorted(maps.Keys(m.lanes)) {
			l := m.lanes[name]
			p.sweepLane(l)
			if l.all == 0 && l.waits == 0 && (!m.up || l.bounds.MinIdle == 0) {
				delete(m.lanes, name)
			}
		}
		if p.later.Drop(&m.swept); !m.up && len(m.lanes) == 0 {
			delete(p.places, m.member)
		} else if at := m.due(p.now); !math.IsInf(at, 1) {
			p.later.Put(&m.swept, at)
		}
	}
	var over []*conn
	for i := p.resting.First(); i != nil && i.At() < p.now; i = p.resting.First() {
		p.visited++
		p.resting.Drop(i)
		over = append(over, i.Of)
	}
	slices.SortFunc(over, func(c, o *conn) int { return c.id - o.id })
	for _, c := range over {
		c.rest = false
		p.out = append(p.out, Decision{Action: CloseIdleInTransaction, Conn: c.id, Key: c.lane.key})
	}
}

// due is when a sweep has something to do for a member that nothing happens to.
func (m *place) due(now float64) float64 {
	at := math.Inf(1)
	if m.bound > 0 {
		at = m.raiseAt
	}
	for _, l := range m.lanes {
		for _, c := range l.idle {
			if l.bounds.IdleTimeoutMs > 0 {
				at = math.Min(at, c.since+l.bounds.IdleTimeoutMs)
			}
			if l.bounds.MaxAgeMs > 0 {
				at = math.Min(at, c.born+c.lastAge)
			}
		}
		for _, list := range l.waiting {
			if l.bounds.WaitTimeoutMs > 0 {
				at = math.Min(at, list[0].at+l.bounds.WaitTimeoutMs)
			}
		}
		if l.all < l.bounds.MinIdle && l.opening == 0 {
			at = math.Min(at, max(now, m.tryAt, m.localUntil))
		}
	}
	return at
}

func (p *Pool) sweepLane(l *lane) {
	for _, c := range slices.Clone(l.idle) {
		if l.bounds.IdleTimeoutMs > 0 && p.now-c.since > l.bounds.IdleTimeoutMs || c.over(p.now) {
			p.close(c)
		}
	}
	for l.bounds.WaitTimeoutMs > 0 {
		var first *want
		for _, list := range l.waiting {
			if first == nil || list[0].at < first.at || list[0].at == first.at && list[0].ID < first.ID {
				first = list[0]
			}
		}
		if first == nil || p.now-first.at < l.bounds.WaitTimeoutMs {
			break
		}
		p.refuse(first, WaitTimedOut)
	}
	if l.all < l.bounds.MinIdle && l.opening == 0 && p.now >= l.place.tryAt && p.mayOpen(l) {
		p.open(l, nil)
	}
}
