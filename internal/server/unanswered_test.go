package server

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wayloft/internal/fakes"
	"wayloft/internal/pg"
)

// Whatever a member does with a statement, or before it takes one, each request gets its one final answer, which never is a
// part of what came, and after SIGTERM the process ends behind the last. All are out when it comes.
func TestEveryRequestIsAnswered(t *testing.T) {
	notice := append([]byte("N\x00\x00\x00\x0f"), "Mmuch of it\x00\x00"[:11]...)
	whole := fakes.Rows("v")
	for _, c := range []struct {
		name  string
		greet *fakes.Reply
		reply *fakes.Reply
	}{
		{"never lets in", &fakes.Reply{}, nil},
		{"lets in half", &fakes.Reply{Bytes: pg.AppendGreeting(nil, 0)[:7]}, nil},
		{"ends before it lets in", &fakes.Reply{Close: true}, nil},
		{"notices in place of the greeting", &fakes.Reply{Bytes: []byte(strings.Repeat(string(notice), 1<<18))}, nil},
		{"hangs", nil, nil},
		{"hangs in a head", nil, &fakes.Reply{Bytes: whole[:3]}},
		{"hangs in a row", nil, &fakes.Reply{Bytes: whole[:len(whole)-16]}},
		{"hangs before it is ready", nil, &fakes.Reply{Bytes: whole}},
		{"hangs behind an error", nil, &fakes.Reply{Bytes: pg.AppendError(nil, &pg.Error{Code: "XX000", Text: "no"}, false)}},
		{"a row that is never whole", nil, &fakes.Reply{Bytes: append(whole[:30:30], "D\x00\x07\x00\x00\x00\x01\x00\x06\xff\xf6xxx"...)}},
		{"notices without end", nil, &fakes.Reply{Bytes: []byte(strings.Repeat(string(notice), 1<<18))}},
		{"noise", nil, &fakes.Reply{Bytes: []byte("\x00\xff what?")}},
		{"ends", nil, &fakes.Reply{Close: true}},
		{"ends in a row", nil, &fakes.Reply{Bytes: whole[:len(whole)-16], Close: true}},
		{"is full", nil, fakes.Fail("53300")},
		{"is full, and ends", nil, &fakes.Reply{Bytes: pg.AppendError(nil, &pg.Error{Code: "53300", Text: "no"}, true), Close: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := fakes.NewMember(t, c.greet, func(sql string) *fakes.Reply {
				if sql == "SHOW vitals" {
					return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=1", time.Now().Unix())))}
				}
				return c.reply
			})
			addr, term, ended := start(t, "127.0.0.1:1", 256, m.Addr)
			var all []*fakes.Client
			for n := range 8 {
				one := fakes.NewClient(t, addr, true)
				one.Ask(fmt.Sprintf("/* id=%d,c=%s,t=n,d=%d,cluster=2 */ SELECT x", n, []string{"look", "put"}[n%2], 300+n/2*300))
				all = append(all, one)
			}
			term <- syscall.SIGTERM
			for n, one := range all {
				got := one.Answer()
				if code, rest, _ := strings.Cut(got, " "); len(code) != 5 || rest != "ready" {
					t.Errorf("request %d: %q, want one error", n, got)
				}
				if got := one.Answer(); got != "closed" {
					t.Errorf("request %d, then: %q", n, got)
				}
				one.Close()
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// A startup message and a query in any two pieces, and any of them across SIGTERM: the first comes before it, the other once
// the router has begun to end what is quiet. A piece that never comes is owed nothing, and keeps the process from nothing.
func TestPiecesAcrossSIGTERM(t *testing.T) {
	addr, term, ended := start(t, "127.0.0.1:1", 512, member(t).Addr)
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	ask := func(n int) string { return string(pg.AppendQuery(nil, look(fmt.Sprint(n), "x"))) }
	whole := len(ask(10))
	var cuts []int // within the length word, around it, in the text, before its last byte
	for _, at := range []int{1, 2, 3, 4, 5, 6, whole / 2, whole - 1} {
		cuts = append(cuts, at)
	}
	var all, never []*fakes.Client
	for n := range 2 * len(cuts) {
		one := fakes.NewClient(t, addr, false)
		one.Send(hello[:1+n])
		one.Send(hello[1+n:] + ask(50+n))
		for _, want := range []string{"ready", "x ok ready"} {
			if got := one.Answer(); got != want {
				t.Fatalf("startup in two pieces: got %q, want %q", got, want)
			}
		}
		if n < len(cuts) {
			all = append(all, one)
		} else {
			never = append(never, one)
		}
	}
	quiet := fakes.NewClient(t, addr, true)
	for n, at := range cuts {
		all[n].Send(ask(10 + n)[:at])
		never[n].Send(ask(30 + n)[:at])
	}
	term <- syscall.SIGTERM
	if got := quiet.Answer(); got != "closed" { // from here on what is quiet is ended
		t.Errorf("quiet: %q", got)
	}
	for n, one := range all {
		one.Send(ask(10 + n)[cuts[n]:])
	}
	for n, one := range all {
		for _, want := range []string{"x ok ready", "closed"} {
			if got := one.Answer(); got != want {
				t.Errorf("cut at %d: got %q, want %q", cuts[n], got, want)
			}
		}
		one.Close()
	}
	for n, one := range never {
		if got := one.Answer(); !strings.HasSuffix(got, "closed") {
			t.Errorf("cut at %d, never whole: %q", cuts[n], got)
		}
		one.Close()
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A connection that is reset behind its accept, before or in its startup message, and one whose startup and first query come
// in one segment with the end behind them: none leaves anything open, and others are served.
func TestEndsBehindAnAccept(t *testing.T) {
	addr, term, ended := start(t, "127.0.0.1:1", 256, member(t).Addr)
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	for n, c := range []struct {
		send  string
		reset bool
	}{{"", true}, {"", false}, {hello[:3], true}, {hello[:9], true}, {hello, true}, {hello, false},
		{hello + string(pg.AppendQuery(nil, look("r", "x"))), true}, {hello + string(pg.AppendQuery(nil, look("e", "x"))), false},
		{hello + string(pg.AppendQuery(nil, put("h", "hang"))), false}} {
		one, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		one.Write([]byte(c.send))
		if c.reset {
			one.(*net.TCPConn).SetLinger(0)
		}
		one.Close()
		after := fakes.NewClient(t, addr, true)
		after.Ask(look(fmt.Sprint("after", n), "x"))
		if got := after.Answer(); got != "x ok ready" {
			t.Errorf("another session: %q", got)
		}
		after.Close()
	}
	term <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Members begin to drain before, with and after a new configuration that moves discovery, while the old discovery hangs, or
// its watch is open: from what is told on, nothing begins there.
func TestReloadWhileMembersDrain(t *testing.T) {
	for _, c := range []struct {
		name           string
		old, list, say string // what the old watch says, the new whole list, and the new watch
	}{
		{"before", "terminating", "terminating", ""},
		{"before, the old hangs", "", "terminating", ""},
		{"with it", "in_service", "terminating", ""},
		{"behind it", "in_service", "in_service", "terminating"},
		{"it lacks the member", "in_service", "none", ""},
		{"told as ended", "terminating", "in_service", "terminated"},
	} {
		t.Run(c.name, func(t *testing.T) {
			drains, stays := member(t), member(t)
			list := func(revision int, whole bool, phase string) string {
				row := fmt.Sprintf(`,{"id":"m0","host_port":"%s","locality":"z","cell":2,"phase":"%s"}`, drains.Addr, phase)
				if phase == "none" {
					row = ""
				}
				return fmt.Sprintf("{\n"+`"revision":%d,"complete":%v,"members":[{"id":"m1","host_port":"%s","locality":"z","cell":2,"phase":"in_service"}%s]}`,
					revision, whole, stays.Addr, row)
			}
			old, next := newScript(t), newScript(t)
			if old.watch <- list(42, false, c.old); c.old == "" {
				<-old.watch // it hangs
			}
			next.whole <- list(3, true, c.list)
			if c.say != "" {
				next.watch <- list(4, false, c.say)
			}
			addr, signals, _ := start(t, old.addr, 256, drains.Addr, stays.Addr)
			<-old.asked
			file := os.Getenv("PROXY_CONFIG")
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			write(t, filepath.Join(filepath.Dir(file), "next"), strings.Replace(string(text), old.addr, next.addr, 1))
			if err := os.Rename(filepath.Join(filepath.Dir(file), "next"), file); err != nil {
				t.Fatal(err)
			}
			signals <- syscall.SIGHUP
			<-next.asked // its whole list
			<-next.asked // it is told, and the watch has begun
			asks, n := fakes.NewClient(t, addr, true), 0
			count := func() int { _, asked := drains.Seen(); return strings.Count(strings.Join(asked, "|"), "c=look") }
			last := -1
			for same := 0; same < 100; n++ { // a hundred in a row go to the other: two to the hundredth by chance
				asks.Ask(look(fmt.Sprint(n), "x"))
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
				if n > 20000 {
					t.Fatal("it still gets requests")
				}
			}
		})
	}
}

// script is a discovery that answers once with each text that it is given, and stays silent otherwise.
type script struct {
	addr         string
	asked        chan string
	whole, watch chan string
	open         atomic.Int64 // connections that it serves
}

func newScript(t *testing.T) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{addr: l.Addr().String(), asked: make(chan string, 100), whole: make(chan string, 10), watch: make(chan string, 10)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			s.open.Add(1)
			go func() {
				defer s.open.Add(-1)
				s.serve(c)
				io.Copy(io.Discard, c) // up to its end
			}()
		}
	}()
	return s
}

func (s *script) serve(c net.Conn) {
	buf := make([]byte, 1<<12)
	n, err := c.Read(buf)
	if err != nil {
		return
	}
	head, _, _ := strings.Cut(string(buf[:n]), "\r\n")
	if strings.Contains(head, "stream=1") {
		s.asked <- head
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n"+<-s.watch)
		return
	}
	s.asked <- head
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n"+<-s.whole)
	c.Close()
}
