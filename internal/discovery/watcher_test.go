package discovery

import (
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

// TestWatchOnce_DeliversValidLists checks that the first invalid item ends the watch, after all lists before it were delivered.
func TestWatchOnce_DeliversValidLists(t *testing.T) {
	for _, c := range []struct{ name, sent, delivered, want string }{
		{"changes", testChange + "\n\n" + `{"revision":44,"complete":true,"members":[]}` + "\n", "43 false a; 44 true", "EOF"},
		{"the same change twice", testChange + "\n" + testChange + "\n", "43 false a; 43 false a", "EOF"},
		{"no changes", "\n\n", "41 false", "EOF"},
		{"cut within a line", testChange + "\n" + testChange[:40], "43 false a", "EOF"},
		{"not JSON", testChange + "\n{,}\n" + testChange + "\n", "43 false a", "not JSON"},
		{"not an object", "[]\n", "", "must be an object"},
		{"unknown state", strings.Replace(testChange, "in_service", "standby", 1) + "\n", "", `members[0].phase: unknown value "standby"`},
		{"no address", strings.Replace(testChange, ":5433", "", 1) + "\n", "", "members[0].host_port"},
		{"no id", strings.Replace(testChange, `"id"`, `"ip"`, 1) + "\n", "", "members[0].id"},
		{"a line without end", strings.Repeat(" ", maxListBytes+1), "", "line or list too long"},
		{"silence", "", "", "no heartbeat"},
		{"indented", "{\n \"revision\": 43,\n \"complete\": false,\n \"members\": [\n  " + strings.ReplaceAll(testEntry, ",", ",\n\t") +
			"\n ]\n}\n\n" + `{"revision":44,` + "\n" + `"complete":true,"members":[]}` + "\n", "43 false a; 44 true", "EOF"},
		{"brackets in a string", strings.Replace(testChange, `"id":"a"`, `"id":"a}]\\\"{"`, 1) + "\n", `43 false a}]\"{`, "EOF"},
		{"no newline at the end", testChange, "43 false a", "EOF"},
		{"two lists in a line, with CRLF", testChange + " " + testChange + "\r\n\r\n{\r\n\"revision\":44,\"complete\":true,\r\n\"members\":[]}\r\n",
			"43 false a; 43 false a; 44 true", "EOF"},
		{"unmatched closing bracket", "}" + testChange + "\n", "", "not JSON"},
		{"indented and cut", "{\n \"revision\": 43,\n", "", "EOF"},
		{"unclosed bracket", "{\"revision\": 43,\n\n" + testChange + "\n", "", "not JSON"},
		{"string cut by a newline", "{\"revis\n" + testChange + "\n", "", "not JSON"},
		{"missing field", strings.Replace(testChange, `"phase":"in_service",`, "", 1) + "\n", "", "members[0].phase: must be text"},
		{"wrong type", strings.Replace(testChange, "43", `"43"`, 1) + "\n", "", "revision: must be a number"},
		{"lines without end", strings.Repeat(strings.Repeat("[", 1<<12)+"\n", maxListBytes>>12+1), "", "line or list too long"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.String() != watchURL(testRevision) {
					t.Errorf("requested %s", r.URL)
				}
				_, _ = io.WriteString(w, c.sent) // the watcher may end the watch before it has read all of an invalid list
				w.(http.Flusher).Flush()
				if c.sent == "" {
					<-r.Context().Done()
				}
			}))
			defer s.Close()
			var delivered []string
			w := NewWatcher(strings.TrimPrefix(s.URL, "http://"), testRevision, func(l *List) {
				line := fmt.Sprint(l.Revision, " ", l.Complete)
				for _, e := range l.Entries {
					line += " " + e.ID
				}
				delivered = append(delivered, line)
			}, nil)
			w.heartbeatTimeout = time.Hour // so that no watch times out on a slow machine
			if c.name == "silence" {
				w.heartbeatTimeout = 50 * time.Millisecond
			}
			err := w.watchOnce(context.Background())
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("ended with %v, want %q", err, c.want)
			}
			if got := strings.Join(delivered, "; "); got != c.delivered {
				t.Errorf("delivered %q, want %q", got, c.delivered)
			}
		})
	}
}

