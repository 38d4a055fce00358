package fleet

import "fmt"

// awaitedActs is how many acts of a lease holder await-acts waits for at each router.
const awaitedActs = 2

func parseAwaitActive(a *arguments) action {
	lease, bound := a.name("a lease"), a.binding()
	return func(r *runner) error {
		return r.bind(bound, "a router acts for "+lease, func() (string, error) {
			name, _, err := r.fleet.LeaseHolder(lease)
			return name, err
		})
	}
}

func parseAwaitLeader(a *arguments) action {
	bound := a.binding()
	return func(r *runner) error {
		return r.bind(bound, "a coordinator node leads", r.fleet.coordinatorLeader)
	}
}

func parseAwaitEvent(a *arguments) action { return parseAwaitCount(a, 1) }

func parseAwaitEvents(a *arguments) action { return parseAwaitCount(a, a.number("a count")) }

// parseAwaitCount parses what both kinds of waits for events have.
func parseAwaitCount(a *arguments, least int) action {
	process, event, fields := a.process(), a.name("an event"), a.fields()
	return func(r *runner) error {
		return WaitUntil(fmt.Sprintf("%d events %q of %s", least, event, process.text(r)), func() (bool, error) {
			count, _, err := r.fleet.CountEvents(process.text(r), event, r.fieldTexts(fields))
			return count >= least, err
		})
	}
}

func parseExpectNoEvent(a *arguments) action {
	process, event, fields := a.process(), a.name("an event"), a.fields()
	return func(r *runner) error {
		count, last, err := r.fleet.CountEvents(process.text(r), event, r.fieldTexts(fields))
		if err != nil {
			return err
		}
		if count > 0 {
			return fmt.Errorf("there are %d, the last is %v", count, last)
		}
		return nil
	}
}

// parseAwaitActs asks again who holds the lease: it may pass on right after a grant, when a client opens its session again.
func parseAwaitActs(a *arguments) action {
	lease := a.name("a lease")
	var except value
	if a.accept("except") {
		except = a.process()
	}
	return func(r *runner) error {
		return WaitUntil("all routers accept acts of the holder of "+lease, func() (bool, error) {
			holder, _, err := r.fleet.LeaseHolder(lease)
			if err != nil || holder == "" || holder == except.text(r) {
				return false, err
			}
			return r.fleet.allAcceptActs(lease, holder, except.text(r))
		})
	}
}

// allAcceptActs tells whether all routers but a lease's holder and another have accepted acts of the holder.
func (f *Fleet) allAcceptActs(lease, holder, except string) (bool, error) {
	for _, router := range f.ofKind(routerKind) {
		if router.Name == holder || router.Name == except {
			continue
		}
		count, _, err := f.CountEvents(router.Name, actAccepted, map[string]string{leaseField: lease, holderField: holder})
		if err != nil || count < awaitedActs {
			return false, err
		}
	}
	return true, nil
}

func parseAwaitStaleActs(a *arguments) action {
	least := a.number("a count")
	return func(r *runner) error {
		return WaitUntil("acts are refused for their token", func() (bool, error) {
			count, err := r.fleet.countRouterEvents(actStale)
			return count >= least, err
		})
	}
}
