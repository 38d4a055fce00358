package leasestate

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/policy"
)

// drawEntry draws an entry of any kind, with fields that fit the state as often as not.
func drawEntry(t *rapid.T) Entry {
	kinds := []Kind{BeginTerm, AdvanceTime, OpenSession, KeepAlive, CloseSession, AcquireLease, ReleaseLease, TransferLease, RecordStep,
		ReportToken, BeginEpoch, KeepAliveAll, PlaceOrder, CompleteOrder, ProposePolicy}
	number := func(label string, least, most int) uint64 { return uint64(rapid.IntRange(least, most).Draw(t, label)) }
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	entry := Entry{
		Kind:        rapid.SampledFrom(kinds).Draw(t, "kind"),
		Elapsed:     number("elapsed", 0, 60),
		Session:     name.Draw(t, "session"),
		To:          name.Draw(t, "to"),
		Incarnation: number("incarnation", 1, 3),
		Timeout:     100,
		Lease:       rapid.SampledFrom([]string{"d", "e"}).Draw(t, "lease"),
		Token:       token(number("token epoch", 1, 3), number("token count", 0, 4)),
		Epoch:       number("epoch", 1, 4),
		Text:        "x",
		Number:      number("number", 0, 2),
	}
	version := policy.Version{Epoch: number("version epoch", 1, 3), Number: number("version number", 0, 3)}.Packed()
	if entry.Kind != ProposePolicy {
		entry.Policy = version
		return entry
	}
	next := policy.Document{"over_share_value": rapid.SampledFrom([]string{"0.1", "0.2"}).Draw(t, "share")}
	entry.Proposal = &policy.Proposal{Base: version, Difference: policy.Difference{Set: next}, Hash: next.Hash()}
	return entry
}

// invariants are what holds of a state after each entry, given the states before.
type invariants struct {
	tokens        map[string]lease.Token // by lease
	holders       map[string]string      // who was granted the latest token
	hashes        map[uint64][32]byte    // of the policy's versions
	policyVersion uint64
}

func (i *invariants) check(t *rapid.T, state *testState) {
	t.Helper()
	now := state.Policy().Version
	version := now.Packed()
	if hash, known := i.hashes[version]; known && hash != now.Hash || version < i.policyVersion {
		t.Fatalf("policy %s after %s", now, policy.FormatPacked(i.policyVersion))
	}
	i.hashes[version], i.policyVersion = now.Hash, version
	for _, name := range state.Leases() {
		i.checkLease(t, state, name)
	}
}

func (i *invariants) checkLease(t *rapid.T, state *testState, name string) {
	t.Helper()
	stored, _ := state.Lease(name)
	last := i.tokens[name]
	if stored.Token.Compare(last) < 0 || stored.Token == last && stored.Holder != "" && stored.Holder != i.holders[name] {
		t.Fatalf("%s: %v of %q after %v of %q", name, stored.Token, stored.Holder, last, i.holders[name])
	}
	if stored.Token != last {
		i.holders[name] = stored.Holder
	}
	i.tokens[name] = stored.Token
	if _, open := state.Session(stored.Holder); stored.Holder != "" && !open {
		t.Fatalf("%s is held by %q, which has no session", name, stored.Holder)
	}
	for n, queued := range stored.Queue {
		_, open := state.Session(queued)
		if !open || queued == stored.Holder || strings.Count(strings.Join(stored.Queue, " "), queued) > 1 {
			t.Fatalf("%s: queue %v at %d", name, stored.Queue, n)
		}
	}
}

// Whatever the entries: fencing tokens of a lease only grow with its holders, a holder has a session, no one is queued twice, a
// snapshot in the middle changes nothing, and bytes are the same again.
func TestState_InvariantsHoldForAnyEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		restoreAfter := rapid.IntRange(0, 60).Draw(t, "restore after")
		state, undisturbed := newTestState("a"), newTestState("a")
		holding := invariants{tokens: map[string]lease.Token{}, holders: map[string]string{}, hashes: map[uint64][32]byte{}}
		for n := range rapid.IntRange(1, 60).Draw(t, "entries") {
			entry := drawEntry(t)
			decoded, err := Decode(Encode(entry))
			if err != nil || !reflect.DeepEqual(decoded, entry) {
				t.Fatalf("%+v came back as %+v, %v", entry, decoded, err)
			}
			state.apply(entry)
			undisturbed.apply(entry)
			if n == restoreAfter {
				restored, err := Restore("f", state.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				state.State = restored
			}
			holding.check(t, state)
		}
		if !bytes.Equal(state.Snapshot(), undisturbed.Snapshot()) {
			t.Fatal("a snapshot in the middle changed the state")
		}
	})
}
