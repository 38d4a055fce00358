package register

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
	*Register
	at uint64
}

func (f *fleet) do(e Entry) Answer {
	f.at++
	return f.Apply(f.at, e)
}

func begin(sessions ...string) *fleet {
	f := &fleet{Register: New("f")}
	for _, s := range sessions {
		f.do(Entry{Kind: Open, Session: s, Incarnation: 1, Length: 100})
	}
	return f
}

func take(s string) Entry { return Entry{Kind: Take, Session: s, Incarnation: 1, Duty: "d"} }

func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: %v, want %v", what, got, want)
	}
}

func fence(epoch, count uint64) lease.Fence { return lease.Fence{Epoch: epoch, Count: count} }

func TestGrantQueueAndEnd(t *testing.T) {
	f := begin("a", "b", "c")
	want(t, "first", f.do(take("a")).Fence, fence(1, 1))
	want(t, "a repeat gets the same", f.do(take("a")).Fence, fence(1, 1))
	want(t, "taken", f.do(take("b")).Held, false)
	f.do(take("c"))
	f.do(Entry{Kind: Beat, Session: "b", Incarnation: 1, Passed: 90})
	f.do(Entry{Kind: Beat, Session: "c", Incarnation: 1, Passed: 5})
	d, _ := f.Duty("d")
	want(t, "still held", d.Holder, "a")
	f.do(Entry{Kind: Tick, Passed: 6}) // a has been silent for 101
	d, _ = f.Duty("d")
	want(t, "next of the queue", d.Holder, "b")
	want(t, "fence", d.Fence, fence(1, 2))
	want(t, "who ended", f.do(Entry{Kind: Free, Session: "a", Incarnation: 1, Duty: "d", Fence: fence(1, 1)}).Why, "no such session")
	a := f.do(Entry{Kind: Pass, Session: "b", Incarnation: 1, Duty: "d", Fence: fence(1, 2), To: "c"})
	d, _ = f.Duty("d")
	want(t, "passed on", d.Holder+a.Why, "c")
	events, all := f.Since(0)
	if last := events[len(events)-1]; !all || last.Session != "c" || last.Fence != fence(1, 3) {
		t.Fatalf("events %+v", events)
	}
}

func TestNewLeaderGivesWholeLength(t *testing.T) {
	f := begin("a")
	f.do(take("a"))
	f.do(Entry{Kind: Tick, Passed: 90})
	f.do(Entry{Kind: Lead, Passed: 50})
	f.do(Entry{Kind: Tick, Passed: 100})
	d, _ := f.Duty("d")
	want(t, "held", d.Holder, "a")
	f.do(Entry{Kind: Tick, Passed: 1})
	d, _ = f.Duty("d")
	want(t, "over", d.Holder, "")
}

// A process that started anew holds nothing of what its former self held.
func TestIncarnation(t *testing.T) {
	f := begin("a")
	f.do(take("a"))
	f.do(Entry{Kind: Open, Session: "a", Incarnation: 2, Length: 100})
	d, _ := f.Duty("d")
	want(t, "freed", d.Holder, "")
	want(t, "the former self", f.do(take("a")).Why, "no such session")
	want(t, "an older one", f.do(Entry{Kind: Open, Session: "a", Incarnation: 1, Length: 100}).Held, false)
	want(t, "fence", f.do(Entry{Kind: Take, Session: "a", Incarnation: 2, Duty: "d"}).Fence, fence(1, 2))
}

// A council whose state was lost grants nothing under fences that receivers have seen, until its epoch is above.
func TestLostState(t *testing.T) {
	f := begin("a")
	f.do(Entry{Kind: Told, Duty: "d", Fence: fence(1, 7)})
	a := f.do(take("a"))
	want(t, "grant", a.Held, false)
	want(t, "why", a.Why, behind)
	want(t, "an old epoch", f.do(Entry{Kind: Ascend, Epoch: 1}).Why, "epoch 1 has begun already")
	f.do(Entry{Kind: Ascend, Epoch: 2})
	want(t, "above", f.do(take("a")).Fence, fence(2, 1))
	// An older copy put back grants the same fence to another; who has seen the first says so.
	want(t, "its own", f.do(Entry{Kind: Told, Duty: "d", Fence: fence(2, 1), Session: "a"}).Why, "")
	f.do(Entry{Kind: Told, Duty: "d", Fence: fence(2, 1), Session: "z"})
	d, _ := f.Duty("d")
	want(t, "taken away", d.Holder, "")
	if f.do(take("a")).Held {
		t.Fatal("granted at or under a fence that another has")
	}
}

