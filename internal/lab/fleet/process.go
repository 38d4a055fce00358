package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// Kinds of processes. `wayloft lab fleet` prints them.
const (
	coordinatorKind = "council"
	memberKind      = "member"
	routerKind      = "router"
)

// readyLines holds, by kind of process, a part of the log line that the process writes once it serves.
var readyLines = map[string]string{coordinatorKind: `msg="coordinator started"`, routerKind: "msg=serving", memberKind: "msg=member"}

const (
	killTimeout   = 10 * time.Second // limit from SIGKILL to the end of the process
	errorLogLines = 3                // log lines quoted in errors
)

// Process is a process of a fleet, running or not. Its methods are safe for concurrent use.
type Process struct {
	Kind, Name   string
	Addr         string // address at which it serves clients, RPCs of the coordinator or statements
	ReceiverAddr string // address at which a router receives acts of lease holders
	DataDir      string // of a coordinator node
	Config       string // path of its settings

	fleet     *Fleet
	arguments []string

	mu                sync.Mutex
	command           *exec.Cmd     // nil while the process doesn't run
	done              chan struct{} // closed when the latest start ends; nil before the first
	earlierReadyLines int           // ready lines in the log before the latest start
}

// LogPath returns the path of the process's log. All starts append to it.
func (p *Process) LogPath() string { return filepath.Join(p.fleet.Dir, logDirectory, p.Name+".log") }

// Start starts the process, which must not be running.
func (p *Process) Start() error { return p.start(exec.Command(p.fleet.Binary, p.arguments...)) }

// StartWithFileLimit starts the process with a limit on the size of its files, in blocks of 512 bytes.
func (p *Process) StartWithFileLimit(blocks int) error {
	script := fmt.Sprintf(`ulimit -f %d; exec "$0" "$@"`, blocks)
	return p.start(exec.Command("/bin/sh", append([]string{"-c", script, p.fleet.Binary}, p.arguments...)...))
}

func (p *Process) start(command *exec.Cmd) (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return fmt.Errorf("start %s: already running", p.Name)
	}
	if p.earlierReadyLines, err = p.countReadyLines(); err != nil {
		return err
	}
	log, err := os.OpenFile(p.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "WAYLOFT_FAULTS="+filepath.Join(p.fleet.Dir, failpointDirectory, p.Name), "GOTRACEBACK=single")
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.command, p.done = command, make(chan struct{})
	go p.wait(command, p.done)
	return nil
}

// wait waits for the end of a started process and records it.
func (p *Process) wait(command *exec.Cmd, done chan struct{}) {
	err := command.Wait()
	logrus.WithError(err).WithField("process", p.Name).Debug("process ended")
	p.mu.Lock()
	p.command = nil
	p.mu.Unlock()
	close(done)
}

// Pid returns the process's id, or 0 if it doesn't run.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// signal sends a signal to the process if it runs.
func (p *Process) signal(signal syscall.Signal) {
	pid := p.Pid()
	if pid == 0 {
		return
	}
	if err := syscall.Kill(pid, signal); err != nil && !errors.Is(err, syscall.ESRCH) {
		logrus.WithError(err).WithField("process", p.Name).Warnf("could not send signal: %v", signal)
	}
}

// Stop sends SIGSTOP. The threads stop some time later; Stopped reports whether all have.
func (p *Process) Stop() { p.signal(syscall.SIGSTOP) }

// Resume continues a stopped process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	if !p.WaitExit(killTimeout) {
		logrus.WithField("process", p.Name).Warn("process has not ended after SIGKILL")
	}
}

// Stopped reports whether all threads of the process are stopped by a signal.
func (p *Process) Stopped() bool {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.Pid()))
	if err != nil {
		return false
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return false
		}
		if state := text[bytes.LastIndexByte(text, ')')+1:]; !bytes.HasPrefix(state, []byte(" T")) {
			return false
		}
	}
	return len(paths) > 0
}

// WaitExit waits for the end of the process. It returns false if the process still runs after the timeout.
func (p *Process) WaitExit(timeout time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// readLog returns the log of all starts, which is empty before the first.
func (p *Process) readLog() ([]byte, error) {
	text, err := os.ReadFile(p.LogPath())
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return text, err
}

func (p *Process) countReadyLines() (int, error) {
	text, err := p.readLog()
	return bytes.Count(text, []byte(readyLines[p.Kind])), err
}

// WaitReady waits until the process has logged that it serves, since its latest start.
func (p *Process) WaitReady() error {
	return WaitUntil(p.Name+" is ready", func() (bool, error) {
		pid := p.Pid() // read before the log: the log of a process that has ended is complete
		count, err := p.countReadyLines()
		if err != nil || count > p.earlierReadyLines {
			return err == nil, err
		}
		if pid == 0 {
			return false, fmt.Errorf("process has ended: %s", p.logTail())
		}
		return false, nil
	})
}

// startAndWait starts a process and waits until it is ready.
func (p *Process) startAndWait() error {
	if err := p.Start(); err != nil {
		return err
	}
	return p.WaitReady()
}

// logTail returns the last lines of the log, for errors.
func (p *Process) logTail() string {
	text, err := p.readLog()
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-errorLogLines):], " | ")
}
