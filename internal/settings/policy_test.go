package settings

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"wayloft/internal/decide/policy"
	"wayloft/router"
)

const validPolicy = `over_share_value = 0.2
[[txn_types]]
name = "order"
value = 3.5
late_value = 0
[[txn_types]]
name = "a.value"
value = 1e6
[[tenants]]
name = "acme"
rate = 120
`

func TestReadPolicy_FormsAndRoundTrip(t *testing.T) {
	want := policy.Document{"over_share_value": "0.2", "txn_types.order.value": "3.5", "txn_types.order.late_value": "0",
		"txn_types.a.value.value": "1e+06", "tenants.acme.rate": "120"}
	for what, text := range map[string]string{"whole": validPolicy,
		"inline": `over_share_value = 0.20
			tenants = [{ name = "acme", rate = 120.0 }]
			txn_types = [{ name = "order", value = 3.5, late_value = -0.0 }, { name = "a.value", value = 1_000_000 }]`} {
		d, err := ReadPolicy([]byte(text))
		if err != nil || !maps.Equal(d, want) {
			t.Errorf("%s: got %v, %v", what, d, err)
		}
	}
	text, err := WritePolicy(want)
	if back, wrong := ReadPolicy(text); err != nil || wrong != nil || !maps.Equal(back, want) {
		t.Errorf("written %s: %v, read %v: %v", text, err, back, wrong)
	}
	if _, err := WritePolicy(policy.Document{"txn_types.order.window": "5s"}); err == nil {
		t.Error("a strict field was written")
	}
	if d, err := ReadPolicy(nil); err != nil || len(d) != 0 {
		t.Errorf("empty file: %v, %v", d, err)
	}
	strict, err := ReadPolicy([]byte(`[[txn_types]]
name = "order"
window = "5000ms"
effect = "once-only"`))
	if err != nil || !maps.Equal(strict, policy.Document{"txn_types.order.window": "5s", "txn_types.order.effect": "once-only"}) {
		t.Errorf("strict fields: %v, %v", strict, err)
	}
}

// Each invalid file gives an error that names the line, the key and the reason.
func TestReadPolicy_Errors(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"over_share_value = 0.2", "over_share_worth = 0.2", "line 1: over_share_worth: no such key"},
		{"over_share_value = 0.2", "listen = \":1\"", "line 1: listen: belongs in each router's own file, not in the policy"},
		{"over_share_value = 0.2", "over_share_value = 1.5", "line 1: over_share_value: must be a number from 0 to 1"},
		{"over_share_value = 0.2", "over_share_value = nan", "line 1: over_share_value: must be a number from 0 to 1, not \"NaN\""},
		{"value = 3.5", "valu = 3.5", "line 4: txn_types[0].valu: no such key"},
		{"value = 3.5", "value = -3.5", "line 4: txn_types[0].value: must be a number from 0"},
		{"value = 3.5", "value = 0", "line 4: txn_types[0].value: must be more than 0"},
		{"value = 3.5", "value = inf", "line 4: txn_types[0].value: must be a number from 0"},
		{"value = 3.5", "value = \"3.5\"", "line 4: txn_types[0].value: must be a number, without quotes or unit"},
		{"value = 3.5", "value = 3.5ms", "line 4"},
		{"value = 3.5", "sla = \"2s\"", "line 4: txn_types[0].sla: belongs in each router's own file, not in the policy"},
		{"value = 3.5", "window = \"2\"", "line 4: txn_types[0].window: must be a time like 250ms or 2s, not \"2\""},
		{"value = 3.5", "window = 2", "line 4: txn_types[0].window: must be a time like 250ms or 2s, in quotes"},
		{"value = 3.5", "effect = \"twice\"", "line 4: txn_types[0].effect: must be one of once-only, referenced, repeatable, not twice"},
		{"late_value = 0", "late_value = 2", "line 5: txn_types[0].late_value: must be from 0 to 1"},
		{`name = "a.value"`, `name = "order"`, `line 7: txn_types[1].name: "order" is already the name of txn_types[0]`},
		{`name = "a.value"`, ``, `line 6: txn_types[1].name: must be given`},
		{"value = 1e6", "", `line 6: txn_types[1]: no field is given for "a.value"`},
		{"rate = 120", "rate = -1", "line 11: tenants[0].rate: must be a number from 0"},
		{"[[tenants]]", "[tenants]", "line 9: tenants: must be written [[tenants]]"},
		{"[[tenants]]", "[[tenants", "line 9"},
		{"rate = 120", "rate = 120\nrate = 121", "line 12"},
		{`"acme"`, `"` + strings.Repeat("a", 300) + `"`, "line 10: tenants[0].name: 300 bytes, 224 at most"},
		{`"acme"`, "\"a\xff\"", "line 10: not UTF-8"},
		{"rate = 120", "rate = 120\n#" + strings.Repeat("x", 256<<10), "bytes, 262144 at most"},
	} {
		d, err := ReadPolicy([]byte(strings.Replace(validPolicy, c.old, c.new, 1)))
		if err == nil || d != nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.40q for %q: got %.200v, want %q", c.new, c.old, err, c.want)
		}
	}
	_, err := ReadPolicy([]byte("x = 1\n[[tenants]]\nname = \"n\"\nrate = -1\n[[txn_types]]\nvalue = 0\nsla = 1\n"))
	if err == nil || len(strings.Split(err.Error(), "\n")) != 5 {
		t.Errorf("want all 5 errors: %v", err)
	}
	deep := strings.Repeat("[", 9000) + strings.Repeat("]", 9000)
	if _, err := ReadPolicy([]byte("over_share_value = " + deep)); err == nil {
		t.Error("a deeply nested array was accepted")
	}
}

