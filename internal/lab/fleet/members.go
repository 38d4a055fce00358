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
	failoverDelay       = time.Second // from the end of the primary's process to the promotion of another member
)

// Primaries returns the members that accept writes according to their stored state. More than one means a split-brain.
func (f *Fleet) Primaries() (names []string) {
	for _, member := range f.ofKind(memberKind) {
		role, err := os.ReadFile(filepath.Join(f.Dir, memberDirectory, "part-"+member.Name))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			logrus.WithError(err).WithField("member", member.Name).Warn("could not read the role of a member")
		}
		if string(role) == "primary" {
			names = append(names, member.Name)
		}
	}
	return names
}

// Promote makes a member the primary in place of one whose process has ended. It changes the stored state of both, as a cluster manager
// would: the former primary can't be asked to step down.
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

// ManageMembers performs failovers until ctx is done: when the primary's process has been gone for failoverDelay, another member is promoted.
func (f *Fleet) ManageMembers(ctx context.Context) {
	downSince := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(memberCheckInterval):
		}
		for _, name := range f.Primaries() {
			if f.processes[name].Pid() > 0 {
				delete(downSince, name)
				continue
			}
			if downSince[name].IsZero() {
				downSince[name] = time.Now()
			}
			if time.Since(downSince[name]) >= failoverDelay {
				f.promoteRunning(name)
			}
		}
	}
}

// promoteRunning promotes the first running member in place of the former primary.
func (f *Fleet) promoteRunning(former string) {
	for _, member := range f.ofKind(memberKind) {
		if member.Pid() == 0 {
			continue
		}
		if err := f.Promote(former, member.Name); err != nil {
			logrus.WithError(err).WithField("member", member.Name).Warn("could not promote a member")
			return
		}
		fmt.Printf("member %s is the primary in place of %s\n", member.Name[1:], former[1:])
		return
	}
}
