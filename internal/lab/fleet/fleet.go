// Package fleet starts several real processes of the program on loopback, coordinator, routers and fake members, with a switch on
// each link between two of them, and tells by their records what happened. It owns the processes that it started, their
// folders and the switches, and ends all of them; it must never decide for them.
package fleet

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Options say what is started. What is not given is small.
type Options struct {
	Binary              string
	Dir                 string
	Coordinators        int
	Routers             int
	Members             int
	Links               bool          // a switch on each link; else processes reach each other directly
	SessionTimeout      time.Duration // of routers with the coordinator
	HealthShareInterval time.Duration // 0: nobody owns health sharing
	Switchover          bool
	HoldTimeout         time.Duration                         // of one switchover
	CoordinatorKeys     string                                // further keys of the coordinator's settings
	RouterKeys          func(name string) (fleet, top string) // further keys of a router's, in [fleet] and above it
	FleetName           string
	UnguardedMember     string // a member without a guard row
	Standalone          bool   // routers have no [fleet] at all
	SnapshotInterval    int    // entries until the coordinator's log is cut; 0: few, so that it is cut in a short play
	NoAuditLog          bool   // nobody writes a record
}

// Process is one that was started, or will be.
type Process struct {
	Kind, Name   string
	Addr         string // where it serves: clients, the coordinator's calls, statements
	ReceiverAddr string // of a router
	DataDir      string // of the coordinator
	Config       string
	fleet        *Fleet
	args         []string
	mu           sync.Mutex
	cmd          *exec.Cmd
	done         chan struct{}
	stopped      bool
	served       int // how often its log said that it serves, before this start
}

// Fleet is all of them.
type Fleet struct {
	Options
	procs    map[string]*Process
	order    []string
	switches map[[2]string]*Link
	mu       sync.Mutex
	ports    []*net.TCPAddr // reserved until Close
}

