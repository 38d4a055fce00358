package scale

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"wayloft/internal/decide/leaseclient"
)

var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "wayloft-scale-test-")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "wayloft")
	out, err := exec.Command("go", "build", "-tags", "debug", "-o", binary, "wayloft/cmd/wayloft").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return binary, err
})

func TestMain(m *testing.M) {
	code := m.Run()
	if binary, err := build(); err == nil {
		_ = os.RemoveAll(filepath.Dir(binary)) // on error the files remain in the temporary directory
	}
	os.Exit(code)
}

// smallOptions returns options for a small installation. The session timeout is long enough that no response is late and no call is
// repeated.
func smallOptions(t *testing.T) Options {
	t.Helper()
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	o := validOptions()
	o.Binary, o.Dir, o.Progress = binary, t.TempDir(), func(text string) { t.Log(time.Now().Format("05.000"), text) }
	return o
}

// In a small installation of real processes, routers send and receive the expected number of messages. The test checks counts only, no
// figures that depend on the machine.
func TestMeasure_SmallInstallation(t *testing.T) {
	o := smallOptions(t)
	in, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	r, err := in.Measure()
	if err != nil {
		t.Fatal(err)
	}
	routers, groups, members := int64(o.Routers), int64(o.groups()), int64(o.Members)
	exact := func(what string, got, want int64) {
		if got != want {
			t.Errorf("%s: %d, not %d", what, got, want)
		}
	}
	exact("sessions", int64(r.Sessions), routers+int64(o.RealRouters))
	exact("lists", r.Start["lists"], routers) // one complete list for each router
	exact("entries", r.Start["entries"], routers*members)
	exact("complete updates", r.Start["whole_in"], routers)
	// Each router queries the latest tokens of the two leases of each group once, up to MaxTokenQuery leases per call, and opens a session.
	// The heartbeat interval is at least a sixth of the session timeout. Redirects don't count as responses.
	queries, opens := routers*((2*groups+leaseclient.MaxTokenQuery-1)/leaseclient.MaxTokenQuery), routers
	responses, heartbeats := r.Start["answer_in"], routers*int64(1+r.startCountsAfter.Seconds()/(o.SessionTimeout.Seconds()/6))
	if responses < queries+opens || responses > queries+opens+heartbeats {
		t.Errorf("%d responses to %d token queries, %d opened sessions and at most %d heartbeats", responses, queries, opens, heartbeats)
	}
	calls := r.Start["stand_out"] + r.Start["call_out"]
	if calls < responses+r.Start["moved_in"] {
		t.Errorf("%d calls, %d responses and %d redirects", calls, responses, r.Start["moved_in"])
	}
	// The installation is idle during the sample: no lists, token queries, complete updates or orders.
	exact("lists in the sample", r.Counts["lists"], 0)
	exact("token queries in the sample", r.Counts["stand_out"], 0)
	exact("complete updates in the sample", r.Counts["whole_in"], 0)
	exact("orders in the sample", r.Counts["order_in"], 0)
	d := r.children["discovery"]
	exact("complete lists", d["wholes"], routers+int64(o.RealRouters))
	exact("bytes of complete lists", d["whole_bytes"], d["wholes"]*d["list_bytes"])
	exact("changes of the list", d["changes"], 0)

	// Health sharing: the lease is held by the process that requested it, and each report reaches each router at most once.
	if r.Holders["sight/0"] != "o0" || len(r.Holders) != 1 {
		t.Errorf("holders of health-share leases: %v", r.Holders)
	}
	all, err := in.counts()
	if err != nil {
		t.Fatal(err)
	}
	holder := all[holderName(0)]
	if holder["looks"] == 0 || holder["order_out"] == 0 || holder["order_out"] < holder["verdict_in"] {
		t.Errorf("%v", holder)
	}
	// Counts are read from one process after the other, so they aren't from the same time.
	reports := all.sum(routersPrefix, "sighted")
	if reports == 0 || reports > holder["looks"]*routers {
		t.Errorf("%d reports were received by %d routers, of %d health checks", reports, routers, holder["looks"])
	}
	if checks := all.sum(databasesPrefix, "checks"); checks == 0 || all.sum(databasesPrefix, "others") != 0 {
		t.Errorf("%d health checks, %d other messages", checks, all.sum(databasesPrefix, "others"))
	}
	if accepted := all.sum(databasesPrefix, "accepted"); accepted < int64(o.GroupSize) || accepted != all.sum(databasesPrefix, "open") {
		t.Errorf("%d connections to %d databases, %d open", accepted, o.GroupSize, all.sum(databasesPrefix, "open"))
	}
	rows := map[string]Row{}
	for _, row := range r.Rows {
		rows[row.Role] = row
	}
	for role, units := range map[string]int{"coordinator leader": 1, "coordinator follower": 2, "hollow router": o.Routers, "real router": o.RealRouters, "discovery service": 1,
		"database with health checks": o.Members, "health-share lease holder, 1 group": 1} {
		row, there := rows[role]
		if !there || row.Units != units || row.Memory <= 0 || role != "database with health checks" && row.Bytes <= 0 {
			t.Errorf("%s: %+v", role, row)
		}
	}
}

// After an event, each router receives each expected update exactly once.
func TestRunEvent_ReceivedOnce(t *testing.T) {
	for name, want := range map[string]map[string]int{
		"change":       {"policies": 16},
		"restart-zone": {"sessions": 2, "lists": 16}, // two routers of the zone restart; one change of the list has its two databases
		"primary":      {"primaries": 16},
	} {
		t.Run(name, func(t *testing.T) {
			h, err := RunEvent(name, smallOptions(t))
			if err != nil {
				t.Fatal(err)
			}
			if len(h.Parts) != len(want) {
				t.Fatalf("%+v", h.Parts)
			}
			for _, p := range h.Parts {
				if p.Expected != want[p.What] || p.Received != p.Expected {
					t.Errorf("%+v, not %d", p, want[p.What])
				}
			}
			if name != "restart-zone" {
				return
			}
			// Other routers hold no leases, so they receive no updates and make no token queries. Restarted routers start without state.
			if c := h.Calls; c["others change_in"] != 0 || c["others whole_in"] != 0 || c["others stand_out"] != 0 ||
				c["restarted whole_in"] != 2 || c["restarted lists"] != 1*2 {
				t.Errorf("%v", c)
			}
			if h.Bytes["restarted"] <= h.Bytes["another"] {
				t.Errorf("%v", h.Bytes)
			}
		})
	}
}

// After the links between two regions are cut and restored, each session that ended opens again.
func TestRunEvent_RegionsCut(t *testing.T) {
	o := smallOptions(t)
	o.SessionTimeout, o.SampleDuration, o.Members, o.GroupSize = time.Second, 3*time.Second, 8, 2 // the sample is longer than the session timeout: sessions end while the links are cut
	h, err := RunEvent("cut-regions", o)
	if err != nil {
		t.Fatal(err)
	}
	if p := h.Parts[0]; p.Expected != 8 || p.Received != p.Expected {
		t.Errorf("%+v", p)
	}
}
