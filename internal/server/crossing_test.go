//go:build debug

package server

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wayloft/internal/failpoint"
	"wayloft/internal/fakes"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// gated is a member that lets connections in, says that it is primary or not, and answers, each only when told to.
type gated struct {
	addr         string
	mu           sync.Mutex
	greets, asks chan bool // one for each that may go on
	came         chan bool // connections that want to be let in
	once         bool      // a connection ends with its first answer: where one alone is let in
	seen         []string
}

func newGated(t *testing.T, greets int, primary *bool) *gated {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gated{addr: l.Addr().String(), greets: make(chan bool, 100), asks: make(chan bool, 100), came: make(chan bool, 100), once: greets == 1}
	for range greets {
		g.greets <- true
	}
	ended := make(chan bool)
	t.Cleanup(func() { l.Close(); close(ended) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(c, primary, ended)
		}
	}()
	return g
}

func (g *gated) serve(c net.Conn, primary *bool, ended chan bool) {
	defer c.Close()
	in, buf := pg.NewReader(false, 1<<20), make([]byte, 1<<12)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		in.Feed(buf[:n])
		for m, ok, _ := in.Next(); ok; m, ok, _ = in.Next() {
			out := pg.AppendGreeting(nil, 0)
			switch {
			case m.Kind == pg.Startup:
				g.came <- true
				select {
				case <-g.greets:
				case <-ended:
					return
				}
			case m.Text == "":
				out = pg.AppendReadyIdle(pg.AppendEmptyQuery(nil))
			case m.Text == "SHOW vitals":
				g.mu.Lock()
				x1 := 0
				if *primary {
					x1 = 1
				}
				g.mu.Unlock()
				out = pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=%d", time.Now().Unix(), x1)))
			default:
				g.mu.Lock()
				g.seen = append(g.seen, m.Text)
				g.mu.Unlock()
				if strings.Contains(m.Text, "hang") {
					select {
					case <-g.asks:
					case <-ended:
						return
					}
				}
				if out = fakes.Row("v", "source", "1").Bytes; strings.Contains(m.Text, "fail") {
					out = fakes.Fail("XX000").Bytes
				}
			}
			if _, err := c.Write(out); err != nil || g.once && m.Kind == pg.Query {
				return
			}
		}
	}
}

func (g *gated) asked(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Contains(strings.Join(g.seen, "|"), "id="+id+",")
}

// served has a client ask until it is served, each time under a new id.
func served(t *testing.T, c *fakes.Client, name string) {
	t.Helper()
	n := 0
	fakes.Until(t, name+" is served", func() bool {
		n++
		c.Ask(look(fmt.Sprint(name, n), "x"))
		return c.Answer() == "v ok ready"
	})
}

// settled gives what waits until the router has heard that one more client has gone.
func settled(t *testing.T) (wait func()) {
	t.Helper()
	gone := make(chan bool, 100)
	t.Cleanup(failpoint.Set("clients.closed", func() { gone <- true }))
	return func() { <-gone }
}

// gatedRouter serves before a gated member that lets in so many connections at first.
func gatedRouter(t *testing.T, greets int, primary *bool) (g *gated, addr string, wait func()) {
	t.Helper()
	g = newGated(t, greets, primary)
	addr, _, _ = start(t, "127.0.0.1:1", 256, g.addr)
	return g, addr, settled(t)
}

// A client leaves while its request waits, wherever that is; when what it waited for comes, nothing is sent for it. The id
// of each must never be seen by any member, though one that asks after it is.
func TestClientLeavesWhileItsTxnWaits(t *testing.T) {
	t.Run("for a connection to come up", func(t *testing.T) {
		primary := true
		g, addr, wait := gatedRouter(t, 1, &primary) // the check's, which doesn't last
		leaves := fakes.NewClient(t, addr, true)
		leaves.Ask(put("leaves", "x"))
		<-g.came // the check's
		<-g.came // its own
		leaves.Close()
		wait()
		for range 20 {
			g.greets <- true
		}
		served(t, fakes.NewClient(t, addr, true), "after")
		if g.asked("leaves") {
			t.Error("sent after its client had gone")
		}
	})
	t.Run("for a primary", func(t *testing.T) {
		primary := false
		g, addr, wait := gatedRouter(t, 20, &primary)
		leaves := fakes.NewClient(t, addr, true)
		leaves.Ask(put("leaves", "x"))
		leaves.Close()
		wait()
		g.mu.Lock()
		primary = true
		g.mu.Unlock()
		c, n := fakes.NewClient(t, addr, true), 0
		fakes.Until(t, "writes go through", func() bool {
			n++
			c.Ask(put(fmt.Sprint("after", n), "x"))
			return c.Answer() == "v ok ready"
		})
		if g.asked("leaves") {
			t.Error("sent after its client had gone")
		}
	})
	t.Run("behind another of its session", func(t *testing.T) {
		primary := true
		g, addr, wait := gatedRouter(t, 20, &primary)
		leaves := fakes.NewClient(t, addr, true)
		leaves.Ask(look("first", "hang"))
		leaves.Ask(look("leaves", "x"))
		fakes.Until(t, "the first is out", func() bool { return g.asked("first") })
		leaves.Close()
		wait()
		g.asks <- true
		served(t, fakes.NewClient(t, addr, true), "after")
		if g.asked("leaves") {
			t.Error("sent after its client had gone")
		}
	})
	t.Run("for another try", func(t *testing.T) {
		primary := true
		g, addr, wait := gatedRouter(t, 20, &primary)
		leaves := fakes.NewClient(t, addr, true)
		leaves.Ask(look("leaves", "hang and fail"))
		fakes.Until(t, "its first try is out", func() bool { return g.asked("leaves") })
		leaves.Close()
		wait()
		for range 20 {
			g.asks <- true
		}
		served(t, fakes.NewClient(t, addr, true), "after")
		g.mu.Lock()
		defer g.mu.Unlock()
		if n := strings.Count(strings.Join(g.seen, "|"), "id=leaves,"); n != 1 {
			t.Errorf("%d tries, want the one that was out", n)
		}
	})
}

