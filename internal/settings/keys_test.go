package settings_test

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/valyala/fastjson"

	"wayloft/internal/discovery"
	"wayloft/internal/settings"
)

// keysDir holds a file of each form with every key in it, and what it is decoded to.
const keysDir = "testdata/keys"

func readFile(t *testing.T, path ...string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(path...))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// compareGolden compares a text with the file that holds what it must be.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	if want := string(readFile(t, keysDir, name)); got != want {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// listAllKeys lists each TOML key of a decoded value with what it holds, as "fleet.session = 3000", in the keys' order.
func listAllKeys(path string, v any) string {
	out := &strings.Builder{}
	listKeys(out, path, reflect.ValueOf(v))
	return strings.Join(slices.Sorted(strings.Lines(out.String())), "")
}

func listKeys(out *strings.Builder, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			fmt.Fprintf(out, "%s is not given\n", path)
			return
		}
		listKeys(out, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			key, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ",")
			if key == "" || key == "-" {
				continue // no part of the form
			}
			listKeys(out, strings.TrimPrefix(path+"."+key, "."), v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			listKeys(out, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
		if v.Len() == 0 {
			fmt.Fprintf(out, "%s is not given\n", path)
		}
	case reflect.Map:
		for _, key := range slices.Sorted(maps.Keys(v.Interface().(map[string]string))) {
			listKeys(out, path+"."+key, v.MapIndex(reflect.ValueOf(key)))
		}
	default:
		given := ""
		if v.IsZero() && v.Kind() != reflect.Bool {
			given = " is not given:"
		}
		fmt.Fprintf(out, "%s%s = %v\n", path, given, v.Interface())
	}
}

// Each key of a router's own file is decoded, by the strict decoder.
func TestRouterKeys_AreDecoded(t *testing.T) {
	file, err := settings.Read(readFile(t, keysDir, "router.toml"))
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "router.golden", listAllKeys("", *file))
}

// Each key of a coordinator node's file is decoded, by the strict decoder.
func TestCoordinatorKeys_AreDecoded(t *testing.T) {
	text := readFile(t, keysDir, "council.toml")
	node, err := settings.ReadCoordinator(text)
	if err != nil {
		t.Fatal(err)
	}
	first, _, _ := strings.Cut(string(text), "[[council.peers]]")
	joining, err := settings.ReadCoordinator([]byte(first + "join = true\n"))
	if err != nil || !joining.Join {
		t.Errorf("join: %+v, %v", joining, err)
	}
	compareGolden(t, "council.golden", listAllKeys("council", *node))
}

// Each key of a policy is read, into the field's name that is stored and sent.
func TestPolicyKeys_AreDecoded(t *testing.T) {
	document, err := settings.ReadPolicy(readFile(t, keysDir, "policy.toml"))
	if err != nil {
		t.Fatal(err)
	}
	out := &strings.Builder{}
	for _, field := range slices.Sorted(maps.Keys(document)) {
		fmt.Fprintf(out, "%s = %s\n", field, document[field])
	}
	compareGolden(t, "policy.golden", out.String())
}

// Each key that the shipped files name is one that the full files have: they and the shipped ones tell of the same form.
func TestShippedKeys_ArePinned(t *testing.T) {
	for _, c := range []struct{ shipped, full string }{{"wayloft.toml", "router.toml"}, {"fleet.toml", "router.toml"}, {"council.toml", "council.toml"}} {
		shipped, full := map[string]any{}, map[string]any{}
		if err := toml.Unmarshal(readFile(t, "../../deploy", c.shipped), &shipped); err != nil {
			t.Fatal(err)
		}
		if err := toml.Unmarshal(readFile(t, keysDir, c.full), &full); err != nil {
			t.Fatal(err)
		}
		pinned := map[string]bool{}
		collectKeys(pinned, "", full)
		named := map[string]bool{}
		collectKeys(named, "", shipped)
		for key := range named {
			if !pinned[key] {
				t.Errorf("%s: %s is not pinned", c.shipped, key)
			}
		}
	}
}

// collectKeys adds the path of each key of a decoded document, without indexes.
func collectKeys(into map[string]bool, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			at := strings.TrimPrefix(path+"."+key, ".")
			into[at] = true
			collectKeys(into, at, inner)
		}
	case []any:
		for _, inner := range v {
			collectKeys(into, path, inner)
		}
	}
}

