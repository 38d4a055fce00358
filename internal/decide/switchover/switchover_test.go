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

// cluster is a group of members, the replicated state's steps and some routers, for one order and its owners.
type cluster struct {
	now       float64
	guardRows map[string]int // by member: the highest fencing token seen
	primary   map[string]bool
	steps     []leasestate.Step
	outcome   string
	token     int
	executor  *Executor
	log       []string
}

var routers = []string{"r1", "r2"}

func startExecutor(t interface{ Fatal(...any) }, w *cluster) {
	w.token++
	o, err := NewExecutor(Settings{MaxHold: 3000, DrainTimeout: 1000, StepTimeout: 300}, FormatOrder("m2"), w.steps, 0, w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.executor = o
	w.executor.SetRouters(routers)
}

func newCluster() *cluster {
	return &cluster{guardRows: map[string]int{}, primary: map[string]bool{"m1": true}}
}

// applyStep has a member take a step under a fencing token, as its guard row and its own part have it.
func (w *cluster) applyStep(member, step string, fence int) Outcome {
	if fence < w.guardRows[member] {
		return Fenced
	}
	w.guardRows[member] = fence
	if step != FenceMember {
		w.primary[member] = step == Promote
	}
	w.log = append(w.log, step+" "+member)
	return Succeeded
}

// guardValue is what a step shows to a guard row.
func (w *cluster) guardValue(d Decision) int { return w.token<<RankBits | int(d.Rank) }

// carryOut carries one decision out as it was meant to be.
func (w *cluster) carryOut(d Decision) {
	w.log = append(w.log, fmt.Sprint(d.Action))
	switch d.Action {
	case FindPrimary:
		w.executor.PrimaryFound("m1", nil)
	case RecordStep:
		w.steps = append(w.steps, leasestate.Step{Text: d.Text})
		w.executor.StepRecorded(true)
	case CommandRouter:
		w.executor.RouterAnswered(d.Target, d.Command, true, 0)
	case CommandMember:
		w.executor.StepDone(w.applyStep(d.Target, d.Step, w.guardValue(d)), "")
	case EndOrder:
		w.outcome, w.steps = d.Text, nil
	}
}

func (w *cluster) run(t interface{ Fatal(...any) }) {
	for range 1000 {
		for d, more := w.executor.Next(); more; d, more = w.executor.Next() {
			w.carryOut(d)
		}
		if w.executor.Finished() {
			return
		}
		w.now += 20
		w.executor.Advance(w.now)
	}
	t.Fatal("no end", w.executor.Phase(), w.log)
}

func (w *cluster) primaries() (all []string) {
	for m, yes := range w.primary {
		if yes {
			all = append(all, m)
		}
	}
	slices.Sort(all)
	return all
}

func TestExecutor_ChangesThePrimary(t *testing.T) {
	w := newCluster()
	startExecutor(t, w)
	w.run(t)
	if w.outcome != "done: m2 is the primary in place of m1" || !slices.Equal(w.primaries(), []string{"m2"}) {
		t.Errorf("%q, %v\n%v", w.outcome, w.primaries(), w.log)
	}
}

// A next owner finds each step noted by one that was lost before or after it took it, and ends with one primary.
func TestExecutor_NextLeaseHolderResumesAtEachStep(t *testing.T) {
	for _, step := range []string{phaseHold, phaseStepDown, phasePromote, phaseRelease, phaseRollback, phaseAbandon} {
		for _, took := range []bool{false, true} {
			w := newCluster()
			w.steps = []leasestate.Step{{Text: step + " m1 m2"}}
			if step == phasePromote || step == phaseRelease || step == phaseStepDown && took {
				w.primary["m1"] = false
			}
			if step == phaseRelease || step == phasePromote && took {
				w.primary["m2"] = true
			}
			if step == phaseRollback && took {
				w.primary["m1"] = false // it had yielded before it was taken back
			}
			w.token = 1
			startExecutor(t, w)
			w.run(t)
			want := "m2"
			if step == phaseHold || step == phaseRollback || step == phaseAbandon {
				want = "m1"
			}
			if !slices.Equal(w.primaries(), []string{want}) || w.outcome == "" {
				t.Errorf("%s, taken %v: %v take writes, %q\n%v", step, took, w.primaries(), w.outcome, w.log)
			}
		}
	}
	if _, err := NewExecutor(Settings{}, FormatOrder("m2"), []leasestate.Step{{Text: "leap m1 m2"}}, 0, 0); err == nil {
		t.Error("a step of a later build was passed over")
	}
	if _, err := NewExecutor(Settings{}, "away", nil, 0, 0); err == nil {
		t.Error("an order of a later build was taken")
	}
}

// What runs is waited for, for as long as was said; a router that can't be told is not.
func TestExecutor_WaitsForRunningWritesWithinTheBound(t *testing.T) {
	play := func(told func(w *cluster, d Decision)) float64 {
		w := newCluster()
		for startExecutor(t, w); w.now < 5000; w.now += 20 {
			w.executor.Advance(w.now)
			for d, more := w.executor.Next(); more; d, more = w.executor.Next() {
				switch d.Action {
				case CommandRouter:
					told(w, d)
				case CommandMember:
					return w.now
				default:
					w.carryOut(d)
				}
			}
		}
		return w.now
	}
	looks := 0
	at := play(func(w *cluster, d Decision) {
		if d.Command == HoldWrites && d.MaxHold != 3000 {
			t.Fatalf("asked to hold for %v", d.MaxHold)
		}
		running := 3
		if w.now > 200 {
			running = 0
		}
		looks++
		w.executor.RouterAnswered(d.Target, d.Command, d.Target != "r2", running)
	})
	if at < 200 || at > 400 || looks > 30 {
		t.Errorf("went on after %v ms and %d words; the last write ended after 200", at, looks)
	}
	if at := play(func(w *cluster, d Decision) { w.executor.RouterAnswered(d.Target, d.Command, true, 1) }); at < 1000 || at > 1200 {
		t.Errorf("a write that never ends held it up for %v ms, 1,000 were said", at)
	}
}

// Whatever fails, is lost or comes late, and however often the owner is lost at whatever point, with its last step still on its
// way: never do two members take writes, and the last owner ends with one that does.
func TestExecutor_NeverTwoPrimariesWhateverFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster()
		type late struct {
			member, step string
			fence        int
		}
		var onTheWay []late
		deliver := func() {
			for _, l := range onTheWay {
				w.applyStep(l.member, l.step, l.fence)
			}
			onTheWay = nil
		}
		startExecutor(t, w)
		owners := rapid.IntRange(1, 4).Draw(t, "owners")
		for n := 0; w.outcome == ""; n++ {
			if n > 3000 {
				t.Fatal("no end", w.executor.Phase(), w.log)
			}
			if len(w.primaries()) > 1 {
				t.Fatal("two take writes", w.log)
			}
			if owners > 1 && rapid.IntRange(0, 12).Draw(t, "lost") == 0 {
				owners--
				startExecutor(t, w)
			}
			w.now += 20
			w.executor.Advance(w.now)
			d, more := w.executor.Next()
			if !more {
				if w.executor.Finished() { // refused: somebody else's; here the next takes over
					startExecutor(t, w)
				}
				continue
			}
			how := rapid.IntRange(0, 9).Draw(t, "how")
			switch {
			case d.Action == CommandMember && owners > 1 && how == 0: // it is sent, and no answer is heard
				onTheWay = append(onTheWay, late{d.Target, d.Step, w.guardValue(d)})
				w.executor.StepDone(Unknown, "lost")
			case d.Action == CommandMember && how == 1:
				w.executor.StepDone(Failed, "no")
			case d.Action == CommandMember:
				if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
					deliver()
				}
				w.executor.StepDone(w.applyStep(d.Target, d.Step, w.guardValue(d)), "")
			case d.Action == CommandRouter && how < 3:
				w.executor.RouterAnswered(d.Target, d.Command, false, 0)
			default:
				w.carryOut(d)
			}
		}
		if strings.HasPrefix(w.outcome, "done") && !slices.Equal(w.primaries(), []string{"m2"}) {
			t.Fatal(w.outcome, w.primaries(), w.log)
		}
		if two := w.primaries(); len(two) > 1 {
			t.Fatal("two take writes", w.log)
		}
	})
}

