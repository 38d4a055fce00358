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

// sharedCluster is a cluster whose members are processes: a log in a directory, and a file for each member's role. Only the members'
// own files say who accepts writes, so that two members may, as in a real cluster that has split; the log shows which member wrote what.
type sharedCluster struct {
	dir, name string
	lock      *os.File
	logRead   int64 // bytes of the log that were read
}

// LogEntry is one line of the log: a commit, or a change of a member's role.
type LogEntry struct {
	At     float64     `json:"at"` // Unix ms
	By     string      `json:"by"`
	Writes [][2]string `json:"writes,omitempty"`
	Part   string      `json:"part,omitempty"` // takes: the member accepts writes now; yields: it no longer does
	Fence  uint64      `json:"fence,omitempty"`
}

// OpenShared opens one member's end of a cluster of processes. It creates the cluster's directory if there is none.
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

// exclusively calls f while no other member is in such a call.
func (s *sharedCluster) exclusively(f func() error) error {
	if err := unix.Flock(int(s.lock.Fd()), unix.LOCK_EX); err != nil {
		return err
	}
	defer func() { _ = unix.Flock(int(s.lock.Fd()), unix.LOCK_UN) }() // unlocking a file that is open does not fail
	return f()
}

// catchUp reads what others have logged. The cluster's lock must be held.
func (c *Cluster) catchUp() {
	f, err := os.Open(c.shared.path("log"))
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }() // it was only read
	size, err := f.Seek(0, 2)
	if err != nil || size <= c.shared.logRead {
		return
	}
	b := make([]byte, size-c.shared.logRead)
	if _, err := f.ReadAt(b, c.shared.logRead); err != nil {
		return
	}
	end := bytes.LastIndexByte(b, '\n') + 1 // a member that was killed may have left half a line
	c.shared.logRead += int64(end)
	for _, text := range bytes.Split(b[:end], []byte("\n")) {
		var l LogEntry
		if json.Unmarshal(text, &l) != nil {
			continue
		}
		c.last = max(c.last, l.At)
		for _, w := range l.Writes {
			c.rows[w[0]] = append(c.rows[w[0]], version{l.At, w[1]})
		}
	}
}

// appendLog appends a line; the caller must be in a call of exclusively. It cuts off what a killed member left half written.
func (c *Cluster) appendLog(l LogEntry) error {
	f, err := os.OpenFile(c.shared.path("log"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the error of the write counts
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

// guardRow returns the member's guard row; false if it has none.
func (s *sharedCluster) guardRow() (uint64, bool) {
	b, err := os.ReadFile(s.path("guard-" + s.name))
	if err != nil {
		return 0, false
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(b)), 10, 64)
	return n, err == nil
}

// Initialize gives a member its role and its guard row, if it has none yet.
func (c *Cluster) Initialize(primary, guarded bool) error {
	return c.shared.exclusively(func() error {
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

// setRole changes whether this member accepts writes, and logs it.
func (c *Cluster) setRole(primary bool, fence uint64) error {
	c.catchUp()
	part, does := "replica", "yields"
	if primary {
		part, does = "primary", "takes"
	}
	c.last = max(millis(), c.last+minPositionStep)
	if err := c.appendLog(LogEntry{At: c.last, By: c.shared.name, Part: does, Fence: fence}); err != nil {
		return err
	}
	return os.WriteFile(c.shared.path("part-"+c.shared.name), []byte(part), 0o600)
}

// SetPrimary changes whether this member accepts writes, as an administrator of the cluster does.
func (c *Cluster) SetPrimary(primary bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shared.exclusively(func() error { return c.setRole(primary, 0) })
}

// errNoPrimary is the error of a commit at a member that accepts no writes any more.
var errNoPrimary = errors.New("cannot commit in a member that takes no writes")

// stagedChange is what a transaction commits besides its rows.
type stagedChange struct {
	guard    uint64 // the new value of the guard row
	guardSet bool
	step     string // yield, take
}

// apply commits rows and a change at once, or nothing.
func (c *Cluster) apply(writes [][2]string, ch stagedChange) (at float64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	err = c.shared.exclusively(func() error {
		c.catchUp()
		if len(writes) > 0 && !c.shared.isPrimary(c.shared.name) {
			return errNoPrimary
		}
		if ch.guardSet {
			if seen, there := c.shared.guardRow(); !there || seen > ch.guard {
				return fmt.Errorf("guard row: %d has come in between", seen)
			}
			if err := os.WriteFile(c.shared.path("guard-"+c.shared.name), []byte(strconv.FormatUint(ch.guard, 10)), 0o600); err != nil {
				return err
			}
		}
		if primary := ch.step == "take"; ch.step != "" && primary != c.shared.isPrimary(c.shared.name) {
			return c.setRole(primary, ch.guard)
		}
		if len(writes) == 0 {
			return nil
		}
		c.last = max(millis(), c.last+minPositionStep)
		at = c.last
		if err := c.appendLog(LogEntry{At: at, By: c.shared.name, Writes: writes}); err != nil {
			return err
		}
		c.catchUp()
		return nil
	})
	return at, err
}

// ReadLog reads a cluster's log, for checkers.
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

// runSwitchoverQuery answers the statements of a planned switchover; false: it is none of them.
func (c *connection) runSwitchoverQuery(flat string, args []string, simple bool) bool {
	low := strings.ToLower(flat)
	s := c.server.Cluster.shared
	switch {
	case s == nil:
		return false
	case strings.HasPrefix(low, "select wayloft_takes_writes()"):
		c.writeRow(simple, "takes", map[bool]string{true: "t", false: "f"}[c.server.isPrimary()])
		c.writeTag("SELECT 1")
	case strings.HasPrefix(low, "select fence from wayloft_guard"):
		if seen, there := s.guardRow(); there {
			c.writeRow(simple, "fence", strconv.FormatUint(seen, 10))
			c.writeTag("SELECT 1")
		} else {
			c.writeTag("SELECT 0")
		}
	case strings.HasPrefix(low, "update wayloft_guard set fence ="):
		n, err := strconv.ParseUint(literal(strings.TrimSpace(flat[len("update wayloft_guard set fence ="):]), args), 10, 64)
		if err != nil {
			c.fail("22P02", "invalid input syntax for type bigint")
			return true
		}
		if seen, there := s.guardRow(); !there || seen > n {
			c.writeTag("UPDATE 0")
			return true
		}
		c.staged.guard, c.staged.guardSet = n, true
		c.writeTag("UPDATE 1")
	case strings.HasPrefix(low, "select wayloft_yield()"), strings.HasPrefix(low, "select wayloft_take()"):
		c.staged.step = "yield"
		if strings.Contains(low, "take()") {
			c.staged.step = "take"
		}
		c.writeRow(simple, c.staged.step, "")
		c.writeTag("SELECT 1")
	default:
		return false
	}
	return true
}
