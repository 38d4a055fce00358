package switchover

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// world is a group of members, the replicated state's steps and some routers, for one order and its owners.
type world struct {
	now     float64
	guard   map[string]int // by member: the highest fencing token seen
	primary map[string]bool
	steps   []leasestate.Step
	ended   string
	fence   int
	o       *Executor
	log     []string
}

var routers = []string{"r1", "r2"}

func begin(t interface{ Fatal(...any) }, w *world) {
	w.fence++
	o, err := NewExecutor(Settings{Hold: 3000, Wait: 1000, Step: 300}, Order("m2"), w.steps, 0, w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.o = o
	w.o.Routers(routers)
}

func fresh() *world {
	return &world{guard: map[string]int{}, primary: map[string]bool{"m1": true}}
}

// at has a member take a step under a fencing token, as its guard row and its own part have it.
func (w *world) at(member, step string, fence int) Outcome {
	if fence < w.guard[member] {
		return Fenced
	}
	w.guard[member] = fence
	if step != FenceMember {
		w.primary[member] = step == Promote
	}
	w.log = append(w.log, step+" "+member)
	return Succeeded
}

// guards is what a step shows to a guard row.
func (w *world) guards(d Decision) int { return w.fence<<RankBits | int(d.Rank) }

// do carries one decision out as it was meant to be.
func (w *world) do(d Decision) {
	w.log = append(w.log, fmt.Sprint(d.Action))
	switch d.Action {
	case FindPrimary:
		w.o.PrimaryFound("m1", nil)
	case RecordStep:
		w.steps = append(w.steps, leasestate.Step{Text: d.Text})
		w.o.StepRecorded(true)
	case CommandRouter:
		w.o.RouterAnswered(d.To, d.Word, true, 0)
	case CommandMember:
		w.o.StepDone(w.at(d.To, d.Step, w.guards(d)), "")
	case EndOrder:
		w.ended, w.steps = d.Text, nil
	}
}

func (w *world) run(t interface{ Fatal(...any) }) {
	for range 1000 {
		for d, more := w.o.Next(); more; d, more = w.o.Next() {
			w.do(d)
		}
		if w.o.Over() {
			return
		}
		w.now += 20
		w.o.Advance(w.now)
	}
	t.Fatal("no end", w.o.Phase(), w.log)
}

func (w *world) primaries() (all []string) {
	for m, yes := range w.primary {
		if yes {
			all = append(all, m)
		}
	}
	slices.Sort(all)
	return all
}

func TestDone(t *testing.T) {
	w := fresh()
	begin(t, w)
	w.run(t)
	if w.ended != "done: m2 is the primary in place of m1" || !slices.Equal(w.primaries(), []string{"m2"}) {
		t.Errorf("%q, %v\n%v", w.ended, w.primaries(), w.log)
	}
}

// A next owner finds each step noted by one that was lost before or after it took it, and ends with one primary.
func TestNextOwner(t *testing.T) {
	for _, step := range []string{hold, yield, take, release, back, leave} {
		for _, took := range []bool{false, true} {
			w := fresh()
			w.steps = []leasestate.Step{{Text: step + " m1 m2"}}
			if step == take || step == release || step == yield && took {
				w.primary["m1"] = false
			}
			if step == release || step == take && took {
				w.primary["m2"] = true
			}
			if step == back && took {
				w.primary["m1"] = false // it had yielded before it was taken back
			}
			w.fence = 1
			begin(t, w)
			w.run(t)
			want := "m2"
			if step == hold || step == back || step == leave {
				want = "m1"
			}
			if !slices.Equal(w.primaries(), []string{want}) || w.ended == "" {
				t.Errorf("%s, taken %v: %v take writes, %q\n%v", step, took, w.primaries(), w.ended, w.log)
			}
		}
	}
	if _, err := NewExecutor(Settings{}, Order("m2"), []leasestate.Step{{Text: "leap m1 m2"}}, 0, 0); err == nil {
		t.Error("a step of a later build was passed over")
	}
	if _, err := NewExecutor(Settings{}, "away", nil, 0, 0); err == nil {
		t.Error("an order of a later build was taken")
	}
}

// What runs is waited for, for as long as was said; a router that can't be told is not.
func TestWaits(t *testing.T) {
	play := func(told func(w *world, d Decision)) float64 {
		w := fresh()
		for begin(t, w); w.now < 5000; w.now += 20 {
			w.o.Advance(w.now)
			for d, more := w.o.Next(); more; d, more = w.o.Next() {
				switch d.Action {
				case CommandRouter:
					told(w, d)
				case CommandMember:
					return w.now
				default:
					w.do(d)
				}
			}
		}
		return w.now
	}
	looks := 0
	at := play(func(w *world, d Decision) {
		if d.Word == HoldWrites && d.Most != 3000 {
			t.Fatalf("asked to hold for %v", d.Most)
		}
		running := 3
		if w.now > 200 {
			running = 0
		}
		looks++
		w.o.RouterAnswered(d.To, d.Word, d.To != "r2", running)
	})
	if at < 200 || at > 400 || looks > 30 {
		t.Errorf("went on after %v ms and %d words; the last write ended after 200", at, looks)
	}
	if at := play(func(w *world, d Decision) { w.o.RouterAnswered(d.To, d.Word, true, 1) }); at < 1000 || at > 1200 {
		t.Errorf("a write that never ends held it up for %v ms, 1,000 were said", at)
	}
}

// Whatever fails, is lost or comes late, and however often the owner is lost at whatever point, with its last step still on its
// way: never do two members take writes, and the last owner ends with one that does.
func TestAnyFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := fresh()
		type late struct {
			member, step string
			fence        int
		}
		var onTheWay []late
		deliver := func() {
			for _, l := range onTheWay {
				w.at(l.member, l.step, l.fence)
			}
			onTheWay = nil
		}
		begin(t, w)
		owners := rapid.IntRange(1, 4).Draw(t, "owners")
		for n := 0; w.ended == ""; n++ {
			if n > 3000 {
				t.Fatal("no end", w.o.Phase(), w.log)
			}
			if len(w.primaries()) > 1 {
				t.Fatal("two take writes", w.log)
			}
			if owners > 1 && rapid.IntRange(0, 12).Draw(t, "lost") == 0 {
				owners--
				begin(t, w)
			}
			w.now += 20
			w.o.Advance(w.now)
			d, more := w.o.Next()
			if !more {
				if w.o.Over() { // refused: somebody else's; here the next takes over
					begin(t, w)
				}
				continue
			}
			how := rapid.IntRange(0, 9).Draw(t, "how")
			switch {
			case d.Action == CommandMember && owners > 1 && how == 0: // it is sent, and no answer is heard
				onTheWay = append(onTheWay, late{d.To, d.Step, w.guards(d)})
				w.o.StepDone(Unknown, "lost")
			case d.Action == CommandMember && how == 1:
				w.o.StepDone(Failed, "no")
			case d.Action == CommandMember:
				if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
					deliver()
				}
				w.o.StepDone(w.at(d.To, d.Step, w.guards(d)), "")
			case d.Action == CommandRouter && how < 3:
				w.o.RouterAnswered(d.To, d.Word, false, 0)
			default:
				w.do(d)
			}
		}
		if strings.HasPrefix(w.ended, "done") && !slices.Equal(w.primaries(), []string{"m2"}) {
			t.Fatal(w.ended, w.primaries(), w.log)
		}
		if two := w.primaries(); len(two) > 1 {
			t.Fatal("two take writes", w.log)
		}
	})
}

