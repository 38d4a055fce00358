package lease_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
)

var explorationDepth = flag.Int("deep", 7, "number of steps to which the lease model is explored")

// deliverLatest delivers the latest message of a kind from or to a holder.
func (m *model) deliverLatest(kind messageKind, holder int) {
	for n, msg := range slices.Backward(m.network) {
		if msg.kind == kind && msg.holder == holder {
			m.step(step{stepDeliver, n})
			return
		}
	}
}

// grantToHolder0 has holder 0 granted the lease, send an operation, and check its lease for the next one.
func (m *model) grantToHolder0() {
	m.deliverLatest(requestMessage, 0)
	m.deliverLatest(responseMessage, 0)
	m.step(step{stepCheck, 0})
	m.step(step{stepSend, 0})
	m.deliverLatest(operationMessage, 0)
	m.step(step{stepCheck, 0})
}

// newContendedModel returns a model in which holder 0 holds the lease (grantToHolder0), and a request of holder 1 was denied.
func newContendedModel(d defects) *model {
	m := newModel(d)
	m.grantToHolder0()
	m.deliverLatest(requestMessage, 1)
	m.deliverLatest(responseMessage, 1)
	return m
}

// exploration is the result of exploring the model.
type exploration struct {
	path      []step // the first to a violation
	violation string
	states    int
	rejected  int // states in which a late operation has been rejected
}

// explore visits every state that is reachable within depth steps, or stops at the first violation. States are compared by hash.
func explore(d defects, depth int) (found exploration) {
	seen := map[uint64]bool{}
	paths := [][]step{nil}
	for range depth {
		var longer [][]step
		for _, path := range paths {
			for _, next := range replay(d, path).steps() {
				path := append(slices.Clone(path), next)
				m := replay(d, path)
				if m.violation != "" {
					found.path, found.violation = path, m.violation
					return found
				}
				key := m.stateHash()
				if seen[key] {
					continue
				}
				seen[key] = true
				found.states++
				if m.lateRejected > 0 {
					found.rejected++
				}
				longer = append(longer, path)
			}
		}
		paths = longer
	}
	return found
}

func replay(d defects, path []step) *model {
	m := newContendedModel(d)
	for _, s := range path {
		m.step(s)
	}
	return m
}

// With every order of messages, losses, pauses, restarts and one loss of the coordinator's state, up to a depth: no operation is
// accepted under a fencing token lower than one accepted before, and no holder may act while the coordinator has another holder.
func TestLeaseModel_NoLateOperationAccepted(t *testing.T) {
	found := explore(defects{}, *explorationDepth)
	if found.violation != "" {
		t.Fatalf("%s\nafter %v", found.violation, found.path)
	}
	t.Logf("%d states within %d steps, a late operation rejected in %d of them", found.states, *explorationDepth, found.rejected)
	if found.states < 1000 || found.rejected == 0 {
		t.Errorf("only %d states, %d with a rejected late operation", found.states, found.rejected)
	}
}

// interruption is what happens between the check for a late operation and its arrival.
type interruption int

const (
	uninterrupted interruption = iota
	stateLost
	receiverRestarted
	receiverRestartedAfterLoss
)

// runLateOperation runs the critical case: holder 0 checks its lease and is paused; holder 1 is granted the lease and sends an operation;
// the receiver may restart; holder 0 resumes and sends its operation. With overrunMs, holder 0 isn't paused but checks its lease late.
func runLateOperation(d defects, between interruption) (violation string, m *model) {
	defer func() {
		if failure := recover(); failure != nil { // a failed invariant panics in a debug build
			violation = fmt.Sprint(failure)
		}
	}()
	m = newModel(d)
	m.grantToHolder0()
	if d.overrunMs == 0 {
		m.step(step{stepPause, 0})
	}
	if between == stateLost {
		m.step(step{kind: stepLoseState})
	}
	m.step(step{kind: stepTick})
	m.step(step{kind: stepTick})
	if d.overrunMs > 0 {
		m.step(step{stepCheck, 0})
	}
	m.deliverLatest(requestMessage, 1)
	m.deliverLatest(responseMessage, 1)
	m.step(step{stepCheck, 1})
	m.step(step{stepSend, 1})
	m.deliverLatest(operationMessage, 1)
	if between == receiverRestartedAfterLoss {
		m.step(step{kind: stepLoseState})
	}
	if between == receiverRestarted || between == receiverRestartedAfterLoss {
		m.step(step{kind: stepRestart})
		m.deliverLatest(queryMessage, 0)
		m.deliverLatest(queryMessage, 0)
	}
	if m.paused[0] {
		m.step(step{stepResume, 0})
	}
	m.deliverLatest(operationMessage, 0)
	return m.violation, m
}

func TestLeaseModel_SeededDefectsAreFound(t *testing.T) {
	for name, test := range map[string]struct {
		defects defects
		between interruption
		want    string
	}{
		"receiver accepts every operation":         {defects{receiverAcceptsAll: true}, uninterrupted, "was accepted after one under"},
		"receiver loses its tokens in a restart":   {defects{receiverForgets: true}, receiverRestarted, "was accepted after one under"},
		"receiver isn't informed of the new epoch": {defects{reportsLatestGrant: true}, receiverRestartedAfterLoss, "was accepted after one under"},
		"holder acts beyond the end of its lease":  {defects{overrunMs: 4}, uninterrupted, "may act under"},
		"epoch isn't increased":                    {defects{epochReused: true}, stateLost, "one fencing token, one holder"},
	} {
		t.Run(name, func(t *testing.T) {
			if violation, _ := runLateOperation(test.defects, test.between); !strings.Contains(violation, test.want) {
				t.Errorf("defect not found: %q", violation)
			}
			violation, m := runLateOperation(defects{}, test.between)
			if violation != "" || m.lateRejected != 1 {
				t.Errorf("without the defect: %q, %d late operations rejected", violation, m.lateRejected)
			}
			if _, valid := m.holders[0].Valid(); valid {
				t.Error("the resumed holder's lease is still valid")
			}
		})
	}
}
