package pgserver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// sharedCluster is one member's view of a cluster whose members are separate processes. A directory holds the commit log and a role file for
// each member. Only a member's own role file determines whether it accepts writes, so two members can accept writes at the same time, as in
// a real split-brain; the log records which member wrote each row.
type sharedCluster struct {
	dir, name string
	lock      *os.File
	logRead   int64 // number of log bytes read so far
}

// LogEntry is a line of the log: a commit or a change of a member's role.
type LogEntry struct {
	At         float64     `json:"at"` // Unix ms
	By         string      `json:"by"`
	Writes     [][2]string `json:"writes,omitempty"`
	Transition string      `json:"part,omitempty"` // "takes": the member starts to accept writes; "yields": it stops
	Fence      uint64      `json:"fence,omitempty"`
}

// OpenShared opens a cluster of processes as the named member. It creates the cluster's directory if necessary.
func OpenShared(dir, name string) (*Cluster, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	c := NewCluster()
	c.shared = &sharedCluster{dir: dir, name: name, lock: lock}
	return c, nil
}

func (s *sharedCluster) path(what string) string { return filepath.Join(s.dir, what) }

// withLock calls f with the cluster's file lock held, which excludes all other members.
func (s *sharedCluster) withLock(f func() error) error {
	if err := unix.Flock(int(s.lock.Fd()), unix.LOCK_EX); err != nil {
		return err
	}
	defer func() { _ = unix.Flock(int(s.lock.Fd()), unix.LOCK_UN) }() // unlocking an open file doesn't fail
	return f()
}

// catchUp applies the log entries that have not been read yet. The caller must hold c.mu.
func (c *Cluster) catchUp() {
	f, err := os.Open(c.shared.path("log"))
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }() // the file was opened read-only
	size, err := f.Seek(0, 2)
	if err != nil || size <= c.shared.logRead {
		return
	}
	b := make([]byte, size-c.shared.logRead)
	if _, err := f.ReadAt(b, c.shared.logRead); err != nil {
		return
	}
	end := bytes.LastIndexByte(b, '\n') + 1 // a killed member may have left a partial line
	c.shared.logRead += int64(end)
	for _, text := range bytes.Split(b[:end], []byte("\n")) {
		var l LogEntry
		if json.Unmarshal(text, &l) != nil {
			continue
		}
		c.lastPosition = max(c.lastPosition, l.At)
		for _, w := range l.Writes {
			c.rows[w[0]] = append(c.rows[w[0]], version{l.At, w[1]})
		}
	}
}

