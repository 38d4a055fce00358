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

// Members hang, and clients go on to send during the drain. Each request that was read has its answer before the platform may kill
// the process.
func TestDrain_ShortDeadlines(t *testing.T) {
	const longest = 300 * time.Millisecond
	addr, term, ended := startRouterWith(t, []string{`"deadline":3000000`, `"deadline":300000`, `"target":500000`, `"target":200000`},
		"127.0.0.1:1", 256, newPrimary(t).Addr)
	var read, ignored atomic.Int64
	defer failpoint.Set("frontend.query", func() { read.Add(1) })()
	defer failpoint.Set("frontend.ignored", func() { ignored.Add(1) })()
	type result struct {
		asked, answered int
		last            time.Time
	}
	const clients = 12
	results := make(chan result, clients)
	going := make(chan bool, clients)
	for n := range clients {
		one := fakes.NewClient(t, addr, true)
		ahead := 1 + n%3 // requests that it has on their way at once
		go func() {
			var r result
			for {
				for ; r.asked < r.answered+ahead; r.asked++ {
					kind := []string{"look", "put"}[r.asked%2]
					_, _ = one.Write(pg.AppendQuery(nil, fmt.Sprintf("/* id=%d-%d,c=%s,t=n,d=300,cluster=2 */ SELECT hang", n, r.asked, kind)))
				}
				if strings.HasSuffix(one.Answer(), "closed") {
					results <- r
					return
				}
				if r.answered, r.last = r.answered+1, time.Now(); r.answered == 1 {
					going <- true
				}
			}
		}()
	}
	for range clients {
		<-going
	}
	signalled := time.Now()
	term <- syscall.SIGTERM
	answered := 0
	for range clients {
		r := <-results
		answered += r.answered
		if after := r.last.Sub(signalled); after > longest+700*time.Millisecond {
			t.Errorf("the last answer came %v after the signal", after)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if read.Load() != int64(answered) || ignored.Load() > 0 {
		t.Errorf("%d requests were read, and %d answered; %d pieces were read and ignored", read.Load(), answered, ignored.Load())
	}
}

// A connection is accepted, with a complete request, while the last session closes after SIGTERM: the process ends only after its
// answer, and after those of connections behind it.
func TestDrain_ConnectionAcceptedAsLastSessionCloses(t *testing.T) {
	for arriving := 1; arriving <= 3; arriving++ { // the first is let in and in no book yet, others are with the system
		t.Run(fmt.Sprint(arriving), func(t *testing.T) { testLastSessionCloses(t, arriving) })
	}
}

// testLastSessionCloses has so many connections arrive: the first is accepted and not counted yet, others wait with the system.
func testLastSessionCloses(t *testing.T, arriving int) {
	addr, term, ended := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	first := fakes.NewClient(t, addr, true)
	held, release := make(chan bool, 10), make(chan bool)
	defer failpoint.Set("frontend.accepted", func() { held <- true; <-release })()
	empty := make(chan bool, 100)
	defer failpoint.Set("frontend.last_session", func() { empty <- true })()
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	var late []*fakes.Client
	for n := range arriving {
		c := fakes.NewClient(t, addr, false)
		c.Send(hello + string(pg.AppendQuery(nil, readStatement(fmt.Sprint("late", n), "served"))))
		late = append(late, c)
	}
	<-held
	term <- syscall.SIGTERM
	if got := first.Answer(); got != "closed" {
		t.Fatalf("the first: %q", got)
	}
	closeSocket(first)
	<-empty // the last session has closed
	close(release)
	for n, c := range late {
		for _, want := range []string{"ready", "served ok ready", "closed"} {
			if got := c.Answer(); got != want {
				t.Fatalf("late %d: got %q, want %q", n, got, want)
			}
		}
		closeSocket(c)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// SIGTERM comes several times, with a SIGHUP between, while a write waits for a primary and half a query has come: both get their
// answers, and the process ends once.
func TestSignals_RepeatedWhileRequestHeld(t *testing.T) {
	addr, term, ended := startRouter(t, "127.0.0.1:1", 256, newMemberWithRole(t, 0).Addr)
	held := fakes.NewClient(t, addr, true)
	held.Ask("/* id=held,c=put,t=n,d=2000,cluster=2 */ INSERT x") // rejected at half its time, after the sweep
	half := fakes.NewClient(t, addr, true)
	ask := string(pg.AppendQuery(nil, readStatement("half", "whole")))
	half.Send(ask[:20])
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
		term <- s
	}
	if got := held.Answer(); got != "53300 ready" {
		t.Errorf("held: %q", got)
	}
	half.Send(ask[20:])
	if got := half.Answer(); got != "whole ok ready" {
		t.Errorf("half: %q", got)
	}
	for _, c := range []*fakes.Client{held, half} {
		if got := c.Answer(); got != "closed" {
			t.Errorf("got %q, want the end", got)
		}
		closeSocket(c)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// SIGTERM comes before the router listens: it serves the clients that are connected, and ends.
func TestSignals_BeforeListen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(platformConfig, `"members":[]`, fmt.Sprintf(`"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"in_service"}]`, newPrimary(t).Addr), 1)
	conf, err := Load(writeFile(t, filepath.Join(t.TempDir(), "config.json"), text))
	if err != nil {
		t.Fatal(err)
	}
	c := fakes.NewClient(t, l.Addr().String(), false) // the system takes it before the router does
	c.Send(string(pg.AppendStartup(nil, "api", "ledger")) + string(pg.AppendQuery(nil, readStatement("early", "served"))))
	signals, ended := make(chan os.Signal, 2), make(chan error, 1)
	signals <- syscall.SIGTERM
	go func() { ended <- Run(conf, l, signals) }()
	for _, want := range []string{"ready", "served ok ready", "closed"} {
		if got := c.Answer(); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
	closeSocket(c)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
