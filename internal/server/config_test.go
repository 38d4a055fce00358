package server

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"wayloft/internal/fakes"
)

// Each invalid value in a configuration in the platform's format is reported with an error that names the field.
func TestLoad_PlatformForm(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	for _, c := range []struct{ old, new, want string }{
		{"", "", ""},
		{platformConfig, "", "not JSON"},
		{platformConfig, "[]", "must be an object"},
		{`"name":"n1"`, `"name":7`, "name: must be text"},
		{"127.0.0.1:0", "127.0.0.1", "listen: "},
		{"8c1f30d27a5be964", "green", "seed: "},
		{`"sockets":256`, `"sockets":8`, "limits.sockets: must be at least 128"},
		{`"memory_mb":16`, `"memory_mb":"much"`, "limits.memory_mb: must be a number"},
		{`"members":[]`, `"members":[{"id":"a","host_port":"b:1","phase":"asleep"}]`, `members[0].phase: unknown value "asleep"`},
		{`"discovery":"push"`, `"discovery":"guess"`, `settings: discovery: unknown value "guess"`},
		{`"fragile"`, `"glass"`, `settings: profiles[1].idempotency: unknown value "glass"`},
		{`"dialTimeout":250000,`, ``, "permissions.dialTimeout"},
		{`"settings"`, `"setting"`, "settings: must be an object"},
	} {
		_, err := Load(writeFile(t, file, strings.Replace(platformConfig, c.old, c.new, 1)))
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%q for %q: got %v, want %q", c.new, c.old, err, c.want)
		}
	}
	if _, err := Load(file + ".none"); err == nil {
		t.Error("no error for a missing file")
	}
}

// With optional settings left out, and with short windows, deadlines and bounds, the router serves reads and writes, or the error names
// the field.
func TestLoad_OptionalSettings(t *testing.T) {
	replace := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(platformConfig) }
	for _, c := range []struct{ name, config, wantErr string }{
		{"unchanged", platformConfig, ""},
		{"no reports", replace(`"report":{"columns":["x0","x1"],"how":"pull"},`, ""), ""},
		{"no columns in reports", replace(`"columns":["x0","x1"]`, `"columns":[]`), ""},
		{"no health checks", replace(`"probes":true`, `"probes":false`), ""},
		{"no cancel requests", replace(`"cancel":true`, `"cancel":false`), ""},
		{"no retry-after", replace(`"retryAfter":true,"maxRetryAfter":1000000,`, `"retryAfter":false,`), ""},
		{"lists are polled", replace(`"push"`, `"ask"`, `"contract":{`, `"contract":{"askWithin":10000000,`), ""},
		{"lists are polled, no time limit", replace(`"push"`, `"ask"`), "contract.askWithin"},
		{"one attempt", replace(`"attemptsCap":6`, `"attemptsCap":1`), ""},
		{"no priority weight", replace(`"worth":1`, `"worth":0`), ""},
		{"a tenant with a very large quota and one with zero", replace(`"settings":{`, `"settings":{"orgs":[{"name":"n","quotaRps":1e9},{"name":"m","quotaRps":0}],`), ""},
		{"deduplication with a window shorter than any wait", replace(`"fragile"`, `"dedup","group":"cell","window":1000`), ""},
		{"deadlines shorter than the health check period", replace(`"target":500000,"deadline":3000000`, `"target":200000,"deadline":400000`), ""},
		{"no slow start", replace(`"warmUp":1000000`, `"warmUp":0`), ""},
		{"deduplication without a group", replace(`"fragile"`, `"dedup"`), "profiles[1].group"},
		{"a request class without a consistency level", replace(`["any","write"]`, `["any"]`), "readLevel"},
		{"an incomplete request class", replace(`"target":500000,`, ``), "profiles[0].target"},
	} {
		t.Run(c.name, func(t *testing.T) {
			primary := newPrimary(t)
			text := strings.Replace(c.config, `"members":[]`, fmt.Sprintf(`"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"in_service"}]`, primary.Addr), 1)
			text = strings.Replace(text, `"sockets":256`, `"sockets":128`, 1)
			conf, err := Load(writeFile(t, filepath.Join(t.TempDir(), "config.json"), text))
			if c.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantErr) {
					t.Errorf("got %v, want an error that names %s", err, c.wantErr)
				}
				return
			} else if err != nil {
				t.Fatal(err)
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			signals, ended := make(chan os.Signal, 1), make(chan error, 1)
			go func() { ended <- Run(conf, l, signals) }()
			client := fakes.NewClient(t, l.Addr().String(), true)
			n := 0
			fakes.WaitUntil(t, "a read and a write are served", func() bool {
				n++
				client.SendQuery(readStatement(fmt.Sprint("r", n), "x"))
				read := client.ReadResponse()
				client.SendQuery(writeStatement(fmt.Sprint("w", n), "y"))
				return read == "x ok ready" && client.ReadResponse() == "y ok ready"
			})
			closeSocket(client)
			signals <- syscall.SIGTERM
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// The shipped configuration is valid.
func TestLoad_DeployFile(t *testing.T) {
	c, err := Load("../../deploy/wayloft.toml")
	if err != nil {
		t.Fatal(err)
	}
	if len(c.pools) != 1 || len(c.Members.Entries) != 2 || c.maxSessions != 2000 || c.maxConnectionsPerMember != 60 {
		t.Errorf("got %+v", c)
	}
}
