// Package discovery reads the list of members: the one a router starts with, and the watch on its changes. It owns
// the connection to discovery and the form of its lists; it must never judge a member, and passes on only lists that
// are whole and sound.
package discovery

import (
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

	"wayloft/internal/failpoint"
	"wayloft/internal/settings"
	"wayloft/router"
)

// PROTOCOL: a heartbeat, an empty line, comes every 2 s at least, and a change counts as told 6 s after discovery had it and
// could be reached. The longest that a change can take here, from a watch that falls silent, is its heartbeat's timeout, a
// pause, a call that is never answered (the timeout once more) and a pause: 2 x (2.5 + 0.15) s; from the return of
// discovery, half of it after a call that hangs. What an agent has counts as told while no watch is open, too, so that the
// pause between two calls that end at once stays short, at one and a half of the longest backoff.
const (
	heartbeatTimeout = 2500 * time.Millisecond
	leastBackoff     = 100 * time.Millisecond
	mostBackoff      = 200 * time.Millisecond
	longest          = 4 << 20 // bytes of one list
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
	Complete bool
	Entries  []Entry
}

// IDs gives the members that the list names.
func (l *List) IDs() map[string]bool {
	ids := map[string]bool{}
	for _, e := range l.Entries {
		ids[e.ID] = true
	}
	return ids
}

var states = map[string]router.State{"in_service": router.Up, "terminating": router.Draining,
	"terminated": router.Removed}

// DecodeList reads a list.
func DecodeList(v *fastjson.Value) (*List, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return nil, errors.New("must be an object")
	}
	f := &settings.Fields{Value: v}
	l := &List{Revision: int64(f.Number("revision")), Complete: f.Bool("complete")}
	for n, row := range f.Array("members") {
		e := &settings.Fields{Value: row}
		one := Entry{ID: e.Text("id"), Addr: e.Text("host_port"), Zone: e.OptionalText("locality"),
			Group: int(e.OptionalNumber("cell")), Started: router.Never}
		if at := e.OptionalNumber("up_since_ms"); at > 0 {
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

// errMoved ends a watch whose address has changed, errSilent one on which nothing comes.
var errMoved, errSilent = errors.New("discovery has moved"), errors.New("silent")

var errTooLong = InvalidListError{errors.New("line or list too long")}

// Watcher keeps a watch on the list.
type Watcher struct {
	revision         int64
	deliver          func(*List)
	failed           func(error)
	client           *http.Client
	heartbeatTimeout time.Duration // after which a watch is given up; one list may take twice as long while it keeps coming

	mu    sync.Mutex
	addr  string
	fresh bool                    // the address is new: its revisions may have nothing to do with the last one's
	stop  context.CancelCauseFunc // ends the watch that is on
	moved chan struct{}
}

// NewWatcher makes a watcher from a revision on. Both functions are called from its own goroutine.
func NewWatcher(addr string, revision int64, deliver func(*List), failed func(error)) *Watcher {
	return &Watcher{addr: addr, revision: revision, deliver: deliver, failed: failed, heartbeatTimeout: heartbeatTimeout,
		moved: make(chan struct{}, 1), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// ChangeAddress names another address. What is on with the old one ends, and the new one is asked at once; until it has
// answered, nothing that is known changes. It may be called from anywhere.
func (w *Watcher) ChangeAddress(addr string) {
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

// Watch watches until ctx ends, and asks again with backing off whenever a watch ends.
func (w *Watcher) Watch(ctx context.Context) {
	for wait := leastBackoff; ; wait = min(2*wait, mostBackoff) {
		before := time.Now()
		err := w.WatchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, errMoved) {
			w.failed(err)
		}
		if time.Since(before) >= w.heartbeatTimeout { // it went well for a while, or took its time: that paces as well as a pause
			wait = leastBackoff
		}
		select {
		case <-ctx.Done():
			return
		case <-w.moved:
			wait = leastBackoff / 2
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(wait))): // many ask
		}
	}
}

// Poll watches once for each request and each move, for a router that says itself when to ask.
func (w *Watcher) Poll(ctx context.Context, asked <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.moved:
		case <-asked:
		}
		if err := w.WatchOnce(ctx); ctx.Err() == nil && !errors.Is(err, errMoved) {
			w.failed(err)
		}
	}
}

// WatchOnce watches until the connection ends, falls silent or tells something unsound, and says which. An address that
// is new is asked for the whole list first, which is taken for what it is whatever its revision; so is one whose
// revisions have gone back, once and without a pause, since what it has counts as told.
func (w *Watcher) WatchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.mu.Lock()
	url, fresh := "http://"+w.addr+"/api/targets", w.fresh
	w.stop = cancel
	w.mu.Unlock()
	p := &pace{heartbeatTimeout: w.heartbeatTimeout, whole: time.Now(), quiet: time.AfterFunc(w.heartbeatTimeout, func() { cancel(errSilent) })}
	defer p.quiet.Stop()
	for again := false; ; again = true {
		if fresh {
			if err := w.whole(ctx, url, p); err != nil {
				return orCause(ctx, err)
			}
		}
		err := w.follow(ctx, url, p)
		if errors.As(err, new(older)) {
			w.mu.Lock()
			w.fresh = true
			w.mu.Unlock()
			if fresh = true; !again {
				continue
			}
		}
		return orCause(ctx, err)
	}
}

