// Package switchover implements the logic of a planned change of a replica set's primary. Executor runs at the lease holder: it decides the
// steps, and has each step recorded in the replicated state before it is performed, so that the next lease holder knows where to resume.
// WriteHolds runs at a router and limits how long it holds writes. OrderState is the state that a process keeps between orders.
//
// The package does no I/O and starts no timers; callers pass the time in and execute its decisions. Writes are never held for longer than
// a router's own limit, even if the lease holder fails.
//
// If a step of a former lease holder arrives late, it could release writes to a primary that has stepped down, or promote a second member.
// Therefore each step carries the fencing token under which its sender holds the lease. A router that has seen a higher token refuses the
// step; so does a member, which checks its guard row in the same transaction as the step.
//
// The cluster may also replace a primary by itself, and does so under no token. Therefore a promotion commits only after all other members of
// the group have answered that they accept no writes.
package switchover

import (
	"fmt"
	"strings"

	"wayloft/internal/decide/leasestate"
)

// LeasePrefix is the prefix of the names of switchover leases, which are used on the wire and in stored data.
const LeasePrefix = "handover/"

// LeaseName returns the name of the switchover lease of a group.
func LeaseName(group int) string { return fmt.Sprintf("%s%d", LeasePrefix, group) }

// RankBits is the number of low-order bits of a guard row's number that contain the rank of a step; the fencing token is above them.
const RankBits = 10

// minFreeRanks is the number of ranks that must be left under a fencing token to start another order under it.
const minFreeRanks = 100

// Settings are the time limits of a switchover, in ms.
type Settings struct {
	MaxHoldMs      float64 // the longest time for which a router holds writes
	DrainTimeoutMs float64 // the part of MaxHoldMs spent waiting for running writes to end
	StepTimeoutMs  float64 // for one member step or one command to a router
}

// Action is the kind of a Decision.
type Action int

// Actions for the caller to perform.
const (
	FindPrimary   Action = iota // determine which member of the group is primary, then call PrimaryFound
	RecordStep                  // record Text in the replicated state, then call StepRecorded
	CommandRouter               // send Command to the router Target, then call RouterAnswered
	CommandMember               // run Step at the member Target under the fencing token, then call StepDone
	EndOrder                    // the order has ended with the outcome Text; OrderState.UnreportedEnd returns it for the coordinator
)

// RouterCommand is a command to a router.
type RouterCommand int

// Router commands.
const (
	HoldWrites    RouterCommand = iota // hold new writes of the group
	CountWrites                        // report the number of running writes
	ReleaseWrites                      // stop holding writes
)

// MemberStep is a step performed at a member. The values appear in the audit log and in the names of failpoints.
type MemberStep string

// Member steps. They are idempotent, and have no effect at a member that has seen a higher fencing token.
const (
	FenceMember MemberStep = "bar"   // refuse lower fencing tokens from now on; no other effect
	StepDown    MemberStep = "yield" // stop accepting writes
	Promote     MemberStep = "take"  // accept writes
)

// Outcome is the outcome of a member step.
type Outcome int

// Outcomes of a member step. The numeric values appear in the audit log.
const (
	Succeeded  Outcome = iota // the member performed the step
	Fenced                    // the member has seen a higher fencing token
	Failed                    // the step had no effect
	Unknown                   // the step may have had an effect
	Superseded                // a promotion had no effect, since another member accepts writes
)

// Decision is one action for the caller to perform. Only the fields that belong to its Action are set.
type Decision struct {
	Action    Action
	Text      string        // RecordStep, EndOrder
	Target    string        // CommandRouter: a router; CommandMember: a member
	Command   RouterCommand // CommandRouter
	MaxHoldMs float64       // CommandRouter: the longest time for which the router holds writes
	Step      MemberStep    // CommandMember
	Rank      uint64        // CommandMember: orders the steps under one fencing token; the member refuses a lower rank like a lower token
}

// Phase is a phase of a switchover. A step recorded in the replicated state consists of this text, the old and the new primary.
type Phase string

// Phases. A phase is recorded before its actions are performed, so a recorded phase may or may not have been completed.
const (
	phaseFind     Phase = ""        // the current primary is not known yet; never recorded
	phaseHold     Phase = "hold"    // routers hold new writes while running ones end
	phaseStepDown Phase = "yield"   // the old primary steps down
	phasePromote  Phase = "take"    // the new primary is promoted
	phaseRelease  Phase = "release" // routers release writes
	phaseRollback Phase = "back"    // undo: the new primary steps down, the old one is promoted again, routers release writes
	phaseAbandon  Phase = "leave"   // undo before any member has been commanded: routers release writes
)

// UnknownFormatError means that an order or a recorded step has a format unknown to this build, because a later build wrote it.
type UnknownFormatError struct {
	Kind string // "order" or "step"
	Text string
}

// Error returns a text that is recorded as the outcome of the order. It is stored data, so it must not change.
func (e *UnknownFormatError) Error() string {
	return fmt.Sprintf("the %s %q is none that this build knows", e.Kind, e.Text)
}

const orderPrefix = "to "

// FormatOrder returns the text of an order to make a member the primary.
func FormatOrder(newPrimary string) string { return orderPrefix + newPrimary }

func parseOrder(text string) (newPrimary string, err error) {
	newPrimary, found := strings.CutPrefix(text, orderPrefix)
	if !found || newPrimary == "" {
		return "", &UnknownFormatError{Kind: "order", Text: text}
	}
	return newPrimary, nil
}

// recordedStep is a parsed step of the replicated state.
type recordedStep struct {
	phase                  Phase
	oldPrimary, newPrimary string
}

func (s recordedStep) String() string {
	return string(s.phase) + " " + s.oldPrimary + " " + s.newPrimary
}

// parseStep parses a recorded step of an order to make newPrimary the primary.
func parseStep(step leasestate.Step, newPrimary string) (recordedStep, error) {
	words := strings.Fields(step.Text)
	if len(words) != 3 || words[2] != newPrimary {
		return recordedStep{}, &UnknownFormatError{Kind: "step", Text: step.Text}
	}
	parsed := recordedStep{phase: Phase(words[0]), oldPrimary: words[1], newPrimary: words[2]}
	switch parsed.phase {
	case phaseHold, phaseStepDown, phasePromote, phaseRelease, phaseRollback, phaseAbandon:
		return parsed, nil
	}
	return recordedStep{}, &UnknownFormatError{Kind: "step", Text: step.Text}
}
