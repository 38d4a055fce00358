package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"wayloft/internal/fakes/pgserver"
)

// Processes gives all, in the order in which they were made.
func (f *Fleet) Processes() (all []*Process) {
	for _, name := range f.order {
		all = append(all, f.procs[name])
	}
	return all
}

// Primaries tells which members take writes by their own word: none, one, or in a cluster that went wrong more.
func (f *Fleet) Primaries() (names []string) {
	for _, m := range f.kind("member") {
		b, _ := os.ReadFile(filepath.Join(f.Dir, "members", "part-"+m.Name))
		if string(b) == "primary" {
			names = append(names, m.Name)
		}
	}
	return names
}

// Promote makes a member the primary in place of one whose process has ended, as a cluster's manager would: it can't ask the old
// one, whose part it takes away.
func (f *Fleet) Promote(old, to string) error {
	c, err := pgserver.OpenShared(filepath.Join(f.Dir, "members"), old)
	if err != nil {
		return err
	}
	if err := c.SetPrimary(false); err != nil {
		return err
	}
	if c, err = pgserver.OpenShared(filepath.Join(f.Dir, "members"), to); err != nil {
		return err
	}
	return c.SetPrimary(true)
}

// ManageMembers watches over the members until ctx ends: where the primary's process is gone for a second, another becomes primary.
func (f *Fleet) ManageMembers(ctx context.Context) {
	gone := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, name := range f.Primaries() {
			if f.procs[name].Pid() > 0 {
				delete(gone, name)
				continue
			}
			if gone[name].IsZero() {
				gone[name] = time.Now()
			}
			if time.Since(gone[name]) < time.Second {
				continue
			}
			for _, m := range f.kind("member") {
				if m.Pid() > 0 {
					if err := f.Promote(name, m.Name); err == nil {
						fmt.Printf("member %s is the primary in place of %s\n", m.Name[1:], name[1:])
					}
					break
				}
			}
		}
	}
}