// pace ends a watch on which nothing comes. A list that is on its way may go on coming, up to a bound. Guards against
// a connection that stays open and silent, whatever it fell silent in, and against lists that never end.
type pace struct {
	heartbeatTimeout time.Duration
	whole            time.Time // when the last line or list was through
	quiet            *time.Timer
}

// told says that a line or list is through, came that some bytes are.
func (p *pace) told() { p.whole = time.Now(); p.quiet.Reset(p.heartbeatTimeout) }
func (p *pace) came() {
	p.quiet.Reset(min(p.heartbeatTimeout, time.Until(p.whole.Add(2*p.heartbeatTimeout))))
}

// paced is a body whose bytes keep its pace.
type paced struct {
	io.Reader
	p *pace
}

func (b paced) Read(into []byte) (int, error) {
	n, err := b.Reader.Read(into)
	if n > 0 {
		b.p.came()
	}
	return n, err
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

// whole asks for the whole list. Guards against taking revisions for those of another address, or of a discovery that
// has lost its own.
func (w *Watcher) whole(ctx context.Context, url string, p *pace) error {
	body, err := w.get(ctx, url)
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(paced{body, p}, longest+1))
	if err != nil {
		return err
	} else if len(text) > longest {
		return errTooLong
	}
	l, err := decode(text)
	if err != nil {
		return err
	}
	p.told()
	return w.tell(ctx, l, true)
}

// tell passes a list on, unless discovery has moved meanwhile. Guards against a line of the old address that was read
// just before the move, and told after it.
func (w *Watcher) tell(ctx context.Context, l *List, fresh bool) error {
	failpoint.Hit("discovery.tell")
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if fresh {
		w.fresh = false
	}
	w.revision = l.Revision
	w.deliver(l)
	return nil
}

// InvalidListError is what is wrong with a list that came.
type InvalidListError struct{ error }

func decode(text []byte) (*List, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, InvalidListError{fmt.Errorf("not JSON: %w", err)}
	}
	l, err := DecodeList(v)
	if err != nil {
		return nil, InvalidListError{err}
	}
	return l, nil
}

// older is a list whose revision is lower than the last one's.
type older struct{ InvalidListError }

func (o older) Unwrap() error { return o.InvalidListError }

// follow delivers each list that a watch tells.
func (w *Watcher) follow(ctx context.Context, url string, p *pace) error {
	body, err := w.get(ctx, fmt.Sprintf("%s?stream=1&index=%d", url, w.revision))
	if err != nil {
		return err
	}
	defer body.Close()
	in := paced{body, p}
	var c cutter
	var came []byte // and isn't cut yet
	buf := make([]byte, 4<<10)
	for told := false; ; {
		for len(came) == 0 {
			n, err := in.Read(buf)
			if came = buf[:n]; n == 0 && err != nil { // what came of a list that was cut is dropped
				return err
			}
		}
		n, whole := c.cut(came[:min(len(came), longest-c.size)])
		if came = came[n:]; !whole {
			if len(came) > 0 { // the rest is beyond the longest
				return errTooLong
			}
			continue
		}
		p.told()
		l := &List{Revision: w.revision} // an empty line: nothing has changed, which is an answer too
		if len(c.text) > 0 {
			if l, err = decode(c.text); err != nil {
				return err
			}
			if l.Revision < w.revision {
				return older{InvalidListError{fmt.Errorf("revision %d is older than %d", l.Revision, w.revision)}}
			}
		}
		if len(c.text) > 0 || !told {
			if err := w.tell(ctx, l, false); err != nil {
				return err
			}
		}
		c, told = cutter{text: c.text[:0]}, true
	}
}

// cutter cuts lists out of what a watch tells. A list is whole with its last bracket, whether or not its line ends there,
// and may take several lines.
type cutter struct {
	text            []byte // of the list that is not whole yet
	size            int    // bytes since the last one
	depth           int    // brackets that are open
	quoted, escaped bool   // in a text; behind a backslash there
	begun           bool   // the line has more than spaces
}

// cut takes bytes up to where something is whole, and tells how many and whether something is: a list, what can't be one any
// more, or, with no text, an empty line. It works on copies, and takes the text over line by line: byte by byte costs many times
// as much.
func (c *cutter) cut(came []byte) (n int, whole bool) {
	depth, quoted, escaped, begun := c.depth, c.quoted, c.escaped, c.begun
	from, none := 0, len(c.text) == 0 // where what is yet to be taken over begins; no text has come
	for n < len(came) && !whole {
		b := came[n]
		n++
		if b == '\n' {
			// Guards against waiting for the rest of a list that was spoilt: a text ends in its line, and an empty line comes
			// only between lists.
			whole = depth <= 0 || quoted || !begun
			c.text = append(c.text, came[from:n-1]...)
			from, begun = n, false
			continue
		}
		if blank := b == ' ' || b == '\t' || b == '\r'; !blank || quoted {
			begun, none = true, false
		} else if none {
			from = n
			continue
		}
		switch {
		case escaped:
			escaped = false
		case quoted:
			escaped, quoted = b == '\\', b != '"'
		case b == '"':
			quoted = true
		case b == '{' || b == '[':
			depth++
		case b == '}' || b == ']':
			depth--
			whole = depth <= 0
		}
	}
	c.text = append(c.text, came[from:n]...)
	c.size += n
	c.depth, c.quoted, c.escaped, c.begun = depth, quoted, escaped, begun
	return n, whole
}

// orCause prefers the reason for which the watch was given up.
func orCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