func TestWatchOnce_TypedErrors(t *testing.T) {
	for _, c := range []struct {
		name, sent, path string
		want             error // nil: any
	}{
		{"list too long", strings.Repeat(" ", maxListBytes+1), "", errListTooLong},
		{"invalid entry", strings.Replace(testChange, `"members":[`, `"members":[`+testEntry+`,{},`, 1), "members[1]", nil},
		{"invalid list", strings.Replace(testChange, "43", `"43"`, 1), "", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeService(t, respondAndClose(c.sent))
			err := NewWatcher(s.address(), testRevision, ignoreList, nil).watchOnce(context.Background())
			var invalid InvalidListError
			if !errors.As(err, &invalid) || invalid.Path != c.path {
				t.Errorf("ended with %v, want an InvalidListError at %q", err, c.path)
			}
			if c.want != nil && !errors.Is(err, c.want) {
				t.Errorf("ended with %v, want %v", err, c.want)
			}
		})
	}
	s := newFakeService(t, hang)
	w := NewWatcher(s.address(), testRevision, ignoreList, nil)
	w.heartbeatTimeout = 50 * time.Millisecond
	if err := w.watchOnce(context.Background()); !errors.Is(err, ErrNoHeartbeat) {
		t.Errorf("ended with %v, want %v", err, ErrNoHeartbeat)
	}
}

// TestWatchOnce_ListNeverEnds guards against a list whose bytes keep arriving, with pauses shorter than the heartbeat timeout, but which is
// never completed.
func TestWatchOnce_ListNeverEnds(t *testing.T) {
	const heartbeatTimeout, interval = 100 * time.Millisecond, 10 * time.Millisecond
	s := newFakeService(t, func(c net.Conn) {
		respond("{")(c)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for range ticker.C {
			if _, err := io.WriteString(c, " "); err != nil {
				return
			}
		}
	})
	w := NewWatcher(s.address(), testRevision, ignoreList, nil)
	w.heartbeatTimeout = heartbeatTimeout
	if err := w.watchOnce(context.Background()); !errors.Is(err, ErrNoHeartbeat) {
		t.Errorf("ended with %v, want %v", err, ErrNoHeartbeat)
	}
}

// TestWatchOnce_RevisionsRestart covers a list service that has lost its state: the complete list is requested within the same watch,
// without a pause, and accepted although its revision is lower.
func TestWatchOnce_RevisionsRestart(t *testing.T) {
	for _, first := range []string{strings.Replace(testChange, "43", "2", 1), strings.Replace(testChange, "43", "40", 1),
		`{"revision":3,"complete":true,"members":[]}`, "{\n \"revision\": 40,\n \"complete\": true,\n \"members\": []\n}"} {
		s := newFakeService(t, respond(first+"\n"), respondAndClose(`{"revision":3,"complete":true,"members":[`+testEntry+`]}`),
			respondAndClose(strings.Replace(testChange, "43", "4", 1)+"\n"))
		var delivered []string
		w := NewWatcher(s.address(), testRevision, func(l *List) {
			delivered = append(delivered, fmt.Sprint(l.Revision, l.Complete, len(l.Entries)))
		}, nil)
		if err := w.watchOnce(context.Background()); !errors.Is(err, io.EOF) {
			t.Errorf("ended with %v", err)
		}
		if got := strings.Join(delivered, "; "); got != "3 true 1; 4 false 1" {
			t.Errorf("delivered %q", got)
		}
		for _, want := range []string{watchURL(testRevision), fullListURL, watchURL(3)} {
			s.expectRequest(t, want)
		}
	}
}

