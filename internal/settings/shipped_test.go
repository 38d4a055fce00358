package settings

import (
	"os"
	"strings"
	"testing"
)

const minimalRouterFile = `name = "n1"
listen = "127.0.0.1:1"
[limits]
memory = "64MiB"
descriptors = 100
sessions = 10
connections = 10
`

// The shipped files are valid, and keys that they leave out have their defaults.
func TestRead_ShippedFiles(t *testing.T) {
	text, err := os.ReadFile("../../deploy/council.toml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := ReadCoordinator(text)
	if err != nil || c.Name != "c1" || len(c.Peers) != 3 || c.Tick != 50 || c.SnapshotInterval != 10000 || c.MaxConnections != 4096 {
		t.Errorf("%+v, %v", c, err)
	}
	if text, err = os.ReadFile("../../deploy/fleet.toml"); err != nil {
		t.Fatal(err)
	}
	f, err := ReadRouter([]byte(minimalRouterFile + string(text)))
	if err != nil {
		t.Fatal(err)
	}
	if f.Fleet.SessionTimeout != 2000 || f.Fleet.SafetyMargin != 200 || f.Fleet.MaxWriteHold != 5000 || f.Fleet.Switchover.DrainTimeout != 1000 || f.Fleet.HealthShareInterval != 250 {
		t.Errorf("%+v, %+v", f.Fleet, f.Fleet.Switchover)
	}
	if f, err = ReadRouter([]byte(minimalRouterFile)); err != nil || len(f.Fleet.Coordinators) != 0 || f.Fleet.SessionTimeout != 0 {
		t.Errorf("without a coordinator the fleet section is not empty: %+v, %v", f.Fleet, err)
	}
}

// Each error in a variant of a shipped file names the line or key.
func TestRead_FleetAndCoordinatorErrors(t *testing.T) {
	council, err := os.ReadFile("../../deploy/council.toml")
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := os.ReadFile("../../deploy/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ of, old, new, want string }{
		{"council", `name = "c1"
listen`, `nam = "c1"
listen`, "line 6: council.nam: no such key"},
		{"council", `"/var/lib/wayloft/c1"`, `""`, "folder must be given"},
		{"council", `listen = "127.0.0.1:7101"`, `listen = "7101"`, "council.listen"},
		{"council", `address = "127.0.0.1:7103"`, `address = "x"`, "council.peers[2].address"},
		{"council", `name = "c1"
listen`, `name = "c9"
listen`, `"c9", this process, is not among them`},
		{"council", `# join = true `, `join = true # `, "a node that joins an existing cluster must not list peers"},
		{"council", `# keep = 10000 `, `keep = 3 # `, "are the least"},
		{"council", `# tick = "50ms" `, `tick = "soon" # `, `must be a time like 250ms or 2s, not "soon"`},
		{"fleet", `council = [`, `# council = [`, "fleet.council: must be given"},
		{"fleet", `"127.0.0.1:7102"`, `"7102"`, "fleet.council[1]"},
		{"fleet", `orders = "127.0.0.1:7201"`, `orders = ""`, "fleet.orders"},
		{"fleet", `# session = "2s"`, `session = "1ms"`, "session must be from 200ms to 1m"},
		{"fleet", `fence <= $1"`, `true"`, ""},
		{"fleet", `fence = $1 WHERE duty = 'handover' AND fence <= $1`, `fence = 1`, "fleet.handover.guard: must name $1"},
		{"fleet", `take = "SELECT wayloft_take()"`, ``, "fleet.handover.take: the statement must be given"},
		{"fleet", `step = "1s"`, `stop = "1s"`, "fleet.handover.stop: no such key"},
	} {
		text := map[string]string{"council": string(council), "fleet": minimalRouterFile + string(fleet)}[c.of]
		if !strings.Contains(text, c.old) {
			t.Fatalf("%q is not in the file", c.old)
		}
		text = strings.Replace(text, c.old, c.new, 1)
		if c.of == "council" {
			_, err = ReadCoordinator([]byte(text))
		} else {
			_, err = ReadRouter([]byte(text))
		}
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%q for %q: %v, want %q", c.new, c.old, err, c.want)
		}
	}
}
