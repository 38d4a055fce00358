package simulation

import (
	"flag"
	"slices"
	"testing"
)

var schedules = flag.Int("schedules", 40, "number of random schedules to run")

func leaseOptions(seed uint64) Options {
	return Options{Seed: seed, Coordinators: 3, Routers: 5, Leases: 2, FaultsMs: 12000}
}

// Under random faults, receivers accept no command under a lower fencing token than before, a token has one holder, no process considers
// its lease valid after another was granted it, the coordinator's responses are linearizable, and each lease has a holder at the end.
func TestLeases_RandomFaults(t *testing.T) {
	staleCommands, commands, grants, faults := 0, 0, 0, map[string]int{}
	for seed := range uint64(*schedules) {
		w := Run(leaseOptions(seed))
		if len(w.Violations) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, w.Violations, w.Faults)
		}
		if len(w.UnheldLeases) > 0 {
			t.Fatalf("seed %d: %v have no holder at the end\n%v", seed, w.UnheldLeases, w.Faults)
		}
		staleCommands, commands, grants = staleCommands+w.StaleCommands, commands+w.AcceptedCommands, grants+w.Grants
		for kind, count := range w.Faults {
			faults[kind] += count
		}
	}
	t.Logf("%d schedules: %d commands accepted, %d stale ones rejected, %d grants, faults %v", *schedules, commands, staleCommands, grants, faults)
	if staleCommands < *schedules/40 || grants < 2**schedules {
		t.Errorf("only %d stale commands and %d grants in %d schedules: coverage is too low", staleCommands, grants, *schedules)
	}
}

// A holder whose stale command is rejected with the fencing token of its own next grant starts to use that grant.
func TestLeases_RejectedWithTokenOfOwnNextGrant(t *testing.T) {
	if w := Run(leaseOptions(4482)); len(w.Violations)+len(w.UnheldLeases) > 0 {
		t.Error(w.Violations, w.UnheldLeases)
	}
}

func TestRun_SameSeedSameRun(t *testing.T) {
	a, b := Run(leaseOptions(7)), Run(leaseOptions(7))
	if a.AcceptedCommands != b.AcceptedCommands || a.Messages != b.Messages || a.Bytes != b.Bytes || !slices.Equal(a.Operations, b.Operations) {
		t.Fatalf("first run: %d commands, %d messages, %d bytes; second run: %d, %d, %d", a.AcceptedCommands, a.Messages, a.Bytes, b.AcceptedCommands, b.Messages, b.Bytes)
	}
}

// pauseHolderBeforeCommand pauses holders, some between the check of the lease and the command, and restarts all other routers before
// the holders resume.
func pauseHolderBeforeCommand(w *World) {
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

// isolateLeader cuts the leader off from its peers but not from the routers, while routers that have just restarted read the latest
// tokens and leases change their holder.
func isolateLeader(w *World) {
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

// killFollowers repeatedly kills a follower while the leader relies on the entries that the follower acknowledged.
func killFollowers(w *World) {
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

// Each seeded defect causes a violation under some seed, and the same seed causes none without the defect.
func TestSeededDefects_AreFound(t *testing.T) {
	wiped := func(w *World) {
		w.scheduleRandomFaults()
		w.After(4000+w.rand.Float64()*4000, w.WipeCoordinators)
	}
	for _, c := range []struct {
		name     string
		schedule func(*World)
		enable   func(*SeededDefects)
	}{
		{"token not checked", pauseHolderBeforeCommand, func(d *SeededDefects) { d.SkipTokenCheck = true }},
		{"tokens forgotten", pauseHolderBeforeCommand, func(d *SeededDefects) { d.ForgetTokens = true }},
		{"lease overcounted", nil, func(d *SeededDefects) { d.OvercountLease = true }},
		{"same epoch", wiped, func(d *SeededDefects) { d.SameEpoch = true }},
		{"acknowledged unsaved", killFollowers, func(d *SeededDefects) { d.AcknowledgeUnsaved = true }},
		{"early answer", isolateLeader, func(d *SeededDefects) { d.Coordinator.EarlyResponse = true }},
		{"stale read", isolateLeader, func(d *SeededDefects) { d.Coordinator.StaleRead = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(200) {
				o := leaseOptions(seed)
				o.Schedule = c.schedule
				if c.enable(&o.SeededDefects); o.SeededDefects.Coordinator.EarlyResponse { // this defect makes clients send requests without end
					o.FaultsMs = 1600
				}
				if w := Run(o); len(w.Violations) > 0 {
					t.Logf("seed %d: %.200s", seed, w.Violations[0])
					o.SeededDefects = SeededDefects{}
					if w := Run(o); len(w.Violations) > 0 {
						t.Errorf("violations without the defect: %v", w.Violations)
					}
					return
				}
			}
			t.Error("no seed found the defect")
		})
	}
}

// With 600 routers, all three coordinator nodes are paused for 3 s. Holders get their leases back under the same token.
func TestLeases_600RoutersCoordinatorPaused(t *testing.T) {
	w := Run(Options{Seed: 3, Coordinators: 3, Routers: 600, Leases: 13, MaxHolders: 40, FaultsMs: 8000, Schedule: func(w *World) {
		w.After(3000, func() {
			for _, p := range w.Coordinators {
				w.PauseFor(p, 3000)
			}
		})
	}})
	if len(w.Violations)+len(w.UnheldLeases) > 0 {
		t.Fatal(w.Violations, w.UnheldLeases)
	}
	t.Logf("%d messages, %d bytes, %d entries, %d grants, no holder for %.0f ms", w.Messages, w.Bytes, w.Entries, w.Grants, w.HolderGapsMs)
	if w.Grants != 13 {
		t.Errorf("%d grants of 13 leases; holders should get them back under the same token", w.Grants)
	}
}
