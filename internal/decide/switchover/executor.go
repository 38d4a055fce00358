package switchover

import (
	"math"
	"slices"

	"wayloft/internal/decide/leasestate"
)

const (
	countIntervalMs       = 10.0 // ms between two commands to a router whose writes are still running
	maxCommandFailures    = 3    // of a command to one router, which is passed over from then on
	maxPriorFailures      = 6    // of the command before ReleaseWrites, beyond which a router isn't asked to release
	maxRestoreAttempts    = 3    // of promoting the old primary again
	promoteTimeoutFactor  = 4.0  // times MaxHold since the start, after which a promotion of unknown outcome is rolled back
	rollbackTimeoutFactor = 8.0  // times MaxHold since the start, after which an operator must decide
	retryDelayDivisor     = 4.0  // a step of unknown outcome is repeated after StepTimeout divided by this
	stageNotRecorded      = -1   // the phase is being recorded: nothing of it may be done yet
	stageFirst            = 0
	stageSecond           = 1
	reasonUnrecorded      = "taken back" // why a rollback goes on, where its first holder can't be asked
)

// Executor carries out one order. Inputs update its state, Next gives its decisions. It is not safe for concurrent use.
type Executor struct {
	settings               Settings
	now                    float64
	startedAt              float64
	oldPrimary, newPrimary string
	phase                  Phase
	stage                  int     // how far the phase has come: stageNotRecorded, then the steps at members done
	stageStarted           float64 // when the stage started, or its last attempt ended
	awaitingAnswer         bool    // an answer of the caller
	attempts               int     // of the stage's step, that ended with an unknown outcome
	rank                   uint64
	mayHaveSteppedDown     bool // a member may have been asked to step down, by this lease holder or one before
	routers                map[string]*routerState
	decisions              []Decision
	reason                 string // why it is undone
	finished               bool
	outcome                string // how the order ended; empty: another lease holder carries it out
}

// routerState is what the executor knows of one router.
type routerState struct {
	command        RouterCommand // the last
	commandedAt    float64
	awaitingAnswer bool // its answer
	holding        bool
	running        int // writes
	failures       int // of the command, in a row
}

// NewExecutor continues an order from its recorded steps, at this time in ms. The rank is that of the last step under the holder's
// fencing token: a step that was sent and not answered may still arrive after later ones of the same holder, and must be refused as a
// former holder's is. An order or a step of a later build is an *UnknownFormError.
func NewExecutor(settings Settings, order string, steps []leasestate.Step, rank uint64, now float64) (*Executor, error) {
	newPrimary, err := parseOrder(order)
	if err != nil {
		return nil, err
	}
	e := &Executor{settings: settings, now: now, startedAt: now, newPrimary: newPrimary, rank: rank, routers: map[string]*routerState{}}
	if len(steps) == 0 {
		e.decisions = append(e.decisions, Decision{Action: FindPrimary})
		e.awaitingAnswer = true
		return e, nil
	}
	last, err := parseStep(steps[len(steps)-1], newPrimary)
	if err != nil {
		return nil, err
	}
	e.resume(last)
	return e, nil
}

// resume continues after the last recorded step, which may have been carried out or not.
func (e *Executor) resume(last recordedStep) {
	e.oldPrimary = last.oldPrimary
	switch last.phase {
	case phaseHold: // nothing was asked of the members
		e.reason = "its owner was lost while writes were held"
		e.enterPhase(phaseAbandon)
		return
	case phaseRollback, phaseAbandon:
		e.reason = reasonUnrecorded
	}
	e.mayHaveSteppedDown = last.phase != phaseAbandon
	e.enterPhase(last.phase)
}

// Advance sets the time in ms; all that follows until the next call happens then.
func (e *Executor) Advance(now float64) {
	e.now = math.Max(e.now, now)
	e.advancePhase()
}

// PrimaryFound takes in which member accepts writes, or why that is not known.
func (e *Executor) PrimaryFound(member string, err error) {
	if e.phase != phaseFind || !e.awaitingAnswer {
		return
	}
	e.awaitingAnswer = false
	switch {
	case err != nil:
		e.endOrder("nothing was changed: " + err.Error())
	case member == e.newPrimary:
		e.endOrder("done: " + e.newPrimary + " is the primary already")
	default:
		e.oldPrimary = member
		e.enterPhase(phaseHold)
	}
}

// StepRecorded takes in whether a step was recorded; if not, this process no longer holds the lease.
func (e *Executor) StepRecorded(ok bool) {
	if e.stage != stageNotRecorded {
		return
	}
	if !ok {
		e.finished = true
		return
	}
	e.stage, e.awaitingAnswer, e.stageStarted = stageFirst, false, e.now
	e.advancePhase()
}

// StepDone takes in how a step at a member ended, and why.
func (e *Executor) StepDone(outcome Outcome, reason string) {
	if !e.awaitingAnswer || e.stage == stageNotRecorded {
		return
	}
	e.awaitingAnswer = false
	switch outcome {
	case Fenced:
		e.finished = true // another process holds the lease now
	case Succeeded:
		e.nextStage()
	default:
		e.handleUnsuccessfulStep(outcome, reason)
	}
	e.advancePhase()
}