// New writes the settings of a fleet; nothing is started.
func New(o Options) (f *Fleet, err error) {
	if o.FleetName == "" {
		o.FleetName = "lab"
	}
	if o.SessionTimeout == 0 {
		o.SessionTimeout = 2 * time.Second
	}
	if o.HoldTimeout == 0 {
		o.HoldTimeout = 3 * time.Second
	}
	if o.SnapshotInterval == 0 {
		o.SnapshotInterval = 500
	}
	f = &Fleet{Options: o, procs: map[string]*Process{}, switches: map[[2]string]*Link{}}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	for _, dir := range []string{"faults", "members", "logs", "records"} {
		if err := os.MkdirAll(filepath.Join(o.Dir, dir), 0o700); err != nil {
			return nil, err
		}
	}
	for n := range o.Coordinators {
		if _, err := f.add("council", fmt.Sprint("c", n+1)); err != nil {
			return nil, err
		}
	}
	for n := range o.Members {
		if _, err := f.add("member", fmt.Sprint("m", n+1)); err != nil {
			return nil, err
		}
	}
	for n := range o.Routers {
		p, err := f.add("router", fmt.Sprint("r", n+1))
		if err != nil {
			return nil, err
		}
		if p.ReceiverAddr, err = f.reserve(); err != nil {
			return nil, err
		}
	}
	for _, name := range f.order {
		if err := f.configure(f.procs[name]); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// reserve gives an address on a port that stays reserved until Close.
func (f *Fleet) reserve() (string, error) {
	address, err := reserveAddress()
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ports = append(f.ports, address)
	return address.String(), nil
}

func (f *Fleet) add(kind, name string) (*Process, error) {
	addr, err := f.reserve()
	if err != nil {
		return nil, err
	}
	p := &Process{Kind: kind, Name: name, Addr: addr, fleet: f, Config: filepath.Join(f.Dir, name+".toml")}
	if kind == "council" {
		p.DataDir = filepath.Join(f.Dir, "council-"+name)
	}
	f.procs[name], f.order = p, append(f.order, name)
	return p, nil
}

// AddCoordinator writes the settings of one more coordinator node, which joins it.
func (f *Fleet) AddCoordinator(name string) (*Process, error) {
	p, err := f.add("council", name)
	if err != nil {
		return nil, err
	}
	text, err := f.council(p, true)
	return p, f.write(p, text, err)
}

// way gives the address at which one process reaches another, by a switch where there are any.
func (f *Fleet) way(from, to, addr string) (string, error) {
	if !f.Links {
		return addr, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.switches[[2]string{from, to}]
	if s == nil {
		var err error
		if s, err = NewSwitch(from, to, addr); err != nil {
			return "", err
		}
		f.switches[[2]string{from, to}] = s
	}
	return s.Addr, nil
}

// Link gives the link from one process to another.
func (f *Fleet) Link(from, to string) *Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.switches[[2]string{from, to}]
}

func (f *Fleet) kind(kind string) (all []*Process) {
	for _, name := range f.order {
		if p := f.procs[name]; p.Kind == kind {
			all = append(all, p)
		}
	}
	return all
}

// Process gives one by its name.
func (f *Fleet) Process(name string) *Process { return f.procs[name] }

// Coordinator gives the addresses of the coordinator's processes.
func (f *Fleet) CoordinatorAddresses() (all []string) {
	for _, p := range f.kind("council") {
		all = append(all, p.Addr)
	}
	return all
}

func (f *Fleet) record(p *Process) string {
	if f.NoAuditLog {
		return ""
	}
	return filepath.Join(f.Dir, "records", p.Name+".jsonl")
}

// policyFolder is where a router keeps the policy.
func (f *Fleet) policyFolder(p *Process) string { return filepath.Join(f.Dir, "policy-"+p.Name) }

func (f *Fleet) write(p *Process, text string, err error) error {
	if err != nil {
		return err
	}
	return os.WriteFile(p.Config, []byte(text), 0o600)
}

func (f *Fleet) configure(p *Process) error {
	switch p.Kind {
	case "council":
		p.args = []string{"council", "run", "--config", p.Config}
		text, err := f.council(p, false)
		return f.write(p, text, err)
	case "member":
		p.args = []string{"lab", "member", "--folder", filepath.Join(f.Dir, "members"), "--name", p.Name, "--listen", p.Addr}
		if p.Name == "m1" {
			p.args = append(p.args, "--primary")
		}
		if p.Name == f.UnguardedMember {
			p.args = append(p.args, "--no-guard")
		}
		return nil
	}
	p.args = []string{"serve", "--config", p.Config}
	text, err := f.router(p)
	return f.write(p, text, err)
}

func (f *Fleet) council(p *Process, join bool) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "[council]\nfleet = %q\nname = %q\nlisten = %q\nfolder = %q\nrecord = %q\nkeep = %d\n%s\n", f.FleetName, p.Name, p.Addr, p.DataDir,
		f.record(p), f.SnapshotInterval, f.CoordinatorKeys)
	p.args = []string{"council", "run", "--config", p.Config}
	via := ""
	for _, o := range f.kind("council") {
		addr, err := f.way(p.Name, o.Name, o.Addr)
		if err != nil {
			return "", err
		}
		if o != p && f.Links {
			via += fmt.Sprintf("%s = %q\n", o.Name, addr)
		}
	}
	if join {
		b.WriteString("join = true\n")
	} else {
		for _, o := range f.kind("council")[:f.Options.Coordinators] {
			fmt.Fprintf(&b, "[[council.peers]]\nname = %q\naddress = %q\n", o.Name, o.Addr)
		}
	}
	if via != "" {
		b.WriteString("[council.via]\n" + via)
	}
	return b.String(), nil
}

const routerText = `name = %q
listen = %q
seed = "%016x"
%s
[limits]
memory = "256MiB"
descriptors = 2048
sessions = 512
connections = 256

[fleet]
reports = true
warm_up = "1s"
lagging_reads = "answers"
connect_within = "500ms"
%s
[[txn_types]]
name = "read"
sla = "500ms"
expiry = "10s"
late_value = 0.5
effect = "repeatable"
level = "session"

[[txn_types]]
name = "look"
sla = "500ms"
expiry = "10s"
late_value = 0.5
effect = "repeatable"
level = "bounded"
bound = "3s"

[[txn_types]]
name = "write"
sla = "2s"
expiry = "20s"
late_value = 0.5
effect = "once-only"
level = "write"

[[pools]]
user = "api"
database = "ledger"
form = "platform"
`

