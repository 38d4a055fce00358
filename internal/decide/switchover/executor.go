package switchover

import (
	"math"
	"slices"

	"wayloft/internal/decide/leasestate"
)

const (
	countIntervalMs       = 10.0 // minimum ms between two commands to a router whose writes are still running
	maxCommandFailures    = 3    // consecutive failures of a command, after which a router is skipped
	maxPriorFailures      = 6    // consecutive failures of the previous command, after which a router is not sent ReleaseWrites
	promoteTimeoutFactor  = 4.0  // times MaxHoldMs since the start, after which a promotion of unknown outcome is rolled back
	rollbackTimeoutFactor = 8.0  // times MaxHoldMs since the start, after which an operator must intervene
	retryDelayDivisor     = 4.0  // an unsuccessful step is retried after StepTimeoutMs divided by this
	stageNotRecorded      = -1   // the phase is being recorded; none of its actions may be performed yet
	stageFirst            = 0
	stageSecond           = 1
	reasonUnrecorded      = "taken back" // reason for an undo that a former lease holder began: recorded steps don't contain the reason
)

// Executor executes one order. Inputs update its state, and Next returns its decisions. It is not safe for concurrent use.
type Executor struct {
	settings               Settings
	now                    float64
	startedAt              float64
	oldPrimary, newPrimary string
	phase                  Phase
	stage                  int     // progress within the phase: stageNotRecorded, then the number of completed member steps
	stageStarted           float64 // when the phase was recorded, or the last unsuccessful attempt ended
	awaitingAnswer         bool    // of the caller, to the latest decision about the members or the replicated state
	attempts               int     // unsuccessful attempts at the step of this stage
	rank                   uint64
	mayHaveSteppedDown     bool // this or a former lease holder may have commanded a member to step down
	routers                map[string]*routerState
	decisions              []Decision
	reason                 string // why the switchover is undone
	superseded             bool   // the cluster has made another member the primary meanwhile
	finished               bool
	outcome                string // how the order ended; empty: another lease holder executes it
}

// routerState is the state of one router as known to the executor.
type routerState struct {
	command        RouterCommand // the latest one
	commandedAt    float64
	awaitingAnswer bool // to command
	holding        bool
	running        int // running writes, as last reported
	failures       int // consecutive failures of command
}

// NewExecutor returns an Executor that continues an order from its recorded steps, starting at time now in ms. rank is the rank of the last
// step under the lease holder's fencing token: a step that was sent but not answered may arrive after later steps of the same holder, and
// members must refuse it like a step of a former holder. It returns an *UnknownFormatError for an order or step written by a later build.
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

// resume continues from the last recorded step, which may or may not have been performed.
func (e *Executor) resume(last recordedStep) {
	e.oldPrimary = last.oldPrimary
	switch last.phase {
	case phaseHold: // no member has been commanded yet
		e.reason = "its owner was lost while writes were held"
		e.enterPhase(phaseAbandon)
		return
	case phaseRollback, phaseAbandon:
		e.reason = reasonUnrecorded
	}
	e.mayHaveSteppedDown = last.phase != phaseAbandon
	e.enterPhase(last.phase)
}

// Advance sets the current time in ms, which applies to all inputs until the next call. Time never goes backwards.
func (e *Executor) Advance(now float64) {
	e.now = math.Max(e.now, now)
	e.advancePhase()
}

// PrimaryFound records which member is primary, or why that could not be determined.
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

// StepRecorded processes the result of a RecordStep decision. If the step was not recorded, this process stops executing the order, because
// it may no longer hold the lease.
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

// StepDone records the outcome of a member step, and the reason for it.
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
	case Superseded:
		e.handleSuperseded(reason)
	default:
		e.handleUnsuccessfulStep(outcome, reason)
	}
	e.advancePhase()
}

