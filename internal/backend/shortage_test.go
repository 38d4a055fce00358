//go:build debug

package backend

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"wayloft/internal/decide/connpool"
	"wayloft/internal/discovery"
	"wayloft/internal/eventloop"
	"wayloft/internal/failpoint"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// wholeRouter runs a module, its loop and its members' side before the members of one group.
func wholeRouter(t *testing.T, kinds map[string]*router.RequestClass, addrs ...string) *eventloop.Driver {
	t.Helper()
	h := eventloop.New(eventloop.NewLoop(512), router.New(&router.Settings{Routers: 1, MaxAttempts: 3, CanHealthCheck: true, CanCancel: true,
		RequestClasses: kinds}, 1), kinds, func() {})
	side := New(h, Limits{DialTimeout: 5000, MaxResponse: longest, ResponseBudget: 4 * longest, Logins: map[string]Login{PlatformPool: {"api", "ledger"}}},
		connpool.New(connpool.Settings{All: 10, Pools: map[string]connpool.Bounds{PlatformPool: connpool.Statements(60000), CancelPool: connpool.Cancels(1000)}}))
	h.SetBackend(side)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Listen(front, 1<<20, func(*eventloop.Conn) {}); err != nil {
		t.Fatal(err)
	}
	l := &discovery.List{Whole: true}
	for n, addr := range addrs {
		l.Entries = append(l.Entries, discovery.Entry{ID: fmt.Sprint("m", n), Addr: addr, Group: 1, State: router.Up, Started: router.Never})
	}
	h.Defer(func() {
		side.List(l)
		r := h.List()
		r.BeginList()
		for _, e := range l.Entries {
			r.ListMember(e.ID, e.Zone, e.Group, e.State, e.Started)
		}
		r.EndList(true)
	})
	ended := make(chan bool)
	go func() { h.Run(); close(ended) }()
	t.Cleanup(func() { h.Post(h.Stop); <-ended })
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
						addrs = append(addrs, fakes.NewMember(t, nil, func(string) *fakes.Reply {
							return fakes.Row("v", "source", "1")
						}).Addr)
					}
					var dials atomic.Int64
					defer failpoint.SetError("eventloop.connect", func() error {
						if dials.Add(1) <= failing {
							return dialError("connect", errno)
						}
						return nil
					})()
					h := wholeRouter(t, map[string]*router.RequestClass{"x": {LatencyObjective: expiry, Deadline: expiry, PriorityWeight: 1, LateWeightShare: 1}}, addrs...)
					s, err := pg.ParseStatement(fmt.Sprintf("/* id=1,c=x,g=1,d=%.0f */ SELECT blob", expiry))
					if err != nil {
						t.Fatal(err)
					}
					s.Group = 1
					answers := make(chan request.Response, 2)
					began := time.Now()
					h.Post(func() {
						if err := h.Arrive(request.New(s, h.Now(), func(a request.Response) { answers <- a })); err != nil {
							t.Error(err)
						}
					})
					a := <-answers
					took := time.Since(began)
					if want := failing < forever; (a.Rows != nil) != want || a.Rejected == want {
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