// A router holds for one switchover no longer than its own bound, however often it is asked; once it was told that it is over,
// not at all.
func TestWriteHolds_BoundedPerSwitchover(t *testing.T) {
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
	g.RetainGroups(map[int]bool{})
	if len(g.holds) != 0 {
		t.Error("a group that is gone is kept")
	}
}

// What a process knows of a lease outlives a gap under the same fencing token, not another's grant; an end is owed until it has been told.
func TestOrderState_OutlivesAGapUnderOneToken(t *testing.T) {
	var d OrderState
	f := lease.Token{Epoch: 1, Count: 4}
	set := Settings{MaxHold: 3000, DrainTimeout: 1000, StepTimeout: 300}
	d.BeginLease(f)
	order := leasestate.Order{Number: 2, Text: FormatOrder("m2")}
	o, err := d.StartOrder(set, order, []leasestate.Step{{Text: "yield m1 m2"}}, 0)
	if err != nil || o == nil {
		t.Fatal(o, err)
	}
	w := newCluster()
	w.executor, w.token = o, 1
	w.executor.SetRouters(routers)
	w.run(t)
	d.Update(o, 2)
	if ended, owes := d.UnreportedEnd(); !owes || ended.Number != 2 || !strings.HasPrefix(ended.Text, "done") {
		t.Errorf("%+v, %v", ended, owes)
	}
	rank := d.rank
	d.BeginLease(f)
	if o, _ := d.StartOrder(set, order, nil, 0); o != nil || d.rank != rank || rank == 0 {
		t.Error("the same fence again: the order is begun anew, or ranks are", d.rank, rank)
	}
	if o, _ := d.StartOrder(set, leasestate.Order{Number: 1, Text: FormatOrder("m3")}, nil, 0); o != nil {
		t.Error("an order of before was begun")
	}
	d.EndReported(1)
	if _, owes := d.UnreportedEnd(); !owes {
		t.Error("another order's end was told")
	}
	if d.EndReported(2); d.endUnreported {
		t.Error("told, and still owed")
	}
	if _, err := d.StartOrder(set, leasestate.Order{Number: 3, Text: "away"}, nil, 0); err == nil || !d.endUnreported {
		t.Error("an order that nobody knows must end, too:", err)
	}
	d.rank = 1<<RankBits - 1
	if !d.NeedsNewToken() {
		t.Error("no ranks are left")
	}
	if d.BeginLease(lease.Token{Epoch: 1, Count: 5}); d != (OrderState{token: lease.Token{Epoch: 1, Count: 5}}) {
		t.Errorf("another fence: %+v", d)
	}
}
