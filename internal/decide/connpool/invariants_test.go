package connpool

import (
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

const (
	modelConnsPerKey    = 3
	modelConnsPerMember = 4
	modelConns          = 6
	modelWaitTimeoutMs  = 500.0
)

// modelSettings has a pool with most bounds set, one with MinIdle, and one whose requests do not wait.
var modelSettings = Settings{MaxTotal: modelConns, MaxPerMember: modelConnsPerMember, Pools: map[string]Bounds{
	"x": {PerMember: modelConnsPerKey, WaitTimeoutMs: modelWaitTimeoutMs, IdleTimeoutMs: 900, MaxAgeMs: 5000, MaxUses: 7,
		IdleInTransactionTimeoutMs: 300},
	"y": {WaitTimeoutMs: modelWaitTimeoutMs, IdleTimeoutMs: 900, MinIdle: 1},
	"z": {ReuseDelayMs: 2},
}}

// TestPool_InvariantsInAnyOrder applies random inputs and checks that no limit is exceeded, no connection is assigned twice, each
// request is answered once or cancelled, no request waits while a connection with its key is idle, and no state is left at the end.
func TestPool_InvariantsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &poolModel{t: t, pool: New(modelSettings), now: 1000, conns: map[int]connState{}, keys: map[int]Key{},
			requests: map[string]Key{}, requestedAt: map[string]float64{}}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.now += rapid.SampledFrom([]float64{0, 1, 30, 400}).Draw(t, "ms")
			m.pool.Advance(m.now)
			m.drawInput()
			m.pull()
		}
		m.shutDown()
	})
}

// poolModel tracks the state of a pool as its driver sees it.
type poolModel struct {
	t           *rapid.T
	pool        *Pool
	now         float64
	lastRequest int
	conns       map[int]connState
	keys        map[int]Key // by connection
	requests    map[string]Key
	requestedAt map[string]float64
}

// pull applies all pending decisions and checks each decision and the state after it.
func (m *poolModel) pull() {
	for d, ok := m.pool.Next(); ok; d, ok = m.pool.Next() {
		m.apply(d)
		m.checkLimits()
	}
	m.checkRequests()
}

func (m *poolModel) apply(d Decision) {
	state, known := m.conns[d.Conn]
	switch d.Action {
	case Open:
		m.conns[d.Conn], m.keys[d.Conn] = connOpening, d.Key
	case Assign:
		if !known || state != connIdle || m.keys[d.Conn] != m.requests[d.RequestID] {
			m.t.Fatalf("%s for %v: connection exists: %v, state %d, key %v", describe(d), m.requests[d.RequestID], known, state,
				m.keys[d.Conn])
		}
		m.conns[d.Conn] = connBusy
		delete(m.requests, d.RequestID)
	case Close:
		if !known || state == connBusy {
			m.t.Fatalf("%s: connection exists: %v, state %d", describe(d), known, state)
		}
		delete(m.conns, d.Conn)
	case Reject:
		if _, waiting := m.requests[d.RequestID]; !waiting {
			m.t.Fatalf("%s: request is not waiting", describe(d))
		}
		delete(m.requests, d.RequestID)
	case CloseIdleInTransaction:
		if !known || state != connBusy {
			m.t.Fatalf("%s: connection exists: %v, state %d", describe(d), known, state)
		}
	}
}

func (m *poolModel) checkLimits() {
	byKey, byMember := map[Key]int{}, map[string]int{}
	for connID := range m.conns {
		key := m.keys[connID]
		byKey[key]++
		byMember[key.Member]++
	}
	for _, member := range []string{"a", "b"} {
		if len(m.conns) > modelConns || byMember[member] > modelConnsPerMember || byKey[Key{member, "x"}] > modelConnsPerKey {
			m.t.Fatalf("connection limit exceeded: %v", byKey)
		}
	}
}

func (m *poolModel) checkRequests() {
	for id, key := range m.requests {
		for connID, state := range m.conns {
			if state == connIdle && m.keys[connID] == key {
				m.t.Fatalf("request %s waits for %v although connection %d is idle", id, key, connID)
			}
		}
		if waited := m.now - m.requestedAt[id]; key.Pool != "z" && waited > modelWaitTimeoutMs+sweepIntervalMs {
			m.t.Fatalf("request %s is still waiting after %v ms", id, waited)
		}
	}
}

// drawConn draws a connection in the given state; 0 if there is none.
func (m *poolModel) drawConn(state connState) int {
	var ids []int
	for id, current := range m.conns {
		if current == state {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0
	}
	slices.Sort(ids)
	return ids[rapid.IntRange(0, len(ids)-1).Draw(m.t, "connection")]
}

func (m *poolModel) drawInput() {
	member := rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "member")
	switch rapid.IntRange(0, 11).Draw(m.t, "input") {
	case 0:
		m.pool.MemberListed(member, rapid.Bool().Draw(m.t, "listed"))
	case 1:
		m.pool.RetireConnections(member)
	case 2, 3, 4:
		m.request(member)
	case 5, 6:
		if id := m.drawConn(connOpening); id > 0 {
			m.conns[id] = connIdle
			m.pool.Opened(id)
		}
	case 7:
		if id := m.drawConn(connOpening); id > 0 {
			delete(m.conns, id)
			m.pool.OpenFailed(id, FailureCause(rapid.IntRange(0, 2).Draw(m.t, "cause")))
		}
	case 8, 9:
		if id := m.drawConn(connBusy); id > 0 {
			m.conns[id] = connIdle
			m.pool.Release(id, nil)
		}
	case 10:
		state := rapid.SampledFrom([]connState{connBusy, connIdle, connOpening}).Draw(m.t, "state")
		if id := m.drawConn(state); id > 0 {
			delete(m.conns, id)
			m.pool.ConnectionClosed(id)
		}
	case 11:
		m.cancelSingleRequest()
	}
}

func (m *poolModel) request(member string) {
	m.lastRequest++
	id := strconv.Itoa(m.lastRequest)
	key := Key{member, rapid.SampledFrom([]string{"x", "y", "z"}).Draw(m.t, "pool")}
	m.requests[id], m.requestedAt[id] = key, m.now
	m.pool.Request(Request{ID: id, Key: key, Tenant: rapid.SampledFrom([]string{"", "t", "u"}).Draw(m.t, "tenant")})
}

// cancelSingleRequest cancels the waiting request if there is exactly one.
func (m *poolModel) cancelSingleRequest() {
	if len(m.requests) != 1 {
		return
	}
	for id := range m.requests {
		delete(m.requests, id)
		m.pool.Cancel(id)
	}
}

// shutDown removes the members, closes the remaining connections and checks that no state is left.
func (m *poolModel) shutDown() {
	m.pool.MemberListed("a", false)
	m.pool.MemberListed("b", false)
	m.pull()
	for id := range m.conns {
		m.pool.ConnectionClosed(id)
		delete(m.conns, id)
	}
	for range 3 {
		m.now += 2000
		m.pool.Advance(m.now)
		m.pull()
	}
	p := m.pool
	if len(p.conns)+len(p.members)+len(p.waiters)+len(p.contended)+len(p.poolTotals)+len(m.requests) > 0 {
		m.t.Fatalf("left over: %d connections, %d members, %d waiters, %d contended sub-pools, %d totals, %d unanswered requests",
			len(p.conns), len(p.members), len(p.waiters), len(p.contended), len(p.poolTotals), len(m.requests))
	}
}
