//go:build debug

package server

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wayloft/internal/failpoint"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
)

// Members hang while clients keep sending during the drain. Each request that was read must get its response before the platform may
// kill the process.
func TestDrain_ShortDeadlines(t *testing.T) {
	const longest = 300 * time.Millisecond
	addr, signals, ended := startRouterWith(t, []string{`"deadline":3000000`, `"deadline":300000`, `"target":500000`, `"target":200000`},
		"127.0.0.1:1", 256, newPrimary(t).Addr)
	var read, ignored atomic.Int64
	defer failpoint.SetHook("frontend.query", func() { read.Add(1) })()
	defer failpoint.SetHook("frontend.ignored", func() { ignored.Add(1) })()
	type result struct {
		asked, answered int
		last            time.Time
	}
	const clients = 12
	results := make(chan result, clients)
	started := make(chan bool, clients)
	for n := range clients {
		client := fakes.NewClient(t, addr, true)
		outstanding := 1 + n%3 // requests that the client keeps outstanding
		go func() {
			var r result
			for {
				for ; r.asked < r.answered+outstanding; r.asked++ {
					class := []string{"look", "put"}[r.asked%2]
					_, _ = client.Write(pg.AppendQuery(nil, fmt.Sprintf("/* id=%d-%d,c=%s,t=n,d=300,cluster=2 */ SELECT hang", n, r.asked, class)))
				}
				if strings.HasSuffix(client.ReadResponse(), "closed") {
					results <- r
					return
				}
				if r.answered, r.last = r.answered+1, time.Now(); r.answered == 1 {
					started <- true
				}
			}
		}()
	}
	for range clients {
		<-started
	}
	signalled := time.Now()
	signals <- syscall.SIGTERM
	answered := 0
	for range clients {
		r := <-results
		answered += r.answered
		if after := r.last.Sub(signalled); after > longest+700*time.Millisecond {
			t.Errorf("the last response came %v after the signal", after)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if read.Load() != int64(answered) || ignored.Load() > 0 {
		t.Errorf("%d requests were read and %d got a response; %d reads were ignored", read.Load(), answered, ignored.Load())
	}
}

// After SIGTERM, a connection with a complete request is accepted while the last session closes. The process stops only after its
// response, and after the responses to connections still in the backlog.
func TestDrain_ConnectionAcceptedAsLastSessionCloses(t *testing.T) {
	for arriving := 1; arriving <= 3; arriving++ { // the first is accepted but has no session yet, others are in the backlog
		t.Run(fmt.Sprint(arriving), func(t *testing.T) { testLastSessionCloses(t, arriving) })
	}
}

// testLastSessionCloses opens a number of connections: the first is accepted but has no session yet, others wait in the backlog.
func testLastSessionCloses(t *testing.T, arriving int) {
	addr, signals, ended := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	first := fakes.NewClient(t, addr, true)
	held, release := make(chan bool, 10), make(chan bool)
	defer failpoint.SetHook("frontend.accepted", func() { held <- true; <-release })()
	lastClosed := make(chan bool, 100)
	defer failpoint.SetHook("frontend.last_session", func() { lastClosed <- true })()
	startup := string(pg.AppendStartup(nil, "api", "ledger"))
	var late []*fakes.Client
	for n := range arriving {
		c := fakes.NewClient(t, addr, false)
		c.Send(startup + string(pg.AppendQuery(nil, readStatement(fmt.Sprint("late", n), "served"))))
		late = append(late, c)
	}
	<-held
	signals <- syscall.SIGTERM
	if got := first.ReadResponse(); got != "closed" {
		t.Fatalf("first session: %q", got)
	}
	closeSocket(first)
	<-lastClosed // the last session has closed
	close(release)
	for n, c := range late {
		for _, want := range []string{"ready", "served ok ready", "closed"} {
			if got := c.ReadResponse(); got != want {
				t.Fatalf("late connection %d: got %q, want %q", n, got, want)
			}
		}
		closeSocket(c)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// SIGTERM arrives several times, with a SIGHUP in between, while a write waits for a primary and another query is incomplete. Both get
// their responses, and the process stops once.
func TestSignals_RepeatedWhileRequestHeld(t *testing.T) {
	addr, signals, ended := startRouter(t, "127.0.0.1:1", 256, newMemberWithRole(t, 0).Addr)
	waiting := fakes.NewClient(t, addr, true)
	waiting.SendQuery("/* id=held,c=put,t=n,d=2000,cluster=2 */ INSERT x") // rejected at half its deadline, after several sweeps of the sessions
	incomplete := fakes.NewClient(t, addr, true)
	query := string(pg.AppendQuery(nil, readStatement("half", "whole")))
	incomplete.Send(query[:20])
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
		signals <- s
	}
	if got := waiting.ReadResponse(); got != "53300 ready" {
		t.Errorf("waiting write: %q", got)
	}
	incomplete.Send(query[20:])
	if got := incomplete.ReadResponse(); got != "whole ok ready" {
		t.Errorf("incomplete query: %q", got)
	}
	for _, c := range []*fakes.Client{waiting, incomplete} {
		if got := c.ReadResponse(); got != "closed" {
			t.Errorf("got %q, want the session closed", got)
		}
		closeSocket(c)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// SIGTERM arrives before the router listens: it serves the clients already connected, and then stops.
func TestSignals_BeforeListen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(platformConfig, `"members":[]`, fmt.Sprintf(`"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"in_service"}]`, newPrimary(t).Addr), 1)
	config, err := Load(writeFile(t, filepath.Join(t.TempDir(), "config.json"), text))
	if err != nil {
		t.Fatal(err)
	}
	c := fakes.NewClient(t, l.Addr().String(), false) // the kernel accepts the connection before the router does
	c.Send(string(pg.AppendStartup(nil, "api", "ledger")) + string(pg.AppendQuery(nil, readStatement("early", "served"))))
	signals, ended := make(chan os.Signal, 2), make(chan error, 1)
	signals <- syscall.SIGTERM
	go func() { ended <- Run(config, l, signals) }()
	for _, want := range []string{"ready", "served ok ready", "closed"} {
		if got := c.ReadResponse(); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
	closeSocket(c)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