// The words that values of the router's own file may have stay, and no others are taken.
func TestRouterWords_AreKnown(t *testing.T) {
	full := string(readFile(t, keysDir, "router.toml"))
	for _, c := range []struct {
		given string
		words []string
	}{
		{`effect = "referenced"`, []string{"repeatable", "referenced", "once-only"}},
		{`scope = "zone"`, []string{"all", "zone", "group"}},
		{`level = "bounded"`, []string{"any", "bounded", "session", "fresh", "write"}},
		{`lagging_reads = "refuses"`, []string{"answers", "refuses", "waits"}},
		{`form = "session"`, []string{"transaction", "session", "platform"}},
	} {
		key, _, _ := strings.Cut(c.given, " = ")
		decoded := map[string]string{}
		for _, word := range append(c.words, "other") {
			file, err := settings.Read([]byte(strings.Replace(full, c.given, fmt.Sprintf("%s = %q", key, word), 1)))
			var set, runtime any
			if err == nil {
				set, runtime, err = file.Settings()
			}
			if err == nil {
				decoded[fmt.Sprint(describe(set), describe(runtime), file.PoolSettings())] = word
			}
			if (err == nil) != (word != "other") {
				t.Errorf("%s = %q: %v", key, word, err)
			}
		}
		if len(decoded) != len(c.words) {
			t.Errorf("%s: some of %q mean the same: %v", key, c.words, decoded)
		}
	}
}

// describe writes a value with what it points to.
func describe(v any) string {
	out := &strings.Builder{}
	writeValue(out, reflect.ValueOf(v))
	return out.String()
}

func writeValue(out *strings.Builder, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			out.WriteString("nil")
			return
		}
		writeValue(out, v.Elem())
	case reflect.Struct:
		out.WriteByte('{')
		for i := range v.NumField() {
			writeValue(out, v.Field(i))
			out.WriteByte(' ')
		}
		out.WriteByte('}')
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		out.WriteByte('{')
		for _, key := range keys {
			fmt.Fprint(out, key, ":")
			writeValue(out, v.MapIndex(key))
			out.WriteByte(' ')
		}
		out.WriteByte('}')
	case reflect.Slice:
		out.WriteByte('[')
		for i := range v.Len() {
			writeValue(out, v.Index(i))
			out.WriteByte(' ')
		}
		out.WriteByte(']')
	default:
		fmt.Fprint(out, v)
	}
}

// decodeSettings decodes the platform's settings and writes what came of them.
func decodeSettings(v *fastjson.Value) (string, error) {
	set, runtime, err := settings.Decode(v)
	return describe(set) + describe(runtime), err
}

// decodeList decodes discovery's list and writes what came of it.
func decodeList(v *fastjson.Value) (string, error) {
	list, err := discovery.DecodeList(v)
	return describe(list), err
}

// eachKey calls visit with each object of a document that has a key, and the key with its path.
func eachKey(path string, v *fastjson.Value, visit func(object *fastjson.Object, key, path string)) {
	switch v.Type() {
	case fastjson.TypeObject:
		object := v.GetObject()
		var keys []string
		object.Visit(func(key []byte, _ *fastjson.Value) { keys = append(keys, string(key)) })
		for _, key := range keys {
			at := strings.TrimPrefix(path+"."+key, ".")
			eachKey(at, object.Get(key), visit)
			visit(object, key, at)
		}
	case fastjson.TypeArray:
		for i, inner := range v.GetArray() {
			eachKey(fmt.Sprintf("%s[%d]", path, i), inner, visit)
		}
	}
}

// withoutEachKey tells of each key of a document whether it is needed, or what is decoded is another without it.
func withoutEachKey(t *testing.T, document *fastjson.Value, decode func(*fastjson.Value) (string, error)) string {
	t.Helper()
	whole, err := decode(document)
	if err != nil {
		t.Fatal(err)
	}
	out := &strings.Builder{}
	eachKey("", document, func(object *fastjson.Object, key, path string) {
		value := object.Get(key)
		object.Del(key)
		without, err := decode(document)
		object.Set(key, value)
		switch {
		case err != nil:
			fmt.Fprintf(out, "%s must be given\n", path)
		case without == whole:
			fmt.Fprintf(out, "%s is not read\n", path)
		default:
			fmt.Fprintf(out, "%s may be given\n", path)
		}
	})
	return out.String()
}

