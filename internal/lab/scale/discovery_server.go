package scale

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/lab/fleet"
)

const (
	firstRevision = 1
	// maxKeptChanges limits the retained changes; a watch that is further behind receives the complete list.
	maxKeptChanges = 1000
	// keepaliveInterval is the interval of keepalives (empty lines) on a watch. Routers close a watch after 2.5 s without data.
	keepaliveInterval = time.Second
	readHeaderTimeout = 5 * time.Second
)

// discoveryServer is the discovery service. It serves the complete endpoint list and, to watches, the subsequent changes.
type discoveryServer struct {
	addr string

	mu       sync.Mutex
	revision int64
	entries  []Entry
	changes  [][]byte      // encoded lines; the last one produced the current revision
	changed  chan struct{} // closed at the next change
	counts   map[string]int64
}

// listLine is one line of a response: the complete list, or the entries that changed.
type listLine struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []Entry `json:"members"`
}

func newDiscoveryServer(entries []Entry) (*discoveryServer, error) {
	listener, err := fleet.ListenFree()
	if err != nil {
		return nil, err
	}
	d := &discoveryServer{addr: listener.Addr().String(), revision: firstRevision, entries: entries, changed: make(chan struct{}), counts: map[string]int64{}}
	go d.run(listener)
	return d, nil
}

func (d *discoveryServer) run(listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: readHeaderTimeout}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		logrus.WithError(err).Error("discovery service stopped")
	}
}

// completeList encodes the complete list. The caller holds the mutex.
func (d *discoveryServer) completeList() []byte {
	return listLine{d.revision, true, d.entries}.encode()
}

func (l listLine) encode() []byte {
	encoded, err := json.Marshal(l)
	if err != nil {
		panic(err) // can't happen: its fields are plain values
	}
	return append(encoded, '\n')
}

// linesSince returns the lines that bring a watch from a revision to the current one, the current revision, and a channel that is
// closed at the next change.
func (d *discoveryServer) linesSince(since int64) (lines []byte, revision int64, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	behind := d.revision - since
	if behind > int64(len(d.changes)) || behind < 0 {
		lines = d.completeList()
		d.counts["wholes"]++
		d.counts["whole_bytes"] += int64(len(lines))
		return lines, d.revision, d.changed
	}
	for _, change := range d.changes[len(d.changes)-int(behind):] {
		lines = append(lines, change...)
		d.counts["changes"]++
		d.counts["change_bytes"] += int64(len(change))
	}
	return lines, d.revision, d.changed
}

func (d *discoveryServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("stream") == "" {
		d.mu.Lock()
		list := d.completeList()
		d.mu.Unlock()
		_, _ = w.Write(list) // after an error the client sees a closed connection
		return
	}
	since, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		http.Error(w, "index", http.StatusBadRequest)
		return
	}
	d.addCount("watches", 1)
	defer d.addCount("watches", -1)
	d.serveWatch(w, r, since)
}

// serveWatch writes changes and keepalives until the watch ends. A watch that is up to date receives a keepalive at once.
func (d *discoveryServer) serveWatch(w http.ResponseWriter, r *http.Request, since int64) {
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	emptyLine := []byte("\n")
	for first := true; ; first = false {
		lines, revision, changed := d.linesSince(since)
		since = revision
		if len(lines) == 0 && first {
			lines = emptyLine
		}
		if len(lines) > 0 && writeAndFlush(w, lines) != nil {
			return
		}
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-keepalive.C:
		}
		if writeAndFlush(w, emptyLine) != nil {
			return
		}
		d.addCount("alive", 1)
	}
}

func writeAndFlush(w http.ResponseWriter, lines []byte) error {
	if _, err := w.Write(lines); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func (d *discoveryServer) addCount(count string, n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[count] += n
}

// markRestarted sets the start time of members, in Unix ms, in one change of the list. It returns the new revision.
func (d *discoveryServer) markRestarted(ids []string, atMs float64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	restarted := map[string]bool{}
	for _, id := range ids {
		restarted[id] = true
	}
	d.revision++
	change := listLine{Revision: d.revision}
	for n := range d.entries {
		if entry := &d.entries[n]; restarted[entry.ID] {
			entry.Started = atMs
			change.Members = append(change.Members, *entry)
		}
	}
	d.changes = append(d.changes, change.encode())
	if len(d.changes) > maxKeptChanges {
		d.changes = d.changes[1:]
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return d.revision
}

func (d *discoveryServer) respond(request ChildRequest) (ChildResponse, error) {
	switch request.Command {
	case CommandCount:
		d.mu.Lock()
		defer d.mu.Unlock()
		counts := map[string]int64{"list_bytes": int64(len(d.completeList()))}
		for name, n := range d.counts {
			counts[name] = n
		}
		return ChildResponse{Counts: counts, Revision: d.revision}, nil
	case CommandRestarted:
		return ChildResponse{Revision: d.markRestarted(request.Members, request.At)}, nil
	}
	return ChildResponse{}, unknownCommand(request.Command)
}
