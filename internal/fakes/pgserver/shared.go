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

// sharedCluster is a cluster whose members are processes: one log in a folder, a file for each member's part. Nothing but the members'
// own parts says who takes writes, so that two may, as in a real cluster that went wrong; the log tells who wrote what.
type sharedCluster struct {
	dir, name string
	lock      *os.File
	logRead   int64 // bytes of the log that are known
}

// LogEntry is one of the log's: a commit, or a change of a member's part.
type LogEntry struct {
	At     float64     `json:"at"`
	By     string      `json:"by"`
	Writes [][2]string `json:"writes,omitempty"`
	Part   string      `json:"part,omitempty"` // takes, yields
	Fence  uint64      `json:"fence,omitempty"`
}

// OpenShared opens one member's end of a cluster of processes. The folder holds the cluster; it is made if it isn't there.
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

// exclusively does something while no other member does.
func (s *sharedCluster) exclusively(f func() error) error {
	if err := unix.Flock(int(s.lock.Fd()), unix.LOCK_EX); err != nil {
		return err
	}
	defer unix.Flock(int(s.lock.Fd()), unix.LOCK_UN)
	return f()
}

// catchUp reads what others have logged; the cluster's lock is held.
func (c *Cluster) catchUp() {
	f, err := os.Open(c.shared.path("log"))
	if err != nil {
		return
	}
	defer f.Close()
	size, err := f.Seek(0, 2)
	if err != nil || size <= c.shared.logRead {
		return
	}
	b := make([]byte, size-c.shared.logRead)
	if _, err := f.ReadAt(b, c.shared.logRead); err != nil {
		return
	}
	end := bytes.LastIndexByte(b, '\n') + 1 // one that was killed may have left half a line
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

// appendLog appends a line; who does is alone. What a killed member left half written is cut off first.
func (c *Cluster) appendLog(l LogEntry) error {
	f, err := os.OpenFile(c.shared.path("log"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
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

// guardRow gives the member's guard row; false: there is none.
func (s *sharedCluster) guardRow() (uint64, bool) {
	b, err := os.ReadFile(s.path("guard-" + s.name))
	if err != nil {
		return 0, false
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(b)), 10, 64)
	return n, err == nil
}

// Initialize gives a member its part and its guard row, where it has none yet.
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

// setRole changes whether this member takes writes, and logs it.
func (c *Cluster) setRole(primary bool, fence uint64) error {
	c.catchUp()
	part, does := "replica", "yields"
	if primary {
		part, does = "primary", "takes"
	}
	c.last = max(millis(), c.last+0.001)
	if err := c.appendLog(LogEntry{At: c.last, By: c.shared.name, Part: does, Fence: fence}); err != nil {
		return err
	}
	return os.WriteFile(c.shared.path("part-"+c.shared.name), []byte(part), 0o600)
}

// errNoPrimary is of a commit at a member that takes no writes any more.
var errNoPrimary = errors.New("cannot commit in a member that takes no writes")

// stagedChange is what a transaction has staged beside its rows.
type stagedChange struct {
	guard    uint64 // to be the guard row's
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
		c.last = max(millis(), c.last+0.001)
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

// runSwitchoverQuery answers the statements of a planned change; false: it is none of them.
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

// SetPrimary has this member take writes, or not, by the word of who manages the cluster.
func (c *Cluster) SetPrimary(primary bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shared.exclusively(func() error { return c.setRole(primary, 0) })
}