// Each key of the platform's settings is read, in the platform's units (microseconds).
func TestPlatformSettingsKeys_AreDecoded(t *testing.T) {
	document, err := fastjson.ParseBytes(readFile(t, keysDir, "platform-settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	set, runtime, err := settings.Decode(document)
	if err != nil {
		t.Fatal(err)
	}
	class := set.RequestClasses["read"]
	got := fmt.Sprintln("routers", set.Routers, "zone", set.Zone, "over share", set.OverQuotaWeight, "asks", set.PollsList, "marks repeats", set.ClientsMarkRetries) +
		fmt.Sprintln("ask within", set.ListPollTimeout, "soft removal", set.SoftRemoval, "cold from", set.SlowStartFloor, "warm up", set.SlowStartDuration, "fall multiple",
			set.OverloadMultiple, "fall window", set.OverloadWindow) +
		fmt.Sprintln("attempts", set.MaxAttempts, "checks", set.CanHealthCheck, "revokes", set.CanCancel, "retry after", set.RetryAfter, "remembered", set.RemembersCommits) +
		fmt.Sprintln("zero", runtime.PositionOrigin, "dial", runtime.DialTimeoutMs, "idle close", runtime.ServerIdleTimeoutMs, "reports", runtime.HealthReports) +
		fmt.Sprintln("read: sla", class.LatencyObjective, "expiry", class.Deadline, "value", class.PriorityWeight, "late", class.LateWeightShare, "window", class.IdempotencyWindow, "bound",
			class.StalenessBound) +
		fmt.Sprintln("acme", set.Tenants["acme"])
	compareGolden(t, "platform-settings.golden", got+withoutEachKey(t, document, decodeSettings))
}

// Each key of discovery's list is read.
func TestDiscoveryKeys_AreDecoded(t *testing.T) {
	document, err := fastjson.ParseBytes(readFile(t, keysDir, "discovery-list.json"))
	if err != nil {
		t.Fatal(err)
	}
	list, err := discovery.DecodeList(document)
	if err != nil {
		t.Fatal(err)
	}
	member := list.Entries[0]
	got := fmt.Sprintln("revision", list.Revision, "complete", list.Complete, "member", member.ID, member.Addr, member.Zone, member.Group, member.Started)
	compareGolden(t, "discovery-list.golden", got+withoutEachKey(t, document, decodeList))
}

// The words of the platform's JSON stay, and no others are taken.
func TestPlatformWords_AreKnown(t *testing.T) {
	for _, c := range []struct {
		file, given string
		words       []string
		decode      func(*fastjson.Value) (string, error)
	}{
		{"platform-settings.json", `"discovery": "ask"`, []string{"push", "ask"}, decodeSettings},
		{"platform-settings.json", `"serverChecks": "refuse"`, []string{"silent", "refuse", "wait"}, decodeSettings},
		{"platform-settings.json", `"tokenMode": "remembered"`, []string{"carried", "remembered"}, decodeSettings},
		{"platform-settings.json", `"readLevel": ["bounded"`, []string{"any", "bounded", "session", "fresh", "write"}, decodeSettings},
		{"platform-settings.json", `"idempotency": "dedup"`, []string{"retryable", "dedup", "fragile"}, decodeSettings},
		{"platform-settings.json", `"group": "zone"`, []string{"all", "zone", "cell"}, decodeSettings},
		{"discovery-list.json", `"phase": "terminating"`, []string{"in_service", "terminating", "terminated"}, decodeList},
	} {
		text := string(readFile(t, keysDir, c.file))
		if !strings.Contains(text, c.given) {
			t.Fatalf("%s has no %s", c.file, c.given)
		}
		start := c.given[:strings.LastIndexByte(c.given[:len(c.given)-1], '"')+1]
		decoded := map[string]string{}
		for _, word := range append(c.words, "other") {
			document, err := fastjson.Parse(strings.Replace(text, c.given, start+word+`"`, 1))
			if err != nil {
				t.Fatal(err)
			}
			what, err := c.decode(document)
			if (err == nil) != (word != "other") {
				t.Errorf("%s%s: %v", start, word, err)
			}
			if err == nil {
				decoded[what] = word
			}
		}
		if len(decoded) != len(c.words) {
			t.Errorf("%s: some of %q mean the same: %v", start, c.words, decoded)
		}
	}
}

// The deploy file has the keys that the platform reads, and each path that it names is there.
func TestDeployFile_KeepsItsForm(t *testing.T) {
	deploy := map[string]any{}
	if err := toml.Unmarshal(readFile(t, "../../deploy/balancer.toml"), &deploy); err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(slices.Sorted(maps.Keys(deploy))); got != "[build node packages policy run sim]" {
		t.Errorf("its keys are %s", got)
	}
	for _, key := range []string{"policy", "node"} {
		for _, path := range deploy[key].([]any) {
			if _, err := os.Stat(filepath.Join("../..", path.(string))); err != nil {
				t.Errorf("%s: %v", key, err)
			}
		}
	}
}
