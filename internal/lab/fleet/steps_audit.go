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

func parseAwaitActs(a *arguments) action {
	holder := a.process()
	var except value
	if a.accept("except") {
		except = a.process()
	}
	return func(r *runner) error {
		for _, router := range r.fleet.ofKind(routerKind) {
			if router.Name == holder.text(r) || router.Name == except.text(r) {
				continue
			}
			if err := WaitUntil(router.Name+" accepts acts of "+holder.text(r), func() (bool, error) {
				count, _, err := r.fleet.CountEvents(router.Name, actAccepted, map[string]string{holderField: holder.text(r)})
				return count >= awaitedActs, err
			}); err != nil {
				return err
			}
		}
		return nil
	}
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
