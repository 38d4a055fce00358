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

// Guards against a sweep that costs by how many members and connections there are.
func TestASweepPassesOverWhatRests(t *testing.T) {
	p := New(Settings{MaxTotal: 2000, Pools: map[string]Bounds{"x": {IdleTimeoutMs: 60000, MaxAgeMs: 90000, MaxUses: 9, WaitTimeoutMs: 500, IdleInTransactionTimeoutMs: 70000, MinIdle: 1}}})
	pull := func(now float64) (n int) {
		p.Advance(now)
		for _, more := p.Next(); more; _, more = p.Next() {
			n++
		}
		return n
	}
	p.Advance(0)
	for n := range 820 {
		p.MemberListed(strconv.Itoa(n), true)
	}
	pull(0)
	for id := 1; id <= 820; id++ {
		p.Opened(id)
	}
	p.Request(Request{ID: "w", Key: Key{"7", "x"}})
	pull(100)
	p.SetTurn(8, true)
	pull(200)
	before := p.visited
	for n := range 100 {
		if d := pull(300 + 100*float64(n)); d > 0 {
			t.Fatalf("%d decisions though nothing happened", d)
		}
	}
	if n := p.visited - before; n != 0 {
		t.Errorf("100 sweeps over 820 members with a connection each went over %d of them, none was due", n)
	}
	if due := p.NextDeadline(); due < 60000 {
		t.Errorf("due at %v, the first that has something to do is idle for too long at 60000", due)
	}
	p.Advance(11000)
	p.Request(Request{ID: "v", Key: Key{"9", "x"}})
	if before = p.visited; p.NextDeadline() > 11000 || pull(11000) != 1 || p.visited > before+1 {
		t.Errorf("one member is wanted: %d gone over, due at %v", p.visited-before, p.NextDeadline())
	}
}

// Whatever happens, in whatever order: sweeps that pass over what they don't expect to be due decide the same as sweeps
// over everything, and Due is never later than the next of these decisions.
func TestSweepsMissNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{MaxTotal: 6, MaxPerMember: 4, Pools: map[string]Bounds{"x": {PerMember: 3, WaitTimeoutMs: 500, IdleTimeoutMs: 900, MaxAgeMs: 5000, MaxUses: 7,
			IdleInTransactionTimeoutMs: 300}, "y": {WaitTimeoutMs: 500, IdleTimeoutMs: 900, MinIdle: 1}, "z": {ReuseDelayMs: 2}}}
		p, all := New(set), New(set)
		now, ids := 1000.0, 0
		state, wants := map[int]Action{}, []string{}
		pull := func(p *Pool) (out []Decision) {
			for d, more := p.Next(); more; d, more = p.Next() {
				out = append(out, d)
			}
			return out
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			by := now + rapid.SampledFrom([]float64{0, 1, 30, 120, 400, 3000}).Draw(t, "ms")
			for all.sweepAt <= by { // as a host would: at each sweep of the one, at Due of the other
				now = math.Max(now, all.sweepAt)
				all.Advance(now)
				for _, m := range all.places {
					all.stir(m)
				}
				want := pull(all)
				var got []Decision
				if p.NextDeadline() <= now {
					p.Advance(now)
					got = pull(p)
				}
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Fatalf("at %v: %v, a sweep over everything has %v", now, got, want)
				}
				p.sweepAt = all.sweepAt
				note(got, state)
			}
			now = by
			who := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "member")
			name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "pool")
			tenant := rapid.SampledFrom([]string{"", "t"}).Draw(t, "tenant")
			cause := FailureCause(rapid.IntRange(0, 2).Draw(t, "cause"))
			yes := rapid.IntRange(0, 3).Draw(t, "yes") > 0
			some := func(among func(Action) bool) int {
				var ids []int
				for id, v := range state {
					if among(v) {
						ids = append(ids, id)
					}
				}
				if slices.Sort(ids); len(ids) == 0 {
					return 0
				}
				return ids[rapid.IntRange(0, len(ids)-1).Draw(t, "which")]
			}
			opening, inUse := some(func(v Action) bool { return v == Open }), some(func(v Action) bool { return v == Assign })
			step := rapid.IntRange(0, 9).Draw(t, "step")
			if step == 1 {
				ids++
				wants = append(wants, strconv.Itoa(ids))
			}
			for _, one := range []*Pool{p, all} {
				one.Advance(now)
				switch step {
				case 0:
					one.MemberListed(who, yes)
				case 1:
					one.Request(Request{ID: strconv.Itoa(ids), Key: Key{who, name}, Tenant: tenant})
				case 2, 3:
					one.Opened(opening)
				case 4:
					one.OpenFailed(opening, cause)
				case 5, 6:
					one.Release(inUse, nil)
				case 7:
					one.SetTurn(inUse, yes)
				case 8:
					one.ConnectionClosed(cmp.Or(inUse, opening))
				case 9:
					if len(wants) > 0 {
						one.Cancel(wants[0])
					}
				}
			}
			switch step {
			case 2, 3:
				if opening > 0 {
					state[opening] = Close // up
				}
			case 4:
				delete(state, opening)
			case 5, 6:
				if inUse > 0 {
					state[inUse] = Close
				}
			case 8:
				delete(state, cmp.Or(inUse, opening))
			case 9:
				if len(wants) > 0 {
					wants = wants[1:]
				}
			}
			for _, m := range all.places {
				all.stir(m)
			}
			got, want := pull(p), pull(all)
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("at %v: %v, a sweep over everything has %v", now, got, want)
			}
			note(got, state)
			p.sweepAt = all.sweepAt
		}
	})
}

