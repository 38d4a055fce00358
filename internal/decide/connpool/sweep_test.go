package connpool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

func pullAll(p *Pool) (decisions []Decision) {
	for d, ok := p.Next(); ok; d, ok = p.Next() {
		decisions = append(decisions, d)
	}
	return decisions
}

func TestSweep_SkipsMembersWithNothingDue(t *testing.T) {
	const members = 820
	p := New(Settings{MaxTotal: 2000, Pools: map[string]Bounds{"x": {IdleTimeoutMs: 60000, MaxAgeMs: 90000, MaxUses: 9, WaitTimeoutMs: 500,
		IdleInTransactionTimeoutMs: 70000, MinIdle: 1}}})
	pullAt := func(now float64) int {
		p.Advance(now)
		return len(pullAll(p))
	}
	p.Advance(0)
	for n := range members {
		p.MemberListed(strconv.Itoa(n), true)
	}
	pullAt(0)
	for id := 1; id <= members; id++ {
		p.Opened(id)
	}
	p.Request(Request{ID: "1", Key: Key{"7", "x"}})
	pullAt(100)
	p.SetAwaitingClient(8, true)
	pullAt(200)
	before := p.sweepVisits
	for n := range 100 {
		if d := pullAt(300 + 100*float64(n)); d > 0 {
			t.Fatalf("got %d decisions without any input", d)
		}
	}
	if visits := p.sweepVisits - before; visits != 0 {
		t.Errorf("100 sweeps over %d members with one connection each: %d visits, want none since nothing is due", members, visits)
	}
	if deadline := p.NextDeadline(); deadline < 60000 {
		t.Errorf("next deadline is %v, want at least 60000, the first idle timeout", deadline)
	}
	p.Advance(11000)
	p.Request(Request{ID: "2", Key: Key{"9", "x"}})
	if before = p.sweepVisits; p.NextDeadline() > 11000 || pullAt(11000) != 1 || p.sweepVisits > before+1 {
		t.Errorf("after a request for one member: %d visits, next deadline %v", p.sweepVisits-before, p.NextDeadline())
	}
}

// TestSweep_DecidesAsFullSweep applies random inputs and checks that sweeps which visit only what is due make the same decisions as
// sweeps over everything, and that NextDeadline is never later than the next of these decisions.
func TestSweep_DecidesAsFullSweep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sweepComparison{t: t, now: 1000, pool: New(modelSettings), fullPool: New(modelSettings), conns: map[int]Action{}}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			s.sweepUntil(s.now + rapid.SampledFrom([]float64{0, 1, 30, 120, 400, 3000}).Draw(t, "ms"))
			s.drawInput()
			s.markAllDirty()
			s.compare(pullAll(s.pool), pullAll(s.fullPool))
		}
	})
}

// sweepComparison applies the same inputs to two pools. Sweeps of fullPool visit everything.
type sweepComparison struct {
	t              *rapid.T
	now            float64
	pool, fullPool *Pool
	requests       []string // IDs of requests that have not been cancelled
	lastRequestID  int
	conns          map[int]Action // last decision on each connection; Close for an idle one
}

// markAllDirty makes the next sweep of fullPool visit everything.
func (s *sweepComparison) markAllDirty() {
	for _, m := range s.fullPool.members {
		s.fullPool.markDirty(m)
	}
}

// compare fails the test if the decisions differ.
func (s *sweepComparison) compare(got, want []Decision) {
	if fmt.Sprint(got) != fmt.Sprint(want) {
		s.t.Fatalf("at %v: got decisions %v, want %v as from a full sweep", s.now, got, want)
	}
	s.pool.nextSweepAt = s.fullPool.nextSweepAt
	for _, d := range got {
		switch d.Action {
		case Open, Assign:
			s.conns[d.Conn] = d.Action
		case Close:
			delete(s.conns, d.Conn)
		}
	}
}

// sweepUntil drives both pools up to a time: fullPool at each of its sweeps, the other pool at its deadlines.
func (s *sweepComparison) sweepUntil(end float64) {
	for s.fullPool.nextSweepAt <= end {
		s.now = math.Max(s.now, s.fullPool.nextSweepAt)
		s.fullPool.Advance(s.now)
		s.markAllDirty()
		want := pullAll(s.fullPool)
		var got []Decision
		if s.pool.NextDeadline() <= s.now {
			s.pool.Advance(s.now)
			got = pullAll(s.pool)
		}
		s.compare(got, want)
	}
	s.now = end
}

