package fleet

import (
	"fmt"
	"os"
	"path/filepath"

	"wayloft/internal/decide/policy"
	"wayloft/internal/settings"
)

// anyPid matches all starts of a process.
const anyPid = 0

func (f *Fleet) policyPath(name string) string { return filepath.Join(f.Dir, name+".toml") }

// WritePolicy writes a policy file into the fleet's directory and returns its path.
func (f *Fleet) WritePolicy(name string, document policy.Document) (string, error) {
	text, err := settings.WritePolicy(document)
	if err != nil {
		return "", err
	}
	return f.policyPath(name), os.WriteFile(f.policyPath(name), text, fileMode)
}

// ReportedPolicy returns the version that a router applies according to its audit log, and the one that it rejected. Only events of the
// process with this pid count; a pid of 0 matches all starts of the router.
func (f *Fleet) ReportedPolicy(p *Process, pid int) (applied, rejected string, err error) {
	events, err := f.AuditEvents(p.Name)
	applied, rejected = noPolicyVersion, noPolicyVersion
	for _, e := range events {
		if e.event() == policyReported && (pid == anyPid || e.pid() == pid) {
			applied, rejected = e.Text(versionField), e.Text(rejectedField)
		}
	}
	return applied, rejected, err
}

// latestPolicy returns the highest version that came into force according to the coordinator nodes' audit logs, packed, or 0 if there is none.
func (f *Fleet) latestPolicy() (latest uint64, err error) {
	for _, node := range f.ofKind(coordinatorKind) {
		events, err := f.AuditEvents(node.Name)
		if err != nil {
			return 0, err
		}
		for _, e := range events {
			if e.event() != policyInForce {
				continue
			}
			version, err := policy.ParsePacked(e.Text(versionField))
			if err != nil {
				continue // CheckPolicy reports it
			}
			latest = max(latest, version)
		}
	}
	return latest, nil
}

// waitForPolicy waits until each running router applies the version in force or has rejected it.
func (f *Fleet) waitForPolicy() error {
	latest, err := f.latestPolicy()
	if err != nil || latest == 0 {
		return err
	}
	wanted := policy.FormatPacked(latest)
	for _, router := range f.ofKind(routerKind) {
		if router.Pid() == 0 {
			continue
		}
		err := waitWithin(policyWaitLimit, fmt.Sprintf("%s applies %s", router.Name, wanted), func() (bool, error) {
			applied, rejected, err := f.ReportedPolicy(router, router.Pid())
			return applied == wanted || rejected == wanted, err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
