package frontend

import (
	"cmp"
	"net"
	"slices"
	"testing"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"pgregory.net/rapid"

	decide "wayloft/internal/decide/session"
	"wayloft/internal/eventloop"
	"wayloft/internal/pg"
	"wayloft/router"
)

// front is a router's clients' side before no members.
type front struct {
	t    *testing.T
	host *eventloop.Driver
	all  *Frontend
	addr string
}

func newFront(t *testing.T, most int) *front {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := eventloop.New(eventloop.NewLoop(256), router.New(&router.Settings{}, 1), nil, func() {})
	f := &front{t: t, host: h, all: New(h, most, 1<<20, 1<<16), addr: l.Addr().String()}
	f.all.SetPooling(&Pooling{Pools: []*Pool{{Name: "p", Database: "pooled", Policy: decide.Policy{MaxSettingsBytes: 1 << 12, MaxStatements: 8},
		KnownParameters: iradix.New[string]}, {Name: "s", Database: "plain", StatementMode: true}}})
	if err := h.Listen(f.all.Gate(l), 1<<20, f.all.Accept); err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool)
	go func() { h.Run(); close(ended) }()
	t.Cleanup(func() { h.Post(h.Stop); <-ended })
	return f
}

// do has f run on the loop, and waits for it.
func (f *front) do(what func()) {
	done := make(chan bool)
	f.host.Post(func() { what(); close(done) })
	<-done
}

// dial has a client let in and asks what is answered here; it has its answers when this returns.
func (f *front) dial(database string, asks bool) net.Conn {
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	out, ready := pg.AppendStartup(nil, "u", database), 1
	if asks {
		out, ready = pg.AppendQuery(out, ""), 2
	}
	f.say(c, out, ready)
	return c
}

func (f *front) say(c net.Conn, out []byte, ready int) {
	f.t.Helper()
	if _, err := c.Write(out); err != nil {
		f.t.Fatal(err)
	}
	r, buf := pg.NewReader(true, 1<<16), make([]byte, 1<<12)
	for r.EnableExtended(); ready > 0; {
		m, ok, err := r.Next()
		if err != nil {
			f.t.Fatal(err)
		}
		if !ok {
			n, err := c.Read(buf)
			if err != nil {
				f.t.Fatal(err)
			}
			r.Feed(buf[:n])
		} else if m.Kind == pg.ReadyForQuery {
			ready--
		}
	}
}

// Guards against looks that cost by how many sessions there are, and not by what they do.
func TestALookPassesOverThoseThatRest(t *testing.T) {
	f := newFront(t, 150)
	var of []net.Conn
	for range 40 {
		of = append(of, f.dial("pooled", false), f.dial("plain", true))
	}
	f.do(func() {
		for s := range f.all.sessions {
			if s.pooled != nil && s.pooled.reportedParameters != defaultParameters {
				t.Error("a session holds a copy of its own of what all clients are told")
				return
			}
		}
	})
	looked := func(looks int) (n int) {
		f.do(func() {
			before := f.all.sweepIndex.visits
			for range looks {
				f.all.sweepOnce()
			}
			n = f.all.sweepIndex.visits - before
		})
		return n
	}
	looked(1) // those that came since the last
	if n := looked(10); n != 0 {
		t.Errorf("ten looks at %d sessions that rest took %d, not none", len(of), n)
	}
	for _, c := range of[:2] { // one of each form
		f.say(c, pg.AppendQuery(nil, ""), 1)
		f.do(func() {
			if n := len(f.all.sweepIndex.active); n > 1 {
				t.Errorf("%d sessions are awake, one has said something", n)
			}
		})
		if looked(1); looked(10) != 0 {
			t.Error("one that has been answered does not rest again")
		}
	}
	for _, c := range of {
		c.Close()
	}
	for here := 1; here > 0; {
		f.do(func() { here = len(f.all.sessions) })
	}
	f.do(func() {
		if r := &f.all.sweepIndex; len(r.active)+r.awaitingFirst.Len()+r.idle.Len() > 0 {
			t.Errorf("of sessions that are gone %d awake, %d fresh, %d resting are kept", len(r.active), r.awaitingFirst.Len(), r.idle.Len())
		}
	})
}

// before is the rule itself, over any two sessions that can end.
func before(s, o *session, now float64) int {
	rank := func(s *session) int {
		switch {
		case s.sentQuery:
			return 2
		case now < s.idleSince+newConnectionGraceMs:
			return 3
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rank(s), rank(o)), cmp.Compare(s.idleSince, o.idleSince))
}

