package server

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wayloft/internal/fakes"
	"wayloft/internal/pg"
)

// On SIGHUP an invalid file changes nothing. A valid one changes the discovery address; the list from there lacks a member, and the
// request running on that member continues. SIGHUP after SIGTERM has no effect.
func TestReload_ChangesDiscovery(t *testing.T) {
	release := make(chan bool)
	removed := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		if sql == "SHOW vitals" {
			return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=1", time.Now().Unix())))}
		}
		<-release
		return fakes.RowReply("old", "source", "1")
	})
	remaining := newPrimary(t)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"revision":2,"complete":true,"members":[{"id":"new","host_port":"%s","cell":2,"phase":"in_service"}]}`+"\n",
			remaining.Addr)
	}))
	t.Cleanup(service.Close)
	addr, signals, ended := startRouter(t, "127.0.0.1:1", 256, removed.Addr)
	busy := fakes.NewClient(t, addr, true)
	busy.SendQuery(readStatement("1", "slow"))
	fakes.WaitUntil(t, "the request has been sent", func() bool {
		_, statements := removed.Received()
		return strings.Contains(strings.Join(statements, ""), "slow")
	})
	file := os.Getenv("PROXY_CONFIG")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, file, strings.Replace(string(text), "8c1f30d27a5be964", "green", 1))
	for range 2 {
		signals <- syscall.SIGHUP
	}
	fakes.WaitUntil(t, "the invalid file has been read", func() bool { return len(signals) == 0 })
	writeFile(t, file+".next", strings.Replace(string(text), "127.0.0.1:1\"", strings.TrimPrefix(service.URL, "http://")+"\"", 1))
	if err := os.Rename(file+".next", file); err != nil {
		t.Fatal(err)
	}
	signals <- syscall.SIGHUP
	c := fakes.NewClient(t, addr, true)
	n := 1
	fakes.WaitUntil(t, "the new list is in use", func() bool {
		n++
		c.SendQuery(writeStatement(fmt.Sprint(n), "y"))
		return c.ReadResponse() == "y ok ready"
	})
	release <- true
	if got := busy.ReadResponse(); got != "old ok ready" {
		t.Errorf("running request: %q", got)
	}
	signals <- syscall.SIGTERM
	signals <- syscall.SIGHUP
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// After several configuration changes in a row, each with a burst of SIGHUP, the router watches only the last discovery address and uses
// its list.
func TestReload_SeveralInARow(t *testing.T) {
	draining, other := newPrimary(t), newPrimary(t)
	var services []*scriptedDiscovery
	for n := range 4 {
		s := newScriptedDiscovery(t)
		phase := "in_service"
		if n == 3 {
			phase = "terminating"
		}
		s.fullLists <- fmt.Sprintf(`{"revision":%d,"complete":true,"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"%s"},`+
			`{"id":"m1","host_port":"%s","cell":2,"phase":"in_service"}]}`, n, draining.Addr, phase, other.Addr)
		s.watchEvents <- "\n"
		services = append(services, s)
	}
	addr, signals, ended := startRouter(t, services[0].addr, 256, draining.Addr, other.Addr)
	<-services[0].requests
	c := fakes.NewClient(t, addr, true)
	file := os.Getenv("PROXY_CONFIG")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, next := range services[1:] {
		writeFile(t, filepath.Join(filepath.Dir(file), "next"), strings.Replace(string(text), services[0].addr, next.addr, 1))
		if err := os.Rename(filepath.Join(filepath.Dir(file), "next"), file); err != nil {
			t.Fatal(err)
		}
		for range 50 {
			signals <- syscall.SIGHUP
		}
	}
	last := services[len(services)-1]
	for _, want := range []string{"GET /api/targets HTTP/1.1", "GET /api/targets?stream=1&index=3 HTTP/1.1"} {
		if got := <-last.requests; got != want {
			t.Errorf("request %q, want %q", got, want)
		}
	}
	drained := len(statementsSeen(draining))
	for n := range 100 {
		c.SendQuery(readStatement(fmt.Sprint(n), "x"))
		if got := c.ReadResponse(); got != "x ok ready" {
			t.Fatalf("request %d: %q", n, got)
		}
	}
	for _, one := range statementsSeen(draining)[drained:] {
		if strings.Contains(one, "c=look") {
			t.Errorf("sent to a draining member: %q", one)
		}
	}
	for n, one := range services[:len(services)-1] {
		fakes.WaitUntil(t, fmt.Sprint("all connections to discovery server ", n, " have ended"), func() bool { return one.openConnections.Load() == 0 })
	}
	if now := last.openConnections.Load(); now != 1 {
		t.Errorf("%d watches are open, want one", now)
	}
	closeSocket(c)
	signals <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A member starts draining before, with or after a reload that changes the discovery address. It gets no new request from then on.
