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

// Kinds of processes; `wayloft lab fleet` prints them.
const (
	coordinatorKind = "council"
	memberKind      = "member"
	routerKind      = "router"
)

// readyLines are parts of the log line by which a process of each kind writes that it serves.
var readyLines = map[string]string{coordinatorKind: `msg="coordinator started"`, routerKind: "msg=serving", memberKind: "msg=member"}

const (
	killTimeout   = 10 * time.Second // for the end of a process after SIGKILL
	shownLogLines = 3                // in errors
)

// Process is a process of a fleet, whether it runs or not. Its methods may be called at the same time.
type Process struct {
	Kind, Name   string
	Addr         string // where it serves clients, the coordinator's calls or statements
	ReceiverAddr string // where a router receives acts of lease holders
	DataDir      string // of a coordinator node
	Config       string // path of its settings

	fleet     *Fleet
	arguments []string

	mu                sync.Mutex
	command           *exec.Cmd     // nil: it doesn't run
	done              chan struct{} // closed when the latest start has ended
	earlierReadyLines int           // ready lines that its log had before the latest start
}

// LogPath is the path of the process's log, which all of its starts write to.
func (p *Process) LogPath() string { return filepath.Join(p.fleet.Dir, logDirectory, p.Name+".log") }

// Start starts a process that doesn't run.
func (p *Process) Start() error { return p.start(exec.Command(p.fleet.Binary, p.arguments...)) }

// StartWithFileLimit starts a process whose files can't grow beyond so many blocks of 512 bytes.
func (p *Process) StartWithFileLimit(blocks int) error {
	script := fmt.Sprintf(`ulimit -f %d; exec "$0" "$@"`, blocks)
	return p.start(exec.Command("/bin/sh", append([]string{"-c", script, p.fleet.Binary}, p.arguments...)...))
}

func (p *Process) start(command *exec.Cmd) (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return fmt.Errorf("start %s: it runs", p.Name)
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

// wait waits for the end of a process that was started.
func (p *Process) wait(command *exec.Cmd, done chan struct{}) {
	err := command.Wait()
	logrus.WithError(err).WithField("process", p.Name).Debug("process ended")
	p.mu.Lock()
	p.command = nil
	p.mu.Unlock()
	close(done)
}

// Pid gives the process's id; 0: it doesn't run.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// signal sends a signal to a process that runs.
func (p *Process) signal(signal syscall.Signal) {
	pid := p.Pid()
	if pid == 0 {
		return
	}
	if err := syscall.Kill(pid, signal); err != nil && !errors.Is(err, syscall.ESRCH) {
		logrus.WithError(err).WithField("process", p.Name).Warnf("signal not sent: %v", signal)
	}
}

// Stop stops the process by SIGSTOP; all its threads have stopped some time later, as Stopped tells.
func (p *Process) Stop() { p.signal(syscall.SIGSTOP) }

// Resume has a stopped process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to end.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	if !p.WaitExit(killTimeout) {
		logrus.WithField("process", p.Name).Warn("killed process has not ended")
	}
}

// Stopped tells whether all threads of the process are stopped by a signal.
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

// WaitExit waits for the end of the process; false: it still runs after the timeout.
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

// readLog gives the log of all starts; it is empty before the first.
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

// WaitReady waits until the process says that it serves, since its latest start.
func (p *Process) WaitReady() error {
	return WaitUntil(p.Name+" is ready", func() (bool, error) {
		pid := p.Pid() // before the log is read: what an ended process wrote is there
		count, err := p.countReadyLines()
		if err != nil || count > p.earlierReadyLines {
			return err == nil, err
		}
		if pid == 0 {
			return false, fmt.Errorf("it has ended: %s", p.lastLogLines())
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

// lastLogLines gives the end of the log, for errors.
func (p *Process) lastLogLines() string {
	text, err := p.readLog()
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-shownLogLines):], " | ")
}
