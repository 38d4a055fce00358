package leasestate

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"wayloft/internal/decide/policy"
)

// A change is compared and set; watchers are notified of it, not of which sessions applied it, and a new epoch
// gives it a number above all before.
func TestProposePolicy_ComparedAndSet(t *testing.T) {
	state := newTestState("a", "b")
	before := state.Snapshot()
	state.apply(Entry{Kind: KeepAliveAll, Heartbeats: []Heartbeat{{Session: "a", Incarnation: 1}}})
	var header struct {
		Version uint64 `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(before, &header); err != nil || header.Version != 1 {
		t.Fatal("without a policy an earlier build must be able to read it:", header, err)
	}
	requireEqual(t, "first", state.proposeShare("0.2"), Result{Held: true, Number: 1})
	if err := cbor.Unmarshal(state.Snapshot(), &header); err != nil || header.Version != 2 {
		t.Fatal("with one it must refuse it:", header, err)
	}
	at := state.Index()
	events, _ := state.Since(at - 1)
	if len(events) != 1 || events[0].Policy != state.Policy().Version.Packed() {
		t.Fatal(events)
	}
	stale := policy.Propose(policy.Version{}, nil, policy.Document{"over_share_value": "0.5"}, "b", "")
	result := state.apply(Entry{Kind: ProposePolicy, Proposal: &stale})
	if result.Held || result.Number != 1 || !strings.Contains(string(result.Refusal), "1.1 is in force, this was made from none") {
		t.Error(result)
	}
	version := state.Policy().Version.Packed()
	state.apply(Entry{Kind: KeepAlive, Session: "a", Incarnation: 1, Policy: version})
	state.apply(Entry{Kind: KeepAliveAll, Heartbeats: []Heartbeat{{Session: "b", Incarnation: 1, RejectedPolicy: version, Reason: "no memory"}}})
	if events, _ := state.Since(at); len(events) != 0 {
		t.Error("an event of what a session applied:", events)
	}
	a, _ := state.Session("a")
	b, _ := state.Session("b")
	if a.Policy != version || b.Policy != 0 || b.RejectedPolicy != version || b.Reason != "no memory" {
		t.Error(a, b)
	}
	restored, err := Restore("f", state.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(restored.Snapshot(), state.Snapshot()) || restored.Policy().Version != state.Policy().Version {
		t.Error("what was restored differs")
	}
	state.apply(Entry{Kind: BeginEpoch, Epoch: 4})
	requireEqual(t, "above all before", state.Policy().Version.String(), "4.2")
	requireEqual(t, "the next", state.proposeShare("0.3"), Result{Held: true, Number: 3})
	state.apply(Entry{Kind: KeepAlive, Session: "a", Incarnation: 1, Policy: policy.Version{Epoch: 4, Number: 9}.Packed()})
	if result := state.proposeShare("0.4"); result.Held || !strings.Contains(string(result.Refusal), "4.9") {
		t.Error("a router knows more than this coordinator:", result)
	}
	state.data.Policy.Document = policy.Document{"over_share_value": "0.9"}
	if _, err := Restore("f", state.Snapshot()); !errors.Is(err, ErrMalformed) {
		t.Error("a document of another hash:", err)
	}
}