func (f *Fleet) router(p *Process) (string, error) {
	more, top := "", ""
	if !f.Standalone {
		var addrs []string
		via := ""
		for _, c := range f.kind("council") {
			addr, err := f.way(p.Name, c.Name, c.Addr)
			if err != nil {
				return "", err
			}
			addrs = append(addrs, fmt.Sprintf("%q", addr))
			via += fmt.Sprintf("%s = %q\n", c.Name, addr)
		}
		for _, r := range f.kind("router") {
			if r != p {
				addr, err := f.way(p.Name, r.Name, r.ReceiverAddr)
				if err != nil {
					return "", err
				}
				via += fmt.Sprintf("%s = %q\n", r.Name, addr)
			}
		}
		more = fmt.Sprintf("name = %q\ncouncil = [%s]\norders = %q\nsession = %q\nrecord = %q\n", f.FleetName, strings.Join(addrs, ", "), p.ReceiverAddr, f.SessionTimeout, f.record(p))
		more += fmt.Sprintf("policy_folder = %q\n", f.policyFolder(p))
		if f.HealthShareInterval > 0 {
			more += fmt.Sprintf("sight = %q\n", f.HealthShareInterval)
		}
		if f.RouterKeys != nil {
			own, above := f.RouterKeys(p.Name)
			more, top = more+own, above
		}
		if f.Links {
			more += "[fleet.via]\n" + via
		}
		if f.Switchover {
			more += fmt.Sprintf("[fleet.handover]\nhold = %q\nstep = \"1s\"\nprimary = \"SELECT wayloft_takes_writes()\"\n", f.HoldTimeout) +
				"guard = \"UPDATE wayloft_guard SET fence = $1 WHERE duty = 'handover' AND fence <= $1\"\n" +
				"seen = \"SELECT fence FROM wayloft_guard WHERE duty = 'handover'\"\nyield = \"SELECT wayloft_yield()\"\ntake = \"SELECT wayloft_take()\"\n"
		}
	}
	text := fmt.Sprintf(routerText, p.Name, p.Addr, 0x8c1f30d27a5be964+uint64(len(p.Name))*uint64(p.Name[len(p.Name)-1]), top, more)
	for _, m := range f.kind("member") {
		addr, err := f.way(p.Name, m.Name, m.Addr)
		if err != nil {
			return "", err
		}
		text += fmt.Sprintf("\n[[members]]\nid = %q\naddress = %q\n", m.Name, addr)
	}
	return text, nil
}

// Start starts all that are there, and waits until each serves.
func (f *Fleet) Start() error {
	for _, name := range f.order {
		if err := f.procs[name].Start(); err != nil {
			return err
		}
	}
	for _, name := range f.order {
		if err := f.procs[name].WaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes that this fleet started, by their ids, and its switches.
func (f *Fleet) Close() {
	for _, name := range slices.Backward(f.order) {
		f.procs[name].Kill()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.switches {
		s.Close()
	}
	for _, address := range f.ports {
		ReleasePort(address)
	}
	f.ports = nil
}

// LogPath is the file that holds what a process wrote.
func (p *Process) LogPath() string { return filepath.Join(p.fleet.Dir, "logs", p.Name+".log") }

// Start starts a process that doesn't run.
func (p *Process) Start() error { return p.start("") }

// StartWithFileLimit starts a process whose files may not grow beyond so many blocks of 512 bytes.
func (p *Process) StartWithFileLimit(blocks int) error {
	return p.start(fmt.Sprintf("ulimit -f %d; ", blocks))
}

func (p *Process) start(limit string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s runs", p.Name)
	}
	before, _ := os.ReadFile(p.LogPath())
	p.served = bytes.Count(before, []byte(serving[p.Kind]))
	log, err := os.OpenFile(p.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.fleet.Binary, p.args...)
	if limit != "" {
		cmd = exec.Command("/bin/sh", append([]string{"-c", limit + `exec "$0" "$@"`, p.fleet.Binary}, p.args...)...)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "WAYLOFT_FAULTS="+filepath.Join(p.fleet.Dir, "faults", p.Name), "GOTRACEBACK=single")
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.stopped = cmd, done, false
	go func() {
		cmd.Wait()
		p.mu.Lock()
		if p.cmd == cmd {
			p.cmd = nil
		}
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// Pid is the process's; 0: it doesn't run.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

func (p *Process) signal(s syscall.Signal) {
	if pid := p.Pid(); pid > 0 {
		syscall.Kill(pid, s)
	}
}

// Stopped tells whether a signal has stopped the process, all its threads.
func (p *Process) Stopped() bool {
	stats, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.Pid()))
	for _, stat := range stats {
		b, err := os.ReadFile(stat)
		if err != nil {
			return false
		}
		if state := b[bytes.LastIndexByte(b, ')')+1:]; !bytes.HasPrefix(state, []byte(" T")) {
			return false
		}
	}
	return len(stats) > 0
}

// Stop, Wake, Term and Kill are signals; Kill and End wait for the end.
func (p *Process) Stop()      { p.signal(syscall.SIGSTOP) }
func (p *Process) Resume()    { p.signal(syscall.SIGCONT) }
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.WaitExit(10 * time.Second)
}

// WaitExit waits until the process has ended; it reports false where it still runs after that long.
func (p *Process) WaitExit(within time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(within):
		return false
	}
}

