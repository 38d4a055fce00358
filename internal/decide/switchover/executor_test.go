package switchover

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"wayloft/internal/decide/leasestate"
)

// testingT is the common subset of *testing.T and *rapid.T that the helpers use.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

// cluster simulates a group of members, some routers and the recorded steps of one order, which is executed by successive lease holders.
type cluster struct {
	now       float64
	guardRows map[string]int // by member: the highest guard value seen, as guardValue returns it
	primary   map[string]bool
	silent    string // a member that doesn't answer whether it accepts writes; empty: none
	steps     []leasestate.Step
	outcome   string
	token     int
	executor  *Executor
	log       []string
}

var routers = []string{"r1", "r2"}

// startExecutor starts the executor of the next lease holder from the recorded steps.
func startExecutor(t testingT, c *cluster) {
	t.Helper()
	c.token++
	executor, err := NewExecutor(Settings{MaxHoldMs: 3000, DrainTimeoutMs: 1000, StepTimeoutMs: 300}, FormatOrder("m2"), c.steps, 0, c.now)
	if err != nil {
		t.Fatal(err)
	}
	c.executor = executor
	c.executor.SetRouters(routers)
}

func newCluster() *cluster {
	return &cluster{guardRows: map[string]int{}, primary: map[string]bool{"m1": true}}
}

// applyStep simulates a member that checks its guard row and performs a step. token is a guard value.
func (c *cluster) applyStep(member string, step MemberStep, token int) Outcome {
	if token < c.guardRows[member] {
		return Fenced
	}
	if outcome := c.confirmNoPrimary(member); step == Promote && outcome != Succeeded {
		return outcome
	}
	c.guardRows[member] = token
	if step != FenceMember {
		c.primary[member] = step == Promote
	}
	c.log = append(c.log, string(step)+" "+member)
	return Succeeded
}

// confirmNoPrimary simulates the question to all members but one whether they accept writes.
func (c *cluster) confirmNoPrimary(except string) Outcome {
	for member, primary := range c.primary {
		if primary && member != except {
			return Superseded
		}
	}
	if c.silent != "" && c.silent != except {
		return Unknown
	}
	return Succeeded
}

// guardValue returns the number that a step presents to the guard row: the fencing token and the rank.
func (c *cluster) guardValue(d Decision) int { return c.token<<RankBits | int(d.Rank) }

// execute executes a decision without faults.
func (c *cluster) execute(d Decision) {
	c.log = append(c.log, fmt.Sprint(d.Action))
	switch d.Action {
	case FindPrimary:
		c.executor.PrimaryFound("m1", nil)
	case RecordStep:
		c.steps = append(c.steps, leasestate.Step{Text: d.Text})
		c.executor.StepRecorded(true)
	case CommandRouter:
		c.executor.RouterAnswered(d.Target, d.Command, true, 0)
	case CommandMember:
		c.executor.StepDone(c.applyStep(d.Target, d.Step, c.guardValue(d)), c.silent)
	case EndOrder:
		c.outcome, c.steps = d.Text, nil
	}
}

// maxRunSteps of 20 ms are longer than the time after which an order ends as stuck.
const maxRunSteps = 2000

// run executes decisions until the order has ended.
func (c *cluster) run(t testingT) {
	t.Helper()
	for range maxRunSteps {
		for d, more := c.executor.Next(); more; d, more = c.executor.Next() {
			c.execute(d)
		}
		if c.executor.Finished() {
			return
		}
		c.now += 20
		c.executor.Advance(c.now)
	}
	t.Fatal("the order did not end", c.executor.Phase(), c.log)
}

// primaries returns the sorted names of the members that accept writes.
func (c *cluster) primaries() (all []string) {
	for member, primary := range c.primary {
		if primary {
			all = append(all, member)
		}
	}
	slices.Sort(all)
	return all
}

