package fleet

import "fmt"

// awaitedActs is the number of accepted acts that await-acts waits for at each router.
const awaitedActs = 2

func parseAwaitActive(a *arguments) action { return parseAwaitGrant(a, false) }

// parseAwaitLaterGrant parses await-later-grant. A killed router goes on acting for its lease by its audit log: only a later grant tells of another.
func parseAwaitLaterGrant(a *arguments) action { return parseAwaitGrant(a, true) }

// parseAwaitGrant parses the arguments that await-active and await-later-grant have in common. later means that the grant must be later than the
// one that was awaited last.
func parseAwaitGrant(a *arguments, later bool) action {
	lease, bound := a.name("a lease"), a.binding()
	return func(r *runner) error {
		var granted Token
		err := r.bind(bound, "a router acts for "+lease, func() (string, error) {
			name, token, err := r.fleet.LeaseHolder(lease)
			granted = ParseToken(token)
			if later && granted.compare(r.grants[lease]) <= 0 {
				return "", err
			}
			return name, err
		})
		if err == nil {
			r.grants[lease] = granted
		}
		return err
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

// parseAwaitCount parses the arguments that await-event and await-events have in common.
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
			return fmt.Errorf("found %d events, the last is %v", count, last)
		}
		return nil
	}
}

// parseAwaitActs reads the holder anew at each poll: the lease may change hands right after a grant, when its holder reopens its session.
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

// allAcceptActs reports whether all routers except a lease's holder and one other have accepted awaitedActs acts of the holder.
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
		return WaitUntil("receivers reject stale acts", func() (bool, error) {
			count, err := r.fleet.countRouterEvents(actStale)
			return count >= least, err
		})
	}
}
