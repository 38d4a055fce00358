package hostile

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"wayloft/internal/lab"
)

const (
	bytesPerMiB   = 1 << 20
	startTimeout  = 10 * time.Second
	startInterval = 20 * time.Millisecond
	fileMode      = 0o600
	poolSessions  = 800
)

// platformTemplate is a configuration in the platform's format. It takes the listen address, the memory limit in MB, the descriptor limit
// and the members.
const platformTemplate = `{"name":"n1","listen":%q,"discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
"known":{"revision":41,"complete":true,"members":[%s]},
"settings":{"balancers":1,"discovery":"push",
"contract":{"coldFrom":0.2,"warmUp":1000000,"fallMultiple":2.5,"overloadFor":2000000},
"permissions":{"attemptsCap":6,"cancel":true,"probes":true,"retryAfter":true,"maxRetryAfter":1000000,
"dialTimeout":250000,"idleClose":30000000},
"report":{"columns":["x0","x1"],"how":"pull"},
"familyInfo":{"serverChecks":"refuse","tokenMode":"carried","countedFrom":0,"readLevel":["any","write"],"classBound":[0,0]},
"profiles":[{"name":"look","target":500000,"deadline":3000000,"worth":1,"idempotency":"retryable"},
{"name":"order","target":500000,"deadline":3000000,"worth":1,"idempotency":"fragile"}]}}`

// memberGroup is the group of all members in the platform's form.
const memberGroup = 2

// groups are the groups of all members.
var groups = map[Form]int{Platform: memberGroup, Pool: 0}

// routerProcess is a router under measurement, with the processes that keep its core busy.
type routerProcess struct {
	address   string
	directory string
	router    *exec.Cmd
	exited    chan struct{} // closed when the router has ended
	neighbors []*exec.Cmd
}

// configuration returns the router's configuration and the name of its file.
func (run Run) configuration(cluster *lab.Cluster, listen string) (fileName, text string) {
	if run.Form == Pool {
		connections := 64
		pool := lab.Pool{Mode: "transaction", MaxSessions: min(poolSessions, run.Descriptors-4*connections), MaxConnections: connections}
		text = cluster.Configuration(listen, pool)
		return "router.toml", strings.Replace(text, `memory = "512MiB"`, fmt.Sprintf("memory = \"%dMiB\"", run.MemoryMiB), 1)
	}
	var entries []string
	for n, server := range cluster.Servers {
		entries = append(entries, fmt.Sprintf(`{"id":"m%d","host_port":%q,"locality":"z","cell":%d,"phase":"in_service"}`, n, server.Addr, memberGroup))
	}
	return "router.json", fmt.Sprintf(platformTemplate, listen, run.MemoryMiB, run.Descriptors, strings.Join(entries, ","))
}

// startRouter starts the router and waits until it accepts connections.
func (run Run) startRouter(cluster *lab.Cluster) (*routerProcess, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &routerProcess{address: listener.Addr().String(), exited: make(chan struct{})}
	if err := listener.Close(); err != nil {
		return nil, err
	}
	if r.directory, err = os.MkdirTemp("", "wayloft-hostile-"); err != nil {
		return nil, err
	}
	fileName, text := run.configuration(cluster, r.address)
	path := filepath.Join(r.directory, fileName)
	if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
		return nil, errors.Join(err, r.close())
	}
	if err := r.start(run, path); err != nil {
		return nil, errors.Join(err, r.close())
	}
	return r, r.awaitReady()
}

// start starts the router's process and its neighbors. With OneCore they share the last core, which this process leaves to them.
func (r *routerProcess) start(run Run, configPath string) error {
	log, err := os.Create(filepath.Join(r.directory, "log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor
	if run.OneCore {
		last := runtime.NumCPU() - 1
		leaveCore(last)
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		restore := pinThread(last)
		defer restore()
	}
	command := exec.Command(run.Program, "serve", "--config", configPath)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "GOMAXPROCS=1") // a router has one core
	if err := command.Start(); err != nil {
		return err
	}
	r.router = command
	go func() {
		_ = command.Wait() // the exit status of a killed process says nothing
		close(r.exited)
	}()
	for range run.Neighbors {
		neighbor := exec.Command("/bin/sh", "-c", "while :; do :; done")
		if err := neighbor.Start(); err != nil {
			return err
		}
		r.neighbors = append(r.neighbors, neighbor)
	}
	return nil
}

// leaveCore moves all threads of this process off a core, so that the load does not take the router's time. Without permission or with a
// single core it does nothing.
func leaveCore(core int) {
	var others unix.CPUSet
	for n := range core {
		others.Set(n)
	}
	if others.Count() == 0 {
		return
	}
	tasks, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return
	}
	for _, task := range tasks {
		thread := 0
		if _, err := fmt.Sscan(task.Name(), &thread); err == nil {
			_ = unix.SchedSetaffinity(thread, &others) // the thread may have ended
		}
	}
}

// pinThread pins the calling thread, and thereby the processes that it starts, to a core. It returns a function that undoes it.
func pinThread(core int) (restore func()) {
	var before, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return func() {}
	}
	one.Set(core)
	_ = unix.SchedSetaffinity(0, &one) // without permission the process runs on any core
	return func() { _ = unix.SchedSetaffinity(0, &before) }
}

func (r *routerProcess) awaitReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(startInterval) {
		if r.ended() {
			break
		}
		if connection, err := net.Dial("tcp", r.address); err == nil {
			return connection.Close()
		}
	}
	log, _ := os.ReadFile(filepath.Join(r.directory, "log")) // an unreadable log leaves the error as it is
	return errors.Join(fmt.Errorf("the router does not accept connections: %s", log), r.close())
}

// ended reports whether the router's process has ended.
func (r *routerProcess) ended() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// resident returns the resident memory in MiB, 0 once the process has ended.
func (r *routerProcess) resident() float64 {
	resident, _, _ := lab.ReadMemory(r.router.Process.Pid)
	return resident
}

// peak returns the peak of the resident memory in MiB, 0 once the process has ended.
func (r *routerProcess) peak() float64 {
	_, peak, _ := lab.ReadMemory(r.router.Process.Pid)
	return peak
}

// descriptors returns the number of open descriptors, 0 once the process has ended.
func (r *routerProcess) descriptors() int {
	count, _ := lab.CountDescriptors(r.router.Process.Pid)
	return count
}

// cpuSeconds returns the CPU time used so far, 0 once the process has ended.
func (r *routerProcess) cpuSeconds() float64 {
	seconds, _ := lab.ReadCPU(r.router.Process.Pid)
	return seconds
}

// close kills the processes, whose state is temporary, and removes the directory.
func (r *routerProcess) close() error {
	for _, neighbor := range r.neighbors {
		_ = neighbor.Process.Kill() // it runs until it is killed
		_ = neighbor.Wait()
	}
	r.neighbors = nil
	if r.router != nil {
		_ = r.router.Process.Kill() // it may have ended
		<-r.exited
	}
	return os.RemoveAll(r.directory)
}