// connect has so many connections come in that say nothing, and gives their sessions.
func (f *front) connect(n int) (all []*session) {
	for range n {
		c, err := net.Dial("tcp", f.addr)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { c.Close() })
	}
	for len(all) < n {
		f.do(func() {
			all = all[:0]
			for s := range f.all.sessions {
				s.inputDeadline = 1e18 // none is sent away for its silence meanwhile
				all = append(all, s)
			}
		})
	}
	return all
}

// Whatever sessions there are, whichever of them sleep, and however early they were noted: who goes first is who the rule
// names among all.
func TestWhoGoesFirst(t *testing.T) {
	f := newFront(t, 50)
	all := f.connect(12)
	rapid.Check(t, func(t *rapid.T) {
		type drawn struct {
			since, noted int
			asked, sleep bool
			ends, busy   bool
		}
		draws := make([]drawn, len(all))
		for n := range draws {
			since := rapid.IntRange(0, 9).Draw(t, "since")
			draws[n] = drawn{since, rapid.IntRange(0, since).Draw(t, "noted"), rapid.Bool().Draw(t, "asked"), rapid.Bool().Draw(t, "sleep"),
				rapid.IntRange(0, 5).Draw(t, "ends") == 0, rapid.IntRange(0, 3).Draw(t, "busy") == 0}
		}
		var wrong bool
		f.do(func() {
			now := f.host.Now()
			a := f.all
			for n, s := range all {
				d := draws[n]
				a.sweepIndex.remove(s)
				s.sentQuery, s.ends, s.queue = d.asked, false, nil
				if s.idleSince = now - 800 + 40*float64(d.noted); !d.asked || !d.sleep {
					a.sweepIndex.add(s) // and has asked since, if it has
				} else {
					a.sweepIndex.active[s] = true
					a.sweepIndex.deactivateIfIdle(s)
				}
				if s.idleSince = now - 800 + 40*float64(d.since); d.asked && !d.sleep {
					s.idleSince += 400 // it rests since the last look, those that sleep since before
				} else if !d.asked && d.since%2 == 0 {
					s.idleSince += 760 // a newcomer
				}
				if s.ends = d.ends; d.busy && !(d.asked && d.sleep) {
					s.queue = []queuedMessage{{}}
				}
			}
			var first *session
			for _, s := range all {
				if s.mayBeEnded() && (first == nil || before(s, first, now) < 0) {
					first = s
				}
			}
			got := a.evictionCandidate(now)
			wrong = (got == nil) != (first == nil) || got != nil && before(got, first, now) != 0
			again := a.evictionCandidate(now)
			wrong = wrong || (again == nil) != (got == nil) || got != nil && before(again, got, now) != 0
			for _, s := range all {
				s.ends, s.queue = false, nil
			}
		})
		if wrong {
			t.Fatalf("not the first: %+v", draws)
		}
	})
}

// Of those that rest all but the latest third of what there is room for end, and those that have rested too long.
func TestThoseThatRestedLongestEnd(t *testing.T) {
	for _, c := range []struct {
		most, old, left int // old: of ten that rest, how many for too long
	}{{30, 0, 10}, {30, 4, 6}, {15, 0, 5}, {15, 2, 5}, {15, 7, 3}} {
		f := newFront(t, c.most)
		all := f.connect(10)
		f.do(func() {
			now := f.host.Now()
			for n, s := range all {
				s.sentQuery, s.idleSince = true, now-1000+float64(n)
				if n < c.old {
					s.idleSince -= idleTimeoutMs
				}
			}
			slices.Reverse(all)
			f.all.sweepOnce()
			for n, s := range all {
				if s.ends != (n >= c.left) {
					t.Errorf("%+v: the session that rests as the %dth: ends %v", c, n+1, s.ends)
				}
			}
		})
	}
}

// Guards against a router that wakes ten times a second for sessions of which none has anything to be looked at, and against
// one that does not wake for the first that has.
func TestNoLookComesWhereAllSleep(t *testing.T) {
	f := newFront(t, 30)
	var of []net.Conn
	for range 10 {
		of = append(of, f.dial("pooled", false))
	}
	for looking := true; looking; {
		f.do(func() { looking = f.all.sweepScheduled })
	}
	f.do(func() {
		if n := len(f.all.sweepIndex.active); n > 0 {
			t.Errorf("no look is to come, %d sessions are awake", n)
		}
	})
	if _, err := of[3].Write(pg.AppendQuery(nil, "")[:3]); err != nil { // a message whose rest does not come
		t.Fatal(err)
	}
	for looking := false; !looking; {
		f.do(func() { looking = f.all.sweepScheduled })
	}
	buf := make([]byte, 1<<12)
	for err := error(nil); err == nil; { // it is sent away
		_, err = of[3].Read(buf)
	}
	f.do(func() {
		if f.all.TimedOut != 1 {
			t.Errorf("%d sessions were sent away for their silence, not 1", f.all.TimedOut)
		}
	})
}