// appendLog appends an entry after truncating a partial line left by a killed member. It must be called within withLock, after catchUp.
func (c *Cluster) appendLog(l LogEntry) error {
	f, err := os.OpenFile(c.shared.path("log"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the error of the write is reported
	if err := f.Truncate(c.shared.logRead); err != nil {
		return err
	}
	b, err := json.Marshal(l)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(append(b, '\n'), c.shared.logRead)
	return err
}

func (s *sharedCluster) isPrimary(name string) bool {
	b, _ := os.ReadFile(s.path("part-" + name))
	return string(b) == "primary"
}

// guardRow returns the fencing token in the member's guard row; false if it has none.
func (s *sharedCluster) guardRow() (uint64, bool) {
	b, err := os.ReadFile(s.path("guard-" + s.name))
	if err != nil {
		return 0, false
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(b)), 10, 64)
	return n, err == nil
}

// Initialize sets the member's role and, if guarded is set, creates its guard row. It does nothing if the member already has a role.
func (c *Cluster) Initialize(primary, guarded bool) error {
	return c.shared.withLock(func() error {
		if _, err := os.Stat(c.shared.path("part-" + c.shared.name)); err == nil {
			return nil
		}
		if guarded {
			if err := os.WriteFile(c.shared.path("guard-"+c.shared.name), []byte("0"), 0o600); err != nil {
				return err
			}
		}
		return c.setRole(primary, 0)
	})
}

// setRole sets whether this member accepts writes and logs the change. It must be called within withLock.
func (c *Cluster) setRole(primary bool, fence uint64) error {
	c.catchUp()
	role, transition := "replica", "yields"
	if primary {
		role, transition = "primary", "takes"
	}
	c.lastPosition = max(nowMillis(), c.lastPosition+minPositionStep)
	if err := c.appendLog(LogEntry{At: c.lastPosition, By: c.shared.name, Transition: transition, Fence: fence}); err != nil {
		return err
	}
	return os.WriteFile(c.shared.path("part-"+c.shared.name), []byte(role), 0o600)
}

// SetPrimary sets whether this member accepts writes, as a cluster administrator would.
func (c *Cluster) SetPrimary(primary bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shared.withLock(func() error { return c.setRole(primary, 0) })
}

// errNoPrimary is returned for a commit of rows on a member that doesn't accept writes.
var errNoPrimary = errors.New("cannot commit: this member does not accept writes")

// stagedChange is the part of a transaction's commit other than its rows.
type stagedChange struct {
	guard    uint64 // the new fencing token in the guard row
	guardSet bool
	step     string // "yield" or "take"; empty: no role change
}

// apply commits rows and a staged change under the cluster's file lock. It rejects rows if the member doesn't accept writes, and a guard
// update if the member has no guard row or a newer fencing token in it. A rejected commit changes nothing.
func (c *Cluster) apply(writes [][2]string, staged stagedChange) (at float64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	err = c.shared.withLock(func() error {
		c.catchUp()
		if len(writes) > 0 && !c.shared.isPrimary(c.shared.name) {
			return errNoPrimary
		}
		if staged.guardSet {
			if token, found := c.shared.guardRow(); !found || token > staged.guard {
				return fmt.Errorf("guard row is missing or holds the newer fencing token %d", token)
			}
			if err := os.WriteFile(c.shared.path("guard-"+c.shared.name), []byte(strconv.FormatUint(staged.guard, 10)), 0o600); err != nil {
				return err
			}
		}
		if primary := staged.step == "take"; staged.step != "" && primary != c.shared.isPrimary(c.shared.name) {
			return c.setRole(primary, staged.guard)
		}
		if len(writes) == 0 {
			return nil
		}
		c.lastPosition = max(nowMillis(), c.lastPosition+minPositionStep)
		at = c.lastPosition
		if err := c.appendLog(LogEntry{At: at, By: c.shared.name, Writes: writes}); err != nil {
			return err
		}
		c.catchUp()
		return nil
	})
	return at, err
}

// ReadLog reads a cluster's log for use by checkers.
func ReadLog(dir string) ([]LogEntry, error) {
	b, err := os.ReadFile(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	var all []LogEntry
	for n, text := range bytes.Split(bytes.TrimSpace(b), []byte("\n")) {
		var l LogEntry
		if err := json.Unmarshal(text, &l); err != nil {
			return nil, fmt.Errorf("log:%d: %w", n+1, err)
		}
		all = append(all, l)
	}
	return all, nil
}

// runSwitchoverQuery runs the statements of a planned switchover. It returns false for any other statement.
func (c *connection) runSwitchoverQuery(normalized string, args []string, simple bool) bool {
	lower := strings.ToLower(normalized)
	s := c.server.Cluster.shared
	switch {
	case s == nil:
		return false
	case strings.HasPrefix(lower, "select wayloft_takes_writes()"):
		c.writeRow(simple, "takes", map[bool]string{true: "t", false: "f"}[c.server.isPrimary()])
		c.writeTag("SELECT 1")
	case strings.HasPrefix(lower, "select fence from wayloft_guard"):
		if token, found := s.guardRow(); found {
			c.writeRow(simple, "fence", strconv.FormatUint(token, 10))
			c.writeTag("SELECT 1")
		} else {
			c.writeTag("SELECT 0")
		}
	case strings.HasPrefix(lower, "update wayloft_guard set fence ="):
		n, err := strconv.ParseUint(literal(strings.TrimSpace(normalized[len("update wayloft_guard set fence ="):]), args), 10, 64)
		if err != nil {
			c.fail("22P02", "invalid input syntax for type bigint")
			return true
		}
		if token, found := s.guardRow(); !found || token > n {
			c.writeTag("UPDATE 0")
			return true
		}
		c.staged.guard, c.staged.guardSet = n, true
		c.writeTag("UPDATE 1")
	case strings.HasPrefix(lower, "select wayloft_yield()"), strings.HasPrefix(lower, "select wayloft_take()"):
		c.staged.step = "yield"
		if strings.Contains(lower, "take()") {
			c.staged.step = "take"
		}
		c.writeRow(simple, c.staged.step, "")
		c.writeTag("SELECT 1")
	default:
		return false
	}
	return true
}
