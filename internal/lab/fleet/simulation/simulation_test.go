package simulation

import (
	"flag"
	"slices"
	"testing"

	"wayloft/internal/decide/switchover"
)

var schedules = flag.Int("schedules", 40, "drawn schedules that the twin plays")

func common(seed uint64) Options {
	return Options{Seed: seed, Coordinators: 3, Routers: 5, Leases: 2, FaultsMs: 12000}
}

// Whatever the faults: no act is taken under a fencing token lower than one taken there before, one fencing token has one holder, nobody finds
// that it may act once another was granted the lease, the coordinator's answers are linearizable, and when all is over each
// lease has an owner.
func TestSchedules(t *testing.T) {
	late, acts, grants, faults := 0, 0, 0, map[string]int{}
	for seed := range uint64(*schedules) {
		w := Play(common(seed))
		if len(w.Violations) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, w.Violations, w.Faults)
		}
		if len(w.StuckLeases) > 0 {
			t.Fatalf("seed %d: nobody owns %v in the end\n%v", seed, w.StuckLeases, w.Faults)
		}
		late, acts, grants = late+w.StaleActs, acts+w.Acts, grants+w.Grants
		for k, n := range w.Faults {
			faults[k] += n
		}
	}
	t.Logf("%d schedules: %d acts taken, %d late ones refused, %d grants, faults %v", *schedules, acts, late, grants, faults)
	if late < *schedules/40 || grants < 2**schedules {
		t.Errorf("%d late acts and %d grants in %d schedules test little", late, grants, *schedules)
	}
}

func changing(seed uint64) Options {
	o := common(seed)
	o.Switchover, o.Leases = true, 1
	return o
}

// Under planned changes of a group's primary, whatever the faults: no write is lost, doubled, or committed by a member after another
// had taken over, and orders come to their end.
func TestHandovers(t *testing.T) {
	late, orders, committed, done := 0, 0, 0, map[string]int{}
	for seed := range uint64(*schedules / 2) {
		w := Play(changing(seed))
		if len(w.Violations) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, w.Violations, w.Faults)
		}
		for how, n := range w.switchovers.endedOrders {
			done[how] += n
		}
		for _, how := range w.switchovers.outcomes {
			if how == "committed" {
				committed++
			}
		}
		late, orders = late+w.switchovers.fencedSteps, orders+w.switchovers.orders
	}
	t.Logf("%d schedules, %d orders, ended %v, %d writes committed, %d late steps refused by members", *schedules/2, orders, done, committed, late)
	if done["done"] < *schedules/2 || committed < 100**schedules {
		t.Errorf("%d changes and %d writes test little", done["done"], committed)
	}
}

// An owner that lost its lease with the coordinator and found it again under the same fencing token goes on with the ranks of its steps where
// they were, since members have seen them, and with what it had ended.
func TestSameFenceAgain(t *testing.T) {
	o := changing(1)
	o.Schedule = func(w *World) {
		w.After(5000, func() {
			for _, p := range w.Coordinators {
				w.PauseFor(p, 3000)
			}
		})
	}
	w := Play(o)
	ended := 0
	for _, n := range w.switchovers.endedOrders {
		ended += n
	}
	if len(w.Violations) > 0 || w.switchovers.orders < 4 || ended != w.switchovers.orders || w.switchovers.fencedSteps > 0 || w.Grants != 2 {
		t.Errorf("%v, %d orders, ended %v, %d grants, %d steps refused", w.Violations, w.switchovers.orders, w.switchovers.endedOrders, w.Grants, w.switchovers.fencedSteps)
	}
}

// A holder whose late act is refused with the fencing token of its own next grant takes that grant up.
func TestOwnNextFence(t *testing.T) {
	if w := Play(common(4482)); len(w.Violations)+len(w.StuckLeases) > 0 {
		t.Error(w.Violations, w.StuckLeases)
	}
}

// An owner that hears of an order of before again, from a coordinator node that lags, doesn't begin it anew.
func TestOldOrder(t *testing.T) {
	if w := Play(changing(125)); len(w.Violations) > 0 {
		t.Error(w.Violations)
	}
}

// lateSteps has owners of switchover stopped while a step of theirs is about to go out, and the primary changed again, to somebody
// else, before they wake.
func lateSteps(w *World) {
	for at := 3000.0; at < w.options.FaultsMs; at += 7000 {
		w.After(at, func() { w.placeOrder("m2", 0) })
		for wait := 1.0; wait < 200; wait++ { // the moment in which the new primary is to take over
			w.After(at+wait, func() {
				if p := w.Holder(switchover.LeaseName(0)); p != nil && p.switchover != nil && p.switchover.executor != nil && p.switchover.executor.Phase() == "take" &&
					p.switchover.pendingStep == switchover.Promote && !p.paused {
					w.PauseFor(p, 5500)
				}
			})
		}
		w.After(at+3500, func() { w.placeOrder("m3", 0) })
	}
}

