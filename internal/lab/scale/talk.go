package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// ChildSpec is the first line that a process of hollow ones reads: what it is to be.
type ChildSpec struct {
	Role      string            `json:"role"` // routers, databases, discovery
	Fleet     string            `json:"fleet,omitempty"`
	Council   []string          `json:"council,omitempty"`
	Via       map[string]string `json:"via,omitempty"`
	Discovery string            `json:"discovery,omitempty"`
	Names     []string          `json:"names,omitempty"` // of routers, or of databases
	Addrs     []string          `json:"addrs,omitempty"` // of databases that were there before
	Primaries []string          `json:"primaries,omitempty"`
	Entries   []Entry           `json:"entries,omitempty"` // of discovery's list
	Groups    []int             `json:"groups,omitempty"`  // that routers see; none: all
	SessionMs float64           `json:"session_ms,omitempty"`
	SightMs   float64           `json:"sight_ms,omitempty"`
	PaceMs    float64           `json:"pace_ms,omitempty"`
	Mark      *Mark             `json:"mark,omitempty"`
}

// Entry is one line of discovery's list, in its form.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Group   int     `json:"cell"`
	Phase   string  `json:"phase"`
	Started float64 `json:"up_since_ms"` // Unix ms
}

// Mark says from when on, and of what, it is noted when routers hear of it.
type Mark struct {
	Revision int64  `json:"revision,omitempty"` // of the list, or a later one
	Primary  string `json:"primary,omitempty"`  // told of as one by health sharing
	Policy   bool   `json:"policy,omitempty"`   // any other version
}

// ChildRequest is one line of what a process of hollow ones is asked.
type ChildRequest struct {
	Do      string   `json:"do"` // count, mark, heard, restarted, promote
	Mark    *Mark    `json:"mark,omitempty"`
	Members []string `json:"members,omitempty"`
	At      float64  `json:"at,omitempty"` // Unix ms
}

// ChildResponse is the line that comes back; the first says that the process is there.
type ChildResponse struct {
	Addrs    []string         `json:"addrs,omitempty"`
	Revision int64            `json:"revision,omitempty"`
	Counts   map[string]int64 `json:"counts,omitempty"`
	Heard    *ReceivedTimes   `json:"heard,omitempty"`
	Err      string           `json:"err,omitempty"`
}

// ReceivedTimes are the times, Unix ms, at which what a mark names was heard: one for each router.
type ReceivedTimes struct {
	Policies  []float64 `json:"policies,omitempty"`
	Lists     []float64 `json:"lists,omitempty"`
	Primaries []float64 `json:"primaries,omitempty"`
}

// patience is how long an answer of another process may take: far longer than it does.
const patience = 60 * time.Second

// Child is a process of hollow ones. It ends when its input does, so also when the process that started it is gone.
type Child struct {
	Spec  ChildSpec
	Addrs []string
	cmd   *exec.Cmd
	in    io.WriteCloser
	lines chan []byte
	mu    sync.Mutex
}

// StartChild starts one and waits until it is there.
func StartChild(binary, dir, name string, spec ChildSpec) (*Child, error) {
	log, err := os.OpenFile(filepath.Join(dir, "hollow-"+name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c := &Child{Spec: spec, cmd: exec.Command(binary, "lab", "hollow"), lines: make(chan []byte, 1)}
	c.cmd.Stderr = log
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(c.lines)
		d := json.NewDecoder(out)
		for {
			var line json.RawMessage
			if d.Decode(&line) != nil {
				return
			}
			c.lines <- line
		}
	}()
	a, err := c.ask(spec, patience+time.Duration(spec.PaceMs*float64(len(spec.Names)))*time.Millisecond)
	if err != nil {
		c.Kill()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	c.Addrs = a.Addrs
	return c, nil
}

// Ask has it answer a query.
func (c *Child) Ask(q ChildRequest) (ChildResponse, error) { return c.ask(q, patience) }

func (c *Child) ask(q any, within time.Duration) (a ChildResponse, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := json.NewEncoder(c.in).Encode(q); err != nil {
		return a, err
	}
	select {
	case line, more := <-c.lines:
		if !more {
			return a, errors.New("it has ended")
		}
		if err := json.Unmarshal(line, &a); err != nil {
			return a, err
		}
	case <-time.After(within):
		return a, errors.New("no answer")
	}
	if a.Err != "" {
		return a, errors.New(a.Err)
	}
	return a, nil
}

// Pid is the process's.
func (c *Child) Pid() int { return c.cmd.Process.Pid }

// Kill ends it at once, and waits for that.
func (c *Child) Kill() {
	c.cmd.Process.Kill()
	c.in.Close()
	for range c.lines {
	}
	c.cmd.Wait()
}
