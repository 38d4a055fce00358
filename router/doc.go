// Package router is the decision module of one wayloft router: it chooses the member that gets a request, retries and
// cancels attempts, admits or rejects requests, and schedules health checks, list requests and timers.
//
// A Router is a state machine without clock, I/O or goroutines. Its driver (the event loop, or a simulator) uses it as follows:
//
//  1. Whenever events have come in, or the timer that was asked for has fired, it calls Advance with the current time.
//  2. It passes the events in as inputs (Arrive, AttemptEnded, HealthChecked, ListMember, TimerFired, ...). Inputs only update
//     state; they decide nothing.
//  3. It calls Next until that returns false, and carries out each Decision before it asks for the next one.
//
// All times and durations are float64 milliseconds on one time line, that of Advance. A replicated position is a time too:
// every commit up to it has been applied. Never stands for what has not happened yet, and for a position that was not told.
//
// Routers share nothing, and draw random numbers from their own seed: the same inputs in the same order give the same
// decisions. A Router is not safe for concurrent use.
package router
