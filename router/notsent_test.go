package router

import (
	"fmt"
	"testing"
)

// notSentRouter sets up a request that arrives at 1000 with a ttl of one second, in a group whose members are all up. It
// returns a function that runs one step; attempts end as not sent before the time free and succeed from then on.
func notSentRouter(members int, free float64) (step func(now float64) (attempts int, final *Decision)) {
	r := New(&Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, CanCancel: true,
		RequestClasses: map[string]*RequestClass{"read": {LatencyObjective: 500, Deadline: 1000, PriorityWeight: 1, LateWeightShare: 1}}}, 1)
	r.Advance(1000)
	r.BeginList()
	for n := range members {
		r.ListMember(fmt.Sprint("m", n), "z", 1, Up, Never)
	}
	r.EndList(true)
	r.RequestArrived("t", "", "", "read", 1, 0, 1000, false)
	sent := 0
	return func(now float64) (attempts int, final *Decision) {
		r.Advance(now)
		r.TimerFired()
		for d, more := r.Next(); more; d, more = r.Next() {
			switch d.Action {
			case HealthCheck:
				r.HealthChecked(d.Member, Succeeded)
			case SendAttempt:
				attempts++
				sent++
				if now < free {
					r.AttemptEnded("t", sent-1, NotSent, 0, false, RoleUnknown, Never)
				} else {
					r.AttemptEnded("t", sent-1, Succeeded, 1, true, RoleUnknown, Never)
					return attempts, &d
				}
			case RejectRequest, FailRequest:
				return attempts, &d
			}
		}
		return attempts, nil
	}
}

// NotSent, because this host has no connection left for a moment, must not count as an attempt: the request is served
// once a connection is free, regardless of how often it could not be sent before.
func TestNotSent_ConnectionComesFree(t *testing.T) {
	for _, members := range []int{1, 3, 7} {
		step := notSentRouter(members, 1300)
		var final *Decision
		before := 0
		for now := 1000.; final == nil && now < 2000; now += 5 {
			var attempts int
			if attempts, final = step(now); now < 1300 {
				before += attempts
			}
			if final != nil && (final.Action != SendAttempt || now < 1300 || now > 1300+maxNotSentPause) {
				t.Errorf("%d members: final decision %d at %.0f", members, final.Action, now)
			}
		}
		if final == nil {
			t.Errorf("%d members: no final response", members)
		}
		if before < members {
			t.Errorf("%d members: %d attempts before a connection became free", members, before)
		}
	}
}

// If no connection ever becomes free, each member is tried once per instant and at growing intervals, and the request
// gets exactly one final response before its deadline.
func TestNotSent_NoConnectionComesFree(t *testing.T) {
	for _, members := range []int{1, 3, 7} {
		step := notSentRouter(members, 1e9)
		var final *Decision
		all, end := 0, 0.0
		for now := 1000.; final == nil && now < 2500; now += 5 {
			var attempts int
			if attempts, final = step(now); attempts > members {
				t.Fatalf("%d members: %d attempts in one instant", members, attempts)
			}
			all, end = all+attempts, now
		}
		if final == nil || final.Action != RejectRequest || end > 2000 {
			t.Fatalf("%d members: final decision %v at %.0f", members, final, end)
		}
		if most := members * (4 + int((end-1000)/maxNotSentPause) + 1); all > most {
			t.Errorf("%d members: %d attempts in %.0f ms, want %d at most", members, all, end-1000, most)
		}
	}
}

// The effects of an attempt that was not sent on the state of its member are reverted: the budget of slow start, the
// trial of a suspected member and the time of the last attempt.
func TestNotSent_RestoresMemberRecord(t *testing.T) {
	const objective, window = 500.0, 2000.0
	r := New(&Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, SlowStartFloor: 0.2, SlowStartDuration: 10000,
		OverloadMultiple: 2.5, OverloadWindow: window,
		RequestClasses: map[string]*RequestClass{"read": {LatencyObjective: objective, Deadline: 3000, PriorityWeight: 1, LateWeightShare: 1}}}, 1)
	r.Advance(1000)
	r.BeginList()
	r.ListMember("m", "z", 1, Up, 900)
	r.EndList(true)
	m := r.members["m"]
	m.known, m.lastCheckSent, m.suspected, m.suspectedAt, m.trialReady = true, 1000, true, 900, true
	allowed := func() bool {
		return m.slowStartBudget.Allows(1000, 0, objective, window, 1, func() float64 { return 1 })
	}
	if !allowed() {
		t.Fatal("the slow start budget does not allow a request")
	}
	r.RequestArrived("t", "", "", "read", 1, 0, 3000, false)
	if d, _ := r.Next(); d.Action != SendAttempt || allowed() || m.trialReady {
		t.Fatalf("decision %+v, budget for another: %v, another trial: %v", d, allowed(), m.trialReady)
	}
	r.AttemptEnded("t", 0, NotSent, 0, false, RoleUnknown, Never)
	if !allowed() || !m.trialReady || m.lastAttemptSent != Never || m.down || m.connectFailed || m.failures.Value != 0 || m.load != 0 {
		t.Errorf("budget: %v, trial: %v, last sent at %v, down: %v, connect failed: %v, failures: %v, load: %v", allowed(), m.trialReady, m.lastAttemptSent,
			m.down, m.connectFailed, m.failures.Value, m.load)
	}
}

// If this host has no connection left, each attempt ends as not sent at once. Guards against trying one member after
// another in the same instant for the lifetime of the request, while no other event is handled.
func TestNotSent_AttemptsInOneInstantAreBounded(t *testing.T) {
	for _, members := range []int{1, 2, 5} {
		r := New(&Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, RequestClasses: map[string]*RequestClass{
			"read": {LatencyObjective: 500, Deadline: 1000, PriorityWeight: 1}}}, 1)
		r.Advance(1000)
		r.BeginList()
		for n := range members {
			r.ListMember(fmt.Sprint("m", n), "z", 1, Up, Never)
		}
		r.EndList(true)
		sent, first := 0, 0
		step := func(now float64) {
			r.Advance(now)
			r.TimerFired()
			for d, more := r.Next(); more; d, more = r.Next() {
				switch d.Action {
				case HealthCheck:
					r.HealthChecked(d.Member, Succeeded)
				case SendAttempt:
					if sent++; sent-first > 6 {
						t.Fatalf("%d members: sent %d times in one instant", members, sent-first)
					}
					r.AttemptEnded("t", sent-1, NotSent, 0, false, RoleUnknown, Never)
				}
			}
			first = sent
		}
		r.RequestArrived("t", "", "", "read", 1, 0, 1000, false)
		for now := 1000.; now < 2100; now += 5 {
			step(now)
		}
		if sent == 0 {
			t.Errorf("%d members: never sent", members)
		}
	}
}