// drawConn draws a connection whose last decision is the given one; 0 if there is none.
func (s *sweepComparison) drawConn(last Action) int {
	var ids []int
	for id, action := range s.conns {
		if action == last {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0
	}
	slices.Sort(ids)
	return ids[rapid.IntRange(0, len(ids)-1).Draw(s.t, "connection")]
}

// sweepInput is a random input.
type sweepInput struct {
	kind                 int
	member, pool, tenant string
	cause                FailureCause
	flag                 bool
	opening, busy        int // connections; 0 means none
}

func (s *sweepComparison) drawInput() {
	in := sweepInput{
		member:  rapid.SampledFrom([]string{"a", "b"}).Draw(s.t, "member"),
		pool:    rapid.SampledFrom([]string{"x", "y", "z"}).Draw(s.t, "pool"),
		tenant:  rapid.SampledFrom([]string{"", "t"}).Draw(s.t, "tenant"),
		cause:   FailureCause(rapid.IntRange(0, 2).Draw(s.t, "cause")),
		flag:    rapid.IntRange(0, 3).Draw(s.t, "flag") > 0,
		opening: s.drawConn(Open),
		busy:    s.drawConn(Assign),
		kind:    rapid.IntRange(0, 9).Draw(s.t, "kind"),
	}
	if in.kind == 1 {
		s.lastRequestID++
		s.requests = append(s.requests, strconv.Itoa(s.lastRequestID))
	}
	for _, p := range []*Pool{s.pool, s.fullPool} {
		p.Advance(s.now)
		s.apply(p, in)
	}
	s.trackState(in)
}

func (s *sweepComparison) apply(p *Pool, in sweepInput) {
	switch in.kind {
	case 0:
		p.MemberListed(in.member, in.flag)
	case 1:
		p.Request(Request{ID: s.requests[len(s.requests)-1], Key: Key{in.member, in.pool}, Tenant: in.tenant})
	case 2, 3:
		p.Opened(in.opening)
	case 4:
		p.OpenFailed(in.opening, in.cause)
	case 5, 6:
		p.Release(in.busy, nil)
	case 7:
		p.SetAwaitingClient(in.busy, in.flag)
	case 8:
		p.ConnectionClosed(cmp.Or(in.busy, in.opening))
	case 9:
		if len(s.requests) > 0 {
			p.Cancel(s.requests[0])
		}
	}
}

// trackState updates the states of connections and requests after an input.
func (s *sweepComparison) trackState(in sweepInput) {
	switch in.kind {
	case 2, 3:
		if in.opening > 0 {
			s.conns[in.opening] = Close
		}
	case 4:
		delete(s.conns, in.opening)
	case 5, 6:
		if in.busy > 0 {
			s.conns[in.busy] = Close
		}
	case 8:
		delete(s.conns, cmp.Or(in.busy, in.opening))
	case 9:
		if len(s.requests) > 0 {
			s.requests = s.requests[1:]
		}
	}
}

// TestMemberListed_AfterMemberWasRemoved guards against a pending sweep of a removed member that also removes a new member listed
// under the same ID.
func TestMemberListed_AfterMemberWasRemoved(t *testing.T) {
	p := New(Settings{MaxTotal: 9, Pools: map[string]Bounds{"x": {WaitTimeoutMs: 500}}})
	expect := func(now float64, want ...Action) {
		t.Helper()
		p.Advance(now)
		var got []Action
		for _, d := range pullAll(p) {
			got = append(got, d.Action)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("at %v: got %v, want %v", now, got, want)
		}
	}
	expect(0)
	p.Request(Request{ID: "1", Key: Key{"a", "x"}})
	expect(600, Reject)
	p.MemberListed("a", true)
	p.Request(Request{ID: "2", Key: Key{"a", "x"}})
	expect(610, Open)
	p.Opened(1)
	expect(620, Assign)
	expect(800)
	p.Release(1, nil)
	p.MemberListed("a", false)
	expect(810, Close)
}

// TestNextDeadline_RetriesConnectForWaiters guards against waiters that are not served until another input arrives.
func TestNextDeadline_RetriesConnectForWaiters(t *testing.T) {
	p := New(Settings{MaxTotal: 9, Pools: map[string]Bounds{"x": {WaitTimeoutMs: 60000}}})
	p.MemberListed("a", true)
	p.Request(Request{ID: "1", Key: Key{"a", "x"}})
	attempts, now := 0, 0.0
	for ; now < 2000; now = p.NextDeadline() {
		p.Advance(now)
		for d, ok := p.Next(); ok; d, ok = p.Next() {
			if d.Action == Open {
				attempts++
				p.OpenFailed(d.Conn, TooManyConnections)
			}
		}
	}
	if attempts < 7 { // at 0, then after 20, 40, 80, 160, 320 and 640 ms, each delayed by at most one sweep interval
		t.Errorf("got %d attempts until %v, want at least 7", attempts, now)
	}
}