// A duty that was granted as often as one number can hold goes on in the next epoch, above.
func TestManyGrants(t *testing.T) {
	f := begin("a")
	f.do(take("a"))
	f.s.Duties["d"].Fence.Count = lease.Most
	before := f.s.Duties["d"].Fence.Number()
	f.do(Entry{Kind: Free, Session: "a", Incarnation: 1, Duty: "d", Fence: fence(1, lease.Most)})
	a := f.do(take("a"))
	want(t, "fence", a.Fence, fence(2, 1))
	want(t, "grows", a.Fence.Number() > before, true)
}

func TestSteps(t *testing.T) {
	f := begin("a", "b")
	f.do(take("a"))
	note := Entry{Kind: Note, Session: "a", Incarnation: 1, Duty: "d", Fence: fence(1, 1), Text: "hold"}
	want(t, "noted", f.do(note).Held, true)
	f.do(Entry{Kind: Free, Session: "a", Incarnation: 1, Duty: "d", Fence: fence(1, 1)})
	f.do(take("b"))
	note.Text = "late"
	want(t, "a former holder's", f.do(note).Fence, fence(1, 2))
	for range 40 {
		f.do(Entry{Kind: Note, Session: "b", Incarnation: 1, Duty: "d", Fence: fence(1, 2), Text: "go"})
	}
	d, _ := f.Duty("d")
	want(t, "kept", len(d.Steps), mostSteps)
	for _, s := range d.Steps {
		want(t, "step", s.Text, "go")
	}
}

// An operator's order is open until its duty's owner ends it, whoever that is by then; the same words again are the same.
func TestOrders(t *testing.T) {
	f := begin("a", "b")
	order := Entry{Kind: Order, Duty: "d", Text: "to m2"}
	want(t, "number", f.do(order).Number, uint64(1))
	want(t, "again", f.do(order).Number, uint64(1))
	want(t, "another", f.do(Entry{Kind: Order, Duty: "d", Text: "to m3"}).Why, "order 1 is open: to m2")
	f.do(take("a"))
	f.do(Entry{Kind: Note, Session: "a", Incarnation: 1, Duty: "d", Fence: fence(1, 1), Text: "hold"})
	did := Entry{Kind: Did, Session: "a", Incarnation: 1, Duty: "d", Fence: fence(1, 1), Number: 1, Text: "done"}
	f.do(take("b"))
	f.do(Entry{Kind: End, Session: "a", Incarnation: 1})
	want(t, "a former owner's word", f.do(did).Why, "no such session")
	d, _ := f.Duty("d")
	want(t, "steps that the next owner finds", len(d.Steps), 1)
	did.Session, did.Fence = "b", fence(1, 2)
	want(t, "ended", f.do(did).Number, uint64(1))
	d, _ = f.Duty("d")
	want(t, "what is kept", d.Ended, Wish{1, "done"})
	want(t, "open", d.Open.Number, uint64(0))
	want(t, "the next", f.do(Entry{Kind: Order, Duty: "d", Text: "to m3"}).Number, uint64(2))
}