// Without faults, an order ends with the new primary as the only member that accepts writes.
func TestExecutor_ChangesThePrimary(t *testing.T) {
	c := newCluster()
	startExecutor(t, c)
	c.run(t)
	if c.outcome != "done: m2 is the primary in place of m1" || !slices.Equal(c.primaries(), []string{"m2"}) {
		t.Errorf("%q, %v\n%v", c.outcome, c.primaries(), c.log)
	}
}

// A lease holder that resumes from any step recorded by a failed holder, whether that step was performed or not, ends with exactly one
// primary.
func TestExecutor_NextLeaseHolderResumesAtEachStep(t *testing.T) {
	for _, step := range []Phase{phaseHold, phaseStepDown, phasePromote, phaseRelease, phaseRollback, phaseAbandon} {
		for _, applied := range []bool{false, true} {
			c := newCluster()
			c.steps = []leasestate.Step{{Text: string(step) + " m1 m2"}}
			if step == phasePromote || step == phaseRelease || step == phaseStepDown && applied {
				c.primary["m1"] = false
			}
			if step == phaseRelease || step == phasePromote && applied {
				c.primary["m2"] = true
			}
			if step == phaseRollback && applied {
				c.primary["m1"] = false // it had stepped down before the rollback
			}
			c.token = 1
			startExecutor(t, c)
			c.run(t)
			want := "m2"
			if step == phaseHold || step == phaseRollback || step == phaseAbandon {
				want = "m1"
			}
			if !slices.Equal(c.primaries(), []string{want}) || c.outcome == "" {
				t.Errorf("%s, performed %v: %v accept writes, outcome %q\n%v", step, applied, c.primaries(), c.outcome, c.log)
			}
		}
	}
	var unknown *UnknownFormatError
	if _, err := NewExecutor(Settings{}, FormatOrder("m2"), []leasestate.Step{{Text: "unknown m1 m2"}}, 0, 0); !errors.As(err, &unknown) {
		t.Error("a step of a later build was accepted")
	}
	if _, err := NewExecutor(Settings{}, "unknown", nil, 0, 0); !errors.As(err, &unknown) {
		t.Error("an order of a later build was accepted")
	}
}

// The switchover waits for running writes until the drain timeout, but not for a router that can't be reached.
func TestExecutor_WaitsForRunningWritesWithinTheBound(t *testing.T) {
	timeOfFirstMemberCommand := func(answer func(c *cluster, d Decision)) float64 {
		c := newCluster()
		for startExecutor(t, c); c.now < 5000; c.now += 20 {
			c.executor.Advance(c.now)
			for d, more := c.executor.Next(); more; d, more = c.executor.Next() {
				switch d.Action {
				case CommandRouter:
					answer(c, d)
				case CommandMember:
					return c.now
				default:
					c.execute(d)
				}
			}
		}
		return c.now
	}
	commands := 0
	at := timeOfFirstMemberCommand(func(c *cluster, d Decision) {
		if d.Command == HoldWrites && d.MaxHoldMs != 3000 {
			t.Fatalf("router commanded to hold writes for %v ms", d.MaxHoldMs)
		}
		running := 3
		if c.now > 200 {
			running = 0
		}
		commands++
		c.executor.RouterAnswered(d.Target, d.Command, d.Target != "r2", running)
	})
	if at < 200 || at > 400 || commands > 30 {
		t.Errorf("continued after %v ms and %d router commands; the last write ended after 200 ms", at, commands)
	}
	if at := timeOfFirstMemberCommand(func(c *cluster, d Decision) { c.executor.RouterAnswered(d.Target, d.Command, true, 1) }); at < 1000 || at > 1200 {
		t.Errorf("a write that never ends delayed the switchover by %v ms, the drain timeout is 1,000 ms", at)
	}
}

