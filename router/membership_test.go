package router

import (
	"fmt"
	"testing"
)

// Guards against memory leaks: members that come and go with their groups, and requests, some for groups that were never
// listed, must leave nothing behind, while attempts in flight at a removed member still end.
func TestRouter_MemoryLevelsOff(t *testing.T) {
	read := &RequestClass{LatencyObjective: 500, PriorityWeight: 1, Deadline: 1000, Level: Any}
	r := New(&Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, SlowStartFloor: 1, SlowStartDuration: 1, OverloadMultiple: 2,
		OverloadWindow: 1000, RequestClasses: map[string]*RequestClass{"read": read}}, 1)
	pull := func(at float64) (sent []Decision, ended int) {
		r.Advance(at)
		for d, more := r.Next(); more; d, more = r.Next() {
			switch d.Action {
			case SendAttempt:
				sent = append(sent, d)
			case HealthCheck:
				r.HealthChecked(d.Member, Succeeded)
			case RejectRequest, FailRequest:
				ended++
			}
		}
		return sent, ended
	}
	var unfinished []Decision
	for n := range 500 {
		at := float64(n) * 1000
		r.Advance(at)
		r.BeginList()
		r.ListMember(fmt.Sprint("m", n), "z", n, Up, at)
		if n > 0 {
			r.ListMember(fmt.Sprint("m", n-1), "z", n-1, Removed, at-1000)
		}
		r.EndList(n%2 == 0)
		for _, d := range unfinished {
			r.AttemptEnded(d.RequestID, 0, TimedOut, 900, true, RoleUnknown, Never)
		}
		r.RequestArrived(fmt.Sprint("t", n), "", "", "read", n, 0, 1000, false)
		r.RequestArrived(fmt.Sprint("u", n), "", "", "read", -n, 0, 1000, false)
		pull(at)
		if unfinished, _ = pull(at + 1); len(unfinished) != 1 || unfinished[0].Member != fmt.Sprint("m", n) {
			t.Fatalf("%d: sent %v", n, unfinished)
		}
		if _, ended := pull(at + 990); n > 0 && ended != 1 {
			t.Fatalf("%d: %d requests ended, want only the one without a group", n, ended)
		}
		for name, kept := range map[string]int{"members": len(r.members), "groups": len(r.groups), "active groups": r.activeGroups.Len(),
			"requests": len(r.requests), "busy members": len(r.busyMembers), "waiting": len(r.waiting), "idle close queue": len(r.idleCloseQueue)} {
			if kept > 2 {
				t.Fatalf("%d: %d %s are still in memory", n, kept, name)
			}
		}
	}
}

// After a failed list request, the next one follows within 1.5 s, but not in the same instant, for any poll timeout: the
// watch is given up after 2.5 s of silence, and a change must be known after 6 s even if one more request fails.
func TestListFailed_NextRequestInTime(t *testing.T) {
	for _, pollTimeout := range []float64{2000, 10000, 40000} {
		for seed := uint64(1); seed <= 50; seed++ {
			r := New(&Settings{PollsEndpointList: true, ListPollTimeout: pollTimeout, Routers: 1}, seed)
			listRequested := func(now float64) (asked bool) {
				r.Advance(now)
				r.TimerFired()
				for d, more := r.Next(); more; d, more = r.Next() {
					asked = asked || d.Action == RequestList
				}
				return asked
			}
			if !listRequested(1) {
				t.Fatal("no initial list request")
			}
			r.Advance(50)
			r.ListFailed()
			if listRequested(50) {
				t.Errorf("poll timeout %.0f, seed %d: list requested again at once", pollTimeout, seed)
			}
			for now := 60.0; !listRequested(now); now += 10 {
				if now > 50+1500 {
					t.Fatalf("poll timeout %.0f, seed %d: list not requested after %.0f ms", pollTimeout, seed, now-50)
				}
			}
		}
	}
}

// Changes that a silent watch misses are requested within 6 s even if the next request hangs as well, and within 4 s
// after a request that was made without a preceding failure and hangs. Each is given up after 2.5 s.
func TestListFailed_TwoSilentWatchesInARow(t *testing.T) {
	const hang = 2500
	for _, pollTimeout := range []float64{2000, 10000, 40000} {
		for seed := uint64(1); seed <= 200; seed++ {
			r := New(&Settings{PollsEndpointList: true, ListPollTimeout: pollTimeout, Routers: 1}, seed)
			now := 0.0
			awaitListRequest := func() float64 {
				for ; ; now += tick {
					r.Advance(now)
					r.TimerFired()
					for d, more := r.Next(); more; d, more = r.Next() {
						if d.Action == RequestList {
							return now
						}
					}
				}
			}
			failListRequest := func() {
				now += hang
				r.Advance(now)
				r.ListFailed()
			}
			awaitListRequest()
			now = 50
			r.Advance(now)
			r.BeginList()
			r.EndList(false) // the first request is answered
			now = 30000
			silentSince := now
			failListRequest()
			if asked := awaitListRequest(); asked-silentSince > 4000-tick {
				t.Errorf("poll timeout %.0f, seed %d: list requested %.0f ms after the first silence", pollTimeout, seed, asked-silentSince)
			}
			failListRequest()
			if asked := awaitListRequest(); asked-silentSince > 6000-tick {
				t.Errorf("poll timeout %.0f, seed %d: list requested %.0f ms after the first of two silences", pollTimeout, seed, asked-silentSince)
			}
		}
	}
}
