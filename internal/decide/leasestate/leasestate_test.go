package leasestate

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/policy"
)

// fleet is a register with the index of its log.
type fleet struct {
	*State
	at uint64
}

func (f *fleet) do(e Entry) Result {
	f.at++
	return f.Apply(f.at, e)
}

func begin(sessions ...string) *fleet {
	f := &fleet{State: New("f")}
	for _, s := range sessions {
		f.do(Entry{Kind: OpenSession, Session: s, Incarnation: 1, Timeout: 100})
	}
	return f
}

func take(s string) Entry { return Entry{Kind: AcquireLease, Session: s, Incarnation: 1, Lease: "d"} }

func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: %v, want %v", what, got, want)
	}
}

func fence(epoch, count uint64) lease.Token { return lease.Token{Epoch: epoch, Count: count} }

func TestGrantQueueAndEnd(t *testing.T) {
	f := begin("a", "b", "c")
	want(t, "first", f.do(take("a")).Token, fence(1, 1))
	want(t, "a repeat gets the same", f.do(take("a")).Token, fence(1, 1))
	want(t, "taken", f.do(take("b")).Held, false)
	f.do(take("c"))
	f.do(Entry{Kind: KeepAlive, Session: "b", Incarnation: 1, Elapsed: 90})
	f.do(Entry{Kind: KeepAlive, Session: "c", Incarnation: 1, Elapsed: 5})
	d, _ := f.Lease("d")
	want(t, "still held", d.Holder, "a")
	f.do(Entry{Kind: AdvanceTime, Elapsed: 6}) // a has been silent for 101
	d, _ = f.Lease("d")
	want(t, "next of the queue", d.Holder, "b")
	want(t, "fence", d.Token, fence(1, 2))
	want(t, "who ended", f.do(Entry{Kind: ReleaseLease, Session: "a", Incarnation: 1, Lease: "d", Token: fence(1, 1)}).Refusal, "no such session")
	a := f.do(Entry{Kind: TransferLease, Session: "b", Incarnation: 1, Lease: "d", Token: fence(1, 2), To: "c"})
	d, _ = f.Lease("d")
	want(t, "passed on", d.Holder+a.Refusal, "c")
	events, all := f.Since(0)
	if last := events[len(events)-1]; !all || last.Session != "c" || last.Token != fence(1, 3) {
		t.Fatalf("events %+v", events)
	}
}

func TestNewLeaderGivesWholeLength(t *testing.T) {
	f := begin("a")
	f.do(take("a"))
	f.do(Entry{Kind: AdvanceTime, Elapsed: 90})
	f.do(Entry{Kind: BeginTerm, Elapsed: 50})
	f.do(Entry{Kind: AdvanceTime, Elapsed: 100})
	d, _ := f.Lease("d")
	want(t, "held", d.Holder, "a")
	f.do(Entry{Kind: AdvanceTime, Elapsed: 1})
	d, _ = f.Lease("d")
	want(t, "over", d.Holder, "")
}

// A process that started anew holds nothing of what its former self held.
func TestIncarnation(t *testing.T) {
	f := begin("a")
	f.do(take("a"))
	f.do(Entry{Kind: OpenSession, Session: "a", Incarnation: 2, Timeout: 100})
	d, _ := f.Lease("d")
	want(t, "freed", d.Holder, "")
	want(t, "the former self", f.do(take("a")).Refusal, "no such session")
	want(t, "an older one", f.do(Entry{Kind: OpenSession, Session: "a", Incarnation: 1, Timeout: 100}).Held, false)
	want(t, "fence", f.do(Entry{Kind: AcquireLease, Session: "a", Incarnation: 2, Lease: "d"}).Token, fence(1, 2))
}

// A coordinator whose state was lost grants nothing under fencing tokens that receivers have seen, until its epoch is above.
func TestLostState(t *testing.T) {
	f := begin("a")
	f.do(Entry{Kind: ReportToken, Lease: "d", Token: fence(1, 7)})
	a := f.do(take("a"))
	want(t, "grant", a.Held, false)
	want(t, "why", a.Refusal, refusedStateBehind)
	want(t, "an old epoch", f.do(Entry{Kind: BeginEpoch, Epoch: 1}).Refusal, "epoch 1 has begun already")
	f.do(Entry{Kind: BeginEpoch, Epoch: 2})
	want(t, "above", f.do(take("a")).Token, fence(2, 1))
	// An older copy put back grants the same fencing token to another; who has seen the first says so.
	want(t, "its own", f.do(Entry{Kind: ReportToken, Lease: "d", Token: fence(2, 1), Session: "a"}).Refusal, "")
	f.do(Entry{Kind: ReportToken, Lease: "d", Token: fence(2, 1), Session: "z"})
	d, _ := f.Lease("d")
	want(t, "taken away", d.Holder, "")
	if f.do(take("a")).Held {
		t.Fatal("granted at or under a fence that another has")
	}
}