// A connection that was let in, with its request whole, while the last session closes after SIGTERM: the process stays
// until it is answered. The one behind it is still with the system.
func TestLastSessionClosesAsAnotherArrives(t *testing.T) {
	for arriving := 1; arriving <= 3; arriving++ { // the first is let in and in no book yet, others are with the system
		t.Run(fmt.Sprint(arriving), func(t *testing.T) { lastSession(t, arriving) })
	}
}

func lastSession(t *testing.T, arriving int) {
	addr, term, ended := start(t, "127.0.0.1:1", 256, member(t).Addr)
	first := fakes.NewClient(t, addr, true)
	held, release := make(chan bool, 10), make(chan bool)
	clear := failpoint.Set("clients.accepted", func() { held <- true; <-release })
	defer clear()
	empty := make(chan bool, 100)
	defer failpoint.Set("clients.last", func() { empty <- true })()
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	var late []*fakes.Client
	for n := range arriving {
		c := fakes.NewClient(t, addr, false)
		c.Send(hello + string(pg.AppendQuery(nil, look(fmt.Sprint("late", n), "served"))))
		late = append(late, c)
	}
	<-held
	term <- syscall.SIGTERM
	if got := first.Answer(); got != "closed" {
		t.Fatalf("the first: %q", got)
	}
	first.Close()
	<-empty // the last session has closed
	close(release)
	for n, c := range late {
		for _, want := range []string{"ready", "served ok ready", "closed"} {
			if got := c.Answer(); got != want {
				t.Fatalf("late %d: got %q, want %q", n, got, want)
			}
		}
		c.Close()
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// SIGTERM comes twice, with SIGHUP between, while one request is held for a primary and half a query has come: the one gets
// its answer, the rest of the other comes and is served, and the process ends once, in order.
func TestSignalsWhileATxnIsHeld(t *testing.T) {
	addr, term, ended := start(t, "127.0.0.1:1", 256, withRole(t, 0).Addr)
	held := fakes.NewClient(t, addr, true)
	held.Ask("/* id=held,c=put,t=n,d=2000,cluster=2 */ INSERT x") // rejected at half its time, after the sweep
	half := fakes.NewClient(t, addr, true)
	ask := string(pg.AppendQuery(nil, look("half", "whole")))
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
		c.Close()
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// The same for a request that waits for a pool's only connection: its client closes, or cancels by its key, and nothing of it
// runs once the connection is free.
func TestClientLeavesThePoolsQueue(t *testing.T) {
	addr, _ := pooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	wait := settled(t)
	holder := fakes.NewClient(t, addr, true)
	if got := told(holder, "BEGIN", insert("holder", "1")); got != "ok ready; 1 ok ready" {
		t.Fatalf("the holder: %q", got)
	}
	closes, cancels := fakes.NewClient(t, addr, true), fakes.NewClient(t, addr, true)
	for n, c := range []*fakes.Client{closes, cancels} {
		c.Ask(insert(fmt.Sprint("waits", n), "1"))
	}
	closes.Close()
	wait()
	key := fakes.NewClient(t, addr, false)
	key.Send(string(pg.AppendCancelRequest(nil, cancels.Key)))
	if got := cancels.Answer(); got != "57014 ready" {
		t.Errorf("the one that cancels: %q", got)
	}
	if got := told(holder, "COMMIT"); got != "ok ready" {
		t.Errorf("the holder: %q", got)
	}
	for n := range 2 {
		if got := alone(t, addr, fmt.Sprintf("SELECT blob FROM rows WHERE handle = 'waits%d'", n)); got != "ok ready" {
			t.Errorf("what waited for a client that had gone: %q", got)
		}
	}
	if got := told(cancels, insert("after", "1")); got != "1 ok ready" {
		t.Errorf("the one that cancelled, afterwards: %q", got)
	}
}

// process starts a router of its own, with no more descriptors than its configuration says.
func process(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "wayloft")
	if out, err := exec.Command("go", "build", "-tags", "debug", "-o", program, "wayloft/cmd/wayloft").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	c := exec.Command("sh", "-c", "ulimit -n 128; exec "+program+" serve --config "+write(t, filepath.Join(dir, "config.json"), config))
	var log bytes.Buffer
	c.Stdout, c.Stderr = &log, &log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Process.Kill()
		c.Wait()
		if t.Failed() {
			t.Log(log.String())
		}
	})
	return c
}

