package simulation

import (
	crand "crypto/rand"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"github.com/sirupsen/logrus"

	"wayloft/internal/decide/switchover"
)

const (
	// maxViolations is the maximum number of violations reported per run.
	maxViolations = 20
	// firstRequest separates the numbers of the world's requests from those of the lease clients.
	firstRequest = 1 << 32
	// routerStartMs is the latest time at which routers start.
	routerStartMs = 200
)

// World is the state of one simulation run.
type World struct {
	Report
	timeline
	Coordinators []*Process
	Routers      []*Process

	options     Options
	rand        *rand.Rand
	processes   map[string]*Process // by name
	logger      *logrus.Logger
	lastRequest uint64
	lastStream  int // of policy watches

	cutLinks        map[[2]string]bool // by sender and receiver
	lossProbability float64

	leaseChecker
	switchovers *switchoverRun // nil: the run has no switchovers
	policyRun   *policyRun     // nil: the run has no policy changes
}

// Run runs one world to its end, or to its first violation.
func Run(options Options) *World {
	w := newWorld(options)
	restore := seedElections(options.Seed)
	defer restore()

	w.startProcesses()
	if options.Switchover {
		w.startSwitchovers()
	}
	if options.Policy != nil {
		w.startPolicyRun()
	}
	w.scheduleFaults()

	endMs := options.endMs()
	w.After(endMs, func() {})
	w.runUntil(endMs, func() bool { return len(w.Violations) > 0 })
	w.checkFinalState()
	return w
}

func newWorld(options Options) *World {
	w := &World{
		options:      options,
		rand:         rand.New(rand.NewPCG(options.Seed, 0x9e3779b97f4a7c15)),
		processes:    map[string]*Process{},
		logger:       logrus.New(),
		lastRequest:  firstRequest,
		cutLinks:     map[[2]string]bool{},
		leaseChecker: newLeaseChecker(),
	}
	w.Faults = map[string]int{}
	w.logger.SetOutput(io.Discard)
	w.logger.SetLevel(logrus.PanicLevel)
	return w
}

// seedElections makes the election timeouts of the Raft library, which come from crypto/rand, depend on the seed. It returns a function
// that restores the original source.
func seedElections(seed uint64) (restore func()) {
	before := crand.Reader
	crand.Reader = rand.NewChaCha8(electionSeed(seed))
	return func() { crand.Reader = before }
}

func electionSeed(seed uint64) (key [32]byte) {
	for n := range key {
		key[n] = byte(seed >> (8 * (n % 8)))
	}
	return key
}

func (w *World) startProcesses() {
	for n := range w.options.Coordinators {
		w.addCoordinator(&Process{Name: fmt.Sprint("c", n+1), world: w, clockOffsetMs: float64(n) * 1e6})
	}
	for _, p := range w.Coordinators {
		p.start()
	}
	for n := range w.options.Routers {
		p := &Process{Name: fmt.Sprint("r", n+1), world: w, clockOffsetMs: float64(n) * 1e5}
		if w.options.MaxHolders == 0 || n < w.options.MaxHolders {
			p.leases = w.requestedLeases()
		}
		w.Routers = append(w.Routers, p)
		w.processes[p.Name] = p
	}
	for _, p := range w.Routers {
		w.After(w.rand.Float64()*routerStartMs, p.start)
	}
}

func (w *World) addCoordinator(p *Process) {
	w.Coordinators = append(w.Coordinators, p)
	w.processes[p.Name] = p
}

// requestedLeases returns the leases that each router requests, if it requests any.
func (w *World) requestedLeases() (names []string) {
	for n := range w.options.Leases {
		names = append(names, leaseName(n))
	}
	if w.options.Switchover {
		names = append(names, switchover.LeaseName(0))
	}
	return names
}

func (w *World) scheduleFaults() {
	switch {
	case w.options.Schedule != nil:
		w.options.Schedule(w)
	case w.options.NoFaults:
	case w.options.Policy != nil:
		w.scheduleRandomPolicyFaults()
	default:
		w.scheduleRandomFaults()
	}
}

// leaseName returns the name of a lease of the run, in the form of the leases of shared health checking. The holder of the lease sends
// commands to routers.
func leaseName(n int) string { return fmt.Sprint("sight/", n) }

// randomCoordinator returns a random coordinator node.
func (w *World) randomCoordinator() *Process {
	return w.Coordinators[w.rand.IntN(len(w.Coordinators))]
}

// violation records that a guarantee was violated.
func (w *World) violation(format string, args ...any) {
	if len(w.Violations) < maxViolations {
		w.Violations = append(w.Violations, fmt.Sprintf("%.0f ms: ", w.Now)+fmt.Sprintf(format, args...))
	}
}

// checkFinalState runs the checks that need the complete run.
func (w *World) checkFinalState() {
	w.EndedMs = w.Now
	for n := range w.options.Leases {
		if name := leaseName(n); w.activeHolder[name] == "" {
			w.UnheldLeases = append(w.UnheldLeases, name)
		}
	}
	for _, p := range w.Coordinators {
		if p.node != nil {
			w.Entries = max(w.Entries, p.node.State().Index())
		}
	}
	if len(w.Violations) == 0 {
		w.Violations = CheckLinearizable(w.Operations)
	}
	if w.switchovers != nil {
		w.Violations = append(w.Violations, w.checkWrites()...)
	}
	if w.policyRun != nil && len(w.Violations) == 0 {
		w.Violations = w.checkPolicies()
	}
}

// Leader returns the node that considers itself the leader, the one with the highest term if there are several; nil: none does.
func (w *World) Leader() *Process {
	var leader *Process
	var latestTerm uint64
	for _, p := range w.Coordinators {
		if p.node == nil {
			continue
		}
		if leads, term := p.node.IsLeader(); leads && term >= latestTerm {
			leader, latestTerm = p, term
		}
	}
	return leader
}

// Holder returns the process that considers itself the holder of a lease; nil: none does.
func (w *World) Holder(name string) *Process { return w.processes[w.activeHolder[name]] }

// clientNumber returns the client number of a router in the history.
func (w *World) clientNumber(p *Process) int { return slices.Index(w.Routers, p) }
