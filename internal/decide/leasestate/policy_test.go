package leasestate

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"wayloft/internal/decide/policy"
)

// A proposal is accepted only if it is based on the version in force (compare and set). Watchers are notified of the change but not of which
// sessions have applied it. A new epoch gives the policy in force a version above all previous ones.
func TestProposePolicy_CompareAndSet(t *testing.T) {
	state := newTestState("a", "b")
	before := state.Snapshot()
	state.apply(Entry{Kind: KeepAliveAll, Heartbeats: []Heartbeat{{Session: "a", Incarnation: 1}}})
	var header struct {
		Version uint64 `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(before, &header); err != nil || header.Version != 1 {
		t.Fatal("a snapshot without a policy must have format 1, which earlier builds can read:", header, err)
	}
	requireEqual(t, "first proposal", state.proposeShare("0.2"), Result{Held: true, Number: 1})
	if err := cbor.Unmarshal(state.Snapshot(), &header); err != nil || header.Version != 2 {
		t.Fatal("a snapshot with a policy must have format 2, which earlier builds reject:", header, err)
	}
	at := state.Index()
	events, _ := state.EventsSince(at - 1)
	if len(events) != 1 || events[0].Policy != state.Policy().Version.Packed() {
		t.Fatal("want one event with the new version:", events)
	}
	stale := policy.Propose(policy.Version{}, nil, policy.Document{"over_share_value": "0.5"}, "b", "")
	result := state.apply(Entry{Kind: ProposePolicy, Proposal: &stale})
	if result.Held || result.Number != 1 || !strings.Contains(string(result.Rejection), "1.1 is in force, this was made from none") {
		t.Error("proposal based on no version, after version 1.1:", result)
	}
	version := state.Policy().Version.Packed()
	state.apply(Entry{Kind: KeepAlive, Session: "a", Incarnation: 1, Policy: version})
	state.apply(Entry{Kind: KeepAliveAll, Heartbeats: []Heartbeat{{Session: "b", Incarnation: 1, RejectedPolicy: version, Reason: "no memory"}}})
	if events, _ := state.EventsSince(at); len(events) != 0 {
		t.Error("events for a version that a session applied or rejected:", events)
	}
	a, _ := state.Session("a")
	b, _ := state.Session("b")
	if a.Policy != version || b.Policy != 0 || b.RejectedPolicy != version || b.Reason != "no memory" {
		t.Error("policy versions of sessions a and b:", a, b)
	}
	restored, err := Restore("f", state.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(restored.Snapshot(), state.Snapshot()) || restored.Policy().Version != state.Policy().Version {
		t.Error("the restored state differs")
	}
	state.apply(Entry{Kind: BeginEpoch, Epoch: 4})
	requireEqual(t, "version after a new epoch", state.Policy().Version.String(), "4.2")
	requireEqual(t, "proposal in the new epoch", state.proposeShare("0.3"), Result{Held: true, Number: 3})
	state.apply(Entry{Kind: KeepAlive, Session: "a", Incarnation: 1, Policy: policy.Version{Epoch: 4, Number: 9}.Packed()})
	if result := state.proposeShare("0.4"); result.Held || !strings.Contains(string(result.Rejection), "4.9") {
		t.Error("proposal accepted although a session has applied a version unknown here:", result)
	}
	state.data.Policy.Document = policy.Document{"over_share_value": "0.9"}
	if _, err := Restore("f", state.Snapshot()); !errors.Is(err, ErrMalformed) {
		t.Error("document that doesn't match its hash:", err)
	}
}
