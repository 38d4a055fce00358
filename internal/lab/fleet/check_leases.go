package fleet

// grantKey identifies one grant of a lease.
type grantKey struct{ lease, token string }

func (k grantKey) String() string { return k.lease + " " + k.token }

// leaseChecker checks the audit logs of routers, then those of coordinator nodes.
type leaseChecker struct {
	violations
	holders map[grantKey]string // according to holders and receivers
	granted map[grantKey]string // according to coordinator nodes
}

// CheckLeases checks that no receiver accepted an act under a lower fencing token than one that it had accepted before, that each token of a
// lease has one holder, that coordinator nodes agree on the holder of each grant, and that granted tokens increase. If stateRegresses is set,
// the coordinator's state is rolled back during the scenario and the logs of its nodes are not checked, since those from before and after
// may differ.
func CheckLeases(f *Fleet, stateRegresses bool) []string {
	c := &leaseChecker{holders: map[grantKey]string{}, granted: map[grantKey]string{}}
	for _, router := range f.ofKind(routerKind) {
		c.checkRouter(router.Name, c.events(f, router))
	}
	if stateRegresses {
		return c.violations
	}
	for _, node := range f.ofKind(coordinatorKind) {
		c.checkNode(node.Name, c.events(f, node))
	}
	for grant, holder := range c.holders {
		if other := c.granted[grant]; other != "" && other != holder {
			c.add("%s acted under %s, which the coordinator granted to %s", holder, grant, other)
		}
	}
	return c.violations
}

// checkRouter checks the acts that a router accepted as a receiver, and records the holder of each grant.
func (c *leaseChecker) checkRouter(router string, events []AuditEvent) {
	type subjectKey struct{ lease, subject string }
	highest := map[subjectKey]Token{}
	for _, e := range events {
		grant := grantKey{lease: e.Text(leaseField), token: e.Text(tokenField)}
		switch e.event() {
		case actAccepted:
			subject, token := subjectKey{grant.lease, e.Text(subjectField)}, ParseToken(grant.token)
			if previous := highest[subject]; token.compare(previous) < 0 {
				c.add("%s accepted an act of %s for %s under %s after one under %v", router, e.Text(holderField), grant.lease, grant.token, previous)
			}
			highest[subject] = token
			c.recordHolder(router, grant, e.Text(holderField))
		case holderStarted:
			c.recordHolder(router, grant, router)
		}
	}
}

// recordHolder records the holder of a grant according to a process's audit log.
func (c *leaseChecker) recordHolder(process string, grant grantKey, holder string) {
	if other := c.holders[grant]; other != "" && other != holder {
		c.add("%s: %s under %s is held by both %s and %s", process, grant.lease, grant.token, other, holder)
	}
	c.holders[grant] = holder
}

// checkNode checks the grants that a coordinator node wrote. A restarted node writes the grants at the end of its replicated log once more,
// so tokens may go back there; each must have the same holder as before.
func (c *leaseChecker) checkNode(node string, events []AuditEvent) {
	highest := map[string]Token{}
	for _, e := range events {
		if e.event() != leaseGranted || e.Text(sessionField) == "" || e[endedField] == true {
			continue
		}
		grant, holder := grantKey{lease: e.Text(leaseField), token: e.Text(tokenField)}, e.Text(sessionField)
		token, previous := ParseToken(grant.token), highest[grant.lease]
		if token.compare(previous) < 0 && grant.token != zeroToken {
			if c.granted[grant] != holder {
				c.add("%s: %s was granted under %v after %v", node, grant.lease, token, previous)
			}
			continue
		}
		highest[grant.lease] = token
		if other := c.granted[grant]; other != "" && other != holder {
			c.add("%s: %s is held by %s, and by %s according to another node", node, grant, holder, other)
		}
		c.granted[grant] = holder
	}
}
