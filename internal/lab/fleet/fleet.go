// Package fleet starts a fleet of real processes of the program on loopback (coordinator nodes, routers and fake members), injects faults
// into the processes, the links between them and their stored data, and then checks the audit logs of the processes. The tests of this
// package run scenarios from files, `wayloft lab fleet` runs a fleet for interactive use, `wayloft lab leases` measures one, and
// internal/lab/scale builds larger installations on it. A Fleet owns the processes that it started, their directories, their ports and
// the links; Close ends the processes, closes the links and releases the ports. It makes no decisions on behalf of the processes.
package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Defaults of Options.
const (
	defaultFleetName        = "lab"
	defaultSessionTimeout   = 2 * time.Second
	defaultSnapshotInterval = 500 // entries; low enough that the log is compacted in a short scenario
)

const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// Subdirectories of the fleet's directory.
const (
	failpointDirectory = "faults"
	memberDirectory    = "members" // the state that all fake members share
	logDirectory       = "logs"
	auditDirectory     = "records"
)

// Options configure a fleet.
type Options struct {
	Binary              string
	Dir                 string
	Coordinators        int
	Routers             int
	Members             int
	Links               bool          // a Link between each two processes; without, they connect directly
	SessionTimeout      time.Duration // of routers with the coordinator
	HealthShareInterval time.Duration // 0 disables the sharing of health checks
	Switchover          bool
	CoordinatorKeys     string                                // further keys of the coordinator nodes' settings
	RouterKeys          func(name string) (fleet, top string) // further keys of a router's settings: in [fleet] and top-level
	FleetName           string
	UnguardedMember     string // a member without a guard row
	Standalone          bool   // routers run without the coordinator
	SnapshotInterval    int    // log entries after which the coordinator compacts its log
	NoAuditLog          bool
}

// setDefaults sets the defaults of options that are zero.
func (o *Options) setDefaults() {
	if o.FleetName == "" {
		o.FleetName = defaultFleetName
	}
	if o.SessionTimeout == 0 {
		o.SessionTimeout = defaultSessionTimeout
	}
	if o.SnapshotInterval == 0 {
		o.SnapshotInterval = defaultSnapshotInterval
	}
}

// linkKey identifies the link from one process to another.
type linkKey struct{ from, to string }

// Fleet is a set of processes with their settings and links.
type Fleet struct {
	Options
	processes map[string]*Process
	order     []string // names in the order of addition

	mu    sync.Mutex
	links map[linkKey]*Link
	ports []*net.TCPAddr // reserved until Close
}

// New creates a fleet and writes the settings of its processes. It starts no process.
func New(options Options) (*Fleet, error) {
	options.setDefaults()
	f := &Fleet{Options: options, processes: map[string]*Process{}, links: map[linkKey]*Link{}}
	if err := f.prepare(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// prepare creates the directories, adds the processes and writes their settings.
func (f *Fleet) prepare() error {
	for _, name := range []string{failpointDirectory, memberDirectory, logDirectory, auditDirectory} {
		if err := os.MkdirAll(filepath.Join(f.Dir, name), directoryMode); err != nil {
			return err
		}
	}
	for _, group := range []struct {
		kind, prefix string
		count        int
	}{{coordinatorKind, "c", f.Coordinators}, {memberKind, "m", f.Members}, {routerKind, "r", f.Routers}} {
		for n := range group.count {
			if _, err := f.add(group.kind, fmt.Sprint(group.prefix, n+1)); err != nil {
				return err
			}
		}
	}
	for _, name := range f.order {
		if err := f.configure(f.processes[name]); err != nil {
			return fmt.Errorf("settings of %s: %w", name, err)
		}
	}
	return nil
}

// reserveAddress returns an address whose port stays reserved until Close.
func (f *Fleet) reserveAddress() (string, error) {
	address, err := reserveAddress()
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ports = append(f.ports, address)
	return address.String(), nil
}

// add adds a process without writing its settings.
func (f *Fleet) add(kind, name string) (*Process, error) {
	address, err := f.reserveAddress()
	if err != nil {
		return nil, err
	}
	p := &Process{Kind: kind, Name: name, Addr: address, fleet: f, Config: filepath.Join(f.Dir, name+".toml")}
	switch kind {
	case coordinatorKind:
		p.DataDir = filepath.Join(f.Dir, "council-"+name)
	case routerKind:
		if p.ReceiverAddr, err = f.reserveAddress(); err != nil {
			return nil, err
		}
	}
	f.processes[name] = p
	f.order = append(f.order, name)
	return p, nil
}

// AddCoordinator adds a coordinator node and writes its settings. The node joins the cluster once it is started.
func (f *Fleet) AddCoordinator(name string) (*Process, error) {
	p, err := f.add(coordinatorKind, name)
	if err != nil {
		return nil, err
	}
	return p, f.configureCoordinator(p, true)
}

// addressFrom returns the address at which one process reaches another: that of a Link if the fleet has links.
func (f *Fleet) addressFrom(from, to, address string) (string, error) {
	if !f.Links {
		return address, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := linkKey{from, to}
	if f.links[key] == nil {
		link, err := NewLink(from, to, address)
		if err != nil {
			return "", err
		}
		f.links[key] = link
	}
	return f.links[key].Addr, nil
}

// Link returns the link from one process to another, or nil.
func (f *Fleet) Link(from, to string) *Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links[linkKey{from, to}]
}

// healLinks removes the faults of all links.
func (f *Fleet) healLinks() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, link := range f.links {
		link.Heal()
	}
}

// ofKind returns the processes of a kind in the order in which they were added.
func (f *Fleet) ofKind(kind string) (processes []*Process) {
	for _, p := range f.Processes() {
		if p.Kind == kind {
			processes = append(processes, p)
		}
	}
	return processes
}

// Process returns the process of this name, or nil.
func (f *Fleet) Process(name string) *Process { return f.processes[name] }

// Processes returns all processes in the order in which they were added.
func (f *Fleet) Processes() (processes []*Process) {
	for _, name := range f.order {
		processes = append(processes, f.processes[name])
	}
	return processes
}

// CoordinatorAddresses returns the addresses of the coordinator nodes.
func (f *Fleet) CoordinatorAddresses() []string { return addresses(f.ofKind(coordinatorKind)) }

// routerAddresses returns the addresses at which routers serve clients.
func (f *Fleet) routerAddresses() []string { return addresses(f.ofKind(routerKind)) }

func addresses(processes []*Process) (all []string) {
	for _, p := range processes {
		all = append(all, p.Addr)
	}
	return all
}

// Start starts all processes and waits until each is ready.
func (f *Fleet) Start() error {
	for _, p := range f.Processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range f.Processes() {
		if err := p.WaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes of the fleet, closes its links and releases its ports.
func (f *Fleet) Close() {
	for _, p := range slices.Backward(f.Processes()) {
		p.Kill()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, link := range f.links {
		link.Close()
	}
	var failures error
	for _, address := range f.ports {
		failures = errors.Join(failures, ReleasePort(address))
	}
	f.ports = nil
	if failures != nil {
		logrus.WithError(failures).Warn("could not release the ports of the fleet")
	}
}