func TestReload_WhileMembersDrain(t *testing.T) {
	for _, c := range []struct {
		name             string
		old, list, watch string // the member's phase in the old watch, the new full list and the new watch
	}{
		{"before the reload", "terminating", "terminating", ""},
		{"before, the old watch hangs", "", "terminating", ""},
		{"with the reload", "in_service", "terminating", ""},
		{"after the reload", "in_service", "in_service", "terminating"},
		{"the new list lacks the member", "in_service", "none", ""},
		{"terminated in the new watch", "terminating", "in_service", "terminated"},
	} {
		t.Run(c.name, func(t *testing.T) {
			draining, other := newPrimary(t), newPrimary(t)
			list := func(revision int, complete bool, phase string) string {
				entry := fmt.Sprintf(`,{"id":"m0","host_port":"%s","locality":"z","cell":2,"phase":"%s"}`, draining.Addr, phase)
				if phase == "none" {
					entry = ""
				}
				return fmt.Sprintf("{\n"+`"revision":%d,"complete":%v,"members":[{"id":"m1","host_port":"%s","locality":"z","cell":2,"phase":"in_service"}%s]}`,
					revision, complete, other.Addr, entry)
			}
			old, next := newScriptedDiscovery(t), newScriptedDiscovery(t)
			if old.watchEvents <- list(42, false, c.old); c.old == "" {
				<-old.watchEvents // the old watch hangs
			}
			next.fullLists <- list(3, true, c.list)
			if c.watch != "" {
				next.watchEvents <- list(4, false, c.watch)
			}
			addr, signals, _ := startRouter(t, old.addr, 256, draining.Addr, other.Addr)
			<-old.requests
			file := os.Getenv("PROXY_CONFIG")
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			writeFile(t, filepath.Join(filepath.Dir(file), "next"), strings.Replace(string(text), old.addr, next.addr, 1))
			if err := os.Rename(filepath.Join(filepath.Dir(file), "next"), file); err != nil {
				t.Fatal(err)
			}
			signals <- syscall.SIGHUP
			<-next.requests // the full list
			<-next.requests // the list has been delivered, and the watch has begun
			client, n := fakes.NewClient(t, addr, true), 0
			count := func() int {
				_, statements := draining.Received()
				return strings.Count(strings.Join(statements, "|"), "c=look")
			}
			last := -1
			for unchanged := 0; unchanged < 100; n++ { // a hundred in a row go to the other member: by chance alone, once in 2^100
				if n > 20000 {
					t.Fatal("the member still gets requests, or no request is served")
				}
				client.SendQuery(readStatement(fmt.Sprint(n), "x"))
				switch got := client.ReadResponse(); got {
				case "x ok ready":
				case "53300 ready": // a busy machine
					continue
				default:
					t.Fatalf("request %d: %q", n, got)
				}
				if now := count(); now == last {
					unchanged++
				} else {
					unchanged, last = 0, now
				}
			}
		})
	}
}

// The router uses the list from its configuration while discovery sends nothing, and connects to a member at its new address once a
// list contains it.
func TestDiscovery_SilentThenMemberMoves(t *testing.T) {
	lists := make(chan string)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") != "41" {
			t.Errorf("request %s, want index=41", r.URL)
		}
		for {
			select {
			case line := <-lists:
				_, _ = fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { service.CloseClientConnections(); service.Close() })
	old, moved := newPrimary(t), newPrimary(t)
	addr, _, _ := startRouter(t, strings.TrimPrefix(service.URL, "http://"), 256, old.Addr)
	c := fakes.NewClient(t, addr, true)
	c.SendQuery(readStatement("1", "x"))
	if got := c.ReadResponse(); got != "x ok ready" {
		t.Fatalf("got %q", got)
	}
	lists <- fmt.Sprintf(`{"revision":43,"complete":false,"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"in_service"}]}`,
		moved.Addr)
	n := 1
	fakes.WaitUntil(t, "the member has moved", func() bool {
		n++
		c.SendQuery(readStatement(fmt.Sprint(n), "y"))
		if got := c.ReadResponse(); got != "y ok ready" {
			t.Fatalf("got %q", got)
		}
		accepted, _ := moved.Received()
		return accepted > 0
	})
}
