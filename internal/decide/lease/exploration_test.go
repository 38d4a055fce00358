package lease_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
)

var deep = flag.Int("deep", 7, "steps that the small world is explored for")

// deliverLatest delivers the latest message of a kind from or to a holder.
func (w *world) deliverLatest(kind messageKind, holder int) {
	for n, m := range slices.Backward(w.network) {
		if m.kind == kind && m.holder == holder {
			w.step(step{stepDeliver, n})
			return
		}
	}
}

// grantFirst has holder 0 granted the lease, act, and check that it may act again.
func (w *world) grantFirst() {
	w.deliverLatest(requestMessage, 0)
	w.deliverLatest(responseMessage, 0)
	w.step(step{stepCheck, 0})
	w.step(step{stepSend, 0})
	w.deliverLatest(actMessage, 0)
	w.step(step{stepCheck, 0})
}

// contended is a world in which holder 0 has acted and checked that it may act again, and holder 1 has requested the lease in vain.
func contended(d defects) *world {
	w := newWorld(d)
	w.grantFirst()
	w.deliverLatest(requestMessage, 1)
	w.deliverLatest(responseMessage, 1)
	return w
}

// exploration is what exploring the world found.
type exploration struct {
	path     []step // the first to something wrong
	wrong    string
	states   int
	rejected int // states in which a late act had been rejected
}

// explore plays every order of steps up to a depth, or until something is wrong.
func explore(d defects, depth int) (found exploration) {
	seen := map[uint64]bool{}
	paths := [][]step{nil}
	for range depth {
		var longer [][]step
		for _, path := range paths {
			for _, next := range replay(d, path).steps() {
				path := append(slices.Clone(path), next)
				w := replay(d, path)
				if w.wrong != "" {
					found.path, found.wrong = path, w.wrong
					return found
				}
				key := w.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				found.states++
				if w.rejected > 0 {
					found.rejected++
				}
				longer = append(longer, path)
			}
		}
		paths = longer
	}
	return found
}

func replay(d defects, path []step) *world {
	w := contended(d)
	for _, s := range path {
		w.step(s)
	}
	return w
}

// Every order of messages, losses, pauses, restarts and one loss of the coordinator's state, up to a depth: no act is accepted
// under a fencing token lower than one that was accepted before, and nobody may act while the coordinator has another holder.
func TestSmallWorld_NoLateActAccepted(t *testing.T) {
	found := explore(defects{}, *deep)
	if found.wrong != "" {
		t.Fatalf("%s\nafter %v", found.wrong, found.path)
	}
	t.Logf("%d states in %d steps, a late act rejected in %d of them", found.states, *deep, found.rejected)
	if found.states < 1000 || found.rejected == 0 {
		t.Errorf("only %d states, %d with a late act", found.states, found.rejected)
	}
}

// interruption is what happens between a late act and its arrival.
type interruption int

const (
	uninterrupted interruption = iota
	stateLost
	receiverRestarted
	receiverRestartedAfterLoss
)

// playLateAct plays the hard case: holder 0 has checked that it may act and is stopped; holder 1 is granted the lease and acts; the
// receiver restarts; holder 0 wakes and sends.
func playLateAct(d defects, between interruption) (wrong string, w *world) {
	defer func() {
		if failure := recover(); failure != nil { // an invariant's, in a debug build
			wrong = fmt.Sprint(failure)
		}
	}()
	w = newWorld(d)
	w.grantFirst()
	if d.overstayMs == 0 {
		w.step(step{stepSleep, 0})
	}
	if between == stateLost {
		w.step(step{kind: stepWipe})
	}
	w.step(step{kind: stepTick})
	w.step(step{kind: stepTick})
	if d.overstayMs > 0 {
		w.step(step{stepCheck, 0})
	}
	w.deliverLatest(requestMessage, 1)
	w.deliverLatest(responseMessage, 1)
	w.step(step{stepCheck, 1})
	w.step(step{stepSend, 1})
	w.deliverLatest(actMessage, 1)
	if between == receiverRestartedAfterLoss {
		w.step(step{kind: stepWipe})
	}
	if between == receiverRestarted || between == receiverRestartedAfterLoss {
		w.step(step{kind: stepRestart})
		w.deliverLatest(queryMessage, 0)
		w.deliverLatest(queryMessage, 0)
	}
	if w.asleep[0] {
		w.step(step{stepWake, 0})
	}
	w.deliverLatest(actMessage, 0)
	return w.wrong, w
}

func TestSmallWorld_SeededDefectsAreFound(t *testing.T) {
	for name, test := range map[string]struct {
		defects defects
		between interruption
		want    string
	}{
		"receiver accepts all":                 {defects{acceptsAll: true}, uninterrupted, "was accepted after one under"},
		"receiver forgets":                     {defects{forgets: true}, receiverRestarted, "was accepted after one under"},
		"receiver isn't told of the new epoch": {defects{tellsLatestGrant: true}, receiverRestartedAfterLoss, "was accepted after one under"},
		"lease is counted for too long":        {defects{overstayMs: 4}, uninterrupted, "may act under"},
		"epoch is not raised":                  {defects{sameEpoch: true}, stateLost, "one fencing token, one holder"},
	} {
		t.Run(name, func(t *testing.T) {
			if wrong, _ := playLateAct(test.defects, test.between); !strings.Contains(wrong, test.want) {
				t.Errorf("not found: %q", wrong)
			}
			wrong, w := playLateAct(defects{}, test.between)
			if wrong != "" || w.rejected != 1 {
				t.Errorf("without it: %q, %d late acts rejected", wrong, w.rejected)
			}
			if _, valid := w.holders[0].Valid(); valid {
				t.Error("the holder that woke up goes on")
			}
		})
	}
}
