package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const (
	entry   = `{"id":"a","host_port":"127.0.0.1:5433","locality":"z","cell":3,"phase":"in_service","size":1.0,"up_since_ms":7}`
	changed = `{"revision":43,"complete":false,"members":[` + entry + `]}`
)

// What is sound is passed on, and the first thing that is not ends the watch with what was known in force.
func TestOnce(t *testing.T) {
	for _, c := range []struct{ name, sent, told, want string }{
		{"changes", changed + "\n\n" + `{"revision":44,"complete":true,"members":[]}` + "\n", "43 false a; 44 true", "EOF"},
		{"the same change twice", changed + "\n" + changed + "\n", "43 false a; 43 false a", "EOF"},
		{"nothing new", "\n\n", "41 false", "EOF"},
		{"cut within a line", changed + "\n" + changed[:40], "43 false a", "EOF"},
		{"not JSON", changed + "\n{,}\n" + changed + "\n", "43 false a", "not JSON"},
		{"not an object", "[]\n", "", "must be an object"},
		{"unknown state", strings.Replace(changed, "in_service", "asleep", 1) + "\n", "", `members[0].phase: unknown value "asleep"`},
		{"no address", strings.Replace(changed, ":5433", "", 1) + "\n", "", "members[0].host_port"},
		{"no id", strings.Replace(changed, `"id"`, `"ip"`, 1) + "\n", "", "members[0].id"},
		{"a line without end", strings.Repeat(" ", longest+1), "", "line or list too long"},
		{"silence", "", "", "silent"},
		{"indented", "{\n \"revision\": 43,\n \"complete\": false,\n \"members\": [\n  " + strings.ReplaceAll(entry, ",", ",\n\t") +
			"\n ]\n}\n\n" + `{"revision":44,` + "\n" + `"complete":true,"members":[]}` + "\n", "43 false a; 44 true", "EOF"},
		{"brackets in a text", strings.Replace(changed, `"id":"a"`, `"id":"a}]\\\"{"`, 1) + "\n", `43 false a}]\"{`, "EOF"},
		{"no end of its line", changed, "43 false a", "EOF"},
		{"two in a line, in another's line ends", changed + " " + changed + "\r\n\r\n{\r\n\"revision\":44,\"complete\":true,\r\n\"members\":[]}\r\n",
			"43 false a; 43 false a; 44 true", "EOF"},
		{"more closed than opened", "}" + changed + "\n", "", "not JSON"},
		{"indented and cut", "{\n \"revision\": 43,\n", "", "EOF"},
		{"never closed", "{\"revision\": 43,\n\n" + changed + "\n", "", "not JSON"},
		{"a text that is cut", "{\"revis\n" + changed + "\n", "", "not JSON"},
		{"missing field", strings.Replace(changed, `"phase":"in_service",`, "", 1) + "\n", "", "members[0].phase: must be text"},
		{"wrong type", strings.Replace(changed, "43", `"43"`, 1) + "\n", "", "revision: must be a number"},
		{"lines without end", strings.Repeat(strings.Repeat("[", 1<<12)+"\n", longest>>12+1), "", "line or list too long"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.String() != "/api/targets?stream=1&index=41" {
					t.Errorf("asked for %s", r.URL)
				}
				fmt.Fprint(w, c.sent)
				w.(http.Flusher).Flush()
				if c.sent == "" {
					<-r.Context().Done()
				}
			}))
			defer s.Close()
			var told []string
			w := NewWatcher(strings.TrimPrefix(s.URL, "http://"), 41, func(l *List) {
				line := fmt.Sprint(l.Revision, " ", l.Complete)
				for _, e := range l.Entries {
					line += " " + e.ID
				}
				told = append(told, line)
			}, nil)
			if w.heartbeatTimeout = time.Hour; c.want == "silent" { // none of the others ends because the machine is slow
				w.heartbeatTimeout = 50 * time.Millisecond
			}
			err := w.WatchOnce(context.Background())
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("ended with %v, want %q", err, c.want)
			}
			if got := strings.Join(told, "; "); got != c.told {
				t.Errorf("told %q, want %q", got, c.told)
			}
		})
	}
}