var serving = map[string]string{"council": `msg="coordinator started"`, "router": "msg=serving", "member": "msg=member"}

// WaitReady waits until the process says that it does, this time.
func (p *Process) WaitReady() error {
	return WaitUntil(fmt.Sprintf("%s serves", p.Name), func() (bool, error) {
		b, err := os.ReadFile(p.LogPath())
		if err != nil {
			return false, err
		}
		if bytes.Count(b, []byte(serving[p.Kind])) > p.served {
			return true, nil
		}
		if p.Pid() == 0 {
			return false, fmt.Errorf("it has ended: %s", lastLines(b))
		}
		return false, nil
	})
}

func lastLines(b []byte) string {
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return strings.Join(lines[max(0, len(lines)-3):], " | ")
}

// WaitLimit is how long anything may take that must come true: far longer than it does, so that no verdict hangs on it.
const WaitLimit = 30 * time.Second

// WaitUntil waits until something holds.
func WaitUntil(what string, holds func() (bool, error)) error {
	for late := time.Now().Add(WaitLimit); ; time.Sleep(5 * time.Millisecond) {
		ok, err := holds()
		if ok {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
		if time.Now().After(late) {
			return fmt.Errorf("never came true: %s", what)
		}
	}
}

// AuditEvent is one of a process's record.
type AuditEvent map[string]any

// Text gives a field as text.
func (l AuditEvent) Text(key string) string {
	switch x := l[key].(type) {
	case nil:
		return ""
	case string:
		return x
	default:
		return fmt.Sprint(x)
	}
}

// AuditEvents reads a process's record as far as it is written.
func (f *Fleet) AuditEvents(name string) ([]AuditEvent, error) {
	b, err := os.ReadFile(f.record(f.procs[name]))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	var all []AuditEvent
	s := bufio.NewScanner(bytes.NewReader(b[:bytes.LastIndexByte(b, '\n')+1]))
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		var l AuditEvent
		if err := json.Unmarshal(s.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("%s: record: %w", name, err)
		}
		all = append(all, l)
	}
	return all, s.Err()
}

// CountEvents counts the lines of a process's record that have these fields.
func (f *Fleet) CountEvents(name, what string, fields map[string]string) (n int, last AuditEvent, err error) {
	lines, err := f.AuditEvents(name)
	for _, l := range lines {
		if l.Text("what") != what {
			continue
		}
		if !slices.ContainsFunc(slices.Collect(maps.Keys(fields)), func(k string) bool { return !strings.Contains(l.Text(k), fields[k]) }) {
			n, last = n+1, l
		}
	}
	return n, last, err
}

// SetFailpoint has a process stop or kill itself at a point inside, the next time it comes by.
func (f *Fleet) SetFailpoint(name, point, does string) error {
	dir := filepath.Join(f.Dir, "faults", name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	// Guards against a process that comes by between the making of the file and the writing of its word: it would take it away and do
	// nothing.
	whole := filepath.Join(dir, "."+point)
	if err := os.WriteFile(whole, []byte(does), 0o600); err != nil {
		return err
	}
	return os.Rename(whole, filepath.Join(dir, point))
}

// FailpointHit tells whether a fault that was set has come to pass.
func (f *Fleet) FailpointHit(name, point string) bool {
	_, err := os.Stat(filepath.Join(f.Dir, "faults", name, point))
	return errors.Is(err, os.ErrNotExist)
}

// LeaseHolder tells who acts for a lease by the records: the process with the highest fencing token that has started and not stopped.
func (f *Fleet) LeaseHolder(duty string) (name, fence string, err error) {
	var top [2]uint64
	for _, p := range f.kind("router") {
		lines, err := f.AuditEvents(p.Name)
		if err != nil {
			return "", "", err
		}
		for _, l := range lines {
			if l.Text("duty") != duty || l.Text("what") != "start" && l.Text("what") != "stop" {
				continue
			}
			at := ParseToken(l.Text("fence"))
			if slices.Compare(at[:], top[:]) > 0 || at == top {
				top, fence = at, l.Text("fence")
				if name = p.Name; l.Text("what") == "stop" {
					name = ""
				}
			}
		}
	}
	return name, fence, nil
}

// ParseToken reads a fencing token as records have it.
func ParseToken(s string) (f [2]uint64) {
	fmt.Sscanf(s, "%d.%d", &f[0], &f[1])
	return f
}