// A lease that was granted as often as one number can hold goes on in the next epoch, above.
func TestManyGrants(t *testing.T) {
	f := begin("a")
	f.do(take("a"))
	f.data.Leases["d"].Token.Count = lease.MaxCount
	before := f.data.Leases["d"].Token.Number()
	f.do(Entry{Kind: ReleaseLease, Session: "a", Incarnation: 1, Lease: "d", Token: fence(1, lease.MaxCount)})
	a := f.do(take("a"))
	want(t, "fence", a.Token, fence(2, 1))
	want(t, "grows", a.Token.Number() > before, true)
}

func TestSteps(t *testing.T) {
	f := begin("a", "b")
	f.do(take("a"))
	note := Entry{Kind: RecordStep, Session: "a", Incarnation: 1, Lease: "d", Token: fence(1, 1), Text: "hold"}
	want(t, "noted", f.do(note).Held, true)
	f.do(Entry{Kind: ReleaseLease, Session: "a", Incarnation: 1, Lease: "d", Token: fence(1, 1)})
	f.do(take("b"))
	note.Text = "late"
	want(t, "a former holder's", f.do(note).Token, fence(1, 2))
	for range 40 {
		f.do(Entry{Kind: RecordStep, Session: "b", Incarnation: 1, Lease: "d", Token: fence(1, 2), Text: "go"})
	}
	d, _ := f.Lease("d")
	want(t, "kept", len(d.Steps), maxSteps)
	for _, s := range d.Steps {
		want(t, "step", s.Text, "go")
	}
}

// An operator's order is open until its lease's owner ends it, whoever that is by then; the same words again are the same.
func TestOrders(t *testing.T) {
	f := begin("a", "b")
	order := Entry{Kind: PlaceOrder, Lease: "d", Text: "to m2"}
	want(t, "number", f.do(order).Number, uint64(1))
	want(t, "again", f.do(order).Number, uint64(1))
	want(t, "another", f.do(Entry{Kind: PlaceOrder, Lease: "d", Text: "to m3"}).Refusal, "order 1 is open: to m2")
	f.do(take("a"))
	f.do(Entry{Kind: RecordStep, Session: "a", Incarnation: 1, Lease: "d", Token: fence(1, 1), Text: "hold"})
	did := Entry{Kind: CompleteOrder, Session: "a", Incarnation: 1, Lease: "d", Token: fence(1, 1), Number: 1, Text: "done"}
	f.do(take("b"))
	f.do(Entry{Kind: CloseSession, Session: "a", Incarnation: 1})
	want(t, "a former owner's word", f.do(did).Refusal, "no such session")
	d, _ := f.Lease("d")
	want(t, "steps that the next owner finds", len(d.Steps), 1)
	did.Session, did.Token = "b", fence(1, 2)
	want(t, "ended", f.do(did).Number, uint64(1))
	d, _ = f.Lease("d")
	want(t, "what is kept", d.Ended, Order{1, "done"})
	want(t, "open", d.Open.Number, uint64(0))
	want(t, "the next", f.do(Entry{Kind: PlaceOrder, Lease: "d", Text: "to m3"}).Number, uint64(2))
}

// Beats of many come as one entry; those of other incarnations count for nothing.
func TestBeats(t *testing.T) {
	f := begin("a", "b")
	f.do(Entry{Kind: KeepAliveAll, Elapsed: 90, Heartbeats: []Heartbeat{{Session: "a", Incarnation: 1, RejectedActs: 3}, {Session: "b", Incarnation: 2}, {Session: "z", Incarnation: 1}}})
	left, any := f.UntilExpiry()
	want(t, "left", left, uint64(10))
	want(t, "any", any, true)
	f.do(Entry{Kind: AdvanceTime, Elapsed: 11})
	_, a := f.Session("a")
	_, b := f.Session("b")
	want(t, "a, b", [2]bool{a, b}, [2]bool{true, false})
	f.do(Entry{Kind: CloseSession, Session: "a", Incarnation: 1, RejectedActs: 4})
	want(t, "refused, of those that are over", f.RejectedActs(), uint64(4))
}

