package fleet

import "fmt"

// Arguments of steps on links.
const (
	allProcesses = "all"
	forwardOnly  = "forward"
	backOnly     = "back"
)

var linkGroups = map[string]string{"coordinators": coordinatorKind, "routers": routerKind, "members": memberKind}

// linkEnd selects the processes at one end of links: a group or one process.
type linkEnd struct {
	group   string
	process value // used if group is empty
}

func (a *arguments) endpoints() linkEnd {
	for group := range linkGroups {
		if a.accept(group) {
			return linkEnd{group: group}
		}
	}
	if a.accept(allProcesses) {
		return linkEnd{group: allProcesses}
	}
	return linkEnd{process: a.process()}
}

// names returns the names of the selected processes.
func (e linkEnd) names(r *runner) (names []string) {
	if e.group == "" {
		return []string{e.process.text(r)}
	}
	for _, p := range r.fleet.Processes() {
		if e.group == allProcesses || p.Kind == linkGroups[e.group] {
			names = append(names, p.Name)
		}
	}
	return names
}

// linkSet is the set of links from some processes to others.
type linkSet struct{ from, to linkEnd }

func (a *arguments) links() linkSet {
	from := a.endpoints()
	return linkSet{from: from, to: a.endpoints()}
}

// find returns the links of the set, of which there must be at least one.
func (s linkSet) find(r *runner) (links []*Link, err error) {
	from, to := s.from.names(r), s.to.names(r)
	for _, a := range from {
		for _, b := range to {
			if link := r.fleet.Link(a, b); link != nil {
				links = append(links, link)
			}
		}
	}
	if len(links) == 0 {
		return nil, fmt.Errorf("no link from %v to %v", from, to)
	}
	return links, nil
}

// onLinks returns an action that calls act on each link of a set.
func onLinks(set linkSet, act func(*Link)) action {
	return func(r *runner) error {
		links, err := set.find(r)
		for _, link := range links {
			act(link)
		}
		return err
	}
}

func parseReset(a *arguments) action { return onLinks(a.links(), (*Link).Reset) }
func parseHeal(a *arguments) action  { return onLinks(a.links(), (*Link).Heal) }

func parseBlackhole(a *arguments) action {
	set, holdForward, holdBack := a.links(), true, true
	if len(a.words) > 0 {
		direction := a.oneOf(forwardOnly, backOnly)
		holdForward, holdBack = direction == forwardOnly, direction == backOnly
	}
	return onLinks(set, func(link *Link) { link.Blackhole(holdForward, holdBack) })
}

func parseAwaitHeld(a *arguments) action {
	set, anyOf := a.links(), a.accept("any")
	return func(r *runner) error {
		return WaitUntil("something is held back", func() (bool, error) {
			links, err := set.find(r)
			holding := 0
			for _, link := range links {
				if link.Held()[forward] > 0 {
					holding++
				}
			}
			return holding > 0 && (anyOf || holding == len(links)), err
		})
	}
}

// failpointKey identifies a failpoint of a process.
type failpointKey struct{ process, point string }

func parseFailpoint(a *arguments) action {
	process, point := a.process(), a.name("a failpoint")
	effect := a.oneOf(failpointStop, failpointKill)
	return func(r *runner) error {
		name := process.text(r)
		r.failpoints[failpointKey{name, point}] = effect
		return r.fleet.SetFailpoint(name, point, effect)
	}
}

func parseAwaitFailpoint(a *arguments) action {
	process, point := a.process(), a.name("a failpoint")
	return func(r *runner) error {
		p, err := r.process(process)
		if err != nil {
			return err
		}
		return WaitUntil(p.Name+" reaches "+point, func() (bool, error) {
			if !r.fleet.FailpointHit(p.Name, point) {
				return false, nil
			}
			// The process removes the file just before it stops itself, so a resume between the two would have no effect.
			return r.failpoints[failpointKey{p.Name, point}] != failpointStop || p.Stopped(), nil
		})
	}
}

func parseDisableActTimeout(a *arguments) action {
	process := a.process()
	return func(r *runner) error {
		return r.fleet.SetFailpoint(process.text(r), orderTimeoutFailpoint, failpointNoTimeout)
	}
}

// parseAwaitRouterAt sets the failpoint for all routers: on a busy machine, the lease may change hands between a lookup of its holder and the
// setting of the failpoint.
func parseAwaitRouterAt(a *arguments) action {
	point, bound := a.name("a failpoint"), a.binding()
	return func(r *runner) error {
		routers := r.fleet.ofKind(routerKind)
		for _, router := range routers {
			if err := r.fleet.SetFailpoint(router.Name, point, failpointStop); err != nil {
				return err
			}
		}
		err := r.bind(bound, "a router reaches "+point, func() (string, error) {
			for _, router := range routers {
				if r.fleet.FailpointHit(router.Name, point) && router.Stopped() {
					return router.Name, nil
				}
			}
			return "", nil
		})
		if err != nil {
			return err
		}
		return r.releaseOthers(routers, point, r.variables[bound.variable])
	}
}

// releaseOthers lets all routers but one continue: it clears the failpoint of those that have not reached it, and resumes those that have.
func (r *runner) releaseOthers(routers []*Process, point, except string) error {
	for _, router := range routers {
		if router.Name == except {
			continue
		}
		cleared, err := r.fleet.clearFailpoint(router.Name, point)
		if err != nil {
			return err
		}
		if cleared {
			continue
		}
		if err := WaitUntil(router.Name+" has stopped", func() (bool, error) { return router.Stopped(), nil }); err != nil {
			return err
		}
		router.Resume()
	}
	return nil
}
