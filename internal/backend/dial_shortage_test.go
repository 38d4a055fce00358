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
	"wayloft/internal/decide/memory"
	"wayloft/internal/discovery"
	"wayloft/internal/eventloop"
	"wayloft/internal/failpoint"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// startRouter runs a decision module with its event loop and backend. The members form one group.
func startRouter(t *testing.T, classes map[string]*router.RequestClass, addrs ...string) *eventloop.Driver {
	t.Helper()
	driver := eventloop.New(eventloop.NewLoop(512), router.New(&router.Settings{Routers: 1, MaxAttempts: 3, CanHealthCheck: true, CanCancel: true,
		RequestClasses: classes}, 1), classes, func() {})
	options := Options{
		DialTimeoutMs:  5000,
		MaxResponse:    maxResponse,
		ResponseBudget: 4 * maxResponse, Memory: memory.NewAccount(1 << 30),
		Logins: map[string]Login{StatementPool: {"api", "ledger"}},
	}
	pools := map[string]connpool.Bounds{StatementPool: connpool.StatementBounds(60000), CancelPool: connpool.CancelBounds(1000)}
	backend := New(driver, options, connpool.New(connpool.Settings{MaxTotal: 10, Pools: pools}))
	driver.SetBackend(backend)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := driver.Listen(listener, 1<<20, func(*eventloop.Conn) {}); err != nil {
		t.Fatal(err)
	}
	list := &discovery.List{Complete: true}
	for n, addr := range addrs {
		list.Entries = append(list.Entries, discovery.Entry{ID: fmt.Sprint("m", n), Addr: addr, Group: 1, State: router.Up, Started: router.Never})
	}
	driver.Defer(func() {
		backend.ApplyMemberList(list)
		module := driver.ListInput()
		module.BeginList()
		for _, e := range list.Entries {
			module.ListMember(e.ID, e.Zone, e.Group, e.State, e.Started)
		}
		module.EndList(true)
	})
	ended := make(chan bool)
	go func() { driver.Run(); close(ended) }()
	t.Cleanup(func() { driver.Post(driver.Stop); <-ended })
	return driver
}

// This host has no free port or no route, either for a while or until after the request's deadline. The request must get one final response
// before its deadline and succeed as soon as a dial succeeds, and the dial rate must stay limited throughout the shortage.
func TestRouter_ShortageOfThisHost(t *testing.T) {
	const deadline, always = 3000.0, 1 << 40
	for _, errno := range []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH} {
		for _, failing := range []int64{1, 8, always} {
			for _, members := range []int{1, 3} {
				t.Run(fmt.Sprint(unix.ErrnoName(errno), ", failing dials: ", failing, ", members: ", members), func(t *testing.T) {
					var addrs []string
					for range members {
						addrs = append(addrs, fakes.NewMember(t, nil, func(string) *fakes.Reply {
							return fakes.RowReply("v", "source", "1")
						}).Addr)
					}
					var dials atomic.Int64
					defer failpoint.SetError("eventloop.connect", func() error {
						if dials.Add(1) <= failing {
							return dialError("connect", errno)
						}
						return nil
					})()
					class := &router.RequestClass{LatencyObjective: deadline, Deadline: deadline, PriorityWeight: 1, LateWeightShare: 1}
					driver := startRouter(t, map[string]*router.RequestClass{"x": class}, addrs...)
					statement, err := pg.ParseStatement(fmt.Sprintf("/* id=1,c=x,g=1,d=%.0f */ SELECT blob", deadline))
					if err != nil {
						t.Fatal(err)
					}
					statement.Group = 1
					responses := make(chan request.Response, 2)
					started := time.Now()
					driver.Post(func() {
						if err := driver.Arrive(request.New(statement, driver.Now(), func(response request.Response) { responses <- response })); err != nil {
							t.Error(err)
						}
					})
					response := <-responses
					took := time.Since(started)
					if want := failing < always; (response.Rows != nil) != want || response.Rejected == want {
						t.Errorf("unexpected response %+v after %v", response, took)
					}
					if took > time.Duration(deadline)*time.Millisecond {
						t.Errorf("got the response after %v, past the deadline", took)
					}
					if maxDials := int64(members) * (6 + took.Milliseconds()/100); failing == always && dials.Load() > maxDials {
						t.Errorf("%d dials in %v, want at most %d", dials.Load(), took, maxDials)
					}
					t.Logf("%d dials in %v", dials.Load(), took)
				})
			}
		}
	}
}
