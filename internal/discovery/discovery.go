// Package discovery reads the list of members: the one a router starts with, and the watch on its changes. It owns
// the connection to discovery and the form of its lists; it must never judge a member, and passes on only lists that
// are whole and sound.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fastjson"

	"wayloft/internal/settings"
	"wayloft/router"
)

const (
	silence   = 5 * time.Second // a line comes every 2 s at least
	leastWait = 100 * time.Millisecond
	mostWait  = 2 * time.Second
	longest   = 4 << 20 // bytes of one line
)

// Entry is one member as the list has it.
type Entry struct {
	ID, Addr, Zone string
	Group          int
	State          router.State
	Started        float64 // Unix time in ms; router.Never: long ago
}

// List is a whole list or what changed.
type List struct {
	Revision int64
	Whole    bool
	Entries  []Entry
}

var states = map[string]router.State{"in_service": router.Up, "terminating": router.Draining,
	"terminated": router.Removed}

// Decode reads a list.
func Decode(v *fastjson.Value) (*List, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return nil, errors.New("must be an object")
	}
	f := &settings.Fields{V: v}
	l := &List{Revision: int64(f.Number("revision")), Whole: f.Flag("complete")}
	for n, row := range f.Array("members") {
		e := &settings.Fields{V: row}
		one := Entry{ID: e.Text("id"), Addr: e.Text("host_port"), Zone: e.Maybe("locality"),
			Group: int(e.OrZero("cell")), Started: router.Never}
		if at := e.OrZero("up_since_ms"); at > 0 {
			one.Started = at
		}
		word := e.Text("phase")
		if e.Err != nil {
			return nil, fmt.Errorf("members[%d].%w", n, e.Err)
		}
		var known bool
		if one.State, known = states[word]; !known {
			return nil, fmt.Errorf("members[%d].phase: unknown value %q", n, word)
		}
		if _, _, err := net.SplitHostPort(one.Addr); err != nil {
			return nil, fmt.Errorf("members[%d].host_port: %w", n, err)
		}
		l.Entries = append(l.Entries, one)
	}
	return l, f.Err
}

// Watcher keeps a watch on the list.
type Watcher struct {
	url      string
	revision int64
	deliver  func(*List)
	failed   func(error)
	client   *http.Client
	silence  time.Duration // after which a watch is given up
}

// New makes a watcher from a revision on. Both functions are called from its own goroutine.
func New(addr string, revision int64, deliver func(*List), failed func(error)) *Watcher {
	return &Watcher{url: "http://" + addr + "/api/targets", revision: revision, deliver: deliver, failed: failed,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, silence: silence}
}

// Keep watches until ctx ends, and asks again with backing off whenever a watch ends.
func (w *Watcher) Keep(ctx context.Context) {
	for wait := leastWait; ; wait = min(2*wait, mostWait) {
		before := time.Now()
		err := w.Once(ctx)
		if ctx.Err() != nil {
			return
		}
		w.failed(err)
		if time.Since(before) > 2*w.silence { // it went well for a while
			wait = leastWait
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(wait))): // many ask
		}
	}
}

// Answer watches once for each request, for a router that says itself when to ask.
func (w *Watcher) Answer(ctx context.Context, asked <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
		}
		if err := w.Once(ctx); ctx.Err() == nil {
			w.failed(err)
		}
	}
}

// Once watches until the connection ends, falls silent or tells something unsound, and says which.
func (w *Watcher) Once(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(w.silence, func() { cancel(errors.New("silent")) })
	defer quiet.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s?stream=1&index=%d", w.url, w.revision), nil)
	if err != nil {
		return err
	}
	res, err := w.client.Do(req)
	if err != nil {
		return orCause(ctx, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	lines := bufio.NewReader(res.Body)
	var parser fastjson.Parser
	for told := false; ; told = true {
		line, err := readLine(lines)
		if err != nil { // what came of a line that was cut is dropped
			return orCause(ctx, err)
		}
		quiet.Reset(w.silence)
		if line = bytes.TrimSpace(line); len(line) == 0 {
			if !told { // nothing has changed: that is an answer too
				w.deliver(&List{Revision: w.revision})
			}
			continue
		}
		v, err := parser.ParseBytes(line)
		if err != nil {
			return fmt.Errorf("not JSON: %w", err)
		}
		l, err := Decode(v)
		if err != nil {
			return err
		}
		if l.Revision < w.revision {
			return fmt.Errorf("revision %d is older than %d", l.Revision, w.revision)
		}
		w.revision = l.Revision
		w.deliver(l)
	}
}

// orCause prefers the reason for which the watch was given up.
func orCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > longest {
			return nil, errors.New("line too long")
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