// Beats of many come as one entry; those of other incarnations count for nothing.
func TestBeats(t *testing.T) {
	f := begin("a", "b")
	f.do(Entry{Kind: Beats, Passed: 90, Names: []Name{{Session: "a", Incarnation: 1, Refused: 3}, {Session: "b", Incarnation: 2}, {Session: "z", Incarnation: 1}}})
	left, any := f.Left()
	want(t, "left", left, uint64(10))
	want(t, "any", any, true)
	f.do(Entry{Kind: Tick, Passed: 11})
	_, a := f.Session("a")
	_, b := f.Session("b")
	want(t, "a, b", [2]bool{a, b}, [2]bool{true, false})
	f.do(Entry{Kind: End, Session: "a", Incarnation: 1, Refused: 4})
	want(t, "refused, of those that are over", f.Refused(), uint64(4))
}

func TestRefusedWhole(t *testing.T) {
	later, _ := cbor.Marshal(map[int]any{1: "take", 2: 5, 99: "what a later build means"})
	kind, _ := cbor.Marshal(map[int]any{1: "merge"})
	long, _ := cbor.Marshal(map[int]any{1: "take", 7: strings.Repeat("x", longest+1)})
	for name, c := range map[string]struct {
		bytes []byte
		err   error
	}{"a field": {later, ErrUnknown}, "a kind": {kind, ErrUnknown}, "a long name": {long, ErrUnsound},
		"nothing": {nil, ErrUnsound}, "half": {Encode(take("a"))[:5], ErrUnsound}} {
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
			t.Fatalf("%d of %d bytes read as %v", n, len(whole), r.Duties())
		}
	}
	f.s.Version = version + 1
	if _, err := Restore("f", f.Snapshot()); !errors.Is(err, ErrUnknown) {
		t.Error("a later snapshot:", err)
	}
}

func draw(t *rapid.T) Entry {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	e := Entry{Kind: rapid.SampledFrom([]Kind{Lead, Tick, Open, Beat, End, Take, Free, Pass, Note, Told, Ascend, Beats, Order, Did, Propose}).Draw(t, "kind"),
		Passed: uint64(rapid.IntRange(0, 60).Draw(t, "passed")), Session: name.Draw(t, "session"), To: name.Draw(t, "to"),
		Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), Length: 100,
		Duty:  rapid.SampledFrom([]string{"d", "e"}).Draw(t, "duty"),
		Fence: fence(uint64(rapid.IntRange(1, 3).Draw(t, "epoch")), uint64(rapid.IntRange(0, 4).Draw(t, "count"))),
		Epoch: uint64(rapid.IntRange(1, 4).Draw(t, "to epoch")), Text: "x", Number: uint64(rapid.IntRange(0, 2).Draw(t, "number"))}
	mark := policy.Version{Epoch: uint64(rapid.IntRange(1, 3).Draw(t, "of")), Number: uint64(rapid.IntRange(0, 3).Draw(t, "version"))}.Mark()
	if e.Kind != Propose {
		e.Policy = mark
		return e
	}
	next := policy.Document{"over_share_value": rapid.SampledFrom([]string{"0.1", "0.2"}).Draw(t, "share")}
	e.Proposal = &policy.Proposal{Base: mark, Difference: policy.Difference{Set: next}, Hash: next.Hash()}
	return e
}

// change proposes a document of one field.
func (f *fleet) change(share string) Answer {
	now := f.Policy()
	p := policy.Propose(now.Version, now.Document, policy.Document{"over_share_value": share}, "a", "to "+share)
	return f.do(Entry{Kind: Propose, Proposal: &p})
}

