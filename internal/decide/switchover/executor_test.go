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

// testingT is what *testing.T and *rapid.T have in common.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

// cluster is a group of members, the replicated state's steps and some routers, for one order and its holders.
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

// startExecutor has the next lease holder carry the order out, from the steps that are recorded.
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

// applyStep has a member take a step under a fencing token, as its guard row and its own part have it.
func (c *cluster) applyStep(member string, step MemberStep, token int) Outcome {
	if token < c.guardRows[member] {
		return Fenced
	}
	c.guardRows[member] = token
	if step != FenceMember {
		c.primary[member] = step == Promote
	}
	c.log = append(c.log, string(step)+" "+member)
	return Succeeded
}

// guardValue is what a step shows to a guard row.
func (c *cluster) guardValue(d Decision) int { return c.token<<RankBits | int(d.Rank) }

// execute carries one decision out as it was meant to be.
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
		c.executor.StepDone(c.applyStep(d.Target, d.Step, c.guardValue(d)), "")
	case EndOrder:
		c.outcome, c.steps = d.Text, nil
	}
}

// run carries decisions out until the order has ended.
func (c *cluster) run(t testingT) {
	t.Helper()
	for range 1000 {
		for d, more := c.executor.Next(); more; d, more = c.executor.Next() {
			c.execute(d)
		}
		if c.executor.Finished() {
			return
		}
		c.now += 20
		c.executor.Advance(c.now)
	}
	t.Fatal("no end", c.executor.Phase(), c.log)
}

// primaries lists the members that accept writes.
func (c *cluster) primaries() (all []string) {
	for member, primary := range c.primary {
		if primary {
			all = append(all, member)
		}
	}
	slices.Sort(all)
	return all
}

// An order without faults ends with the new primary alone accepting writes.
func TestExecutor_ChangesThePrimary(t *testing.T) {
	c := newCluster()
	startExecutor(t, c)
	c.run(t)
	if c.outcome != "done: m2 is the primary in place of m1" || !slices.Equal(c.primaries(), []string{"m2"}) {
		t.Errorf("%q, %v\n%v", c.outcome, c.primaries(), c.log)
	}
}

// A lease holder that finds a step recorded by one that was lost, before or after it took the step, ends with one primary.
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
				c.primary["m1"] = false // it had yielded before it was taken back
			}
			c.token = 1
			startExecutor(t, c)
			c.run(t)
			want := "m2"
			if step == phaseHold || step == phaseRollback || step == phaseAbandon {
				want = "m1"
			}
			if !slices.Equal(c.primaries(), []string{want}) || c.outcome == "" {
				t.Errorf("%s, taken %v: %v accept writes, %q\n%v", step, applied, c.primaries(), c.outcome, c.log)
			}
		}
	}
	var unknown *UnknownFormError
	if _, err := NewExecutor(Settings{}, FormatOrder("m2"), []leasestate.Step{{Text: "leap m1 m2"}}, 0, 0); !errors.As(err, &unknown) {
		t.Error("a step of a later build was passed over")
	}
	if _, err := NewExecutor(Settings{}, "away", nil, 0, 0); !errors.As(err, &unknown) {
		t.Error("an order of a later build was taken")
	}
}

// Running writes are waited for until the drain timeout; a router that can't be reached is not.
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
			t.Fatalf("asked to hold for %v", d.MaxHoldMs)
		}
		running := 3
		if c.now > 200 {
			running = 0
		}
		commands++
		c.executor.RouterAnswered(d.Target, d.Command, d.Target != "r2", running)
	})
	if at < 200 || at > 400 || commands > 30 {
		t.Errorf("went on after %v ms and %d commands; the last write ended after 200", at, commands)
	}
	if at := timeOfFirstMemberCommand(func(c *cluster, d Decision) { c.executor.RouterAnswered(d.Target, d.Command, true, 1) }); at < 1000 || at > 1200 {
		t.Errorf("a write that never ends held it up for %v ms, 1,000 were said", at)
	}
}

// Whatever fails, is lost or comes late, and however often the lease holder is lost, with its last step still in flight: two members
// never accept writes, and the last lease holder ends with one that does.
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
				t.Fatal("no end", c.executor.Phase(), c.log)
			}
			if len(c.primaries()) > 1 {
				t.Fatal("two accept writes", c.log)
			}
			if holders > 1 && rapid.IntRange(0, 12).Draw(t, "lost") == 0 {
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
			how := rapid.IntRange(0, 9).Draw(t, "how")
			switch {
			case d.Action == CommandMember && holders > 1 && how == 0: // it is sent, and no answer comes
				inFlight = append(inFlight, delayedStep{d.Target, d.Step, c.guardValue(d)})
				c.executor.StepDone(Unknown, "lost")
			case d.Action == CommandMember && how == 1:
				c.executor.StepDone(Failed, "no")
			case d.Action == CommandMember:
				if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
					deliver()
				}
				c.executor.StepDone(c.applyStep(d.Target, d.Step, c.guardValue(d)), "")
			case d.Action == CommandRouter && how < 3:
				c.executor.RouterAnswered(d.Target, d.Command, false, 0)
			default:
				c.execute(d)
			}
		}
		if strings.HasPrefix(c.outcome, "done") && !slices.Equal(c.primaries(), []string{"m2"}) {
			t.Fatal(c.outcome, c.primaries(), c.log)
		}
		if accepting := c.primaries(); len(accepting) > 1 {
			t.Fatal("two accept writes", c.log)
		}
	})
}
