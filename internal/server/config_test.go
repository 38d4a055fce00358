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

// Each mistake in a configuration of the platform is an error that names the field.
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
		t.Error("a missing file was read")
	}
}

// Settings that may be left out are, and windows, deadlines and bounds may be short: reads and writes are served, or the error names
// the field.
func TestLoad_OptionalSettings(t *testing.T) {
	swap := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(platformConfig) }
	for _, c := range []struct{ name, config, bad string }{
		{"as given", platformConfig, ""},
		{"no reports", swap(`"report":{"columns":["x0","x1"],"how":"pull"},`, ""), ""},
		{"no columns in reports", swap(`"columns":["x0","x1"]`, `"columns":[]`), ""},
		{"no checks", swap(`"probes":true`, `"probes":false`), ""},
		{"no cancels", swap(`"cancel":true`, `"cancel":false`), ""},
		{"no retry-after", swap(`"retryAfter":true,"maxRetryAfter":1000000,`, `"retryAfter":false,`), ""},
		{"lists are asked for", swap(`"push"`, `"ask"`, `"contract":{`, `"contract":{"askWithin":10000000,`), ""},
		{"lists are asked for, no time given", swap(`"push"`, `"ask"`), "contract.askWithin"},
		{"one attempt", swap(`"attemptsCap":6`, `"attemptsCap":1`), ""},
		{"no priority weight", swap(`"worth":1`, `"worth":0`), ""},
		{"tenants of more than all", swap(`"settings":{`, `"settings":{"orgs":[{"name":"n","quotaRps":1e9},{"name":"m","quotaRps":0}],`), ""},
		{"a mark, a window shorter than any wait", swap(`"fragile"`, `"dedup","group":"cell","window":1000`), ""},
		{"deadlines shorter than a check's period", swap(`"target":500000,"deadline":3000000`, `"target":200000,"deadline":400000`), ""},
		{"no warming up", swap(`"warmUp":1000000`, `"warmUp":0`), ""},
		{"an effect without a group", swap(`"fragile"`, `"dedup"`), "profiles[1].group"},
		{"a type without a level", swap(`["any","write"]`, `["any"]`), "readLevel"},
		{"half a type", swap(`"target":500000,`, ``), "profiles[0].target"},
	} {
		t.Run(c.name, func(t *testing.T) {
			both := newPrimary(t)
			text := strings.Replace(c.config, `"members":[]`, fmt.Sprintf(`"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"in_service"}]`, both.Addr), 1)
			text = strings.Replace(text, `"sockets":256`, `"sockets":128`, 1)
			conf, err := Load(writeFile(t, filepath.Join(t.TempDir(), "config.json"), text))
			if c.bad != "" {
				if err == nil || !strings.Contains(err.Error(), c.bad) {
					t.Errorf("got %v, want %s named", err, c.bad)
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
			one := fakes.NewClient(t, l.Addr().String(), true)
			n := 0
			fakes.Until(t, "a read and a write are served", func() bool {
				n++
				one.Ask(readStatement(fmt.Sprint("r", n), "x"))
				read := one.Answer()
				one.Ask(writeStatement(fmt.Sprint("w", n), "y"))
				return read == "x ok ready" && one.Answer() == "y ok ready"
			})
			closeSocket(one)
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
