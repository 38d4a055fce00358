package router

import "math"

// Never is the time of an event that has not happened, and the position of a report that told none.
var Never = math.Inf(-1)

// Outcome is how an attempt or a health check ended.
type Outcome int

// The outcomes. Of an attempt, NotSent and ConnectFailed prove that it did not run, and so do Overloaded and Misrouted;
// after ServerError, TimedOut, Reset and Canceled it may have run.
const (
	Succeeded     Outcome = iota // the member did what was asked
	ServerError                  // the member answered with an error
	Overloaded                   // the member rejected it as one too many
	TimedOut                     // no answer came in time
	ConnectFailed                // no connection to the member could be opened
	Reset                        // the connection broke after the request had been written
	Canceled                     // taken back by a CancelAttempt decision
	NotSent                      // ended before its last byte was written, for a cause on this host
	Misrouted                    // the member is not the primary, or lags too far behind for this read
)

// isAnswer tells whether the outcome is an answer of the member itself, whatever it said.
func (o Outcome) isAnswer() bool {
	return o == Succeeded || o == ServerError || o == Overloaded || o == Misrouted
}

// mayHaveRun tells whether an attempt with this outcome may have taken effect though it did not succeed.
func (o Outcome) mayHaveRun() bool {
	return o == ServerError || o == TimedOut || o == Reset || o == Canceled
}

// Role is what an answer or a health check says of the member that gave it.
type Role int

// The roles of a member in its group.
const (
	RoleUnknown Role = iota // nothing was told
	Primary
	Replica
)

// State is what the endpoint list says of a member.
type State int

// The states of a member in the list.
const (
	Up       State = iota
	Draining       // takes no new requests, answers those it has
	Removed        // takes no new requests and is about to go
)

// Action is the kind of a Decision.
type Action int

// The actions, each with the fields of Decision that it sets.
const (
	SendAttempt          Action = iota // RequestID, Member, NotAfter, Wait: send the request to the member
	CancelAttempt                      // RequestID, Attempt: give the attempt up; AttemptEnded follows
	RejectRequest                      // RequestID, Wait: final response; a retry of the client does no harm
	FailRequest                        // RequestID: final response; the request may have run
	HealthCheck                        // Member: check it; HealthChecked follows
	RequestList                        // ask for the endpoint list; EndList or ListFailed follows
	CloseIdleConnections               // Member: close the idle connections to it
	SetTimer                           // Time: call TimerFired then; replaces the timer of an earlier SetTimer
)

// Decision is one thing for the driver to do. Only the fields that its Action names are set.
type Decision struct {
	Action    Action
	RequestID string
	Member    string
	Attempt   int     // index of the attempt among those of the request, from 0
	Wait      float64 // ms: RejectRequest: retry-after, 0 if none may be told; SendAttempt: its time-out, 0 for none
	NotAfter  float64 // when the attempt must have been written at the latest, else it ends as NotSent; +Inf for no limit
	Time      float64 // when the timer is to fire
}
