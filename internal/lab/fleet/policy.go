package fleet

import (
	"fmt"
	"os"
	"path/filepath"

	"wayloft/internal/decide/policy"
	"wayloft/internal/settings"
)

// anyPid stands for whichever start of a process.
const anyPid = 0

func (f *Fleet) policyPath(name string) string { return filepath.Join(f.Dir, name+".toml") }

// WritePolicy writes a policy's file into the fleet's directory and gives its path.
func (f *Fleet) WritePolicy(name string, document policy.Document) (string, error) {
	text, err := settings.WritePolicy(document)
	if err != nil {
		return "", err
	}
	return f.policyPath(name), os.WriteFile(f.policyPath(name), text, fileMode)
}

// AppliedPolicy gives the version that a router applies by its audit log, and the one that it rejected. A pid of 0 stands for all of its
// starts.
func (f *Fleet) AppliedPolicy(p *Process, pid int) (applied, rejected string, err error) {
	events, err := f.AuditEvents(p.Name)
	applied, rejected = noPolicyVersion, noPolicyVersion
	for _, e := range events {
		if e.event() == policyApplied && (pid == anyPid || e.pid() == pid) {
			applied, rejected = e.Text(versionField), e.Text(rejectField)
		}
	}
	return applied, rejected, err
}

// latestPolicy gives the highest version that came into force by the coordinator's audit logs, packed; 0: none.
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

// waitForPolicy waits until each router that runs applies the version in force, or has rejected it.
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
			applied, rejected, err := f.AppliedPolicy(router, router.Pid())
			return applied == wanted || rejected == wanted, err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
