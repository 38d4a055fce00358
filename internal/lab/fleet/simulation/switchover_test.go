package simulation

import (
	"testing"

	"wayloft/internal/decide/switchover"
)

func switchoverOptions(seed uint64) Options {
	o := leaseOptions(seed)
	o.Switchover, o.Leases = true, 1
	return o
}

// Under random faults, no write is lost, committed twice, or committed by a member after another was promoted, and orders end.
func TestSwitchovers_RandomFaults(t *testing.T) {
	fencedSteps, takeovers, orders, succeeded, ended := 0, 0, 0, 0, map[string]int{}
	for seed := range uint64(*schedules / 2) {
		o := switchoverOptions(seed)
		o.PrimaryHangs = seed%2 == 1
		w := Run(o)
		if len(w.Violations) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, w.Violations, w.Faults)
		}
		for result, count := range w.switchovers.endedOrders {
			ended[result] += count
		}
		for _, outcome := range w.switchovers.outcomes {
			if outcome == writeSucceeded {
				succeeded++
			}
		}
		fencedSteps, orders = fencedSteps+w.switchovers.fencedSteps, orders+w.switchovers.orders
		takeovers += w.switchovers.takeovers
	}
	t.Logf("%d schedules, %d orders, ended %v, %d writes succeeded, %d steps rejected by members, %d takeovers by the cluster",
		*schedules/2, orders, ended, succeeded, fencedSteps, takeovers)
	if ended["done"] < *schedules/2 || succeeded < 100**schedules || takeovers == 0 {
		t.Errorf("only %d switchovers, %d successful writes and %d takeovers: coverage is too low", ended["done"], succeeded, takeovers)
	}
}

// A holder that lost its lease while the coordinator was paused, and got it back under the same token, continues to number its steps from
// the rank that members have already seen, and does not repeat orders that it ended.
func TestSwitchovers_SameTokenAfterCoordinatorPause(t *testing.T) {
	o := switchoverOptions(1)
	o.Schedule = func(w *World) {
		w.After(5000, func() {
			for _, p := range w.Coordinators {
				w.PauseFor(p, 3000)
			}
		})
	}
	w := Run(o)
	ended := 0
	for _, count := range w.switchovers.endedOrders {
		ended += count
	}
	if len(w.Violations) > 0 || w.switchovers.orders < 4 || ended != w.switchovers.orders || w.switchovers.fencedSteps > 0 || w.Grants != 2 {
		t.Errorf("%v, %d orders, ended %v, %d grants, %d steps rejected", w.Violations, w.switchovers.orders, w.switchovers.endedOrders, w.Grants, w.switchovers.fencedSteps)
	}
}

// A holder that receives an already ended order from a lagging coordinator node does not start it again.
func TestSwitchovers_EndedOrderShownAgain(t *testing.T) {
	if w := Run(switchoverOptions(125)); len(w.Violations) > 0 {
		t.Error(w.Violations)
	}
}

// pauseHolderDuringPromotion pauses holders that are about to send a promotion, and orders the promotion of another member before they
// resume.
func pauseHolderDuringPromotion(w *World) {
	for at := 3000.0; at < w.options.FaultsMs; at += 7000 {
		w.After(at, func() { w.placeOrder("m2", 0) })
		for wait := 1.0; wait < 200; wait++ { // until the promotion is decided
			w.After(at+wait, func() {
				if p := w.Holder(switchover.LeaseName(0)); p != nil && p.promotionPending() && !p.paused {
					w.PauseFor(p, 5500)
				}
			})
		}
		w.After(at+3500, func() { w.placeOrder("m3", 0) })
	}
}

// promotionPending reports whether this process has decided to promote a member but has not sent the step yet.
func (p *Process) promotionPending() bool {
	held := p.switchover
	return held != nil && held.executor != nil && held.executor.Phase() == "take" && held.pendingStep == switchover.Promote
}

// A member that ignores its guard row causes a violation, and there is none without that defect. Both are without the question to the other
// members, which finds the same late promotions.
func TestSeededDefects_IgnoredGuardRowIsFound(t *testing.T) {
	for seed := range uint64(100) {
		o := switchoverOptions(seed)
		o.Schedule = pauseHolderDuringPromotion
		o.SeededDefects.PromoteUnasked = true
		if w := Run(o); len(w.Violations) > 0 {
			t.Fatalf("seed %d, with guard rows: %v", seed, w.Violations)
		}
		o.SeededDefects.IgnoreGuardRow = true
		if w := Run(o); len(w.Violations) > 0 {
			t.Logf("seed %d: %.200s", seed, w.Violations[0])
			return
		}
	}
	t.Error("no seed found the defect")
}

// hangPrimaryDuringSwitchover pauses the primary while a switchover waits for it, for as long as the cluster takes to replace it.
func hangPrimaryDuringSwitchover(w *World) {
	for at := 3000.0; at < w.options.FaultsMs; at += 9000 {
		w.After(at, func() {
			primary := w.switchovers.manager.primary
			for _, next := range w.switchovers.members {
				if next != primary {
					w.placeOrder(next.Name, 0)
					break
				}
			}
			for wait := 1.0; wait < 400; wait++ { // until the first step is recorded
				w.After(wait, func() {
					if p := w.Holder(switchover.LeaseName(0)); p != nil && p.switchoverPhase() == "yield" && !primary.paused {
						w.PauseFor(primary, 6800)
					}
				})
			}
		})
	}
}

// switchoverPhase returns the phase of the switchover that this process executes; empty: none.
func (p *Process) switchoverPhase() switchover.Phase {
	if held := p.switchover; held != nil && held.executor != nil {
		return held.executor.Phase()
	}
	return ""
}

// A primary that hangs during a switchover, and is replaced by its cluster, is not promoted again when the switchover is undone. Without the
// question to the other members it is.
func TestSeededDefects_PromotionBesideTakeoverIsFound(t *testing.T) {
	const seeds = 4
	takeovers, found := 0, false
	for seed := range uint64(seeds) {
		o := switchoverOptions(seed)
		o.Schedule = hangPrimaryDuringSwitchover
		w := Run(o)
		if len(w.Violations) > 0 {
			t.Fatalf("seed %d, with the question: %v", seed, w.Violations)
		}
		takeovers += w.switchovers.takeovers
		if found {
			continue
		}
		o.SeededDefects.PromoteUnasked = true
		if w := Run(o); len(w.Violations) > 0 {
			t.Logf("seed %d: %.200s", seed, w.Violations[0])
			found = true
		}
	}
	if !found || takeovers == 0 {
		t.Errorf("found the defect: %v, %d takeovers", found, takeovers)
	}
}