// Members that take steps whatever their guard rows say are found, and nothing without that.
func TestUnguarded(t *testing.T) {
	for seed := range uint64(100) {
		o := changing(seed)
		o.Schedule = lateSteps
		if w := Play(o); len(w.Violations) > 0 {
			t.Fatalf("seed %d, with guard rows: %v", seed, w.Violations)
		}
		o.SeededDefects.IgnoreGuardRow = true
		if w := Play(o); len(w.Violations) > 0 {
			t.Logf("seed %d: %.200s", seed, w.Violations[0])
			return
		}
	}
	t.Error("not found")
}

func TestSameSeedSameRun(t *testing.T) {
	a, b := Play(common(7)), Play(common(7))
	if a.Acts != b.Acts || a.Messages != b.Messages || a.Bytes != b.Bytes || !slices.Equal(a.Operations, b.Operations) {
		t.Fatalf("%d acts, %d messages, %d bytes; then %d, %d, %d", a.Acts, a.Messages, a.Bytes, b.Acts, b.Messages, b.Bytes)
	}
}

// lateWake has owners stopped between their look and their act, and all others restart before they wake.
func lateWake(w *World) {
	for at := 3000.0; at < w.options.FaultsMs; at += 4500 {
		w.After(at, func() {
			if p := w.Holder(leaseName(0)); p != nil {
				w.PauseFor(p, 3000)
				w.After(2930, func() {
					for _, o := range w.Routers {
						if o != p {
							w.KillFor(o, 20)
						}
					}
				})
			}
		})
	}
}

// formerLeader cuts the leader off from the coordinator alone, while routers that just started ask where fencing tokens stand and the
// lease changes hands.
func formerLeader(w *World) {
	for at := 3000.0; at < w.options.FaultsMs; at += 3000 {
		w.After(at, func() {
			l := w.Leader()
			if l == nil {
				return
			}
			w.Isolate(l, true, true, w.Coordinators, 1500)
			for n, p := range w.Routers {
				w.After(float64(n)*150, func() { w.KillFor(p, 20) })
			}
		})
	}
}

// followers kills one of those who follow, again and again, while the leader goes on and counts on what it acknowledged.
func followers(w *World) {
	for at := 3000.0; at < w.options.FaultsMs; at += 1500 {
		w.After(at, func() {
			l := w.Leader()
			if l == nil {
				return
			}
			for _, p := range w.Coordinators {
				if p != l && p.up {
					w.KillFor(p, 300)
					return
				}
			}
		})
	}
}

// Each seeded defect is found by some schedule among the first of a few hundred, and none is found without it.
func TestPlanted(t *testing.T) {
	wiped := func(w *World) {
		w.drawFaults()
		w.After(4000+w.rand.Float64()*4000, w.WipeCoordinators)
	}
	for _, c := range []struct {
		name     string
		schedule func(*World)
		plant    func(*SeededDefects)
	}{
		{"no check of the fence", lateWake, func(p *SeededDefects) { p.SkipTokenCheck = true }},
		{"a receiver that forgets", lateWake, func(p *SeededDefects) { p.ForgetTokens = true }},
		{"a lease counted for too long", nil, func(p *SeededDefects) { p.OvercountLease = true }},
		{"the epoch is not raised", wiped, func(p *SeededDefects) { p.SameEpoch = true }},
		{"answered before it is durable", followers, func(p *SeededDefects) { p.AcknowledgeUnsaved = true }},
		{"answered before it is agreed", formerLeader, func(p *SeededDefects) { p.Coordinator.EarlyAnswer = true }},
		{"reads of a leader that was one", formerLeader, func(p *SeededDefects) { p.Coordinator.StaleRead = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(200) {
				o := common(seed)
				o.Schedule = c.schedule
				if c.plant(&o.SeededDefects); o.SeededDefects.Coordinator.EarlyAnswer { // it asks without end
					o.FaultsMs = 1600
				}
				if w := Play(o); len(w.Violations) > 0 {
					t.Logf("seed %d: %.200s", seed, w.Violations[0])
					o.SeededDefects = SeededDefects{}
					if w := Play(o); len(w.Violations) > 0 {
						t.Errorf("without it: %v", w.Violations)
					}
					return
				}
			}
			t.Error("not found")
		})
	}
}

// A fleet of 600 routers on a coordinator of three, without faults and with its coordinator away for a while.
func TestLarge(t *testing.T) {
	w := Play(Options{Seed: 3, Coordinators: 3, Routers: 600, Leases: 13, MaxHolders: 40, FaultsMs: 8000, Schedule: func(w *World) {
		w.After(3000, func() {
			for _, p := range w.Coordinators {
				w.PauseFor(p, 3000)
			}
		})
	}})
	if len(w.Violations)+len(w.StuckLeases) > 0 {
		t.Fatal(w.Violations, w.StuckLeases)
	}
	t.Logf("%d messages, %d bytes, %d entries, %d grants, without an owner for %.0f ms", w.Messages, w.Bytes, w.Entries, w.Grants, w.HolderGapsMs)
	if w.Grants != 13 {
		t.Errorf("%d grants of 13 duties: their owners were to find them again under the same fence", w.Grants)
	}
}
