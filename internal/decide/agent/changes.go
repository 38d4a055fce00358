package agent

import (
	"maps"
	"slices"

	"wayloft/internal/decide/register"
)

// Changes gives what a watcher who has heard of everything up to an entry has to hear now: what has changed, or the whole
// state where that is no longer kept or the watcher is ahead, since this state is an older one.
func Changes(r *register.Register, since uint64) (Update, uint64) {
	events, all := r.Since(since)
	if since == 0 || since > r.Index() || !all {
		u := Update{Whole: true}
		for _, name := range r.Sessions() {
			u.Sessions = append(u.Sessions, session(r, name))
		}
		for _, name := range r.Duties() {
			u.Duties = append(u.Duties, duty(r, name))
		}
		return u, r.Index()
	}
	sessions, duties := map[string]bool{}, map[string]bool{}
	for _, e := range events {
		if e.Duty != "" {
			duties[e.Duty] = true
		} else {
			sessions[e.Session] = true
		}
	}
	var u Update
	for _, name := range slices.Sorted(maps.Keys(sessions)) {
		u.Sessions = append(u.Sessions, session(r, name))
	}
	for _, name := range slices.Sorted(maps.Keys(duties)) {
		u.Duties = append(u.Duties, duty(r, name))
	}
	return u, r.Index()
}

func session(r *register.Register, name string) Session {
	s, open := r.Session(name)
	return Session{Name: name, Kind: s.Is, Address: s.Address, Incarnation: s.Incarnation, Policy: s.Policy, Ended: !open}
}

func duty(r *register.Register, name string) Duty {
	d, _ := r.Duty(name)
	return Duty{Name: name, Holder: d.Holder, Fence: d.Fence, Open: d.Open, Ended: d.Ended, Steps: d.Steps}
}
