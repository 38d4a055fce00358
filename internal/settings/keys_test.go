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

// keysDir holds, for each configuration format, a file with every key and the expected decoded values.
const keysDir = "testdata/keys"

func readFile(t *testing.T, path ...string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(path...))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// compareGolden compares a text with the golden file of this name.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	if want := string(readFile(t, keysDir, name)); got != want {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// listAllKeys lists each TOML key of a decoded value with its content, as "fleet.session = 3000", sorted.
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
				continue // not decoded from TOML
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

// The strict decoder decodes each key of a router's own file.
func TestRouterKeys_AreDecoded(t *testing.T) {
	file, err := settings.ReadRouter(readFile(t, keysDir, "router.toml"))
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "router.golden", listAllKeys("", *file))
}

// The strict decoder decodes each key of a coordinator node's file.
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

// Each key of a policy file is decoded into a field under the name that is stored and sent.
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

// The files with every key cover each key of the shipped files.
func TestShippedKeys_AreCovered(t *testing.T) {
	for _, c := range []struct{ shipped, full string }{{"wayloft.toml", "router.toml"}, {"fleet.toml", "router.toml"}, {"council.toml", "council.toml"}} {
		shipped, full := map[string]any{}, map[string]any{}
		if err := toml.Unmarshal(readFile(t, "../../deploy", c.shipped), &shipped); err != nil {
			t.Fatal(err)
		}
		if err := toml.Unmarshal(readFile(t, keysDir, c.full), &full); err != nil {
			t.Fatal(err)
		}
		covered := map[string]bool{}
		collectKeys(covered, "", full)
		shippedKeys := map[string]bool{}
		collectKeys(shippedKeys, "", shipped)
		for key := range shippedKeys {
			if !covered[key] {
				t.Errorf("%s: %s is not in %s", c.shipped, key, c.full)
			}
		}
	}
}

// collectKeys adds the path of each key of a decoded document, without array indexes.
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

// The keywords of a router's own file are pinned: each is accepted and has its own meaning, and any other is rejected.
func TestRouterKeywords_AreAccepted(t *testing.T) {
	full := string(readFile(t, keysDir, "router.toml"))
	for _, c := range []struct {
		given    string
		keywords []string
	}{
		{`effect = "referenced"`, []string{"repeatable", "referenced", "once-only"}},
		{`scope = "zone"`, []string{"all", "zone", "group"}},
		{`level = "bounded"`, []string{"any", "bounded", "session", "fresh", "write"}},
		{`lagging_reads = "refuses"`, []string{"answers", "refuses", "waits"}},
		{`form = "session"`, []string{"transaction", "session", "platform"}},
	} {
		key, _, _ := strings.Cut(c.given, " = ")
		decoded := map[string]string{}
		for _, keyword := range append(c.keywords, "other") {
			file, err := settings.ReadRouter([]byte(strings.Replace(full, c.given, fmt.Sprintf("%s = %q", key, keyword), 1)))
			var set, runtime any
			if err == nil {
				set, runtime, err = file.Settings()
			}
			if err == nil {
				decoded[fmt.Sprint(describe(set), describe(runtime), file.PoolSettings())] = keyword
			}
			if (err == nil) != (keyword != "other") {
				t.Errorf("%s = %q: %v", key, keyword, err)
			}
		}
		if len(decoded) != len(c.keywords) {
			t.Errorf("%s: some of %q decode to the same result: %v", key, c.keywords, decoded)
		}
	}
}

// describe formats a value together with everything that it points to.
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

// decodeSettings decodes the platform's settings and formats the result.
func decodeSettings(v *fastjson.Value) (string, error) {
	set, runtime, err := settings.DecodePlatform(v)
	return describe(set) + describe(runtime), err
}

// decodeList decodes an endpoint list of the discovery service and formats the result.
func decodeList(v *fastjson.Value) (string, error) {
	list, err := discovery.DecodeList(v)
	return describe(list), err
}

// eachKey calls visit for each key of a document, with the object that has it and the key's path.
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

// withoutEachKey removes one key of a document at a time, and lists whether the key is required, optional or not read at all.
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

// Each key of the platform's settings is decoded, and times are converted from the platform's microseconds.
func TestPlatformSettingsKeys_AreDecoded(t *testing.T) {
	document, err := fastjson.ParseBytes(readFile(t, keysDir, "platform-settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	set, runtime, err := settings.DecodePlatform(document)
	if err != nil {
		t.Fatal(err)
	}
	class := set.RequestClasses["read"]
	got := fmt.Sprintln("routers", set.Routers, "zone", set.Zone, "over-quota weight", set.OverQuotaWeight, "polls list", set.PollsEndpointList, "marks retries", set.ClientsMarkRetries) +
		fmt.Sprintln("poll timeout", set.ListPollTimeout, "soft removal", set.SoftRemoval, "slow start floor", set.SlowStartFloor, "slow start", set.SlowStartDuration, "overload multiple",
			set.OverloadMultiple, "overload window", set.OverloadWindow) +
		fmt.Sprintln("attempts", set.MaxAttempts, "health checks", set.CanHealthCheck, "cancels", set.CanCancel, "retry after", set.RetryAfter, "remembers commits", set.TracksSessionCommits) +
		fmt.Sprintln("position origin", runtime.PositionOrigin, "dial", runtime.DialTimeoutMs, "idle timeout", runtime.ServerIdleTimeoutMs, "reports", runtime.HealthReports) +
		fmt.Sprintln("read: latency objective", class.LatencyObjective, "deadline", class.Deadline, "weight", class.PriorityWeight, "late share", class.LateWeightShare, "window", class.IdempotencyWindow, "bound",
			class.StalenessBound) +
		fmt.Sprintln("acme", set.Tenants["acme"])
	compareGolden(t, "platform-settings.golden", got+withoutEachKey(t, document, decodeSettings))
}

// Each key of the discovery service's endpoint list is decoded.
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

// The keywords of the platform's JSON are pinned: each is accepted and has its own meaning, and any other is rejected.
func TestPlatformKeywords_AreAccepted(t *testing.T) {
	for _, c := range []struct {
		file, given string
		keywords    []string
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
		for _, keyword := range append(c.keywords, "other") {
			document, err := fastjson.Parse(strings.Replace(text, c.given, start+keyword+`"`, 1))
			if err != nil {
				t.Fatal(err)
			}
			result, err := c.decode(document)
			if (err == nil) != (keyword != "other") {
				t.Errorf("%s%s: %v", start, keyword, err)
			}
			if err == nil {
				decoded[result] = keyword
			}
		}
		if len(decoded) != len(c.keywords) {
			t.Errorf("%s: some of %q decode to the same result: %v", start, c.keywords, decoded)
		}
	}
}

// The deploy file has exactly the keys that the platform reads, and the paths of its policy and node keys exist.
func TestDeployFile_KeysAndPaths(t *testing.T) {
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
