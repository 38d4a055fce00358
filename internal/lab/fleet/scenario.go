package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Scenario is a fleet and what happens to it, step by step. A step does something, or waits until the processes report something; none waits
// for a time, so a scenario means the same on a slow machine. After the last step all processes and links recover, and the checkers read
// what the processes wrote.
//
// A step is a verb with its arguments, separated by spaces. X is a process: c1, c2, ... are coordinator nodes, r1, ... routers, m1, ...
// members. FIELD=TEXT selects events of an audit log whose field contains the text.
//
// Processes:
//
//	stop X | resume X | terminate X | kill X     SIGSTOP, SIGCONT, SIGTERM, SIGKILL; the last two wait for the end
//	start X                                      waits until it is ready
//	start-limited X BLOCKS                       its files can't grow beyond so many blocks of 512 bytes; doesn't wait
//	await-exit X [TEXT ...]                      until it has ended by itself, with this text in its log
//	expect-running X
//
// Data of a coordinator node that doesn't run:
//
//	delete-data X | copy-data X | restore-data X deletes its data directory, copies it aside, puts the copy back
//	await-exclusion X                            until its data directory has lost what it acknowledged, and others refuse it or it has ended
//
// Links; A and B are a process, coordinators, routers, members or all:
//
//	blackhole A B [forward|back]                 nothing is passed on, and nothing is lost
//	reset A B                                    connections end with RST, new ones too
//	heal A B
//	await-held A B [any]                         until each of these links holds something back; any: one of them
//
// Failpoints:
//
//	failpoint X POINT stop|kill                  X stops or kills itself when it next reaches the point
//	await-failpoint X POINT                      until it has reached the point, and has stopped if it was to
//	await-router-at POINT as V                   until a router, whichever is the first, has stopped at the point; the others go on
//	disable-act-timeout X                        its acts wait for their answers without limit
//
// Leases:
//
//	await-active LEASE as V [not W]              until a router other than W acts for the lease by its audit log
//	await-holder LEASE as V [not W]              until the coordinator has a holder other than W
//	await-queue LEASE N                          until so many wait for the lease
//	await-withheld LEASE                         until the coordinator grants the lease no more in this epoch
//	await-acts LEASE [except W]                  until the holder is another than W, and all routers but it and W have accepted two of its acts
//	await-stale-acts N                           until receivers have refused so many acts for their fencing token
//
// The coordinator:
//
//	await-leader as V [not W]                    until a node leads by the audit logs
//	await-sessions N | await-coordinators N      until it has so many sessions of routers, or nodes
//	await-later-epoch                            until an epoch that begins now is above the present one
//	join X | remove X                            adds a new node, or removes one
//
// Audit logs:
//
//	await-event X EVENT [FIELD=TEXT ...]         until the audit log of X has such an event
//	await-events N X EVENT [FIELD=TEXT ...]      until it has N of them
//	expect-no-event X EVENT [FIELD=TEXT ...]     it has none by now
//
// Switchovers of group 0:
//
//	switchover MEMBER                            places an order
//	await-switchover TEXT ...                    until it has ended, as the text says
//	await-primary MEMBER                         until this member, and no other, accepts writes
//
// The policy:
//
//	write-policy P FIELD=VALUE ...               writes a file; many=N stands for the rates of so many tenants
//	propose P [FLAG ...]                         `wayloft policy propose`, which must succeed, repeated while its outcome is unknown; sets $P
//	propose-async P [FLAG ...]                   the same, not waited for and not repeated
//	await-proposal STATUS [TEXT ...]             until that has ended with this exit status and printed the text; may set $begun
//	propose-both P Q                             at once, from one version: one is accepted, the other is rejected for that
//	propose-many N                               so many proposals, one after the other
//	await-policy-everywhere [except X ...]       until each router that runs says by its audit log that it applies the version in force
//	await-policy X VERSION                       until X says that it applies the version
//	await-policy-taken X VERSION                 until X has taken the version since its latest start, maybe from its own storage
//	corrupt-policy X                             changes a bit of the stored policy of X, which doesn't run
//
// Commands and clients:
//
//	command ARGUMENT ...                         the program, with --council and --fleet; must succeed
//	command-fails ARGUMENT ... -- TEXT ...       must fail and print the text
//	await-writes                                 until clients have had 40 more writes succeed
//
// "as V" sets the variable $V; "not W" takes a value, usually a variable. A variable stands for a whole argument, or for the text of a
// FIELD=TEXT. {X.config}, {X.address} and {P.policy} are the path of a process's settings, its address and the path of a policy's file. In
// all other arguments ~ stands for a space.
type Scenario struct {
	Description     string            `toml:"description"`
	Coordinators    int               `toml:"coordinators"`
	Routers         int               `toml:"routers"`
	Members         int               `toml:"members"`
	HealthSharing   bool              `toml:"health_sharing"`
	Switchover      bool              `toml:"switchover"`
	Writers         int               `toml:"writers"` // clients
	Probe           bool              `toml:"probe"`   // clients of the coordinator whose history is checked
	SessionTimeout  string            `toml:"session_timeout"`
	UnguardedMember string            `toml:"unguarded_member"`
	ClockOffsets    map[string]string `toml:"clock_offsets"`   // by process: how far its clock is ahead
	StateRegresses  bool              `toml:"state_regresses"` // the coordinator's: what its nodes write before and after that need not agree
	MinStaleActs    int               `toml:"min_stale_acts"`  // acts that receivers must have refused for their fencing token, at least
	ExtraClass      []string          `toml:"extra_class"`     // routers that know a further request class, "extra"
	Steps           []string          `toml:"steps"`

	name           string
	sessionTimeout time.Duration
	steps          []step
}

// Values of scenarios that are not given.
const (
	defaultScenarioProcesses = 3 // of each kind
	defaultScenarioTimeout   = "1s"
)

// StepError is a step of a scenario that is wrong, or that failed.
type StepError struct {
	Scenario string // the file's path
	Number   int    // from 1
	Step     string
	Err      error
}

// Error names scenario, step and cause.
func (e *StepError) Error() string {
	return fmt.Sprintf("%s: step %d, %q: %v", e.Scenario, e.Number, e.Step, e.Err)
}

// Unwrap gives the cause.
func (e *StepError) Unwrap() error { return e.Err }

// LoadScenario reads a scenario's file.
func LoadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseScenario(path, text)
}

// parseScenario reads a scenario and all of its steps.
func parseScenario(name string, text []byte) (*Scenario, error) {
	s := &Scenario{Coordinators: defaultScenarioProcesses, Routers: defaultScenarioProcesses, Members: defaultScenarioProcesses,
		SessionTimeout: defaultScenarioTimeout, name: name}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(s)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return nil, fmt.Errorf("%s: %s", name, unknown.String())
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if s.sessionTimeout, err = time.ParseDuration(s.SessionTimeout); err != nil {
		return nil, fmt.Errorf("%s: session_timeout: %w", name, err)
	}
	s.steps, err = parseSteps(s)
	return s, err
}