// TestWatchOnce_RevisionsRestartRepeatedly checks that the second restart of revisions ends the watch, so that the backoff limits the rate
// of requests as after any other error.
func TestWatchOnce_RevisionsRestartRepeatedly(t *testing.T) {
	list := respondAndClose(`{"revision":30,"complete":true,"members":[]}`)
	older := respond(strings.Replace(testChange, "43", "7", 1) + "\n")
	s := newFakeService(t, older, list, older, list, respondAndClose("\n"))
	var delivered []string
	w := NewWatcher(s.address(), testRevision, func(l *List) { delivered = append(delivered, fmt.Sprint(l.Revision, l.Complete)) }, nil)
	err := w.watchOnce(context.Background())
	if err == nil || !strings.Contains(err.Error(), "revision 7 is older than 30") || !errors.As(err, new(InvalidListError)) {
		t.Errorf("ended with %v", err)
	}
	if err := w.watchOnce(context.Background()); !errors.Is(err, io.EOF) {
		t.Errorf("the next watch ended with %v", err)
	}
	if got := strings.Join(delivered, "; "); got != "30 true; 30 true; 30 false" {
		t.Errorf("delivered %q", got)
	}
	for _, want := range []string{watchURL(testRevision), fullListURL, watchURL(30), fullListURL, watchURL(30)} {
		s.expectRequest(t, want)
	}
}

func TestWatchOnce_FetchesFullListOnce(t *testing.T) {
	s := newFakeService(t, respondAndClose(`{"revision":5,"complete":true,"members":[]}`), respondAndClose("\n"))
	w := NewWatcher("", testRevision, ignoreList, nil)
	w.ChangeAddress(s.address())
	for range 2 {
		if err := w.watchOnce(context.Background()); !errors.Is(err, io.EOF) {
			t.Errorf("ended with %v", err)
		}
	}
	for _, want := range []string{fullListURL, watchURL(5), watchURL(5)} {
		s.expectRequest(t, want)
	}
}

// TestChangeAddress_FetchesFullList changes the address during a watch of the old one. The complete list must be requested immediately from
// the new address, whose revisions may be unrelated. An invalid list from the new address changes nothing, and is requested again.
func TestChangeAddress_FetchesFullList(t *testing.T) {
	previous := newFakeService(t, respond(testChange+"\n"))
	next := newFakeService(t,
		respondAndClose("{"),
		respondAndClose(`{"revision":5,"complete":true,"members":[`+testEntry+`]}`),
		respond(`{"revision":6,"complete":false,"members":[]}`+"\n"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	delivered, failed := make(chan List, 10), make(chan error, 10)
	w := NewWatcher(previous.address(), testRevision, func(l *List) { delivered <- *l }, func(err error) { failed <- err })
	go w.Watch(ctx)
	expect := func(revision int64, complete bool) {
		t.Helper()
		if l := <-delivered; l.Revision != revision || l.Complete != complete {
			t.Fatalf("delivered revision %d, complete %v; want %d, %v", l.Revision, l.Complete, revision, complete)
		}
	}
	expect(43, false)
	w.ChangeAddress(next.address())
	if err := <-failed; !strings.Contains(err.Error(), "not JSON") {
		t.Errorf("failed with %v", err)
	}
	expect(5, true)
	expect(6, false)
	for _, want := range []string{fullListURL, fullListURL, watchURL(5)} {
		next.expectRequest(t, want)
	}
}

// TestWatch_DeliversListAtItsLastBracket checks that a list is delivered although nothing follows it, not even a newline.
func TestWatch_DeliversListAtItsLastBracket(t *testing.T) {
	const timeout = 20 * time.Second
	indented := "{\n \"revision\": 44,\n \"complete\": true,\n \"members\": [\n  " + testEntry + "\n ]\n}"
	for _, text := range []string{testChange, indented} {
		for cut := 1; cut < len(text); cut += 7 {
			s := newFakeService(t, func(c net.Conn) {
				respond("\n" + text[:cut])(c)
				send(text[cut:])(c)
			})
			ctx, cancel := context.WithCancel(context.Background())
			delivered := make(chan *List, 10)
			go NewWatcher(s.address(), testRevision, func(l *List) { delivered <- l }, ignoreError).Watch(ctx)
			for entries := 0; entries <= 1; entries++ {
				select {
				case l := <-delivered:
					if len(l.Entries) != entries {
						t.Errorf("delivered %+v, want %d entries", l, entries)
					}
				case <-time.After(timeout):
					t.Fatal("a list was not delivered in time")
				}
			}
			if len(s.requests) != 1 {
				t.Errorf("%d requests", len(s.requests))
			}
			cancel()
		}
	}
}