// A process that starts while discovery says nothing is ready all the same, and idle clients may take all the descriptors
// that it has for them: at discovery's return the list gets through, members are reached, and signals are heard.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	speak := make(chan string)
	calls := make(chan bool, 1000)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- true
		select {
		case line := <-speak:
			fmt.Fprintln(w, line)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	c := process(t, strings.NewReplacer("127.0.0.1:0", addr, "127.0.0.1:1", strings.TrimPrefix(discovery.URL, "http://"),
		`"sockets":256`, `"sockets":128`).Replace(configuration))
	fakes.Until(t, "it listens", func() bool {
		one, err := net.Dial("tcp", addr)
		if err == nil {
			one.Close()
		}
		return err == nil
	})
	ready := fakes.NewClient(t, addr, true)
	ready.Ask("")
	if got := ready.Answer(); got != "empty ready" {
		t.Errorf("not ready: %q", got)
	}
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	for n := range 300 { // more than there are descriptors: the last wait with the system
		idle, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { idle.Close() })
		if n%3 > 0 {
			idle.Write([]byte(hello))
		}
		if n%3 > 1 {
			idle.Write(pg.AppendQuery(nil, ""))
		}
	}
	<-calls
	moved := member(t)
	speak <- fmt.Sprintf(`{"revision":43,"complete":false,"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"in_service"}]}`, moved.Addr)
	n := 0
	fakes.Until(t, "a client is served by the new list", func() bool {
		n++
		one, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer one.Close()
		one.Write([]byte(hello + string(pg.AppendQuery(nil, look(fmt.Sprint(n), "x")))))
		one.SetReadDeadline(time.Now().Add(time.Second))
		got, _ := io.ReadAll(io.LimitReader(one, 300))
		return strings.Contains(string(got), "SELECT 1")
	})
	c.Process.Signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Errorf("its end: %v", err)
	}
}

// SIGTERM comes before the router listens: it serves who connects meanwhile, and ends in order.
func TestSignalBeforeTheStart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(configuration, `"members":[]`, fmt.Sprintf(`"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"in_service"}]`, member(t).Addr), 1)
	conf, err := Load(write(t, filepath.Join(t.TempDir(), "config.json"), text))
	if err != nil {
		t.Fatal(err)
	}
	c := fakes.NewClient(t, l.Addr().String(), false) // the system takes it before the router does
	c.Send(string(pg.AppendStartup(nil, "api", "ledger")) + string(pg.AppendQuery(nil, look("early", "served"))))
	signals, ended := make(chan os.Signal, 2), make(chan error, 1)
	signals <- syscall.SIGTERM
	go func() { ended <- Run(conf, l, signals) }()
	for _, want := range []string{"ready", "served ok ready", "closed"} {
		if got := c.Answer(); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
	c.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// The watch brings a list in which a member drains before the loop's first turn: the list of the configuration, which is older, doesn't
// undo it.
func TestListBeforeTheLoopsFirstTurn(t *testing.T) {
	drains, stays := member(t), member(t)
	watch := newScript(t)
	watch.watch <- fmt.Sprintf(`{"revision":42,"complete":false,"members":[{"id":"m0","host_port":"%s","locality":"z","cell":2,"phase":"terminating"}]}`+"\n",
		drains.Addr)
	posted := make(chan struct{}, 100)
	defer failpoint.Set("server.list_posted", func() { posted <- struct{}{} })()
	defer failpoint.Set("eventloop.starting", func() { <-posted })()
	addr, _, _ := start(t, watch.addr, 256, drains.Addr, stays.Addr)
	client := fakes.NewClient(t, addr, true)
	for n := range 30 { // none by chance: one in 2^30
		client.Ask(look(fmt.Sprint(n), "x"))
		if got := client.Answer(); got != "x ok ready" && got != "53300 ready" {
			t.Fatal(got)
		}
	}
	if _, asked := drains.Seen(); strings.Contains(strings.Join(asked, "|"), "c=look") {
		t.Error("a member that drains was sent a request")
	}
}
