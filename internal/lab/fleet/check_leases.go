package fleet

// grantKey names one grant of a lease.
type grantKey struct{ lease, token string }

func (k grantKey) String() string { return k.lease + " " + k.token }

// leaseChecker reads the audit logs of routers, then those of coordinator nodes.
type leaseChecker struct {
	violations
	holders map[grantKey]string // by what holders and receivers wrote
	granted map[grantKey]string // by what the coordinator wrote
}

// CheckLeases checks that no receiver accepted an act under a lower fencing token than it had accepted before, that each token of a lease has
// one holder, and that the coordinator nodes agree on the holder of each grant and grant higher and higher tokens. Where the coordinator's
// state regresses, what its nodes wrote is not checked: before and after need not agree.
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

// checkRouter checks what a router accepted as a receiver, and notes who held which grant.
func (c *leaseChecker) checkRouter(router string, events []AuditEvent) {
	type subjectKey struct{ lease, subject string }
	highest := map[subjectKey]Token{}
	for _, e := range events {
		grant := grantKey{lease: e.Text(leaseField), token: e.Text(tokenField)}
		switch e.event() {
		case actAccepted:
			subject, token := subjectKey{grant.lease, e.Text(subjectField)}, ParseToken(grant.token)
			if former := highest[subject]; token.compare(former) < 0 {
				c.add("%s accepted an act of %s for %s under %s after one under %v", router, e.Text(holderField), grant.lease, grant.token, former)
			}
			highest[subject] = token
			c.noteHolder(router, grant, e.Text(holderField))
		case holderStarted:
			c.noteHolder(router, grant, router)
		}
	}
}

// noteHolder notes who holds a grant by the audit log of a process.
func (c *leaseChecker) noteHolder(process string, grant grantKey, holder string) {
	if other := c.holders[grant]; other != "" && other != holder {
		c.add("%s: %s under %s is held by both %s and %s", process, grant.lease, grant.token, other, holder)
	}
	c.holders[grant] = holder
}

// checkNode checks the grants that a coordinator node wrote. A node that starts again writes the grants at the end of its log again; those
// must be the same as before.
func (c *leaseChecker) checkNode(node string, events []AuditEvent) {
	highest := map[string]Token{}
	for _, e := range events {
		if e.event() != leaseGranted || e.Text(sessionField) == "" || e[endedField] == true {
			continue
		}
		grant, holder := grantKey{lease: e.Text(leaseField), token: e.Text(tokenField)}, e.Text(sessionField)
		token, former := ParseToken(grant.token), highest[grant.lease]
		if token.compare(former) < 0 && grant.token != noToken {
			if c.granted[grant] != holder {
				c.add("%s: %s was granted under %v after %v", node, grant.lease, token, former)
			}
			continue
		}
		highest[grant.lease] = token
		if other := c.granted[grant]; other != "" && other != holder {
			c.add("%s says that %s is held by %s, another that it is by %s", node, grant, holder, other)
		}
		c.granted[grant] = holder
	}
}
