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
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"wayloft/internal/settings"
	"wayloft/router"
)

const (
	silence   = 5 * time.Second // a line comes every 2 s at least
	leastWait = 100 * time.Millisecond
	mostWait  = time.Second
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

// errMoved ends a watch whose address has changed.
var errMoved = errors.New("discovery has moved")

// Watcher keeps a watch on the list.
type Watcher struct {
	revision int64
	deliver  func(*List)
	failed   func(error)
	client   *http.Client
	silence  time.Duration // after which a watch is given up

	mu    sync.Mutex
	addr  string
	fresh bool                    // the address is new: its revisions may have nothing to do with the last one's
	stop  context.CancelCauseFunc // ends the watch that is on
	moved chan struct{}
}

// New makes a watcher from a revision on. Both functions are called from its own goroutine.
func New(addr string, revision int64, deliver func(*List), failed func(error)) *Watcher {
	return &Watcher{addr: addr, revision: revision, deliver: deliver, failed: failed, silence: silence,
		moved: make(chan struct{}, 1), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Move names another address. What is on with the old one ends, and the new one is asked at once; until it has
// answered, nothing that is known changes. It may be called from anywhere.
func (w *Watcher) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr, w.fresh = addr, true
	if w.stop != nil {
		w.stop(errMoved)
	}
	select {
	case w.moved <- struct{}{}:
	default: // it has not noticed the last move yet
	}
}

// Keep watches until ctx ends, and asks again with backing off whenever a watch ends.
func (w *Watcher) Keep(ctx context.Context) {
	for wait := leastWait; ; wait = min(2*wait, mostWait) {
		before := time.Now()
		err := w.Once(ctx)
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, errMoved) {
			w.failed(err)
		}
		if time.Since(before) > 2*w.silence { // it went well for a while
			wait = leastWait
		}
		select {
		case <-ctx.Done():
			return
		case <-w.moved:
			wait = leastWait / 2
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(wait))): // many ask
		}
	}
}

// Answer watches once for each request and each move, for a router that says itself when to ask.
func (w *Watcher) Answer(ctx context.Context, asked <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.moved:
		case <-asked:
		}
		if err := w.Once(ctx); ctx.Err() == nil && !errors.Is(err, errMoved) {
			w.failed(err)
		}
	}
}

// Once watches until the connection ends, falls silent or tells something unsound, and says which. An address that
// is new is asked for the whole list first, which is taken for what it is whatever its revision.
func (w *Watcher) Once(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.mu.Lock()
	url, fresh := "http://"+w.addr+"/api/targets", w.fresh
	w.stop = cancel
	w.mu.Unlock()
	quiet := time.AfterFunc(w.silence, func() { cancel(errors.New("silent")) })
	defer quiet.Stop()
	if fresh {
		if err := w.whole(ctx, url); err != nil {
			return orCause(ctx, err)
		}
	}
	return orCause(ctx, w.follow(ctx, url, quiet))
}

func (w *Watcher) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, fmt.Errorf("status %d", res.StatusCode)
	}
	return res.Body, nil
}

// whole asks a new address for its list. Guards against taking its revisions for those of the last address.
func (w *Watcher) whole(ctx context.Context, url string) error {
	body, err := w.get(ctx, url)
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, longest+1))
	if err != nil {
		return err
	} else if len(text) > longest {
		return errors.New("list too long")
	}
	l, err := decode(text)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil { // it has moved again
		return ctx.Err()
	}
	w.fresh, w.revision = false, l.Revision
	w.deliver(l)
	return nil
}

func decode(text []byte) (*List, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	return Decode(v)
}

// follow delivers each list that a watch tells, a line each.
func (w *Watcher) follow(ctx context.Context, url string, quiet *time.Timer) error {
	body, err := w.get(ctx, fmt.Sprintf("%s?stream=1&index=%d", url, w.revision))
	if err != nil {
		return err
	}
	defer body.Close()
	lines := bufio.NewReader(body)
	for told := false; ; told = true {
		line, err := readLine(lines)
		if err != nil { // what came of a line that was cut is dropped
			return err
		}
		quiet.Reset(w.silence)
		if line = bytes.TrimSpace(line); len(line) == 0 {
			if !told { // nothing has changed: that is an answer too
				w.deliver(&List{Revision: w.revision})
			}
			continue
		}
		l, err := decode(line)
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
