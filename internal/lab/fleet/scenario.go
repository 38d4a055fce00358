package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Scenario describes a fleet and the steps of a test. A step performs an action or waits until the processes report a condition. No step
// waits for a fixed time, so that the result doesn't depend on the machine's speed. After the last step, all processes and links recover
// and the checkers read the audit logs.
//
// A step is a verb with arguments, separated by spaces. X is a process: c1, c2, ... are coordinator nodes, r1, r2, ... routers and m1,
// m2, ... members. FIELD=TEXT selects the events of an audit log whose field contains the text.
//
// Processes:
//
//	stop X | resume X | terminate X | kill X     sends SIGSTOP, SIGCONT, SIGTERM or SIGKILL; the last two wait for the exit
//	start X                                      starts X and waits until it is ready
//	start-limited X BLOCKS                       starts X with a limit on file size in blocks of 512 bytes; doesn't wait
//	await-exit X [TEXT ...]                      until X has exited and its log contains the text
//	expect-running X                             fails if X has exited
//
// Data of a coordinator node that is not running:
//
//	delete-data X | copy-data X | restore-data X deletes, copies or restores its data directory
//	await-exclusion X                            until the others refuse X, or X exits, because it lost acknowledged data
//
// Links; A and B are each a process, coordinators, routers, members or all:
//
//	blackhole A B [forward|back]                 holds back data, in one direction or both, without loss
//	reset A B                                    closes existing and new connections with RST
//	heal A B                                     removes the faults
//	await-held A B [any]                         until each link holds back forward data; any: one of them
//
// Failpoints:
//
//	failpoint X POINT stop|kill                  X stops or kills itself the next time it reaches the failpoint
//	await-failpoint X POINT                      until X has reached the failpoint, and has stopped if that is the action
//	await-router-at POINT as V                   until any router has stopped at the failpoint; the others continue
//	disable-act-timeout X                        removes the timeout of its acts as lease holder
//
// Leases:
//
//	await-active LEASE as V [not W]              until a router other than W acts for the lease according to its audit log
//	await-later-grant LEASE as V [not W]         the same, by a later grant than the one that was awaited last
//	await-holder LEASE as V [not W]              until the coordinator's state has a holder other than W
//	await-queue LEASE N                          until N sessions are queued for the lease
//	await-withheld LEASE                         until the lease has no holder and is not granted again in this epoch
//	await-acts LEASE [except W]                  until the holder is not W and all routers but these two accepted two of its acts
//	await-stale-acts N                           until receivers have rejected N acts because of their fencing token
//
// The coordinator:
//
//	await-leader as V [not W]                    until a node other than W leads according to the audit logs
//	await-sessions N | await-coordinators N      until it has N router sessions, or N nodes
//	await-later-epoch                            until an epoch that begins now would be higher than the current one
//	join X | remove X                            adds a new node, or removes one
//
// Audit logs:
//
//	await-event X EVENT [FIELD=TEXT ...]         until the audit log of X has a matching event
//	await-events N X EVENT [FIELD=TEXT ...]      until it has N matching events
//	expect-no-event X EVENT [FIELD=TEXT ...]     fails if it has a matching event
//
// Switchovers of group 0:
//
//	switchover MEMBER                            places an order to promote the member
//	await-switchover TEXT ...                    until it has ended; the result must contain the text
//	await-primary MEMBER                         until this member and no other accepts writes
//	take-over FORMER NEXT                        the cluster makes a member the primary by itself
//
// The policy:
//
//	write-policy P FIELD=VALUE ...               writes a policy file; many=N adds the rates of N tenants
//	propose P [FLAG ...]                         runs `wayloft policy propose`, again while its outcome is unknown; must succeed; sets $P
//	propose-async P [FLAG ...]                   runs the command once, in the background
//	await-proposal STATUS [TEXT ...]             until that has ended, with this exit status and text; may set $begun
//	propose-both P Q                             proposes both concurrently from one version: exactly one must be accepted
//	propose-many N                               makes N proposals in sequence
//	await-policy-everywhere [except X ...]       until each running router reports that it applies the version in force
//	await-policy X VERSION                       until X reports that it applies the version
//	await-policy-taken X VERSION                 until X has applied the version since its latest start, also from storage
//	corrupt-policy X                             flips a bit of the stored policy of X, which must not be running
//
// Commands and clients:
//
//	command ARGUMENT ...                         runs the program, with --council and --fleet if needed; must succeed
//	command-fails ARGUMENT ... -- TEXT ...       the same, but must fail and print the text
//	await-writes                                 until 40 more writes have succeeded
//
// "as V" sets the variable $V; "not W" excludes a value, usually that of a variable. A variable stands for a whole argument or for the text of
// FIELD=TEXT. {X.config}, {X.address} and {P.policy} stand for the path of a process's settings, its address and the path of a policy file.
// In all other arguments, ~ stands for a space.
type Scenario struct {
	Description     string            `toml:"description"`
	Coordinators    int               `toml:"coordinators"`
	Routers         int               `toml:"routers"`
	Members         int               `toml:"members"`
	HealthSharing   bool              `toml:"health_sharing"`
	Switchover      bool              `toml:"switchover"`
	Writers         int               `toml:"writers"` // clients that send writes
	Probe           bool              `toml:"probe"`   // run clients of the coordinator whose history is checked for linearizability
	SessionTimeout  string            `toml:"session_timeout"`
	UnguardedMember string            `toml:"unguarded_member"`
	ClockOffsets    map[string]string `toml:"clock_offsets"`   // by process: how far its clock runs ahead
	StateRegresses  bool              `toml:"state_regresses"` // the coordinator's state is rolled back, so its nodes' audit logs may be inconsistent
	MinStaleActs    int               `toml:"min_stale_acts"`  // lower bound of acts that receivers reject because of their fencing token
	ExtraClass      []string          `toml:"extra_class"`     // routers that have the additional request class "extra"
	Steps           []string          `toml:"steps"`

	name           string
	sessionTimeout time.Duration
	steps          []step
}

// Defaults of Scenario.
const (
	defaultScenarioProcesses = 3 // of each kind
	defaultScenarioTimeout   = "1s"
)

// StepError means that a step of a scenario is invalid or failed.
type StepError struct {
	Scenario string // the file's path
	Number   int    // from 1
	Step     string
	Err      error
}

// Error names the scenario, the step and the cause.
func (e *StepError) Error() string {
	return fmt.Sprintf("%s: step %d, %q: %v", e.Scenario, e.Number, e.Step, e.Err)
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

// LoadScenario reads and parses a scenario file.
func LoadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseScenario(path, text)
}

// parseScenario parses a scenario and all of its steps.
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