// note keeps how connections stand: opening, in use, or up.
func note(ds []Decision, state map[int]Action) {
	for _, d := range ds {
		switch d.Action {
		case Open, Assign:
			state[d.Conn] = d.Action
		case Close:
			delete(state, d.Conn)
		}
	}
}

// Guards against a member that was forgotten, whose last sweep forgets the one that has its name by then.
func TestListedAnewAfterItWasForgotten(t *testing.T) {
	p := New(Settings{MaxTotal: 9, Pools: map[string]Bounds{"x": {WaitTimeoutMs: 500}}})
	expect := func(now float64, want ...Action) {
		t.Helper()
		p.Advance(now)
		var got []Action
		for d, more := p.Next(); more; d, more = p.Next() {
			got = append(got, d.Action)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("at %v: %v, not %v", now, got, want)
		}
	}
	expect(0)
	p.Request(Request{ID: "w", Key: Key{"a", "x"}})
	expect(600, Reject)
	p.MemberListed("a", true)
	p.Request(Request{ID: "v", Key: Key{"a", "x"}})
	expect(610, Open)
	p.Opened(1)
	expect(620, Assign)
	expect(800)
	p.Release(1, nil)
	p.MemberListed("a", false)
	expect(810, Close)
}

// Guards against somebody who waits for a member that can be tried again, until something else wakes the pool.
func TestWhoWaitsIsTriedAgainInTime(t *testing.T) {
	p := New(Settings{MaxTotal: 9, Pools: map[string]Bounds{"x": {WaitTimeoutMs: 60000}}})
	p.MemberListed("a", true)
	p.Request(Request{ID: "w", Key: Key{"a", "x"}})
	tries, now := 0, 0.0
	for ; now < 2000; now = p.NextDeadline() {
		p.Advance(now)
		for d, more := p.Next(); more; d, more = p.Next() {
			if d.Action == Open {
				tries++
				p.OpenFailed(d.Conn, TooManyConnections)
			}
		}
	}
	if tries < 7 { // at 0, and after 20, 40, 80, 160, 320 and 640 ms more, each with a sweep's gap at most
		t.Errorf("%d tries by %v", tries, now)
	}
}