// Under any combination of failures, lost or delayed steps, and lost lease holders whose last step is still in flight, two members never
// accept writes at the same time, the order ends, and if it succeeds the new primary is the only member that accepts writes.
func TestExecutor_NeverTwoPrimariesWhateverFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster()
		type delayedStep struct {
			member string
			step   MemberStep
			token  int
		}
		var inFlight []delayedStep
		deliver := func() {
			for _, delayed := range inFlight {
				c.applyStep(delayed.member, delayed.step, delayed.token)
			}
			inFlight = nil
		}
		startExecutor(t, c)
		holders := rapid.IntRange(1, 4).Draw(t, "holders")
		for n := 0; c.outcome == ""; n++ {
			if n > 3000 {
				t.Fatal("the order did not end", c.executor.Phase(), c.log)
			}
			if len(c.primaries()) > 1 {
				t.Fatal("two members accept writes", c.log)
			}
			if holders > 1 && rapid.IntRange(0, 12).Draw(t, "lose holder") == 0 {
				holders--
				startExecutor(t, c)
			}
			c.now += 20
			c.executor.Advance(c.now)
			d, more := c.executor.Next()
			if !more {
				if c.executor.Finished() { // fenced: the next lease holder takes over
					startExecutor(t, c)
				}
				continue
			}
			fault := rapid.IntRange(0, 9).Draw(t, "fault")
			switch {
			case d.Action == CommandMember && holders > 1 && fault == 0: // the step is sent, and no answer arrives
				inFlight = append(inFlight, delayedStep{d.Target, d.Step, c.guardValue(d)})
				c.executor.StepDone(Unknown, "lost")
			case d.Action == CommandMember && fault == 1:
				c.executor.StepDone(Failed, "no")
			case d.Action == CommandMember:
				if rapid.IntRange(0, 3).Draw(t, "deliver delayed steps") == 0 {
					deliver()
				}
				c.executor.StepDone(c.applyStep(d.Target, d.Step, c.guardValue(d)), "")
			case d.Action == CommandRouter && fault < 3:
				c.executor.RouterAnswered(d.Target, d.Command, false, 0)
			default:
				c.execute(d)
			}
		}
		if strings.HasPrefix(c.outcome, "done") && !slices.Equal(c.primaries(), []string{"m2"}) {
			t.Fatal(c.outcome, c.primaries(), c.log)
		}
		if accepting := c.primaries(); len(accepting) > 1 {
			t.Fatal("two members accept writes", c.log)
		}
	})
}

// Guards against two primaries after an undone switchover: once the cluster has made another member the primary by itself, neither the new
// nor the old primary is promoted, whenever that happened.
func TestExecutor_NoPromotionBesideAnother(t *testing.T) {
	for _, before := range []Phase{phasePromote, phaseRollback} {
		t.Run(string(before), func(t *testing.T) {
			c := newCluster()
			c.steps = []leasestate.Step{{Text: string(before) + " m1 m2"}}
			c.primary["m1"], c.primary["m3"] = false, true
			startExecutor(t, c)
			c.run(t)
			if !slices.Equal(c.primaries(), []string{"m3"}) || !strings.HasPrefix(c.outcome, "taken back, the cluster has made another member the primary: ") {
				t.Errorf("%v accept writes, outcome %q\n%v", c.primaries(), c.outcome, c.log)
			}
		})
	}
}

// While a member doesn't answer whether it accepts writes, no other is promoted. The order ends with the name of that member.
func TestExecutor_UnansweredQuestionKeepsItUndone(t *testing.T) {
	c := newCluster()
	c.steps = []leasestate.Step{{Text: string(phasePromote) + " m1 m2"}}
	c.primary["m1"], c.silent = false, "m3"
	startExecutor(t, c)
	c.run(t)
	if len(c.primaries()) > 0 || !strings.HasPrefix(c.outcome, "stuck: ") || !strings.Contains(c.outcome, "m3") {
		t.Errorf("%v accept writes, outcome %q\n%v", c.primaries(), c.outcome, c.log)
	}
}
