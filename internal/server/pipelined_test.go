package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wayloft/internal/fakes"
	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// waitByRouterClock waits until a duration has passed on the router's own clock: until the router rejects a request of the given class to
// a group that does not exist, which it does at half of the request's deadline.
func waitByRouterClock(t *testing.T, addr, class string, duration time.Duration) {
	t.Helper()
	c := fakes.NewClient(t, addr, true)
	defer closeSocket(c)
	c.SendQuery(fmt.Sprintf("/* id=passed,c=%s,t=n,d=%d,cluster=9 */ %s", class, 2*duration.Milliseconds(), insertSQL("none", "1")))
	if got := c.ReadResponse(); got != "53300 ready" {
		t.Fatalf("request to a group that does not exist: %q", got)
	}
}

// A pipelined query's deadline also covers the time in which it waits behind another: once the deadline has passed it is rejected
// without being sent.
func TestPipelined_DeadlineWhileQueued(t *testing.T) {
	release := make(chan bool)
	m := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		if sql == "SHOW vitals" {
			return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=1", time.Now().Unix())))}
		} else if strings.Contains(sql, "before") {
			<-release
		}
		return fakes.RowReply("served", "source", "1")
	})
	addr, _, _ := startRouter(t, "127.0.0.1:1", 256, m.Addr)
	c := fakes.NewClient(t, addr, true)
	for n := range 20 { // so that one slow response carries little weight
		c.SendQuery(writeStatement(fmt.Sprint("q", n), "quick"))
		if got := c.ReadResponse(); got != "served ok ready" {
			t.Fatal(got)
		}
	}
	c.Send(string(pg.AppendQuery(pg.AppendQuery(nil, "/* id=b1,c=put,t=n,d=2000,cluster=2 */ INSERT before"),
		"/* id=b2,c=put,t=n,d=300,cluster=2 */ INSERT behind")))
	fakes.WaitUntil(t, "the first query has been sent", func() bool {
		_, statements := m.Received()
		return strings.Contains(strings.Join(statements, ""), "before")
	})
	waitByRouterClock(t, addr, "look", 350*time.Millisecond)
	release <- true
	for n, want := range []string{"served ok ready", "53300 ready"} {
		if got := c.ReadResponse(); got != want {
			t.Errorf("response %d: got %q, want %q", n, got, want)
		}
	}
	if _, statements := m.Received(); strings.Contains(strings.Join(statements, "\n"), "behind") {
		t.Error("a member was sent the query whose deadline had passed")
	}
}

// In a pool, a query's deadline also covers the time in which it waits behind another, in the simple and the extended query protocol.
func TestPool_PipelinedDeadlineWhileQueued(t *testing.T) {
	received, release := make(chan bool, 1), make(chan bool)
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 2}, func(s *pgserver.Server) {
		s.InjectFault = func(_ int, m *pg.Message) *pgserver.Fault {
			if strings.Contains(m.Text, "before") {
				received <- true
				<-release
			}
			return nil
		}
	})
	c := fakes.NewClient(t, addr, true)
	query := func(sql string) string { return string(pg.AppendQuery(nil, sql)) }
	labelled := func(n, d int, sql string) string {
		return fmt.Sprintf("/* id=q%d,c=write,t=n,d=%d,cluster=0 */ %s", n, d, sql)
	}
	pipeline := string(pg.AppendParse(nil, "", []byte(labelled(3, 300, insertSQL("late", "2"))+"\x00\x00\x00"))) +
		string(pg.AppendExecute(pg.AppendBind(nil, "", "", []byte{0, 0, 0, 0, 0, 0}), "")) + string(pg.AppendSync(nil))
	c.Send(query(labelled(1, 2000, insertSQL("before", "1"))) + query(labelled(2, 300, insertSQL("late", "1"))) + pipeline +
		query("SELECT blob FROM rows WHERE handle = 'late'"))
	<-received
	waitByRouterClock(t, addr, "write", 350*time.Millisecond)
	release <- true
	for n, want := range []string{"1 ok ready", "53300 ready", "53300 ready", "ok ready"} {
		if got := c.ReadResponse(); got != want {
			t.Errorf("response %d: got %q, want %q", n, got, want)
		}
	}
}