// A router holds for one switchover no longer than its own bound, however often it is asked; once it was told that it is over,
// not at all.
func TestGuests(t *testing.T) {
	g, f := NewWriteHolds(1000), lease.Token{Epoch: 1, Count: 4}
	if got := g.Hold(0, f, 1, 5000, 100); got != 1100 {
		t.Errorf("until %v, 1,100 is the bound", got)
	}
	if got := g.Hold(0, lease.Token{Epoch: 1, Count: 5}, 1, 5000, 900); got != 1100 {
		t.Errorf("asked again by the next owner: until %v", got)
	}
	g.Release(0, f, 1)
	if got := g.Hold(0, f, 1, 5000, 950); got != 0 {
		t.Errorf("held again until %v after it was over", got)
	}
	if got := g.Hold(0, f, 2, 300, 2000); got != 2300 {
		t.Errorf("the next one: until %v", got)
	}
	g.Forget(map[int]bool{})
	if len(g.holds) != 0 {
		t.Error("a group that is gone is kept")
	}
}

// What a process knows of a lease outlives a gap under the same fencing token, not another's grant; an end is owed until it has been told.
func TestDesk(t *testing.T) {
	var d OrderState
	f := lease.Token{Epoch: 1, Count: 4}
	set := Settings{Hold: 3000, Wait: 1000, Step: 300}
	d.BeginLease(f)
	order := leasestate.Order{Number: 2, Text: Order("m2")}
	o, err := d.Take(set, order, []leasestate.Step{{Text: "yield m1 m2"}}, 0)
	if err != nil || o == nil {
		t.Fatal(o, err)
	}
	w := fresh()
	w.o, w.fence = o, 1
	w.o.Routers(routers)
	w.run(t)
	d.Update(o, 2)
	if ended, owes := d.UnreportedEnd(); !owes || ended.Number != 2 || !strings.HasPrefix(ended.Text, "done") {
		t.Errorf("%+v, %v", ended, owes)
	}
	rank := d.rank
	d.BeginLease(f)
	if o, _ := d.Take(set, order, nil, 0); o != nil || d.rank != rank || rank == 0 {
		t.Error("the same fence again: the order is begun anew, or ranks are", d.rank, rank)
	}
	if o, _ := d.Take(set, leasestate.Order{Number: 1, Text: Order("m3")}, nil, 0); o != nil {
		t.Error("an order of before was begun")
	}
	d.EndReported(1)
	if _, owes := d.UnreportedEnd(); !owes {
		t.Error("another order's end was told")
	}
	if d.EndReported(2); d.owes {
		t.Error("told, and still owed")
	}
	if _, err := d.Take(set, leasestate.Order{Number: 3, Text: "away"}, nil, 0); err == nil || !d.owes {
		t.Error("an order that nobody knows must end, too:", err)
	}
	d.rank = 1<<RankBits - 1
	if !d.NeedsNewToken() {
		t.Error("no ranks are left")
	}
	if d.BeginLease(lease.Token{Epoch: 1, Count: 5}); d != (OrderState{fence: lease.Token{Epoch: 1, Count: 5}}) {
		t.Errorf("another fence: %+v", d)
	}
}
