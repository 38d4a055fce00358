package leasestate

import (
	"errors"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"wayloft/internal/decide/policy"
)

func TestDecode_UnknownOrMalformed(t *testing.T) {
	later, _ := cbor.Marshal(map[int]any{1: "take", 2: 5, 99: "field of a later build"})
	kind, _ := cbor.Marshal(map[int]any{1: "merge"})
	long, _ := cbor.Marshal(map[int]any{1: "take", 7: strings.Repeat("x", maxTextBytes+1)})
	for name, test := range map[string]struct {
		encoded []byte
		want    error
	}{
		"unknown field": {later, ErrNewerVersion},
		"unknown kind":  {kind, ErrNewerVersion},
		"long name":     {long, ErrMalformed},
		"empty":         {nil, ErrMalformed},
		"truncated":     {Encode(acquire("a"))[:5], ErrMalformed},
	} {
		if _, err := Decode(test.encoded); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", name, err, test.want)
		}
	}
}

func TestRestore_RefusesOtherFleetTruncatedAndNewer(t *testing.T) {
	state := newTestState("a")
	state.apply(acquire("a"))
	encoded := state.Snapshot()
	if _, err := Restore("g", encoded); err == nil || !strings.Contains(err.Error(), `belongs to fleet "f", not to fleet "g"`) {
		t.Error("snapshot of another fleet:", err)
	}
	for size := range encoded {
		if restored, err := Restore("f", encoded[:size]); err == nil {
			t.Fatalf("a snapshot truncated to %d of %d bytes was restored, with leases %v", size, len(encoded), restored.Leases())
		}
	}
	state.data.Version = formatWithPolicy + 1
	if _, err := Restore("f", state.Snapshot()); !errors.Is(err, ErrNewerVersion) {
		t.Error("snapshot of a later format:", err)
	}
}

// Entries whose proposal is missing, unexpected or too large are rejected when they are decoded, before they get into the log.
func TestDecode_ProposalBounds(t *testing.T) {
	large := map[string]string{}
	for n := range 1100 {
		large[strings.Repeat("x", 240)+strings.Repeat("y", n%16)+string(rune('a'+n%26))+strings.Repeat("z", n/100)] = strings.Repeat("v", 250)
	}
	p := &policy.Proposal{Difference: policy.Difference{Set: map[string]string{"a": "b"}}}
	for name, entry := range map[string]Entry{
		"missing proposal":           {Kind: ProposePolicy},
		"proposal in another kind":   {Kind: AdvanceTime, Proposal: p},
		"proposal with long reason":  {Kind: ProposePolicy, Proposal: &policy.Proposal{Reason: strings.Repeat("x", 201)}},
		"large proposal":             {Kind: ProposePolicy, Proposal: &policy.Proposal{Difference: policy.Difference{Set: large}}},
		"heartbeat with long reason": {Kind: KeepAlive, Reason: strings.Repeat("x", maxTextBytes+1)},
	} {
		if _, err := Decode(Encode(entry)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Decode(Encode(Entry{Kind: ProposePolicy, Proposal: p})); err != nil {
		t.Error(err)
	}
}

func FuzzRestore(f *testing.F) {
	state := newTestState("a", "b")
	state.apply(acquire("a"))
	state.apply(acquire("b"))
	f.Add(state.Snapshot())
	state.proposeShare("0.2")
	f.Add(state.Snapshot())
	f.Fuzz(func(t *testing.T, encoded []byte) {
		if restored, err := Restore("f", encoded); err == nil {
			restored.Apply(restored.Index()+1, Entry{Kind: AdvanceTime, Elapsed: 1})
			if _, err := Restore("f", restored.Snapshot()); err != nil {
				t.Fatal("the snapshot of a restored state can't be restored:", err)
			}
		}
	})
}
