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

// Limits in an idle router's configuration, above the largest sizes that are measured.
const (
	idleSessions      = 7500
	idleConnections   = 512
	idleDescriptors   = 16384
	idleDefaultMemory = "512MiB"
)

const (
	idleFileMode         = 0o600
	connectAttempts      = 200
	connectRetryInterval = 50 * time.Millisecond
	percentOfOneCPU      = 100
)

// IdleRouter describes a measurement of a router process that receives no requests. The configured members don't exist, and the client
// sessions are open and idle.
type IdleRouter struct {
	Program           string // path of the wayloft binary
	Members, Sessions int
	Groups            int    // number of groups that the members are spread over
	Fleet             bool   // run a single-node coordinator
	Memory            string // the router's memory limit; empty: idleDefaultMemory
	SettleTime        time.Duration
	SampleDuration    time.Duration
	Samples           int
}

// IdleResult is the resource usage of an idle router. CPU and Bytes have one value per sample.
type IdleResult struct {
	IdleRouter
	CPU         []float64 // percent of one core
	Bytes       []float64 // bytes per second read and written by its system calls
	Resident    float64   // MiB, at the end
	Peak        float64   // MiB
	Descriptors int
}

// idleTemplate takes an idle router's listen address and limits.
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

// idlePool is the pool of the idle sessions.
const idlePool = `
[[pools]]
user = "api"
database = "ledger"
form = "transaction"
connections_per_member = 16
wait = "5s"
`

// idleCoordinatorTemplate takes the coordinator node's listen address, its data directory, and its address in the peer list.
const idleCoordinatorTemplate = `[council]
fleet = "still"
name = "c1"
listen = %q
folder = %q
[[council.peers]]
name = "c1"
address = %q
`

// Configuration returns the router's TOML configuration.
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

// idleProcesses holds the processes of one measurement and their working directory.
type idleProcesses struct {
	router      IdleRouter
	directory   string
	address     string // listen address of the router
	receiver    string // receiver address of the router
	coordinator string // address of the coordinator
	running     []*exec.Cmd
}

// Run starts the router, measures it and stops it.
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
	if r.Resident, r.Peak, err = ReadMemory(pid); err != nil {
		return err
	}
	r.Descriptors, err = CountDescriptors(pid)
	return err
}

// startAll starts the coordinator, if configured, and the router. It waits until the router accepts connections and returns its pid.
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

// start writes a process's configuration file and starts the process.
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

// close kills the processes, whose state is temporary, waits for them to exit and removes the directory.
func (p *idleProcesses) close() error {
	var failures error
	for _, process := range p.running {
		if err := process.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			failures = errors.Join(failures, err)
		}
		if err := process.Wait(); err != nil {
			logrus.WithError(err).Debug("process exited")
		}
	}
	return errors.Join(failures, os.RemoveAll(p.directory))
}

// freeAddress returns a loopback address whose port was free at the time of the call.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// awaitListener waits until an address accepts connections.
func awaitListener(address string) (err error) {
	for range connectAttempts {
		var connection net.Conn
		if connection, err = net.Dial("tcp", address); err == nil {
			return connection.Close()
		}
		time.Sleep(connectRetryInterval)
	}
	return err
}