// What is cut does not depend on how the bytes come: all at once, one by one, or anything in between.
func TestCutAnywhere(t *testing.T) {
	indented := "{\n \"revision\": 43,\n\t\"a\": [ \"}]\\\"{\\\\\" ]\n}"
	text := changed + "\n\n \t\r\n" + indented + indented + "  " + changed + "\r\n}x\n{\"cut \n\n{\n\n" + "words \n  [[" + changed
	cuts := func(step int) (all []string) {
		var c cutter
		for rest := text; len(rest) > 0; {
			n, whole := c.cut([]byte(rest[:min(step, len(rest))]))
			if rest = rest[n:]; whole {
				all = append(all, fmt.Sprint(c.size, " ", string(c.text)))
				c = cutter{text: c.text[:0]}
			}
		}
		return append(all, fmt.Sprint(c.size, " ", string(c.text)))
	}
	whole := strings.ReplaceAll(indented, "\n", "")
	want := []string{changed, "", "", "", whole, whole, changed, "", "}", "x", "{\"cut ", "", "{", "words ", "[[" + changed}
	for step := 1; step <= len(text); step++ {
		got, size := cuts(step), 0
		for n, s := range got {
			var bytes int
			fmt.Sscan(s, &bytes)
			size += bytes
			if _, s, _ = strings.Cut(s, " "); n >= len(want) || s != want[n] {
				t.Fatalf("%d bytes at a time, cut %d: %q", step, n, s)
			}
		}
		if len(got) != len(want) || size != len(text) {
			t.Fatalf("%d bytes at a time: %d cuts of %d bytes, want %d of %d", step, len(got), size, len(want), len(text))
		}
	}
}

// A watch that ends is followed by another, from the revision that is known by then.
func TestKeep(t *testing.T) {
	asked := make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Query().Get("index")
		fmt.Fprintln(w, changed)
	}))
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go NewWatcher(strings.TrimPrefix(s.URL, "http://"), 41, func(*List) {}, func(error) {}).Watch(ctx)
	for _, want := range []string{"41", "43", "43"} {
		if got := <-asked; got != want {
			t.Fatalf("asked from %s, want %s", got, want)
		}
	}
}

// Where the router says when to ask, each request makes one watch and no more.
func TestAnswer(t *testing.T) {
	asked := make(chan bool, 10)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked <- true }))
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed, requests := make(chan error, 10), make(chan struct{}, 1)
	go NewWatcher(strings.TrimPrefix(s.URL, "http://"), 41, func(*List) {}, func(err error) { failed <- err }).Poll(ctx, requests)
	for range 2 {
		requests <- struct{}{}
		if err := <-failed; err == nil {
			t.Error("an end without a reason")
		}
	}
	if len(asked) != 2 {
		t.Errorf("%d watches for 2 requests", len(asked))
	}
}

// A changed address is asked at once and for the whole list, whose revisions may start elsewhere, while the old one
// still has its watch open; a list that can't be read there changes nothing, and it is asked again.
func TestMove(t *testing.T) {
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, changed)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer old.Close()
	answers := make(chan string, 3)
	answers <- "{"
	answers <- `{"revision":5,"complete":true,"members":[` + entry + `]}`
	asked := make(chan string, 10)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.String()
		if r.URL.RawQuery == "" {
			fmt.Fprint(w, <-answers)
			return
		}
		fmt.Fprintln(w, `{"revision":6,"complete":false,"members":[]}`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer next.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	told, failed := make(chan List, 10), make(chan error, 10)
	w := NewWatcher(strings.TrimPrefix(old.URL, "http://"), 41, func(l *List) { told <- *l }, func(err error) { failed <- err })
	go w.Watch(ctx)
	hear := func(revision int64, whole bool) {
		t.Helper()
		if l := <-told; l.Revision != revision || l.Complete != whole {
			t.Fatalf("told revision %d, whole %v; want %d, %v", l.Revision, l.Complete, revision, whole)
		}
	}
	hear(43, false)
	w.ChangeAddress(strings.TrimPrefix(next.URL, "http://"))
	if err := <-failed; !strings.Contains(err.Error(), "not JSON") {
		t.Errorf("failed with %v", err)
	}
	hear(5, true)
	hear(6, false)
	for _, want := range []string{"/api/targets", "/api/targets", "/api/targets?stream=1&index=5"} {
		if got := <-asked; got != want {
			t.Errorf("asked %s, want %s", got, want)
		}
	}
	cancel()
}

