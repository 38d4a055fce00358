package scale

import (
	"testing"

	"wayloft/internal/fleetpb"
)

// Messages are counted by kind, with their encoded size, and the wrapped codec encodes and decodes them.
func TestMessageCounter(t *testing.T) {
	c := newMessageCounter()
	for _, m := range []any{&fleetpb.Request{Stand: "sight/1"}, &fleetpb.Request{Stands: []string{"sight/1"}}, &fleetpb.Request{Entry: []byte{1, 2}}, &fleetpb.Answer{Held: true}, &fleetpb.Answer{Moved: true},
		&fleetpb.Update{Whole: true}, &fleetpb.Update{Index: 3}, &fleetpb.Order{Duty: "sight/1"}, &fleetpb.Verdict{},
		&fleetpb.PolicyFrom{}, &fleetpb.PolicyPart{}} {
		if _, err := c.Marshal(m); err != nil {
			t.Fatal(err)
		}
	}
	in := &fleetpb.Update{Sessions: []*fleetpb.Session{{Name: "a1-1", Incarnation: 100}, {Name: "a1-2", Incarnation: 99}, {Name: "a1-3", Incarnation: 100, Ended: true},
		{Name: "a2-1", Incarnation: 100}}}
	b, err := c.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	out := &fleetpb.Update{}
	if err := c.Unmarshal(b, out); err != nil || len(out.Sessions) != 4 {
		t.Fatal(err, out)
	}
	counts := map[string]int64{}
	c.addTo(counts)
	want := map[string]int64{"stand_out": 2, "call_out": 1, "answer_out": 1, "moved_out": 1, "whole_out": 1, "alive_out": 1, "order_out": 1, "verdict_out": 1, "fetch_out": 1, "part_out": 1,
		"change_out": 1, "change_in": 1, "change_in_bytes": int64(b.Len()), "call_out_bytes": 4, "verdict_out_bytes": 0}
	for k, n := range want {
		if counts[k] != n {
			t.Errorf("%s: %d, not %d", k, counts[k], n)
		}
	}
}
