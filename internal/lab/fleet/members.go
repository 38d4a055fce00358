package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/fakes/pgserver"
)

const (
	memberCheckInterval = 100 * time.Millisecond
	failoverDelay       = time.Second // from the end of the primary's process to another's promotion
)

// Primaries tells which members accept writes by the state that they store: none, one, or more than one in a cluster that went wrong.
func (f *Fleet) Primaries() (names []string) {
	for _, member := range f.ofKind(memberKind) {
		role, err := os.ReadFile(filepath.Join(f.Dir, memberDirectory, "part-"+member.Name))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			logrus.WithError(err).WithField("member", member.Name).Warn("role of a member not read")
		}
		if string(role) == "primary" {
			names = append(names, member.Name)
		}
	}
	return names
}

// Promote makes a member the primary in place of one whose process has ended, as a cluster's manager would: it can't ask the former
// primary to step down.
func (f *Fleet) Promote(former, next string) error {
	directory := filepath.Join(f.Dir, memberDirectory)
	for _, change := range []struct {
		name    string
		primary bool
	}{{former, false}, {next, true}} {
		member, err := pgserver.OpenShared(directory, change.name)
		if err != nil {
			return err
		}
		if err := member.SetPrimary(change.primary); err != nil {
			return err
		}
	}
	return nil
}

// ManageMembers watches the members until ctx ends: where the primary's process is gone for failoverDelay, another becomes primary.
func (f *Fleet) ManageMembers(ctx context.Context) {
	goneSince := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(memberCheckInterval):
		}
		for _, name := range f.Primaries() {
			if f.processes[name].Pid() > 0 {
				delete(goneSince, name)
				continue
			}
			if goneSince[name].IsZero() {
				goneSince[name] = time.Now()
			}
			if time.Since(goneSince[name]) >= failoverDelay {
				f.promoteRunning(name)
			}
		}
	}
}

// promoteRunning promotes the first member that runs in place of the former primary.
func (f *Fleet) promoteRunning(former string) {
	for _, member := range f.ofKind(memberKind) {
		if member.Pid() == 0 {
			continue
		}
		if err := f.Promote(former, member.Name); err != nil {
			logrus.WithError(err).WithField("member", member.Name).Warn("member not promoted")
			return
		}
		fmt.Printf("member %s is the primary in place of %s\n", member.Name[1:], former[1:])
		return
	}
}
