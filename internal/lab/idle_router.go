package lab

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits of an idle router's settings, beyond the largest sizes that are measured.
const (
	idleSessions      = 7500
	idleConnections   = 512
	idleDescriptors   = 16384
	idleDefaultMemory = "512MiB"
)

const (
	idleFileMode    = 0o600
	reachAttempts   = 200
	reachPause      = 50 * time.Millisecond
	percentOfOneCPU = 100
)

// IdleRouter is a router, as a process of its own, that gets no requests: members are listed that don't exist, sessions are open and idle.
type IdleRouter struct {
	Program           string // path of wayloft
	Members, Sessions int
	Groups            int    // that the members belong to
	Fleet             bool   // with a coordinator of one node
	Memory            string // its limit; empty: an ordinary one
	SettleTime        time.Duration
	SampleDuration    time.Duration
	Samples           int
}

// IdleResult is what an idle router used, sample by sample.
type IdleResult struct {
	IdleRouter
	CPU         []float64 // % of a core
	Bytes       []float64 // that its system calls read and wrote, a second
	Resident    float64   // MiB, at the end
	Peak        float64   // MiB
	Descriptors int
}

// idleTemplate has the address of an idle router and its limits.
const idleTemplate = `name = "still"
listen = %q
seed = "8c1f30d27a5be964"

[limits]
memory = %q
descriptors = %d
sessions = %d
connections = %d

[fleet]
reports = true
warm_up = "1s"
`

// idlePool is the pool that the sessions are of.
const idlePool = `
[[pools]]
user = "api"
database = "ledger"
form = "transaction"
connections_per_member = 16
wait = "5s"
`

// idleCoordinatorTemplate has the address of the coordinator's node, its data directory, and the address once more.
const idleCoordinatorTemplate = `[council]
fleet = "still"
name = "c1"
listen = %q
folder = %q
[[council.peers]]
name = "c1"
address = %q
`

// Configuration gives the router's settings, as TOML.
func (r IdleRouter) Configuration(listen, coordinator, receiver, auditLog string) string {
	var text strings.Builder
	fmt.Fprintf(&text, idleTemplate, listen, cmp.Or(r.Memory, idleDefaultMemory), idleDescriptors, idleSessions, idleConnections)
	if r.Fleet {
		fmt.Fprintf(&text, "name = \"still\"\ncouncil = [%q]\norders = %q\nrecord = %q\n", coordinator, receiver, auditLog)
	}
	text.WriteString(idlePool)
	for n := range r.Members {
		fmt.Fprintf(&text, "\n[[members]]\nid = \"m%d\"\naddress = \"127.0.0.1:1\"\ngroup = %d\n", n, n%max(1, r.Groups))
	}
	return text.String()
}

// idleProcesses are the processes of one measurement, with their directory.
type idleProcesses struct {
	router      IdleRouter
	directory   string
	address     string // of the router
	receiver    string // of the router
	coordinator string // address of the coordinator
	running     []*exec.Cmd
}

// Run starts the router, measures it and ends it.
func (r IdleRouter) Run() (result IdleResult, err error) {
	result.IdleRouter = r
	directory, err := os.MkdirTemp("", "wayloft-idle-")
	if err != nil {
		return result, err
	}
	processes := &idleProcesses{router: r, directory: directory}
	defer func() { err = errors.Join(err, processes.close()) }()
	pid, err := processes.startAll()
	if err != nil {
		return result, err
	}
	err = WithIdlePoolSessions(processes.address, r.Sessions, func() error { return result.measure(pid) })
	return result, err
}

// measure takes all samples of the router.
func (r *IdleResult) measure(pid int) error {
	time.Sleep(r.SettleTime)
	for range r.Samples {
		before, err := readUsage(pid)
		if err != nil {
			return err
		}
		started := time.Now()
		time.Sleep(r.SampleDuration)
		after, err := readUsage(pid)
		if err != nil {
			return err
		}
		seconds := time.Since(started).Seconds()
		r.CPU = append(r.CPU, (after.cpuSeconds-before.cpuSeconds)/seconds*percentOfOneCPU)
		r.Bytes = append(r.Bytes, (after.bytes-before.bytes)/seconds)
	}
	var err error
	if r.Resident, r.Peak, err = readMemory(pid); err != nil {
		return err
	}
	r.Descriptors, err = countDescriptors(pid)
	return err
}

// startAll starts the coordinator, if there is to be one, and the router, waits until the router accepts connections and gives its pid.
func (p *idleProcesses) startAll() (pid int, err error) {
	for _, address := range []*string{&p.address, &p.receiver, &p.coordinator} {
		if *address, err = freeAddress(); err != nil {
			return 0, err
		}
	}
	if p.router.Fleet {
		config := fmt.Sprintf(idleCoordinatorTemplate, p.coordinator, filepath.Join(p.directory, "c1"), p.coordinator)
		if _, err := p.start("council.toml", config, "council", "run"); err != nil {
			return 0, err
		}
	}
	config := p.router.Configuration(p.address, p.coordinator, p.receiver, filepath.Join(p.directory, "record"))
	if pid, err = p.start("router.toml", config, "serve"); err != nil {
		return 0, err
	}
	if err := awaitListener(p.address); err != nil {
		log, readErr := os.ReadFile(p.logPath())
		return 0, errors.Join(fmt.Errorf("%w\n%s", err, log), readErr)
	}
	return pid, nil
}

func (p *idleProcesses) logPath() string { return filepath.Join(p.directory, "log") }

// start writes a process's settings and starts it.
func (p *idleProcesses) start(configName, config string, command ...string) (pid int, err error) {
	path := filepath.Join(p.directory, configName)
	if err := os.WriteFile(path, []byte(config), idleFileMode); err != nil {
		return 0, err
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, idleFileMode)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	process := exec.Command(p.router.Program, append(command, "--config", path)...)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return 0, err
	}
	p.running = append(p.running, process)
	return process.Process.Pid, nil
}

// close kills the processes, which have nothing to lose, waits for their ends and removes the directory.
func (p *idleProcesses) close() error {
	var failures error
	for _, process := range p.running {
		if err := process.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			failures = errors.Join(failures, err)
		}
		if err := process.Wait(); err != nil {
			logrus.WithError(err).Debug("process ended")
		}
	}
	return errors.Join(failures, os.RemoveAll(p.directory))
}

// freeAddress gives an address of loopback that is free just now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// awaitListener waits until an address accepts connections.
func awaitListener(address string) (err error) {
	for range reachAttempts {
		var connection net.Conn
		if connection, err = net.Dial("tcp", address); err == nil {
			return connection.Close()
		}
		time.Sleep(reachPause)
	}
	return err
}