func TestRefusedWhole(t *testing.T) {
	later, _ := cbor.Marshal(map[int]any{1: "take", 2: 5, 99: "what a later build means"})
	kind, _ := cbor.Marshal(map[int]any{1: "merge"})
	long, _ := cbor.Marshal(map[int]any{1: "take", 7: strings.Repeat("x", maxTextBytes+1)})
	for name, c := range map[string]struct {
		bytes []byte
		err   error
	}{"a field": {later, ErrNewerVersion}, "a kind": {kind, ErrNewerVersion}, "a long name": {long, ErrMalformed},
		"nothing": {nil, ErrMalformed}, "half": {Encode(take("a"))[:5], ErrMalformed}} {
		if _, err := Decode(c.bytes); !errors.Is(err, c.err) {
			t.Errorf("%s: %v, want %v", name, err, c.err)
		}
	}
	f := begin("a")
	f.do(take("a"))
	whole := f.Snapshot()
	if _, err := Restore("g", whole); err == nil || !strings.Contains(err.Error(), `of fleet "f", not of "g"`) {
		t.Error("another fleet's:", err)
	}
	for n := range whole {
		if r, err := Restore("f", whole[:n]); err == nil {
			t.Fatalf("%d of %d bytes read as %v", n, len(whole), r.Leases())
		}
	}
	f.data.Version = formatVersion + 1
	if _, err := Restore("f", f.Snapshot()); !errors.Is(err, ErrNewerVersion) {
		t.Error("a later snapshot:", err)
	}
}

func draw(t *rapid.T) Entry {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	e := Entry{Kind: rapid.SampledFrom([]Kind{BeginTerm, AdvanceTime, OpenSession, KeepAlive, CloseSession, AcquireLease, ReleaseLease, TransferLease, RecordStep, ReportToken, BeginEpoch, KeepAliveAll, PlaceOrder, CompleteOrder, ProposePolicy}).Draw(t, "kind"),
		Elapsed: uint64(rapid.IntRange(0, 60).Draw(t, "passed")), Session: name.Draw(t, "session"), To: name.Draw(t, "to"),
		Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), Timeout: 100,
		Lease: rapid.SampledFrom([]string{"d", "e"}).Draw(t, "duty"),
		Token: fence(uint64(rapid.IntRange(1, 3).Draw(t, "epoch")), uint64(rapid.IntRange(0, 4).Draw(t, "count"))),
		Epoch: uint64(rapid.IntRange(1, 4).Draw(t, "to epoch")), Text: "x", Number: uint64(rapid.IntRange(0, 2).Draw(t, "number"))}
	mark := policy.Version{Epoch: uint64(rapid.IntRange(1, 3).Draw(t, "of")), Number: uint64(rapid.IntRange(0, 3).Draw(t, "version"))}.Number64()
	if e.Kind != ProposePolicy {
		e.Policy = mark
		return e
	}
	next := policy.Document{"over_share_value": rapid.SampledFrom([]string{"0.1", "0.2"}).Draw(t, "share")}
	e.Proposal = &policy.Proposal{Base: mark, Difference: policy.Difference{Set: next}, Hash: next.Hash()}
	return e
}

// change proposes a document of one field.
func (f *fleet) change(share string) Result {
	now := f.Policy()
	p := policy.Propose(now.Version, now.Document, policy.Document{"over_share_value": share}, "a", "to "+share)
	return f.do(Entry{Kind: ProposePolicy, Proposal: &p})
}

