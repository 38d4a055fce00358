package server

import (
	"testing"

	"wayloft/internal/fakes"
	"wayloft/internal/lab"
)

// Guards against a session that goes on at the former primary, in a txn type of level "write", since its connection is kept for it. It is told
// to connect again, and is served at the new primary then.
func TestPool_KeptConnectionToFormerPrimary(t *testing.T) {
	const read = "SELECT blob FROM rows WHERE handle = 'h1'"
	for _, c := range []struct {
		name   string
		known  bool // the router has learned of the change from another session
		sends  []string
		wanted string
	}{
		{"a read, the change is known", true, []string{read}, "57P01 closed"},
		{"a read whose response tells of the change", false, []string{read}, "57P01 closed"},
		{"a read in a transaction", false, []string{"BEGIN", read}, "ok ready; 57P01 closed"},
		{"a write, the change is known", true, []string{insertSQL("own", "1")}, "57P01 closed"},
		{"a write that tells of the change", false, []string{insertSQL("own", "1")}, "57P01 closed"},
		{"a read that any member may serve", true, []string{"BEGIN READ ONLY", read, "COMMIT"}, "ok ready; v1 ok ready; ok ready"},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, cluster := startPooledRouter(t, 2, lab.Pool{Mode: "session", PerMember: 4}, nil)
			client := fakes.NewClient(t, addr, true)
			if got := askAll(client, read); got != "v1 ok ready" {
				t.Fatalf("before: %q", got)
			}
			cluster.Promote(cluster.Servers[1])
			if c.known {
				if got := askOnce(t, addr, insertSQL("other", "1")); got != "1 ok ready" {
					t.Fatalf("another session: %q", got)
				}
			}
			if got := askAll(client, c.sends...); got != c.wanted {
				t.Errorf("got %q, not %q", got, c.wanted)
			}
			if got := askOnce(t, addr, insertSQL("own", "2")); got != "2 ok ready" {
				t.Errorf("after it has connected again: %q", got)
			}
		})
	}
}
