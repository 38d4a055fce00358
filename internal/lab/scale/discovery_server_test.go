package scale

import (
	"strings"
	"testing"

	"wayloft/internal/discovery"
)

// A watch receives the complete list first and then each change, and the service counts the lines and bytes that it sent.
func TestDiscoveryServer_Watch(t *testing.T) {
	d, err := newDiscoveryServer([]Entry{{ID: "a", Addr: "127.0.0.1:1", Phase: "in_service", Started: 1}, {ID: "b", Addr: "127.0.0.1:2", Group: 1, Phase: "in_service", Started: 1}})
	if err != nil {
		t.Fatal(err)
	}
	lists := make(chan *discovery.List, 16)
	w := discovery.NewWatcher(d.addr, 0, func(l *discovery.List) { lists <- l }, func(error) {})
	go w.Watch(t.Context())
	if l := <-lists; !l.Complete || len(l.Entries) != 2 || l.Revision != 1 {
		t.Fatalf("%+v", l)
	}
	if at := d.markRestarted([]string{"b"}, 5000); at != 2 {
		t.Fatal(at)
	}
	l := <-lists
	for len(l.Entries) == 0 { // a keepalive
		l = <-lists
	}
	if l.Complete || len(l.Entries) != 1 || l.Entries[0].Started != 5000 || l.Revision != 2 {
		t.Fatalf("%+v", l)
	}
	a, err := d.respond(ChildRequest{Command: CommandCount})
	if err != nil {
		t.Fatal(err)
	}
	if c := a.Counts; c["wholes"] != 1 || c["changes"] != 1 || c["watches"] != 1 || c["whole_bytes"] != int64(len(listLine{1, true, []Entry{
		{ID: "a", Addr: "127.0.0.1:1", Phase: "in_service", Started: 1}, {ID: "b", Addr: "127.0.0.1:2", Group: 1, Phase: "in_service", Started: 1}}}.encode())) {
		t.Error(c)
	}
	// A watch that is behind the oldest retained change receives the complete list again.
	for range maxKeptChanges {
		d.markRestarted([]string{"a"}, 6000)
	}
	if out, at, _ := d.linesSince(1); at != maxKeptChanges+2 || !strings.Contains(string(out), `"complete":true`) {
		t.Errorf("at %d: %.60s", at, out)
	}
	if out, _, _ := d.linesSince(2); strings.Count(string(out), "\n") != maxKeptChanges {
		t.Errorf("%d lines", strings.Count(string(out), "\n"))
	}
}
