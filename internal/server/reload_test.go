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

// An invalid file changes nothing at SIGHUP. From a valid one the discovery address is taken, whose list lacks a member, and the
// request that runs there goes on. SIGHUP after SIGTERM does no harm.
func TestReload_ChangesDiscovery(t *testing.T) {
	answer := make(chan bool)
	gone := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		if sql == "SHOW vitals" {
			return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=1", time.Now().Unix())))}
		}
		<-answer
		return fakes.Row("old", "source", "1")
	})
	stays := newPrimary(t)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"revision":2,"complete":true,"members":[{"id":"new","host_port":"%s","cell":2,"phase":"in_service"}]}`+"\n",
			stays.Addr)
	}))
	t.Cleanup(next.Close)
	addr, signals, ended := startRouter(t, "127.0.0.1:1", 256, gone.Addr)
	busy := fakes.NewClient(t, addr, true)
	busy.Ask(readStatement("1", "slow"))
	fakes.Until(t, "it is out", func() bool { _, asked := gone.Seen(); return strings.Contains(strings.Join(asked, ""), "slow") })
	file := os.Getenv("PROXY_CONFIG")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, file, strings.Replace(string(text), "8c1f30d27a5be964", "green", 1))
	for range 2 {
		signals <- syscall.SIGHUP
	}
	fakes.Until(t, "the wrong file has been read", func() bool { return len(signals) == 0 })
	writeFile(t, file+".next", strings.Replace(string(text), "127.0.0.1:1\"", strings.TrimPrefix(next.URL, "http://")+"\"", 1))
	if err := os.Rename(file+".next", file); err != nil {
		t.Fatal(err)
	}
	signals <- syscall.SIGHUP
	c := fakes.NewClient(t, addr, true)
	n := 1
	fakes.Until(t, "the new list is in force", func() bool {
		n++
		c.Ask(writeStatement(fmt.Sprint(n), "y"))
		return c.Answer() == "y ok ready"
	})
	answer <- true
	if got := busy.Answer(); got != "old ok ready" {
		t.Errorf("busy: %q", got)
	}
	signals <- syscall.SIGTERM
	signals <- syscall.SIGHUP
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// After several configurations in a row, each with a burst of SIGHUP, the router watches the last discovery address and no other, and
// its list is in force.
func TestReload_SeveralInARow(t *testing.T) {
	drains, stays := newPrimary(t), newPrimary(t)
	var of []*scriptedDiscovery
	for n := range 4 {
		s := newScriptedDiscovery(t)
		phase := "in_service"
		if n == 3 {
			phase = "terminating"
		}
		s.fullLists <- fmt.Sprintf(`{"revision":%d,"complete":true,"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"%s"},`+
			`{"id":"m1","host_port":"%s","cell":2,"phase":"in_service"}]}`, n, drains.Addr, phase, stays.Addr)
		s.watchEvents <- "\n"
		of = append(of, s)
	}
	addr, signals, ended := startRouter(t, of[0].addr, 256, drains.Addr, stays.Addr)
	<-of[0].requests
	c := fakes.NewClient(t, addr, true)
	file := os.Getenv("PROXY_CONFIG")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, next := range of[1:] {
		writeFile(t, filepath.Join(filepath.Dir(file), "next"), strings.Replace(string(text), of[0].addr, next.addr, 1))
		if err := os.Rename(filepath.Join(filepath.Dir(file), "next"), file); err != nil {
			t.Fatal(err)
		}
		for range 50 {
			signals <- syscall.SIGHUP
		}
	}
	last := of[len(of)-1]
	for _, want := range []string{"GET /api/targets HTTP/1.1", "GET /api/targets?stream=1&index=3 HTTP/1.1"} {
		if got := <-last.requests; got != want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
	drained := len(statementsSeen(drains))
	for n := range 100 {
		c.Ask(readStatement(fmt.Sprint(n), "x"))
		if got := c.Answer(); got != "x ok ready" {
			t.Fatalf("request %d: %q", n, got)
		}
	}
	for _, one := range statementsSeen(drains)[drained:] {
		if strings.Contains(one, "c=look") {
			t.Errorf("sent to a member that drains: %q", one)
		}
	}
	for n, one := range of[:len(of)-1] {
		fakes.Until(t, fmt.Sprint("all that was asked at address ", n, " has ended"), func() bool { return one.openConnections.Load() == 0 })
	}
	if now := last.openConnections.Load(); now != 1 {
		t.Errorf("%d watches are on, want one", now)
	}
	closeSocket(c)
	signals <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A member begins to drain before, with or after a reload that changes the discovery address. It gets no new request from then on.
func TestReload_WhileMembersDrain(t *testing.T) {
	for _, c := range []struct {
		name           string
		old, list, say string // what the old watch says, the new whole list, and the new watch
	}{
		{"before", "terminating", "terminating", ""},
		{"before, the old hangs", "", "terminating", ""},
		{"with it", "in_service", "terminating", ""},
		{"behind it", "in_service", "in_service", "terminating"},
		{"it lacks the member", "in_service", "none", ""},
		{"terminated by the watch", "terminating", "in_service", "terminated"},
	} {
		t.Run(c.name, func(t *testing.T) {
			drains, stays := newPrimary(t), newPrimary(t)
			list := func(revision int, whole bool, phase string) string {
				row := fmt.Sprintf(`,{"id":"m0","host_port":"%s","locality":"z","cell":2,"phase":"%s"}`, drains.Addr, phase)
				if phase == "none" {
					row = ""
				}
				return fmt.Sprintf("{\n"+`"revision":%d,"complete":%v,"members":[{"id":"m1","host_port":"%s","locality":"z","cell":2,"phase":"in_service"}%s]}`,
					revision, whole, stays.Addr, row)
			}
			old, next := newScriptedDiscovery(t), newScriptedDiscovery(t)
			if old.watchEvents <- list(42, false, c.old); c.old == "" {
				<-old.watchEvents // it hangs
			}
			next.fullLists <- list(3, true, c.list)
			if c.say != "" {
				next.watchEvents <- list(4, false, c.say)
			}
			addr, signals, _ := startRouter(t, old.addr, 256, drains.Addr, stays.Addr)
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
			asks, n := fakes.NewClient(t, addr, true), 0
			count := func() int { _, asked := drains.Seen(); return strings.Count(strings.Join(asked, "|"), "c=look") }
			last := -1
			for same := 0; same < 100; n++ { // a hundred in a row go to the other: two to the hundredth by chance
				if n > 20000 {
					t.Fatal("it still gets requests, or none is served")
				}
				asks.Ask(readStatement(fmt.Sprint(n), "x"))
				switch got := asks.Answer(); got {
				case "x ok ready":
				case "53300 ready": // a busy machine
					continue
				default:
					t.Fatalf("request %d: %q", n, got)
				}
				if now := count(); now == last {
					same++
				} else {
					same, last = 0, now
				}
			}
		})
	}
}

// The router serves by the list of its configuration while discovery is silent, and connects to a member at its new address once a
// list gives it.
func TestDiscovery_SilentThenMemberMoves(t *testing.T) {
	speak := make(chan string)
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") != "41" {
			t.Errorf("asked from %s", r.URL)
		}
		for {
			select {
			case line := <-speak:
				_, _ = fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { silent.CloseClientConnections(); silent.Close() })
	old, moved := newPrimary(t), newPrimary(t)
	addr, _, _ := startRouter(t, strings.TrimPrefix(silent.URL, "http://"), 256, old.Addr)
	c := fakes.NewClient(t, addr, true)
	c.Ask(readStatement("1", "x"))
	if got := c.Answer(); got != "x ok ready" {
		t.Fatalf("got %q", got)
	}
	speak <- fmt.Sprintf(`{"revision":43,"complete":false,"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"in_service"}]}`,
		moved.Addr)
	n := 1
	fakes.Until(t, "the member has moved", func() bool {
		n++
		c.Ask(readStatement(fmt.Sprint(n), "y"))
		if got := c.Answer(); got != "y ok ready" {
			t.Fatalf("got %q", got)
		}
		accepted, _ := moved.Seen()
		return accepted > 0
	})
}
