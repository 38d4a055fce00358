// Package router is the decision module of a wayloft router: it selects the member for each request, retries and
// cancels attempts, admits or rejects requests, and schedules health checks, endpoint list requests and timers.
//
// A Router is a deterministic state machine that has no clock, performs no I/O and starts no goroutines. Its driver (the
// event loop or a simulator) uses it as follows:
//
//  1. When events have arrived or the requested timer has fired, the driver calls Advance with the current time.
//  2. It passes the events in as inputs (RequestArrived, AttemptEnded, HealthChecked, ListMember, TimerFired, ...). Inputs
//     only update state; they produce no decisions.
//  3. It calls Next until that returns false, and carries out each Decision before it asks for the next one.
//
// All times and durations are float64 milliseconds on the timeline of Advance. A replicated position is also a time: a
// member at a position has applied every commit up to it. Never stands for an event that has not happened and for a
// position that was not reported.
//
// Routers share no state, and each draws random numbers from its own seed: the same inputs in the same order give the
// same decisions. A Router is not safe for concurrent use.
package router