// A change is compared and set; what it says is told to those who watch, what sessions say of it to nobody, and a new epoch
// gives it a number above all before.
func TestPolicy(t *testing.T) {
	f := begin("a", "b")
	before := f.Snapshot()
	f.do(Entry{Kind: KeepAliveAll, Heartbeats: []Heartbeat{{Session: "a", Incarnation: 1}}})
	var head struct {
		Version uint64 `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(before, &head); err != nil || head.Version != 1 {
		t.Fatal("without a policy an earlier build must be able to read it:", head, err)
	}
	want(t, "first", f.change("0.2"), Result{Held: true, Number: 1})
	if err := cbor.Unmarshal(f.Snapshot(), &head); err != nil || head.Version != 2 {
		t.Fatal("with one it must refuse it:", head, err)
	}
	at := f.Index()
	events, _ := f.Since(at - 1)
	if len(events) != 1 || events[0].Policy != f.Policy().Version.Number64() {
		t.Fatal(events)
	}
	stale := policy.Propose(policy.Version{}, nil, policy.Document{"over_share_value": "0.5"}, "b", "")
	if a := f.do(Entry{Kind: ProposePolicy, Proposal: &stale}); a.Held || a.Number != 1 || !strings.Contains(a.Refusal, "1.1 is in force, this was made from none") {
		t.Error(a)
	}
	mark := f.Policy().Version.Number64()
	f.do(Entry{Kind: KeepAlive, Session: "a", Incarnation: 1, Policy: mark})
	f.do(Entry{Kind: KeepAliveAll, Heartbeats: []Heartbeat{{Session: "b", Incarnation: 1, RejectedPolicy: mark, Reason: "no memory"}}})
	if events, _ := f.Since(at); len(events) != 0 {
		t.Error("hundreds would hear of hundreds:", events)
	}
	a, _ := f.Session("a")
	b, _ := f.Session("b")
	if a.Policy != mark || b.Policy != 0 || b.RejectedPolicy != mark || b.Reason != "no memory" {
		t.Error(a, b)
	}
	r, err := Restore("f", f.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(r.Snapshot(), f.Snapshot()) || r.Policy().Version != f.Policy().Version {
		t.Error("it doesn't come back")
	}
	f.do(Entry{Kind: BeginEpoch, Epoch: 4})
	want(t, "above all before", f.Policy().Version.String(), "4.2")
	want(t, "the next", f.change("0.3"), Result{Held: true, Number: 3})
	f.do(Entry{Kind: KeepAlive, Session: "a", Incarnation: 1, Policy: policy.Version{Epoch: 4, Number: 9}.Number64()})
	if a := f.change("0.4"); a.Held || !strings.Contains(a.Refusal, "4.9") {
		t.Error("a router knows more than this council:", a)
	}
	f.data.Policy.Document = policy.Document{"over_share_value": "0.9"}
	if _, err := Restore("f", f.Snapshot()); !errors.Is(err, ErrMalformed) {
		t.Error("a document of another hash:", err)
	}
}

// What a proposal holds is bounded before it gets into the log.
func TestPolicyBounds(t *testing.T) {
	large := map[string]string{}
	for n := range 1100 {
		large[strings.Repeat("x", 240)+strings.Repeat("y", n%16)+string(rune('a'+n%26))+strings.Repeat("z", n/100)] = strings.Repeat("v", 250)
	}
	p := &policy.Proposal{Difference: policy.Difference{Set: map[string]string{"a": "b"}}}
	for name, e := range map[string]Entry{"none": {Kind: ProposePolicy}, "of another kind": {Kind: AdvanceTime, Proposal: p},
		"a long reason": {Kind: ProposePolicy, Proposal: &policy.Proposal{Reason: strings.Repeat("x", 201)}},
		"too large":     {Kind: ProposePolicy, Proposal: &policy.Proposal{Difference: policy.Difference{Set: large}}},
		"why":           {Kind: KeepAlive, Reason: strings.Repeat("x", maxTextBytes+1)}} {
		if _, err := Decode(Encode(e)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Decode(Encode(Entry{Kind: ProposePolicy, Proposal: p})); err != nil {
		t.Error(err)
	}
}

// Whatever the entries: fencing tokens of a lease only grow with its holders, a holder has a session, no one is queued twice, a
// snapshot in the middle changes nothing, and bytes are the same again.
func TestAnyEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, cut := begin("a"), rapid.IntRange(0, 60).Draw(t, "cut")
		g := begin("a")
		last, holders := map[string]lease.Token{}, map[string]string{}
		docs, mark := map[uint64][32]byte{}, uint64(0)
		for n := range rapid.IntRange(1, 60).Draw(t, "entries") {
			e := draw(t)
			decoded, err := Decode(Encode(e))
			if err != nil || !reflect.DeepEqual(decoded, e) {
				t.Fatalf("%+v came back as %+v, %v", e, decoded, err)
			}
			f.do(e)
			g.do(e)
			if n == cut {
				r, err := Restore("f", f.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				f.State = r
			}
			now := f.Policy().Version
			if had, known := docs[now.Number64()]; known && had != now.Hash || now.Number64() < mark {
				t.Fatalf("policy %s after %s", now, policy.MarkString(mark))
			}
			docs[now.Number64()], mark = now.Hash, now.Number64()
			for _, name := range f.Leases() {
				d, _ := f.Lease(name)
				if d.Token.Compare(last[name]) < 0 || d.Token == last[name] && d.Holder != "" && d.Holder != holders[name] {
					t.Fatalf("%s: %v of %q after %v of %q", name, d.Token, d.Holder, last[name], holders[name])
				}
				if d.Token != last[name] {
					holders[name] = d.Holder
				}
				last[name] = d.Token
				if _, open := f.Session(d.Holder); d.Holder != "" && !open {
					t.Fatalf("%s is held by %q, which has no session", name, d.Holder)
				}
				for i, q := range d.Queue {
					if _, open := f.Session(q); !open || q == d.Holder || strings.Count(strings.Join(d.Queue, " "), q) > 1 {
						t.Fatalf("%s: queue %v at %d", name, d.Queue, i)
					}
				}
			}
		}
		if !bytes.Equal(f.Snapshot(), g.Snapshot()) {
			t.Fatal("a snapshot in the middle changed the state")
		}
	})
}

func FuzzRestore(f *testing.F) {
	r := begin("a", "b")
	r.do(take("a"))
	r.do(take("b"))
	f.Add(r.Snapshot())
	r.change("0.2")
	f.Add(r.Snapshot())
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := Restore("f", b); err == nil {
			r.Apply(r.Index()+1, Entry{Kind: AdvanceTime, Elapsed: 1})
			if _, err := Restore("f", r.Snapshot()); err != nil {
				t.Fatal("what was taken does not come back:", err)
			}
		}
	})
}
