package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"wayloft/internal/lab/fleet"
)

// directory is the discovery service: it tells the whole list and then what changes to whoever watches.
type directory struct {
	addr string

	mu       sync.Mutex
	revision int64
	entries  []Entry
	changes  [][]byte // a line each, the last of them of this revision
	moved    chan struct{}
	counts   map[string]int64
}

const (
	mostChanges = 1000            // kept; who is further behind is told the whole list
	sayAlive    = 1 * time.Second // an empty line: routers give a watch up after 2.5 s of silence
)

type listed struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []Entry `json:"members"`
}

func newDirectory(entries []Entry) (*directory, error) {
	l, err := fleet.ListenFree()
	if err != nil {
		return nil, err
	}
	d := &directory{addr: l.Addr().String(), revision: 1, entries: entries, moved: make(chan struct{}), counts: map[string]int64{}}
	s := &http.Server{Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: 5 * time.Second}
	go s.Serve(l.(net.Listener))
	return d, nil
}

func (d *directory) whole() []byte { return line(listed{d.revision, true, d.entries}) }

func line(l listed) []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic(err) // plain values
	}
	return append(b, '\n')
}

// next gives what a watcher has yet to hear, and what is closed when there is more.
func (d *directory) next(since int64) (out []byte, at int64, moved chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if behind := d.revision - since; behind > int64(len(d.changes)) || behind < 0 {
		out = d.whole()
		d.counts["wholes"]++
		d.counts["whole_bytes"] += int64(len(out))
	} else {
		for _, c := range d.changes[len(d.changes)-int(behind):] {
			out = append(out, c...)
			d.counts["changes"]++
			d.counts["change_bytes"] += int64(len(c))
		}
	}
	return out, d.revision, d.moved
}

func (d *directory) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("stream") == "" {
		d.mu.Lock()
		out := d.whole()
		d.mu.Unlock()
		w.Write(out)
		return
	}
	since, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		http.Error(w, "index", http.StatusBadRequest)
		return
	}
	d.add("watches", 1)
	defer d.add("watches", -1)
	alive := time.NewTicker(sayAlive)
	defer alive.Stop()
	for first := true; ; first = false {
		out, at, moved := d.next(since)
		if since = at; len(out) == 0 && first {
			out = []byte("\n")
		}
		if len(out) > 0 {
			if _, err := w.Write(out); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
		}
		select {
		case <-moved:
			continue
		case <-r.Context().Done():
			return
		case <-alive.C:
		}
		if _, err := w.Write([]byte("\n")); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		d.add("alive", 1)
	}
}

func (d *directory) add(what string, n int64) {
	d.mu.Lock()
	d.counts[what] += n
	d.mu.Unlock()
}

// restarted has members' starts changed, as one change of the list.
func (d *directory) restarted(ids []string, at float64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	in := map[string]bool{}
	for _, id := range ids {
		in[id] = true
	}
	d.revision++
	change := listed{Revision: d.revision}
	for n := range d.entries {
		if e := &d.entries[n]; in[e.ID] {
			e.Started = at
			change.Members = append(change.Members, *e)
		}
	}
	if d.changes = append(d.changes, line(change)); len(d.changes) > mostChanges {
		d.changes = d.changes[1:]
	}
	close(d.moved)
	d.moved = make(chan struct{})
	return d.revision
}

func (d *directory) answer(q ChildRequest) (ChildResponse, error) {
	switch q.Do {
	case "count":
		d.mu.Lock()
		defer d.mu.Unlock()
		counts := map[string]int64{"list_bytes": int64(len(d.whole()))}
		for k, n := range d.counts {
			counts[k] = n
		}
		return ChildResponse{Counts: counts, Revision: d.revision}, nil
	case "restarted":
		return ChildResponse{Revision: d.restarted(q.Members, q.At)}, nil
	}
	return ChildResponse{}, fmt.Errorf("do: unknown value %q", q.Do)
}