// handleUnsuccessfulStep undoes the switchover, gives up, or has the step repeated, which does no harm.
func (e *Executor) handleUnsuccessfulStep(outcome Outcome, reason string) {
	elapsed := e.now - e.startedAt
	switch {
	case outcome == Failed && (e.phase == phaseStepDown || e.phase == phasePromote):
		e.undo(reason)
	case e.phase == phasePromote && elapsed > promoteTimeoutFactor*e.settings.MaxHoldMs, e.phase == phaseStepDown && elapsed > e.settings.MaxHoldMs:
		e.undo("not done in time: " + reason)
	case e.phase == phaseRollback && e.stage == stageFirst && elapsed > rollbackTimeoutFactor*e.settings.MaxHoldMs:
		// Whether the new primary was promoted only it can tell: promoting the old one again might make two that accept writes.
		e.endOrder("stuck: nobody can tell whether " + e.newPrimary + " takes writes, and " + e.oldPrimary + " takes none; an operator must look: " + reason)
	case e.phase == phaseRollback && e.stage == stageSecond && e.attempts >= maxRestoreAttempts: // all that can be done has been
		e.reason += "; " + reason
		e.nextStage()
	default:
		e.attempts++
		e.stageStarted = e.now
	}
}

func (e *Executor) nextStage() { e.stage, e.attempts = e.stage+1, 0 }

// undo takes back what was done, if anything was.
func (e *Executor) undo(reason string) {
	e.reason = reason
	if e.mayHaveSteppedDown {
		e.enterPhase(phaseRollback)
	} else {
		e.enterPhase(phaseAbandon)
	}
}

func (e *Executor) endOrder(outcome string) {
	if e.finished {
		return
	}
	e.finished, e.outcome = true, outcome
	e.decisions = append(e.decisions, Decision{Action: EndOrder, Text: outcome})
}

// enterPhase has a phase recorded; it starts once it is.
func (e *Executor) enterPhase(phase Phase) {
	e.phase, e.stage, e.awaitingAnswer, e.attempts = phase, stageNotRecorded, true, 0
	step := recordedStep{phase: phase, oldPrimary: e.oldPrimary, newPrimary: e.newPrimary}
	e.decisions = append(e.decisions, Decision{Action: RecordStep, Text: step.String()})
}

// advancePhase goes on as far as possible.
func (e *Executor) advancePhase() {
	if e.finished || e.stage == stageNotRecorded || e.awaitingAnswer && (e.phase == phaseStepDown || e.phase == phasePromote) {
		return
	}
	switch e.phase {
	case phaseHold:
		if e.writesDrained() {
			e.enterPhase(phaseStepDown)
		}
	case phaseStepDown:
		e.advanceStepDown()
	case phasePromote:
		e.advancePromote()
	case phaseRelease:
		if e.writesReleased() {
			e.endOrder("done: " + e.newPrimary + " is the primary in place of " + e.oldPrimary)
		}
	case phaseRollback:
		e.advanceRollback()
	case phaseAbandon:
		if e.writesReleased() {
			e.endReverted()
		}
	}
}

func (e *Executor) advanceStepDown() {
	switch e.stage {
	case stageFirst: // a former lease holder's promotion may be on its way to it
		e.commandMember(e.newPrimary, FenceMember)
	case stageSecond:
		e.commandMember(e.oldPrimary, StepDown)
	default:
		e.enterPhase(phasePromote)
	}
}

func (e *Executor) advancePromote() {
	switch e.stage {
	case stageFirst: // once more, for a lease holder that resumes here: it does no harm
		e.commandMember(e.oldPrimary, StepDown)
	case stageSecond:
		e.commandMember(e.newPrimary, Promote)
	default:
		e.enterPhase(phaseRelease)
	}
}

func (e *Executor) advanceRollback() {
	switch e.stage {
	case stageFirst: // it may have been promoted, also by a former lease holder's step that is still on its way
		e.commandMember(e.newPrimary, StepDown)
	case stageSecond:
		e.commandMember(e.oldPrimary, Promote)
	default:
		if e.writesReleased() {
			e.endReverted()
		}
	}
}

func (e *Executor) endReverted() {
	e.endOrder("taken back, " + e.oldPrimary + " is the primary: " + e.reason)
}

// commandMember has a member take a step, unless its answer is awaited or the pause after an attempt isn't over.
func (e *Executor) commandMember(member string, step MemberStep) {
	if e.awaitingAnswer || e.attempts > 0 && e.now-e.stageStarted < e.settings.StepTimeoutMs/retryDelayDivisor {
		return
	}
	e.awaitingAnswer = true
	e.mayHaveSteppedDown = e.mayHaveSteppedDown || step == StepDown
	if e.attempts == 0 {
		e.rank++
	}
	e.decisions = append(e.decisions, Decision{Action: CommandMember, Target: member, Step: step, Rank: e.rank})
}

// Finished tells whether nothing is left to do: the order has ended, or another process carries it out.
func (e *Executor) Finished() bool { return e.finished && len(e.decisions) == 0 }

// Phase tells where the switchover is, for people.
func (e *Executor) Phase() Phase { return e.phase }

// Next gives the next decision; false: none is left.
func (e *Executor) Next() (Decision, bool) {
	if len(e.decisions) == 0 {
		return Decision{}, false
	}
	d := e.decisions[0]
	e.decisions = slices.Delete(e.decisions, 0, 1)
	return d, true
}
