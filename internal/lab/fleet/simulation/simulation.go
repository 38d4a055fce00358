// Package simulation runs a fleet in simulated time: the production coordinator nodes, lease clients, lease receivers, switchover
// executors and policy followers, with a simulated network, disks and clocks, without sockets or operating system processes.
//
// Run runs one World. A seed determines the whole run, and checkers look for violations of the guarantees of the fleet. RunHealthSharing
// runs routers in front of one group to compare health checks with and without sharing. CheckLinearizable checks a history of lease
// requests; the tests of real processes use it too. The package is for tests and measurements. It controls time and faults, and never
// changes the decisions of the packages under internal/decide and router.
package simulation

import (
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/raftnode"
)

// Timing of the simulated sessions and processes, in ms.
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
	FaultsMs      float64 // length of the period with faults
	RecoveryMs    float64 // length of the period without faults after it; 0: as long as FaultsMs
	SeededDefects SeededDefects
	Schedule      func(*World)   // schedules the events of the run, instead of random faults
	Switchover    bool           // run switchovers of a group's primary while clients write
	PrimaryHangs  bool           // the primary hangs from time to time, also for as long as the cluster takes to replace it
	Policy        *PolicyOptions // run policy changes; nil: none
	MaxHolders    int            // number of routers that request leases; 0: all
}

// endMs returns the time at which the run ends.
func (o *Options) endMs() float64 {
	if o.RecoveryMs > 0 {
		return o.FaultsMs + o.RecoveryMs
	}
	return 2 * o.FaultsMs
}

// SeededDefects enable defects that a checker must find. The production code has none of them.
type SeededDefects struct {
	Coordinator        raftnode.SeededDefects
	SkipTokenCheck     bool // receivers accept every command
	ForgetTokens       bool // a restarted receiver accepts commands without reading the latest tokens first
	OvercountLease     bool // holders use a negative safety margin and consider a lease valid after it expired
	SameEpoch          bool // coordinator nodes that lost their state restart in the same epoch
	IgnoreGuardRow     bool // members execute steps that their guard rows should reject
	PromoteUnasked     bool // a member is promoted although no other member was asked whether it accepts writes
	Policy             policy.SeededDefects
	SkipCompareAndSet  bool // a proposal is accepted whatever its base version
	AcknowledgeUnsaved bool // a coordinator node acknowledges entries before the disk write
}

// Report is the result of a run.
type Report struct {
	Violations       []string
	AcceptedCommands int // commands that receivers accepted
	StaleCommands    int // commands rejected for their fencing token
	Grants           int
	Elections        int
	Faults           map[string]int // by kind
	HolderGapsMs     []float64      // lengths of the periods between two holders of a lease
	Entries          uint64         // index of the last entry of the coordinator's log
	Bytes            int            // sent between all processes
	Messages         int
	Operations       []Operation
	EndedMs          float64
	PolicyResult
	UnheldLeases []string // leases without a holder at the end
}

// Kinds of operations. CheckLinearizable treats both alike and checks the response only.
const (
	AcquireOperation = "acquire" // requests a lease
	ReadOperation    = "read"    // reads the latest token of a lease
)

// Operation is one lease request to the coordinator, as observed by its client.
type Operation struct {
	Client             int
	Kind               string // AcquireOperation or ReadOperation
	Lease, Session     string
	StartedMs, EndedMs float64 // EndedMs is negative while there is no response
	Held               bool
	Token              lease.Token
}
