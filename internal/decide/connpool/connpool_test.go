package connpool

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"wayloft/internal/fakes/scenario"
)

// A scenario is a text file, one step a line; # starts a comment.
//
//	set all=9 member=4                       then: pool NAME permember=2 wait=100 idle=1000 ...
//	at 120                                   the time; what follows happens then
//	up a / down a / renew a / closeidle a    of a member
//	want t1 a/NAME tenant=x like=s           leave t1
//	opened 1 / failed 1 / full 1 / short 1 / gone 1    of a connection, by its number
//	free 1 like=s / rest 1 / work 1
//	expect use 1 t1 fresh                    a decision that must be among those just pulled; it is used up
//	nothing                                  none is left
func TestScenarios(t *testing.T) {
	scenario.Play(t, func() func(string) error {
		p := &play{set: Settings{MaxTotal: 100, Pools: map[string]Bounds{}}}
		return func(line string) error { return p.step(strings.Fields(line)) }
	})
}

type play struct {
	set   Settings
	p     *Pool
	now   float64
	out   []string
	stale bool
}

func options(words []string) (map[string]string, func(string) float64) {
	m := map[string]string{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		m[k] = v
	}
	return m, func(key string) float64 { x, _ := strconv.ParseFloat(m[key], 64); return x }
}

var verbs, whys = []string{"open", "use", "close", "refuse", "end"}, []string{"noroom", "late", "unconnected"}

func told(d Decision) string {
	s := verbs[d.Action]
	switch d.Action {
	case Reject:
		return s + " " + d.RequestID + " " + whys[d.Reason]
	case Open:
		s += " " + strconv.Itoa(d.Conn) + " " + d.Key.Member + "/" + d.Key.Pool
	default:
		s += " " + strconv.Itoa(d.Conn)
	}
	if s += " " + d.RequestID; d.Unsettled {
		s += " fresh"
	}
	return strings.TrimSpace(s)
}

