package backend

import (
	"fmt"
	"net"
	"testing"
	"time"

	"wayloft/internal/decide/connpool"
	"wayloft/internal/decide/memory"
	"wayloft/internal/discovery"
	"wayloft/internal/eventloop"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

const maxResponse = 160 << 10

// testDriver is an event loop that records the outcomes of attempts and health checks.
type testDriver struct {
	*eventloop.Loop
	events chan string
}

func (driver *testDriver) AttemptEnded(_ *request.Request, attempt int, _ string, outcome router.Outcome, _ float64, role router.Role,
	position float64, rows []byte) {
	driver.events <- fmt.Sprint(attempt, " ", outcomeNames[outcome], " ", role, " ", max(position, 0), " ", len(rows) > 0)
}

func (driver *testDriver) StatementFailed(_ *request.Request, attempt int, _ string, err *pg.Error) {
	driver.events <- fmt.Sprint(attempt, " statement error ", err.Code)
}

func (driver *testDriver) AttemptIdleChanged(*request.Request, int, bool) {}

func (driver *testDriver) ClientGone(req *request.Request) { req.ClientGone() }

func (driver *testDriver) HealthChecked(_ string, outcome router.Outcome) {
	driver.events <- "check " + outcomeNames[outcome]
}

func (driver *testDriver) Reported(_ string, role router.Role, position float64) {
	driver.events <- fmt.Sprint("report ", role, " ", position)
}

var outcomeNames = map[router.Outcome]string{router.Succeeded: "succeeded", router.ServerError: "server error", router.Overloaded: "overloaded",
	router.TimedOut: "timed out", router.ConnectFailed: "connect failed", router.Reset: "reset", router.Canceled: "canceled",
	router.NotSent: "not sent", router.Misrouted: "misrouted"}

// start runs a backend with a dial timeout that is long enough even on a busy machine.
func start(t *testing.T, maxConns int) (*testDriver, *Backend) {
	t.Helper()
	return startWithDialTimeout(t, maxConns, 5000)
}

func startWithDialTimeout(t *testing.T, maxConns int, dialTimeout float64) (*testDriver, *Backend) {
	t.Helper()
	return startPools(t, maxConns, dialTimeout, connpool.Bounds{})
}

// startPools runs a backend that also has a pool for sessions. Statements wait for a connection as long as sessions do.
func startPools(t *testing.T, maxConns int, dialTimeout float64, sessions connpool.Bounds) (*testDriver, *Backend) {
	t.Helper()
	driver := &testDriver{eventloop.NewLoop(512), make(chan string, 100)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := driver.Listen(l, 64<<20, func(*eventloop.Conn) {}); err != nil {
		t.Fatal(err)
	}
	statements := connpool.StatementBounds(60000)
	statements.WaitTimeoutMs = sessions.WaitTimeoutMs
	backend := New(driver, Options{DialTimeoutMs: dialTimeout, HealthReports: true, MaxResponse: maxResponse, ResponseBudget: 4 * maxResponse, Memory: memory.NewAccount(1 << 30),
		Logins: map[string]Login{StatementPool: {"api", "ledger"}, "sessions": {"api", "ledger"}}}, connpool.New(connpool.Settings{MaxTotal: maxConns,
		Pools: map[string]connpool.Bounds{StatementPool: statements, CancelPool: connpool.CancelBounds(1000), "sessions": sessions}}))
	ended := make(chan bool)
	go func() { driver.Run(func() {}); close(ended) }()
	t.Cleanup(func() { driver.Post(driver.Stop); <-ended })
	return driver, backend
}

// runOnLoop runs f on the loop and waits until it has returned.
func (driver *testDriver) runOnLoop(f func()) {
	done := make(chan bool)
	driver.Post(func() { f(); close(done) })
	<-done
}

// nextEvent waits for the next recorded event, such as the outcome of an attempt, and returns it.
func (driver *testDriver) nextEvent(t *testing.T) string {
	t.Helper()
	select {
	case event := <-driver.events:
		return event
	case <-time.After(20 * time.Second):
		t.Fatal("timed out waiting for the outcome of an attempt or health check")
		return ""
	}
}

func newRequest(driver *testDriver, id string, wait float64) *request.Request {
	s, err := pg.ParseStatement(fmt.Sprintf("/* id=%s,c=x,d=%.0f */ SELECT blob", id, wait))
	if err != nil {
		panic(err)
	}
	return request.New(s, driver.Now(), func(request.Response) {})
}

func listOf(addr string, state router.State) *discovery.List {
	return &discovery.List{Entries: []discovery.Entry{{ID: "a", Addr: addr, State: state, Started: router.Never}}}
}

func concat(parts ...[]byte) (b []byte) {
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}
