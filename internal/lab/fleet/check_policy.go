package fleet

import "wayloft/internal/decide/policy"

// policyChecker reads the audit logs of coordinator nodes, then those of routers.
type policyChecker struct {
	violations
	hashes  map[string]string // of documents, by version
	inForce map[string]bool   // versions that have been in force
	latest  uint64            // the highest of them, packed
}

// CheckPolicy checks that no version has two documents anywhere, that versions come into force in order and that each router goes on to higher
// ones only, between one start and its end, says that it applies a version only once it has taken it, and takes none that was never in
// force; that each version reported to operators as agreed has been in force; and that each router that runs ended at the latest
// version, or has rejected it.
func CheckPolicy(f *Fleet, agreed []string, runs func(*Process) bool) []string {
	c := &policyChecker{hashes: map[string]string{}, inForce: map[string]bool{}}
	for _, node := range f.ofKind(coordinatorKind) {
		c.checkNode(node.Name, c.events(f, node))
	}
	for _, version := range agreed {
		if !c.inForce[version] {
			c.add("version %s was reported as agreed and is lost", version)
		}
	}
	for _, router := range f.ofKind(routerKind) {
		final := c.checkRouter(router.Name, c.events(f, router))
		latest := policy.FormatPacked(c.latest)
		if c.latest > 0 && runs(router) && final.applied != latest && final.rejected != latest {
			c.add("%s ended at %s, %s is in force", router.Name, final.applied, latest)
		}
	}
	return c.violations
}

// parse reads a version that a process wrote.
func (c *policyChecker) parse(process, version string) uint64 {
	packed, err := policy.ParsePacked(version)
	if err != nil {
		c.add("%s: %v", process, err)
	}
	return packed
}

// checkDocument checks that a version has one document.
func (c *policyChecker) checkDocument(process, version, hash string) {
	if other := c.hashes[version]; other != "" && other != hash {
		c.add("%s: version %s is two documents, %.8s and %.8s", process, version, other, hash)
	}
	c.hashes[version] = hash
}

// checkNode checks that versions come into force in order, between a node's start and its end.
func (c *policyChecker) checkNode(node string, events []AuditEvent) {
	last, lastPid := uint64(0), 0
	for _, e := range events {
		if e.event() != policyInForce {
			continue
		}
		version := e.Text(versionField)
		c.checkDocument(node, version, e.Text(hashField))
		packed := c.parse(node, version)
		if packed <= last && e.pid() == lastPid {
			c.add("%s: version %s became in force after %s", node, version, policy.FormatPacked(last))
		}
		c.inForce[version] = true
		c.latest = max(c.latest, packed)
		last, lastPid = packed, e.pid()
	}
}

// routerPolicy is what a router wrote of the policy since one of its starts.
type routerPolicy struct {
	pid               int
	taken             map[string]bool
	lastTaken         string
	applied, rejected string
}

// newRouterPolicy gives what a router has at its start.
func newRouterPolicy(pid int) routerPolicy {
	return routerPolicy{pid: pid, taken: map[string]bool{noPolicyVersion: true}, lastTaken: noPolicyVersion, applied: noPolicyVersion, rejected: noPolicyVersion}
}

// checkRouter checks what a router wrote and gives what it had at the end.
func (c *policyChecker) checkRouter(router string, events []AuditEvent) routerPolicy {
	current := newRouterPolicy(0)
	for _, e := range events {
		taken, applied := e.event() == policyTaken, e.event() == policyApplied
		if !taken && !applied {
			continue
		}
		if e.pid() != current.pid {
			current = newRouterPolicy(e.pid())
		}
		if taken {
			c.checkTaken(router, &current, e.Text(versionField), e.Text(hashField))
		} else {
			c.checkApplied(router, &current, e.Text(versionField), e.Text(rejectField))
		}
	}
	return current
}

func (c *policyChecker) checkTaken(router string, current *routerPolicy, version, hash string) {
	c.checkDocument(router, version, hash)
	if !c.inForce[version] {
		c.add("%s took version %s, which was never in force", router, version)
	}
	if c.parse(router, version) < c.parse(router, current.lastTaken) {
		c.add("%s went back from %s to %s", router, current.lastTaken, version)
	}
	current.taken[version], current.lastTaken = true, version
}

// checkApplied checks what a router says that it applies; it may have taken a later version by then.
func (c *policyChecker) checkApplied(router string, current *routerPolicy, version, rejected string) {
	if !current.taken[version] {
		c.add("%s said that it applies %s, and had taken %s", router, version, current.lastTaken)
	}
	if c.parse(router, version) < c.parse(router, current.applied) {
		c.add("%s said %s after %s", router, version, current.applied)
	}
	current.applied, current.rejected = version, rejected
}