// The policy's fields replace a router's own, and the others stay. If one field can't be applied, none is, and the router's settings don't
// change.
func TestOverlay_FieldsAndErrors(t *testing.T) {
	own := &router.Settings{OverQuotaWeight: 0.5, Zone: "z", Tenants: map[string]float64{"acme": 1, "zeta": 2}, RequestClasses: map[string]*router.RequestClass{
		"order": {LatencyObjective: 7, PriorityWeight: 1, LateWeightShare: 0.5, IdempotencyWindow: 9}, "read": {LatencyObjective: 8, PriorityWeight: 2}}}
	was := fmt.Sprint(own.OverQuotaWeight, own.Tenants, *own.RequestClasses["order"], *own.RequestClasses["read"])
	set, err := Overlay(own, policy.Document{"over_share_value": "0.2", "txn_types.order.value": "1e+06", "tenants.acme.rate": "0", "tenants.new.rate": "3.5"})
	if err != nil {
		t.Fatal(err)
	}
	if o := set.RequestClasses["order"]; *o != (router.RequestClass{LatencyObjective: 7, PriorityWeight: 1e6, LateWeightShare: 0.5, IdempotencyWindow: 9}) || set.RequestClasses["read"] != own.RequestClasses["read"] ||
		set.OverQuotaWeight != 0.2 || set.Zone != "z" || !maps.Equal(set.Tenants, map[string]float64{"acme": 0, "new": 3.5, "zeta": 2}) {
		t.Errorf("got %+v, %+v", set, o)
	}
	set, err = Overlay(own, policy.Document{"txn_types.x.value": "1", "txn_types.x.late_value": "1", "txn_types.order.window": "5s", "txn_types.read.value": "0",
		"txn_types.read.late_value": "3", "more": "1", "tenants.acme.rate": "many"})
	if set != nil || err == nil || len(strings.Split(err.Error(), "\n")) != 6 || !strings.Contains(err.Error(), `no such txn type "x"`) {
		t.Errorf("got %v, %v", set, err)
	}
	if now := fmt.Sprint(own.OverQuotaWeight, own.Tenants, *own.RequestClasses["order"], *own.RequestClasses["read"]); now != was {
		t.Errorf("own was %s, is %s", was, now)
	}
}

func FuzzReadPolicy(f *testing.F) {
	f.Add([]byte(validPolicy))
	f.Add([]byte("tenants = [{ name = \"a\\u0020b\", rate = 1 }, 3]\n[x.\"y\"]\nz = [[1]]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := ReadPolicy(text)
		if err != nil {
			return
		}
		if err := d.Check(); err != nil {
			t.Error(err)
		}
		if len(policy.ValidateChange(nil, d)) > 0 { // it has strict fields, which are not written
			return
		}
		again, err := WritePolicy(d)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := ReadPolicy(again); err != nil || !maps.Equal(back, d) {
			t.Errorf("%v was encoded as %s, which decodes to %v, %v", d, again, back, err)
		}
	})
}