func (p *play) step(w []string) error {
	o, x := options(w[1:])
	switch w[0] {
	case "set":
		p.set.MaxTotal, p.set.MaxPerMember = int(x("all")), int(x("member"))
		return nil
	case "pool":
		p.set.Pools[w[1]] = Bounds{PerMember: int(x("permember")), Total: int(x("total")), MinIdle: int(x("warm")), WaitTimeoutMs: x("wait"),
			IdleTimeoutMs: x("idle"), MaxAgeMs: x("age"), MaxUses: int(x("uses")), ReuseDelayMs: x("settle"), IdleInTransactionTimeoutMs: x("inside")}
		return nil
	case "at":
		if p.now, _ = strconv.ParseFloat(w[1], 64); p.p == nil {
			p.p = New(p.set)
		}
		p.p.Advance(p.now)
		p.stale = true
		return nil
	case "expect", "nothing":
		if p.stale {
			p.stale, p.out = false, nil
			for d, more := p.p.Next(); more; d, more = p.p.Next() {
				p.out = append(p.out, told(d))
			}
		}
		if w[0] == "nothing" {
			if len(p.out) > 0 {
				return fmt.Errorf("left: %s", strings.Join(p.out, "; "))
			}
			return nil
		}
		n := slices.Index(p.out, strings.Join(w[1:], " "))
		if n < 0 {
			return fmt.Errorf("decisions left: %s", strings.Join(p.out, "; "))
		}
		p.out = slices.Delete(p.out, n, n+1)
		return nil
	}
	p.stale = true
	p.p.Advance(p.now)
	conn, _ := strconv.Atoi(w[1])
	var like any
	if o["like"] != "" {
		like = o["like"]
	}
	switch w[0] {
	case "up", "down":
		p.p.MemberListed(w[1], w[0] == "up")
	case "renew":
		p.p.RetireConnections(w[1])
	case "closeidle":
		p.p.CloseIdle(w[1])
	case "want":
		member, name, _ := strings.Cut(w[2], "/")
		p.p.Request(Request{ID: w[1], Key: Key{member, name}, Tenant: o["tenant"], Affinity: like})
	case "leave":
		p.p.Cancel(w[1])
	case "opened":
		p.p.Opened(conn)
	case "failed", "full", "short":
		p.p.OpenFailed(conn, map[string]FailureCause{"failed": Unreachable, "full": TooManyConnections, "short": NoLocalResources}[w[0]])
	case "free":
		p.p.Release(conn, like)
	case "gone":
		p.p.ConnectionClosed(conn)
	case "rest", "work":
		p.p.SetTurn(conn, w[0] == "rest")
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

// Whatever happens in whatever order: no bound is passed, nobody has a connection that another has, every want is
// answered once or leaves, nobody waits while a connection is idle for him, and at the end nothing is kept.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perMember, member, all, wait = 3, 4, 6, 500.0
		p := New(Settings{MaxTotal: all, MaxPerMember: member, Pools: map[string]Bounds{"x": {PerMember: perMember, WaitTimeoutMs: wait, IdleTimeoutMs: 900,
			MaxAgeMs: 5000, MaxUses: 7, IdleInTransactionTimeoutMs: 300}, "y": {WaitTimeoutMs: wait, IdleTimeoutMs: 900, MinIdle: 1}, "z": {ReuseDelayMs: 2}}})
		now, ids := 1000.0, 0
		conns, keys := map[int]string{}, map[int]Key{} // how it stands; busy ones name their want
		asked, since := map[string]Key{}, map[string]float64{}
		pull := func() {
			for d, more := p.Next(); more; d, more = p.Next() {
				switch d.Action {
				case Open:
					conns[d.Conn], keys[d.Conn] = "opening", d.Key
				case Assign:
					if conns[d.Conn] != "idle" || keys[d.Conn] != asked[d.RequestID] {
						t.Fatalf("%s for %v: it is %s of %v", told(d), asked[d.RequestID], conns[d.Conn], keys[d.Conn])
					}
					conns[d.Conn] = "busy"
					delete(asked, d.RequestID)
				case Close:
					if conns[d.Conn] == "busy" || conns[d.Conn] == "" {
						t.Fatalf("%s, which is %s", told(d), conns[d.Conn])
					}
					delete(conns, d.Conn)
				case Reject:
					if _, waits := asked[d.RequestID]; !waits {
						t.Fatalf("%s, which does not wait", told(d))
					}
					delete(asked, d.RequestID)
				case CloseIdleInTransaction:
					if conns[d.Conn] != "busy" {
						t.Fatalf("%s, which is %s", told(d), conns[d.Conn])
					}
				}
				count, at := map[string]int{}, map[string]int{}
				for id := range conns {
					count[keys[id].Member+"/"+keys[id].Pool]++
					at[keys[id].Member]++
				}
				for _, m := range []string{"a", "b"} {
					if len(conns) > all || at[m] > member || count[m+"/x"] > perMember {
						t.Fatalf("over a bound: %v", count)
					}
				}
			}
			for id, k := range asked {
				for c, how := range conns {
					if how == "idle" && keys[c] == k {
						t.Fatalf("%s waits for %v, and %d is idle", id, k, c)
					}
				}
				if k.Pool != "z" && now-since[id] > wait+sweepGap {
					t.Fatalf("%s still waits after %v", id, now-since[id])
				}
			}
		}
		some := func(how string) int {
			var ids []int
			for id, is := range conns {
				if is == how {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				return 0
			}
			slices.Sort(ids)
			return ids[rapid.IntRange(0, len(ids)-1).Draw(t, "which")]
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0, 1, 30, 400}).Draw(t, "ms")
			p.Advance(now)
			who := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "member")
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0:
				p.MemberListed(who, rapid.Bool().Draw(t, "up"))
			case 1:
				p.RetireConnections(who)
			case 2, 3, 4:
				ids++
				id := strconv.Itoa(ids)
				k := Key{who, rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "pool")}
				asked[id], since[id] = k, now
				p.Request(Request{ID: id, Key: k, Tenant: rapid.SampledFrom([]string{"", "t", "u"}).Draw(t, "tenant")})
			case 5, 6:
				if c := some("opening"); c > 0 {
					conns[c] = "idle"
					p.Opened(c)
				}
			case 7:
				if c := some("opening"); c > 0 {
					delete(conns, c)
					p.OpenFailed(c, FailureCause(rapid.IntRange(0, 2).Draw(t, "cause")))
				}
			case 8, 9:
				if c := some("busy"); c > 0 {
					conns[c] = "idle"
					p.Release(c, nil)
				}
			case 10:
				if c := some(rapid.SampledFrom([]string{"busy", "idle", "opening"}).Draw(t, "how")); c > 0 {
					delete(conns, c)
					p.ConnectionClosed(c)
				}
			case 11:
				for id := range asked {
					if len(asked) == 1 {
						delete(asked, id)
						p.Cancel(id)
					}
				}
			}
			pull()
		}
		p.MemberListed("a", false)
		p.MemberListed("b", false)
		pull()
		for c := range conns {
			p.ConnectionClosed(c)
			delete(conns, c)
		}
		for range 3 {
			now += 2000
			p.Advance(now)
			pull()
		}
		if left := len(p.conns) + len(p.places) + len(p.wants) + len(p.hungry) + len(p.totals) + len(asked); left > 0 {
			t.Fatalf("kept: %d connections, %d members, %d wants, %d hungry, %d totals, %d unanswered", len(p.conns), len(p.places),
				len(p.wants), len(p.hungry), len(p.totals), len(asked))
		}
	})
}

func BenchmarkTurn(b *testing.B) {
	p := New(Settings{MaxTotal: 100, Pools: map[string]Bounds{"x": {PerMember: 16, WaitTimeoutMs: 1000}}})
	p.Advance(1)
	p.MemberListed("a", true)
	b.ReportAllocs()
	for n := range b.N {
		p.Advance(float64(n))
		p.Request(Request{ID: "w", Key: Key{"a", "x"}})
		for d, more := p.Next(); more; d, more = p.Next() {
			if d.Action == Open {
				p.Opened(d.Conn)
				p.Advance(float64(n))
			} else if d.Action == Assign {
				p.Release(d.Conn, nil)
			}
		}
	}
}
