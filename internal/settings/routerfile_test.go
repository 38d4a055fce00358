package settings

import (
	"strings"
	"testing"
)

const validRouterFile = `name = "n1"
listen = "127.0.0.1:0"
[limits]
memory = "64MiB"
descriptors = 1000
sessions = 500
connections = 100
[[txn_types]]
name = "write"
sla = "500ms"
expiry = "3s"
[[pools]]
user = "api"
database = "ledger"
write = "write"
connections_per_member = 4
wait = "1s"
[[members]]
id = "a"
address = "127.0.0.1:1"
`

// Each invalid file gives an error that names the line or key, and a valid file gives the settings with their defaults.
func TestRead_RouterFile(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"", "", ""},
		{"listen =", "lissten =", "line 2: lissten: no such key"},
		{"wait = \"1s\"", "wayt = \"1s\"", "line 17: pools.wayt: no such key"},
		{`"64MiB"`, `"64MB"`, "line 4"},
		{`"64MiB"`, `"64MB"`, `must be a size like 64MiB or 16KiB, not "64MB"`},
		{`"500ms"`, `"500"`, `must be a time like 250ms or 2s, not "500"`},
		{`"500ms"`, `"500"`, "line 10"},
		{"descriptors = 1000", "descriptors = \"many\"", "line 5"},
		{"descriptors = 1000", "descriptors = 10", "limits: "},
		{"sessions = 500", "", "limits: "},
		{`"3s"`, `"3ms"`, "txn_types[0]: write: sla must be more than 0, expiry not less"},
		{`write = "write"`, `write = "wright"`, `pools[0]: api/ledger: no txn type "wright"`},
		{`write = "write"`, `form = "statement"`, `pools[0]: api/ledger: form: unknown value "statement"`},
		{"connections_per_member = 4", "", "pools[0]: api/ledger: connections_per_member and wait must be more than 0"},
		{"connections_per_member = 4", "connections_per_member = 4\nwarm = 5", "pools[0]: api/ledger: warm: must not exceed connections_per_member"},
		{`id = "a"`, "", "members[0]: id and address must be given"},
		{"[limits]", "[limits", "line 3"},
	} {
		_, err := ReadRouter([]byte(strings.Replace(validRouterFile, c.old, c.new, 1)))
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%q for %q: got %v, want %q", c.new, c.old, err, c.want)
		}
	}
	f, err := ReadRouter([]byte(validRouterFile))
	if err != nil {
		t.Fatal(err)
	}
	set, runtime, err := f.Settings()
	if err != nil || set.RequestClasses["write"].LatencyObjective != 500 || set.RequestClasses["write"].Deadline != 3000 || runtime.DialTimeoutMs != 1000 {
		t.Errorf("got %+v, %+v, %v", set, runtime, err)
	}
	if set.RequestClasses[UnlabelledClass] != nil {
		t.Error("the unlabelled class is defined although the pool names a class for its writes")
	}
	bare, err := ReadRouter([]byte(strings.Replace(validRouterFile, "write = \"write\"\n", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if set, _, _ := bare.Settings(); set.RequestClasses[UnlabelledClass] == nil {
		t.Error("the unlabelled class is missing although the pool names no class")
	}
	if delay := f.PoolSettings()[0].Bounds.ReuseDelayMs; delay <= 0 { // without it, a second copy of a response is taken for the next one
		t.Errorf("a pool has a reuse delay of %v ms", delay)
	}
	if p := f.PoolSettings()[0]; p.Name != "api/ledger" || p.Bounds.PerMember != 4 || p.Bounds.WaitTimeoutMs != 1000 || !p.Policy.AllowSticky {
		t.Errorf("got %+v", p)
	}
}
