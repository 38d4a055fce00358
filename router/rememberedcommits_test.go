package router

import (
	"fmt"
	"testing"
)

// commitRouter returns a router that remembers sessions' commits, with one primary, at which each of the sessions has committed once.
func commitRouter(sessions int) *Router {
	class := func(level ConsistencyLevel) *RequestClass {
		return &RequestClass{LatencyObjective: 500, Deadline: 1000, PriorityWeight: 1, LateWeightShare: 1, Level: level}
	}
	r := New(&Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, TracksSessionCommits: true, LagBehavior: LagServes,
		RequestClasses: map[string]*RequestClass{"write": class(Write), "read": class(Session)}}, 1)
	listMembers(r, "primary")
	now := 1000.0
	r.Advance(now)
	for n := range sessions {
		now++
		r.Advance(now)
		id, session := fmt.Sprint("w", n), fmt.Sprint("s", n)
		r.RequestArrived(id, "", session, "write", 1, 0, 1000, false)
		for sent(r, map[string]Role{"primary": Primary})[id] == "" { // the primary is not known yet
			now++
			r.Advance(now)
			r.TimerFired()
		}
		r.AttemptEnded(id, 0, Succeeded, 1, true, Primary, now)
	}
	return r
}

func listMembers(r *Router, names ...string) {
	r.BeginList()
	for _, name := range names {
		r.ListMember(name, "z", 1, Up, Never)
	}
	r.EndList(true)
}

// sent carries out the router's decisions and returns the member to which each request is sent. Health checks succeed, with the roles given; a
// replica has position 1.
func sent(r *Router, roles map[string]Role) map[string]string {
	members := map[string]string{}
	for d, more := r.Next(); more; d, more = r.Next() {
		switch d.Action {
		case SendAttempt:
			members[d.RequestID] = d.Member
		case HealthCheck:
			position := 1.0
			if roles[d.Member] == Primary {
				position = r.now
			}
			r.HealthChecked(d.Member, Succeeded)
			r.MemberReported(d.Member, roles[d.Member], position)
		}
	}
	return members
}

// Guards against a read that is older than its session's own commit: the commit was forgotten because all members present had applied it, and
// then a member joins from an old copy.
func TestRememberCommit_MemberJoinsFromOldCopy(t *testing.T) {
	for _, sessions := range []int{1, 1200, 5000} {
		r := commitRouter(sessions)
		roles := map[string]Role{"primary": Primary, "joined": Replica}
		listMembers(r, "primary", "joined")
		for step := range 50 { // the member is checked meanwhile
			r.Advance(r.now + 10)
			r.TimerFired()
			r.RequestArrived(fmt.Sprint("r", step), "", "s0", "read", 1, 0, 1000, false)
			for id, member := range sent(r, roles) {
				if member == "joined" {
					t.Fatalf("%d sessions: a read of a session that has committed was sent to a member from before the commit", sessions)
				}
				r.AttemptEnded(id, 0, Succeeded, 1, true, Primary, r.now)
			}
		}
	}
}
