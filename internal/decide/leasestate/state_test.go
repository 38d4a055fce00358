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

// drawEntry draws an entry of any kind. Its fields are drawn from a few values, so that entries often match the state.
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

// invariants checks what must hold after each entry, given the previous states.
type invariants struct {
	tokens        map[string]lease.Token // latest token by lease
	holders       map[string]string      // session that was granted the latest token, by lease
	hashes        map[uint64][32]byte    // of the policy documents, by packed version
	policyVersion uint64
}

func (i *invariants) check(t *rapid.T, state *testState) {
	t.Helper()
	now := state.Policy().Version
	version := now.Packed()
	if hash, known := i.hashes[version]; known && hash != now.Hash || version < i.policyVersion {
		t.Fatalf("policy version %s follows %s", now, policy.FormatPacked(i.policyVersion))
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
		t.Fatalf("%s: token %v held by %q follows token %v of %q", name, stored.Token, stored.Holder, last, i.holders[name])
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
			t.Fatalf("%s: queue %v is invalid at index %d", name, stored.Queue, n)
		}
	}
}

// For any sequence of entries: the fencing token of a lease grows with each new holder, each holder has an open session, no session is in a
// queue twice, restoring a snapshot in between doesn't change the state, and encoding is deterministic.
func TestState_InvariantsHoldForAnyEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		restoreAfter := rapid.IntRange(0, 60).Draw(t, "restore after")
		state, reference := newTestState("a"), newTestState("a")
		holding := invariants{tokens: map[string]lease.Token{}, holders: map[string]string{}, hashes: map[uint64][32]byte{}}
		for n := range rapid.IntRange(1, 60).Draw(t, "entries") {
			entry := drawEntry(t)
			decoded, err := Decode(Encode(entry))
			if err != nil || !reflect.DeepEqual(decoded, entry) {
				t.Fatalf("%+v was decoded as %+v, %v", entry, decoded, err)
			}
			state.apply(entry)
			reference.apply(entry)
			if n == restoreAfter {
				restored, err := Restore("f", state.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				state.State = restored
			}
			holding.check(t, state)
		}
		if !bytes.Equal(state.Snapshot(), reference.Snapshot()) {
			t.Fatal("restoring a snapshot changed the state")
		}
	})
}
