//go:build debug

package members

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"wayloft/internal/decide/pool"
	"wayloft/internal/discovery"
	"wayloft/internal/exchange"
	"wayloft/internal/faults"
	"wayloft/internal/host"
	"wayloft/internal/pg"
	"wayloft/internal/standin"
	"wayloft/router"
)

// wholeRouter runs a module, its loop and its members' side before the members of one group.
func wholeRouter(t *testing.T, kinds map[string]*router.TxnType, addrs ...string) *host.Host {
	t.Helper()
	h := host.New(host.NewLoop(512), router.New(&router.Settings{Routers: 1, Submissions: 3, CanCheck: true, CanRevoke: true,
		TxnTypes: kinds}, 1), kinds, func() {})
	side := New(h, Limits{DialTimeout: 5000, Longest: longest, Budget: 4 * longest, Logins: map[string]Login{Platform: {"api", "ledger"}}},
		pool.New(pool.Settings{All: 10, Pools: map[string]pool.Bounds{Platform: pool.Statements(60000), Cancels: pool.Cancels(1000)}}))
	h.Use(side)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Listen(front, 1<<20, func(*host.Conn) {}); err != nil {
		t.Fatal(err)
	}
	l := &discovery.List{Whole: true}
	for n, addr := range addrs {
		l.Entries = append(l.Entries, discovery.Entry{ID: fmt.Sprint("m", n), Addr: addr, Group: 1, State: router.Up, Started: router.Never})
	}
	h.Soon(func() {
		side.List(l)
		r := h.List()
		r.ListStart()
		for _, e := range l.Entries {
			r.Listed(e.ID, e.Zone, e.Group, e.State, e.Started)
		}
		r.ListEnd(true)
	})
	ended := make(chan bool)
	go func() { h.Run(); close(ended) }()
	t.Cleanup(func() { h.Post(h.End); <-ended })
	return h
}

// This host has no port or no route for a while, or for longer than a request lives: the request has one final answer in time, it
// is served as soon as a dial succeeds, and dials are few however long it lasts.
func TestShortageOfThisHost(t *testing.T) {
	const expiry, forever = 3000.0, 1 << 40
	for _, errno := range []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH} {
		for _, failing := range []int64{1, 8, forever} {
			for _, members := range []int{1, 3} {
				t.Run(fmt.Sprint(unix.ErrnoName(errno), ", dials that fail: ", failing, ", members: ", members), func(t *testing.T) {
					var addrs []string
					for range members {
						addrs = append(addrs, standin.NewMember(t, nil, func(string) *standin.Reply {
							return standin.Row("v", "source", "1")
						}).Addr)
					}
					var dials atomic.Int64
					defer faults.FailAt("host.connect", func() error {
						if dials.Add(1) <= failing {
							return dialError("connect", errno)
						}
						return nil
					})()
					h := wholeRouter(t, map[string]*router.TxnType{"x": {SLA: expiry, Expiry: expiry, Value: 1, LateValue: 1}}, addrs...)
					s, err := pg.ParseStatement(fmt.Sprintf("/* id=1,c=x,g=1,d=%.0f */ SELECT blob", expiry))
					if err != nil {
						t.Fatal(err)
					}
					s.Group = 1
					answers := make(chan exchange.Answer, 2)
					began := time.Now()
					h.Post(func() {
						if err := h.Arrive(exchange.New(s, h.Now(), func(a exchange.Answer) { answers <- a })); err != nil {
							t.Error(err)
						}
					})
					a := <-answers
					took := time.Since(began)
					if want := failing < forever; (a.Committed != nil) != want || a.Declined == want {
						t.Errorf("answered %+v after %v", a, took)
					}
					if took > time.Duration(expiry)*time.Millisecond {
						t.Errorf("answered after %v", took)
					}
					if most := int64(members) * (6 + took.Milliseconds()/100); failing == forever && dials.Load() > most {
						t.Errorf("%d dials in %v, want %d at most", dials.Load(), took, most)
					}
					t.Logf("%d dials in %v", dials.Load(), took)
				})
			}
		}
	}
}