// peer is a discovery that does what it is told with each call, over a socket of its own.
type peer struct {
	net.Listener
	asked chan string
	held  []net.Conn
}

func newPeer(t *testing.T, calls ...func(net.Conn)) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{Listener: l, asked: make(chan string, 100)}
	ended := make(chan bool)
	go func() {
		defer close(ended)
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.held = append(p.held, c)
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				c.Close()
				continue
			}
			p.asked <- req.URL.RequestURI()
			calls[min(n, len(calls)-1)](c)
		}
	}()
	t.Cleanup(func() {
		l.Close()
		<-ended
		for _, c := range p.held {
			c.Close()
		}
	})
	return p
}

func says(text string) func(net.Conn) {
	return func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n"+text) }
}

func resets(text string) func(net.Conn) {
	return func(c net.Conn) {
		fmt.Fprint(c, text)
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Whatever befalls a call, and the next, the list gets through with the third: each of them ends by itself.
func TestAnyTwoFaultsInARow(t *testing.T) {
	befalls := map[string]func(net.Conn){
		"silent":               func(net.Conn) {},
		"silent after a line":  says("\n"),
		"silent in a line":     says(changed[:40]),
		"silent in a list":     says("{\n"),
		"lines but no end":     func(c net.Conn) { says("{\"x\":[\n")(c); fmt.Fprint(c, "\n\n") },
		"reset at once":        resets(""),
		"reset after a line":   resets("HTTP/1.1 200 OK\r\n\r\n\n"),
		"reset in a line":      resets("HTTP/1.1 200 OK\r\n\r\n" + changed[:40]),
		"refused":              resets("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
		"no HTTP":              resets("what?\r\n\r\n"),
		"half a head":          func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200") },
		"spoilt":               says("{,}\n"),
		"revisions start anew": says(strings.Replace(changed, "43", "2", 1) + "\n"),
	}
	for first, f := range befalls {
		for second, g := range befalls {
			t.Run(first+", "+second, func(t *testing.T) {
				t.Parallel()
				p := newPeer(t, f, g, func(c net.Conn) { says(changed + "\n")(c); c.Close() })
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				told := make(chan *List, 100)
				w := NewWatcher(p.Addr().String(), 41, func(l *List) { told <- l }, func(error) {})
				w.heartbeatTimeout = 30 * time.Millisecond
				go w.Watch(ctx)
				for l := range told {
					if len(l.Entries) == 1 && l.Revision == 43 {
						return
					}
				}
			})
		}
	}
}

// What the page allows between a change that discovery has and can tell, and its being told here.
func TestTheLongestUntilTold(t *testing.T) {
	const allowed, moved, beat, most = 6 * time.Second, 4 * time.Second, 2 * time.Second, 1.5
	pause := time.Duration(most * float64(leastBackoff))
	for what, longest := range map[string]time.Duration{
		"a watch falls silent, the next call hangs": 2 * (heartbeatTimeout + pause),
		"discovery returns while a call hangs":      heartbeatTimeout + pause,
		"calls are refused up to its return":        time.Duration(most * float64(mostBackoff)),
		"a list that keeps coming, and never ends":  2*heartbeatTimeout + pause,
	} {
		if longest >= allowed {
			t.Errorf("%s: told after %v, %v are allowed", what, longest, allowed)
		}
	}
	if longest := heartbeatTimeout + pause; longest >= moved { // a new address's first call hangs
		t.Errorf("told %v after a move, %v are allowed", longest, moved)
	}
	if gap, spare := time.Duration(most*float64(mostBackoff)), 400*time.Millisecond; gap > spare {
		t.Errorf("between two calls that end at once up to %v pass, in which what the agent has is not known", gap)
	}
	if heartbeatTimeout <= beat {
		t.Errorf("a watch is given up after %v, and has a line every %v", heartbeatTimeout, beat)
	}
}

// Discovery that has started anew has lower revisions. They are not taken for old news for ever: its whole list is asked
// for within the same call, with no pause in which what it has is not known, and taken for what it is.
func TestRevisionsStartAnew(t *testing.T) {
	for _, first := range []string{strings.Replace(changed, "43", "2", 1), strings.Replace(changed, "43", "40", 1),
		`{"revision":3,"complete":true,"members":[]}`, "{\n \"revision\": 40,\n \"complete\": true,\n \"members\": []\n}"} {
		p := newPeer(t, says(first+"\n"), func(c net.Conn) {
			says(`{"revision":3,"complete":true,"members":[` + entry + `]}`)(c)
			c.Close()
		}, func(c net.Conn) { says(strings.Replace(changed, "43", "4", 1) + "\n")(c); c.Close() })
		var told []string
		w := NewWatcher(p.Addr().String(), 41, func(l *List) { told = append(told, fmt.Sprint(l.Revision, l.Complete, len(l.Entries))) }, nil)
		if err := w.WatchOnce(context.Background()); !errors.Is(err, io.EOF) {
			t.Errorf("ended with %v", err)
		}
		if got := strings.Join(told, "; "); got != "3 true 1; 4 false 1" {
			t.Errorf("told %q", got)
		}
		for _, want := range []string{"/api/targets?stream=1&index=41", "/api/targets", "/api/targets?stream=1&index=3"} {
			if got := <-p.asked; got != want {
				t.Errorf("asked %s, want %s", got, want)
			}
		}
	}
}

// One whose revisions go back again and again ends the call, so that it is asked no faster than any other.
func TestRevisionsKeepGoingBack(t *testing.T) {
	list := func(c net.Conn) { says(`{"revision":30,"complete":true,"members":[]}`)(c); c.Close() }
	older := says(strings.Replace(changed, "43", "7", 1) + "\n")
	p := newPeer(t, older, list, older, list, func(c net.Conn) { says("\n")(c); c.Close() })
	var told []string
	w := NewWatcher(p.Addr().String(), 41, func(l *List) { told = append(told, fmt.Sprint(l.Revision, l.Complete)) }, nil)
	if err := w.WatchOnce(context.Background()); err == nil || !strings.Contains(err.Error(), "revision 7 is older than 30") {
		t.Errorf("ended with %v", err)
	}
	if err := w.WatchOnce(context.Background()); !errors.Is(err, io.EOF) {
		t.Errorf("the next ended with %v", err)
	}
	if got := strings.Join(told, "; "); got != "30 true; 30 true; 30 false" {
		t.Errorf("told %q", got)
	}
	for _, want := range []string{"/api/targets?stream=1&index=41", "/api/targets", "/api/targets?stream=1&index=30", "/api/targets",
		"/api/targets?stream=1&index=30"} {
		if got := <-p.asked; got != want {
			t.Errorf("asked %s, want %s", got, want)
		}
	}
}

// A list is told with its last bracket: the peer holds all that may come behind it.
func TestToldWithItsLastBracket(t *testing.T) {
	indented := "{\n \"revision\": 44,\n \"complete\": true,\n \"members\": [\n  " + entry + "\n ]\n}"
	for _, text := range []string{changed, indented} {
		for cut := 1; cut < len(text); cut += 7 {
			p := newPeer(t, func(c net.Conn) { says("\n" + text[:cut])(c); fmt.Fprint(c, text[cut:]) }) // and stays
			ctx, cancel := context.WithCancel(context.Background())
			told := make(chan *List, 10)
			go NewWatcher(p.Addr().String(), 41, func(l *List) { told <- l }, func(error) {}).Watch(ctx)
			for want := 0; want <= 1; want++ {
				select {
				case l := <-told:
					if len(l.Entries) != want {
						t.Errorf("told %+v, want %d members", l, want)
					}
				case <-time.After(20 * time.Second):
					t.Fatal("not told")
				}
			}
			if len(p.asked) != 1 {
				t.Errorf("asked %d times", len(p.asked))
			}
			cancel()
		}
	}
}

// Where the router says when to ask, a call that hangs ends by itself, so that the request behind it is heard.
func TestAnswerAfterAHang(t *testing.T) {
	p := newPeer(t, func(net.Conn) {}, says(changed+"\n"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	told, requests := make(chan *List, 10), make(chan struct{}, 1)
	w := NewWatcher(p.Addr().String(), 41, func(l *List) { told <- l }, func(error) {})
	w.heartbeatTimeout = 30 * time.Millisecond
	go w.Poll(ctx, requests)
	requests <- struct{}{}
	<-p.asked
	requests <- struct{}{} // while the first hangs
	if l := <-told; l.Revision != 43 {
		t.Errorf("told %+v", l)
	}
}
