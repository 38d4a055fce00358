package wire

import (
	"bytes"
	"testing"

	"wayloft/internal/decide/policy"
	"wayloft/internal/fleetpb"
)

// What is packed comes back; what would unpack to more than it may is refused, as is what isn't packed.
func TestPack(t *testing.T) {
	long := bytes.Repeat([]byte("tenants.acme.rate"), 20000)
	packed := Pack(long)
	if got, err := Unpack(packed, len(long)); err != nil || !bytes.Equal(got, long) || len(packed) > len(long)/100 {
		t.Error(len(got), len(packed), err)
	}
	if got, err := Unpack(packed, len(long)/2); err == nil {
		t.Error(len(got), "bytes came of it")
	}
	for _, bad := range [][]byte{[]byte("not packed at all"), packed[:len(packed)/2]} {
		if _, err := Unpack(bad, 1<<20); err == nil {
			t.Errorf("%d bytes that are not sound are taken", len(bad))
		}
	}
}

func TestPolicies(t *testing.T) {
	v := policy.Version{Epoch: 3, Number: 4, Hash: [32]byte{5}, Base: 6, Size: 7, Author: "a", Reason: "r"}
	x := policy.Difference{Set: map[string]string{"over_share_value": "0.2"}, Gone: []string{"tenants.a.rate"}}
	got, y, err := FromPolicy(Policy(v, &x))
	if err != nil || got != v || y.Set["over_share_value"] != "0.2" || len(y.Gone) != 1 {
		t.Error(got, y, err)
	}
	if _, y, err := FromPolicy(Policy(v, nil)); y != nil || err != nil {
		t.Error(y, err)
	}
	for name, p := range map[string]*fleetpb.Policy{"nothing": nil, "a short hash": {Hash: []byte{1}}, "a great number": {Hash: make([]byte, 32), Number: 1 << 40},
		"no difference": {Hash: make([]byte, 32), Told: true, Difference: []byte{0xff}}} {
		if _, _, err := FromPolicy(p); err == nil {
			t.Error(name)
		}
	}
}
