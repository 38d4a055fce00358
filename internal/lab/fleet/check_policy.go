package fleet

import "wayloft/internal/decide/policy"

// policyChecker checks the audit logs of coordinator nodes, then those of routers.
type policyChecker struct {
	violations
	hashes  map[string]string // document hash by version
	inForce map[string]bool   // versions that came into force
	latest  uint64            // highest version that came into force, packed
}

// CheckPolicy checks the following:
//   - no version has two documents in any of the logs;
//   - versions come into force in increasing order at each node between two of its starts;
//   - between two of its starts, each router never goes back to a lower version, reports a version as applied only after applying it, and
//     applies no version that never came into force;
//   - each version reported to operators as agreed came into force;
//   - each running router ended at the latest version, or rejected it.
func CheckPolicy(f *Fleet, agreed []string, isRunning func(*Process) bool) []string {
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
		if c.latest > 0 && isRunning(router) && final.reported != latest && final.rejected != latest {
			c.add("%s ended at %s, %s is in force", router.Name, final.reported, latest)
		}
	}
	return c.violations
}

// parseVersion parses a version from a process's audit log and reports a malformed one as a violation.
func (c *policyChecker) parseVersion(process, version string) uint64 {
	packed, err := policy.ParsePacked(version)
	if err != nil {
		c.add("%s: %v", process, err)
	}
	return packed
}

// checkDocument checks that a version has the same document in all logs.
func (c *policyChecker) checkDocument(process, version, hash string) {
	if other := c.hashes[version]; other != "" && other != hash {
		c.add("%s: version %s has two documents, %.8s and %.8s", process, version, other, hash)
	}
	c.hashes[version] = hash
}

// checkNode checks that versions come into force in increasing order, from each start of a node to its end.
func (c *policyChecker) checkNode(node string, events []AuditEvent) {
	last, lastPid := uint64(0), 0
	for _, e := range events {
		if e.event() != policyInForce {
			continue
		}
		version := e.Text(versionField)
		c.checkDocument(node, version, e.Text(hashField))
		packed := c.parseVersion(node, version)
		if packed <= last && e.pid() == lastPid {
			c.add("%s: version %s became in force after %s", node, version, policy.FormatPacked(last))
		}
		c.inForce[version] = true
		c.latest = max(c.latest, packed)
		last, lastPid = packed, e.pid()
	}
}

// routerPolicy is the policy state of a router, according to its audit log since its latest start.
type routerPolicy struct {
	pid                int
	applied            map[string]bool
	lastApplied        string
	reported, rejected string
}

// newRouterPolicy returns the state of a router that has just started: no version.
func newRouterPolicy(pid int) routerPolicy {
	return routerPolicy{pid: pid, applied: map[string]bool{noPolicyVersion: true}, lastApplied: noPolicyVersion, reported: noPolicyVersion, rejected: noPolicyVersion}
}

// checkRouter checks a router's audit log and returns the router's final state.
func (c *policyChecker) checkRouter(router string, events []AuditEvent) routerPolicy {
	current := newRouterPolicy(0)
	for _, e := range events {
		applied, reported := e.event() == policyApplied, e.event() == policyReported
		if !applied && !reported {
			continue
		}
		if e.pid() != current.pid {
			current = newRouterPolicy(e.pid())
		}
		if applied {
			c.checkApplied(router, &current, e.Text(versionField), e.Text(hashField))
		} else {
			c.checkReported(router, &current, e.Text(versionField), e.Text(rejectedField))
		}
	}
	return current
}

func (c *policyChecker) checkApplied(router string, current *routerPolicy, version, hash string) {
	c.checkDocument(router, version, hash)
	if !c.inForce[version] {
		c.add("%s applied version %s, which was never in force", router, version)
	}
	if c.parseVersion(router, version) < c.parseVersion(router, current.lastApplied) {
		c.add("%s went back from %s to %s", router, current.lastApplied, version)
	}
	current.applied[version], current.lastApplied = true, version
}

// checkReported checks the version that a router reports as applied. The router may have applied a later version since.
func (c *policyChecker) checkReported(router string, current *routerPolicy, version, rejected string) {
	if !current.applied[version] {
		c.add("%s reported %s as applied after applying %s", router, version, current.lastApplied)
	}
	if c.parseVersion(router, version) < c.parseVersion(router, current.reported) {
		c.add("%s reported %s after %s", router, version, current.reported)
	}
	current.reported, current.rejected = version, rejected
}
