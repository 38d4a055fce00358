// Package simulation runs a fleet in simulated time: the program's own coordinator nodes, lease clients, lease receivers,
// switchover executors and policy followers, over a simulated network, disks and clocks, without sockets or operating system processes.
//
// Play runs one World; one seed gives one run, and checkers look for violations of what the fleet guarantees. RunHealthSharing
// runs routers before one group to compare health checks with and without sharing. CheckLinearizable checks a history of lease requests; the
// tests of real processes use it too. The package is for tests and measurements. It decides about time and faults, and never
// about what the packages under internal/decide and router decide.
package simulation

import (
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/raftnode"
)

// Timing of the simulated sessions and processes, ms.
const (
	SessionTimeoutMs = 2000.0
	SafetyMarginMs   = 200.0
	tickMs           = 50.0
)

// Options configure a run.
type Options struct {
	Seed          uint64
	Coordinators  int
	Routers       int
	Leases        int
	NoFaults      bool
	FaultsMs      float64 // ms with faults
	RecoveryMs    float64 // ms without, after them; 0: as long again
	SeededDefects SeededDefects
	Schedule      func(*World)   // schedules the events of the run in place of random faults
	Switchover    bool           // switchovers of a group's primary, under writes
	Policy        *PolicyOptions // changes of the policy; nil: none
	MaxHolders    int            // of the routers, how many request leases; 0: all
}

// endMs is when the run ends.
func (o *Options) endMs() float64 {
	if o.RecoveryMs > 0 {
		return o.FaultsMs + o.RecoveryMs
	}
	return 2 * o.FaultsMs
}

// SeededDefects switch on defects that a checker must find. The program has none of them.
type SeededDefects struct {
	Coordinator        raftnode.SeededDefects
	SkipTokenCheck     bool // receivers accept every act
	ForgetTokens       bool // a receiver that restarted accepts acts without having asked for the latest tokens
	OvercountLease     bool // a lease is counted from the response on, not from the request
	SameEpoch          bool // coordinators that lost their state start again in the same epoch
	IgnoreGuardRow     bool // members carry out steps whatever their guard rows say
	Policy             policy.SeededDefects
	SkipCompareAndSet  bool // a proposal is accepted whatever version is in force
	AcknowledgeUnsaved bool // a coordinator node acknowledges before its disk has written
}

// Report is the result of a run.
type Report struct {
	Violations       []string
	AcceptedCommands int // accepted by receivers
	StaleCommands    int // rejected for their fencing token
	Grants           int
	Elections        int
	Faults           map[string]int // by kind
	HolderGapsMs     []float64      // how long a lease had no acting holder, each time
	Entries          uint64         // of the coordinator's log
	Bytes            int            // between all processes
	Messages         int
	Operations       []Operation
	EndedMs          float64
	PolicyResult
	UnheldLeases []string // leases without an acting holder at the end
}

// Kinds of operations. CheckLinearizable judges both alike, by what the response says.
const (
	AcquireOperation = "acquire" // a lease is requested
	ReadOperation    = "read"    // the latest token of a lease is asked for
)

// Operation is one request about a lease to the coordinator as its client saw it.
type Operation struct {
	Client             int
	Kind               string // AcquireOperation or ReadOperation
	Lease, Session     string
	StartedMs, EndedMs float64 // EndedMs is negative while there is no response
	Held               bool
	Token              lease.Token
}
