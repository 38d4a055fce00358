package discovery

import (
	"context"
	"fmt"
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
		{"nothing new", "\n\n", "41 false", "EOF"},
		{"cut within a line", changed + "\n" + changed[:40], "43 false a", "EOF"},
		{"not JSON", changed + "\n{,}\n" + changed + "\n", "43 false a", "not JSON"},
		{"not an object", "[]\n", "", "must be an object"},
		{"unknown state", strings.Replace(changed, "in_service", "asleep", 1) + "\n", "", `members[0].phase: unknown value "asleep"`},
		{"no address", strings.Replace(changed, ":5433", "", 1) + "\n", "", "members[0].host_port"},
		{"no id", strings.Replace(changed, `"id"`, `"ip"`, 1) + "\n", "", "members[0].id"},
		{"an old revision", strings.Replace(changed, "43", "40", 1) + "\n", "", "revision 40 is older than 41"},
		{"a line without end", strings.Repeat(" ", longest+1), "", "line too long"},
		{"silence", "", "", "silent"},
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
			w := New(strings.TrimPrefix(s.URL, "http://"), 41, func(l *List) {
				line := fmt.Sprint(l.Revision, " ", l.Whole)
				for _, e := range l.Entries {
					line += " " + e.ID
				}
				told = append(told, line)
			}, nil)
			if c.want == "silent" {
				w.silence = 50 * time.Millisecond
			}
			err := w.Once(context.Background())
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("ended with %v, want %q", err, c.want)
			}
			if got := strings.Join(told, "; "); got != c.told {
				t.Errorf("told %q, want %q", got, c.told)
			}
		})
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
	go New(strings.TrimPrefix(s.URL, "http://"), 41, func(*List) {}, func(error) {}).Keep(ctx)
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
	go New(strings.TrimPrefix(s.URL, "http://"), 41, func(*List) {}, func(err error) { failed <- err }).Answer(ctx, requests)
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
	w := New(strings.TrimPrefix(old.URL, "http://"), 41, func(l *List) { told <- *l }, func(err error) { failed <- err })
	go w.Keep(ctx)
	hear := func(revision int64, whole bool) {
		t.Helper()
		if l := <-told; l.Revision != revision || l.Whole != whole {
			t.Fatalf("told revision %d, whole %v; want %d, %v", l.Revision, l.Whole, revision, whole)
		}
	}
	hear(43, false)
	w.Move(strings.TrimPrefix(next.URL, "http://"))
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