// A change is compared and set; what it says is told to those who watch, what sessions say of it to nobody, and a new epoch
// gives it a number above all before.
func TestPolicy(t *testing.T) {
	f := begin("a", "b")
	before := f.Snapshot()
	f.do(Entry{Kind: Beats, Names: []Name{{Session: "a", Incarnation: 1}}})
	var head struct {
		Version uint64 `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(before, &head); err != nil || head.Version != 1 {
		t.Fatal("without a policy an earlier build must be able to read it:", head, err)
	}
	want(t, "first", f.change("0.2"), Answer{Held: true, Number: 1})
	if err := cbor.Unmarshal(f.Snapshot(), &head); err != nil || head.Version != 2 {
		t.Fatal("with one it must refuse it:", head, err)
	}
	at := f.Index()
	events, _ := f.Since(at - 1)
	if len(events) != 1 || events[0].Policy != f.Policy().Version.Mark() {
		t.Fatal(events)
	}
	stale := policy.Propose(policy.Version{}, nil, policy.Document{"over_share_value": "0.5"}, "b", "")
	if a := f.do(Entry{Kind: Propose, Proposal: &stale}); a.Held || a.Number != 1 || !strings.Contains(a.Why, "1.1 is in force, this was made from none") {
		t.Error(a)
	}
	mark := f.Policy().Version.Mark()
	f.do(Entry{Kind: Beat, Session: "a", Incarnation: 1, Policy: mark})
	f.do(Entry{Kind: Beats, Names: []Name{{Session: "b", Incarnation: 1, Wont: mark, Why: "no memory"}}})
	if events, _ := f.Since(at); len(events) != 0 {
		t.Error("hundreds would hear of hundreds:", events)
	}
	a, _ := f.Session("a")
	b, _ := f.Session("b")
	if a.Policy != mark || b.Policy != 0 || b.Wont != mark || b.Why != "no memory" {
		t.Error(a, b)
	}
	r, err := Restore("f", f.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(r.Snapshot(), f.Snapshot()) || r.Policy().Version != f.Policy().Version {
		t.Error("it doesn't come back")
	}
	f.do(Entry{Kind: Ascend, Epoch: 4})
	want(t, "above all before", f.Policy().Version.String(), "4.2")
	want(t, "the next", f.change("0.3"), Answer{Held: true, Number: 3})
	f.do(Entry{Kind: Beat, Session: "a", Incarnation: 1, Policy: policy.Version{Epoch: 4, Number: 9}.Mark()})
	if a := f.change("0.4"); a.Held || !strings.Contains(a.Why, "4.9") {
		t.Error("a router knows more than this council:", a)
	}
	f.s.Policy.Document = policy.Document{"over_share_value": "0.9"}
	if _, err := Restore("f", f.Snapshot()); !errors.Is(err, ErrUnsound) {
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
	for name, e := range map[string]Entry{"none": {Kind: Propose}, "of another kind": {Kind: Tick, Proposal: p},
		"a long reason": {Kind: Propose, Proposal: &policy.Proposal{Reason: strings.Repeat("x", 201)}},
		"too large":     {Kind: Propose, Proposal: &policy.Proposal{Difference: policy.Difference{Set: large}}},
		"why":           {Kind: Beat, Why: strings.Repeat("x", longest+1)}} {
		if _, err := Decode(Encode(e)); !errors.Is(err, ErrUnsound) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Decode(Encode(Entry{Kind: Propose, Proposal: p})); err != nil {
		t.Error(err)
	}
}

// Whatever the entries: fences of a duty only grow with its holders, a holder has a session, no one is queued twice, a
// snapshot in the middle changes nothing, and bytes are the same again.
func TestAnyEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, cut := begin("a"), rapid.IntRange(0, 60).Draw(t, "cut")
		g := begin("a")
		last, holders := map[string]lease.Fence{}, map[string]string{}
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
				f.Register = r
			}
			now := f.Policy().Version
			if had, known := docs[now.Mark()]; known && had != now.Hash || now.Mark() < mark {
				t.Fatalf("policy %s after %s", now, policy.MarkString(mark))
			}
			docs[now.Mark()], mark = now.Hash, now.Mark()
			for _, name := range f.Duties() {
				d, _ := f.Duty(name)
				if d.Fence.Compare(last[name]) < 0 || d.Fence == last[name] && d.Holder != "" && d.Holder != holders[name] {
					t.Fatalf("%s: %v of %q after %v of %q", name, d.Fence, d.Holder, last[name], holders[name])
				}
				if d.Fence != last[name] {
					holders[name] = d.Holder
				}
				last[name] = d.Fence
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
			r.Apply(r.Index()+1, Entry{Kind: Tick, Passed: 1})
			if _, err := Restore("f", r.Snapshot()); err != nil {
				t.Fatal("what was taken does not come back:", err)
			}
		}
	})
}