// handleSuperseded undoes the switchover without promoting the old primary again: another member is the primary.
func (e *Executor) handleSuperseded(reason string) {
	if e.phase != phaseRollback {
		e.undo(reason)
		return
	}
	e.superseded = true
	e.reason += "; " + reason
	e.nextStage()
}

// handleUnsuccessfulStep undoes the switchover, gives up, or schedules a retry of the step. Steps are idempotent.
func (e *Executor) handleUnsuccessfulStep(outcome Outcome, reason string) {
	elapsed := e.now - e.startedAt
	switch {
	case outcome == Failed && (e.phase == phaseStepDown || e.phase == phasePromote):
		e.undo(reason)
	case e.phase == phasePromote && elapsed > promoteTimeoutFactor*e.settings.MaxHoldMs, e.phase == phaseStepDown && elapsed > e.settings.MaxHoldMs:
		e.undo("not done in time: " + reason)
	case e.phase == phaseRollback && e.stage == stageFirst && elapsed > rollbackTimeoutFactor*e.settings.MaxHoldMs:
		// Only the new primary knows whether it was promoted. Promoting the old primary again could result in two members that accept writes.
		e.endOrder("stuck: nobody can tell whether " + e.newPrimary + " takes writes, and " + e.oldPrimary + " takes none; an operator must look: " + reason)
	case e.phase == phaseRollback && elapsed > rollbackTimeoutFactor*e.settings.MaxHoldMs:
		e.endOrder("stuck: nobody can tell which member takes writes; an operator must look: " + reason)
	default:
		e.attempts++
		e.stageStarted = e.now
	}
}

func (e *Executor) nextStage() { e.stage, e.attempts = e.stage+1, 0 }

// undo rolls the switchover back, or abandons it if no member can have been commanded to step down.
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

// enterPhase requests that a phase be recorded. The phase starts once that is done.
func (e *Executor) enterPhase(phase Phase) {
	e.phase, e.stage, e.awaitingAnswer, e.attempts = phase, stageNotRecorded, true, 0
	step := recordedStep{phase: phase, oldPrimary: e.oldPrimary, newPrimary: e.newPrimary}
	e.decisions = append(e.decisions, Decision{Action: RecordStep, Text: step.String()})
}

// advancePhase makes as much progress in the current phase as possible.
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
	case stageFirst: // a promotion sent by a former lease holder may still arrive there
		e.commandMember(e.newPrimary, FenceMember)
	case stageSecond:
		e.commandMember(e.oldPrimary, StepDown)
	default:
		e.enterPhase(phasePromote)
	}
}

func (e *Executor) advancePromote() {
	switch e.stage {
	case stageFirst: // repeated for a lease holder that resumes here; the step is idempotent
		e.commandMember(e.oldPrimary, StepDown)
	case stageSecond:
		e.commandMember(e.newPrimary, Promote)
	default:
		e.enterPhase(phaseRelease)
	}
}

func (e *Executor) advanceRollback() {
	switch e.stage {
	case stageFirst: // it may have been promoted, possibly by a step of a former lease holder that is still in flight
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
	if e.superseded {
		e.endOrder("taken back, the cluster has made another member the primary: " + e.reason)
		return
	}
	e.endOrder("taken back, " + e.oldPrimary + " is the primary: " + e.reason)
}

// commandMember issues a step to a member, unless an answer is pending or the delay after an unsuccessful attempt has not elapsed.
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

// Finished reports whether nothing is left to do: the order has ended, or another process executes it, and Next has returned all decisions.
func (e *Executor) Finished() bool { return e.finished && len(e.decisions) == 0 }

// Phase returns the current phase of the switchover, for diagnostics.
func (e *Executor) Phase() Phase { return e.phase }

// Next returns the next decision, or false if there is none.
func (e *Executor) Next() (Decision, bool) {
	if len(e.decisions) == 0 {
		return Decision{}, false
	}
	d := e.decisions[0]
	e.decisions = slices.Delete(e.decisions, 0, 1)
	return d, true
}
