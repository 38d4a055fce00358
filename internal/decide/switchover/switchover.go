// Package switchover decides a planned change of a replica set's primary. Executor is the lease holder's part: what is done step by
// step, each step recorded in the replicated state before it is taken, so that the next lease holder knows where the last one was.
// WriteHolds is a router's part: how long it holds writes when asked to. OrderState is what a process remembers between orders.
//
// The package does no I/O and starts no timers; callers pass the time in and carry out its decisions. It never has writes held for
// longer than a router's own bound, whatever becomes of the lease holder.
//
// A former lease holder whose step arrives late could release writes to a primary that has stepped down, or promote a second member.
// So each step carries the fencing token of its holder's grant: a router that has seen a higher token refuses it, and so does a
// member, by its guard row, in the same transaction as the step.
package switchover

import (
	"fmt"
	"strings"

	"wayloft/internal/decide/leasestate"
)

// LeasePrefix starts the names of switchover leases, as they are on the wire and in stored data.
const LeasePrefix = "handover/"

// LeaseName gives the name of a group's switchover lease.
func LeaseName(group int) string { return fmt.Sprintf("%s%d", LeasePrefix, group) }

// RankBits is how many bits of a guard row's number, below the fencing token, hold a step's rank.
const RankBits = 10

// minFreeRanks is how many ranks must be left under a fencing token for another order to be started under it.
const minFreeRanks = 100

// Settings are the bounds of a switchover. Times are ms.
type Settings struct {
	MaxHoldMs      float64 // the longest that a router holds writes
	DrainTimeoutMs float64 // the part of MaxHold for which running writes are waited for
	StepTimeoutMs  float64 // for one step at a member, or one command to a router
}

// Action is the kind of a Decision.
type Action int

// Actions for the caller to carry out.
const (
	FindPrimary   Action = iota // ask the group's members which one is primary, then call PrimaryFound
	RecordStep                  // record Text in the replicated state, then call StepRecorded
	CommandRouter               // send Command to the router Target, then call RouterAnswered
	CommandMember               // have the member Target take Step under the fencing token, then call StepDone
	EndOrder                    // the order has ended as Text says; OrderState.UnreportedEnd gives it for the coordinator
)

// RouterCommand is what a router is asked to do.
type RouterCommand int

// Commands to routers.
const (
	HoldWrites    RouterCommand = iota // hold new writes of the group
	CountWrites                        // tell how many writes are running
	ReleaseWrites                      // hold writes no longer
)

// MemberStep is what a member is asked to do. The values are part of the audit log and of failpoints' names.
type MemberStep string

// Steps at members. Each may be repeated, and has no effect where the member has seen a higher fencing token.
const (
	FenceMember MemberStep = "bar"   // refuse lower fencing tokens from now on, nothing else
	StepDown    MemberStep = "yield" // accept no more writes
	Promote     MemberStep = "take"  // accept writes
)

// Outcome is how a step at a member ended.
type Outcome int

// Outcomes of a step. The numbers are part of the audit log.
const (
	Succeeded Outcome = iota // the member took the step
	Fenced                   // the member has seen a higher fencing token
	Failed                   // it had no effect
	Unknown                  // it may have had an effect
)

// Decision is one thing for the caller to do; only the fields of its Action are set.
type Decision struct {
	Action    Action
	Text      string        // RecordStep, EndOrder
	Target    string        // CommandRouter: a router; CommandMember: a member
	Command   RouterCommand // CommandRouter
	MaxHoldMs float64       // CommandRouter: the longest that the router holds writes, in ms
	Step      MemberStep    // CommandMember
	Rank      uint64        // CommandMember: orders steps under one fencing token; the member refuses a lower rank as it does a lower token
}

// Phase is where a switchover is. Its text is how steps start in the replicated state, followed by the old and the new primary.
type Phase string

// Phases. A recorded phase says what is done next, so it may have been carried out or not.
const (
	phaseFind     Phase = ""        // which member is primary is not known yet; never recorded
	phaseHold     Phase = "hold"    // routers hold new writes, running ones end
	phaseStepDown Phase = "yield"   // the old primary steps down
	phasePromote  Phase = "take"    // the new primary is promoted
	phaseRelease  Phase = "release" // routers release writes
	phaseRollback Phase = "back"    // undone: the new primary steps down, the old one is promoted again, routers release writes
	phaseAbandon  Phase = "leave"   // undone before anything was asked of a member: routers release writes
)

// UnknownFormError tells of an order or a step in a form that this build doesn't know: a later build has written it.
type UnknownFormError struct {
	Kind string // "order" or "step"
	Text string
}

// Error is recorded as the end of the order, so its text is stored data.
func (e *UnknownFormError) Error() string {
	return fmt.Sprintf("the %s %q is none that this build knows", e.Kind, e.Text)
}

const orderPrefix = "to "

// FormatOrder gives the text of an order that makes a member the primary.
func FormatOrder(newPrimary string) string { return orderPrefix + newPrimary }

func parseOrder(text string) (newPrimary string, err error) {
	newPrimary, found := strings.CutPrefix(text, orderPrefix)
	if !found || newPrimary == "" {
		return "", &UnknownFormError{Kind: "order", Text: text}
	}
	return newPrimary, nil
}

// recordedStep is a step as the replicated state has it.
type recordedStep struct {
	phase                  Phase
	oldPrimary, newPrimary string
}

func (s recordedStep) String() string {
	return string(s.phase) + " " + s.oldPrimary + " " + s.newPrimary
}

// parseStep reads a step of an order that makes newPrimary the primary.
func parseStep(step leasestate.Step, newPrimary string) (recordedStep, error) {
	words := strings.Fields(step.Text)
	if len(words) != 3 || words[2] != newPrimary {
		return recordedStep{}, &UnknownFormError{Kind: "step", Text: step.Text}
	}
	parsed := recordedStep{phase: Phase(words[0]), oldPrimary: words[1], newPrimary: words[2]}
	switch parsed.phase {
	case phaseHold, phaseStepDown, phasePromote, phaseRelease, phaseRollback, phaseAbandon:
		return parsed, nil
	}
	return recordedStep{}, &UnknownFormError{Kind: "step", Text: step.Text}
}
