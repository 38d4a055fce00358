package router

import "math"

// Never is the time of an event that has not happened, and the position of a report that carries none.
var Never = math.Inf(-1)

// Outcome is how an attempt or a health check ended.
type Outcome int

// Outcomes. After NotSent, ConnectFailed, Overloaded and Misrouted, an attempt has certainly not run; after ServerError,
// TimedOut, Reset and Canceled, it may have run.
const (
	Succeeded     Outcome = iota // the member completed the request
	ServerError                  // the member responded with an error
	Overloaded                   // the member rejected the attempt because it is overloaded
	TimedOut                     // no response arrived in time
	ConnectFailed                // no connection to the member could be opened
	Reset                        // the connection broke after the request had been written
	Canceled                     // canceled by a CancelAttempt decision
	NotSent                      // ended before its last byte was written, for a reason local to this host
	Misrouted                    // the member is not the primary, or lags too far behind for this read
)

// isResponse reports whether the outcome is a response of the member, of any kind.
func (o Outcome) isResponse() bool {
	return o == Succeeded || o == ServerError || o == Overloaded || o == Misrouted
}

// MayHaveRun reports whether an attempt with this outcome may have taken effect although it did not succeed.
func (o Outcome) MayHaveRun() bool {
	return o == ServerError || o == TimedOut || o == Reset || o == Canceled
}

// Role is the role that a response or a health check reports for its member.
type Role int

// Roles of a member in its group.
const (
	RoleUnknown Role = iota // no role was reported
	Primary
	Replica
)

// State is the state of a member in the endpoint list.
type State int

// States of a member in the endpoint list.
const (
	Up       State = iota
	Draining       // gets no new requests, but completes those it has
	Removed        // gets no new requests and is about to disappear
)

// Action is the kind of a Decision.
type Action int

// Actions, each with the fields of Decision that it sets.
const (
	SendAttempt          Action = iota // RequestID, Member, NotAfter, Wait: send the request to the member
	CancelAttempt                      // RequestID, Attempt: cancel the attempt; AttemptEnded follows
	RejectRequest                      // RequestID, Wait: final response; a retry by the client is safe
	FailRequest                        // RequestID: final response; the request may have run
	HealthCheck                        // Member: run a health check; HealthChecked follows
	RequestList                        // request the endpoint list; EndList or ListFailed follows
	CloseIdleConnections               // Member: close the idle connections to it
	SetTimer                           // Time: call TimerFired at that time; replaces the timer of an earlier SetTimer
)

// Decision is one thing for the driver to do. Only the fields that its Action names are set.
type Decision struct {
	Action    Action
	RequestID string
	Member    string
	Attempt   int     // index of the attempt within its request, from 0
	Wait      float64 // ms; RejectRequest: retry-after, 0 for none; SendAttempt: timeout of the attempt, 0 for none
	PinLost   bool    // RejectRequest: the member that the request is pinned to is not the primary any more, and the request needs it
	NotAfter  float64 // the attempt must be fully written by then, or else end as NotSent; +Inf for no limit
	Time      float64 // when the timer is to fire
}
