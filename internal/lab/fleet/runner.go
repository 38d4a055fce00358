package fleet

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	client "wayloft/internal/fleet"
)

const (
	scenarioHealthShareInterval = 100 * time.Millisecond
	scenarioCoordinatorKeys     = "tick = \"20ms\"\n"
	extraClassKeys              = "[[txn_types]]\nname = \"extra\"\nsla = \"1s\"\nexpiry = \"2s\"\n"
)

// Outcome holds the counts and the duration of a scenario.
type Outcome struct {
	StaleActs, AcceptedActs int // rejected and accepted by receivers
	Succeeded               int // successful writes
	Unresolved              int // writes of unknown outcome
	Duration                time.Duration
}

// ViolationsError means that the checkers found violations.
type ViolationsError struct{ Violations []string }

// Error lists the violations.
func (e *ViolationsError) Error() string {
	list := "violations:"
	for _, violation := range e.Violations {
		list += "\n" + violation
	}
	return list
}

// runner runs a scenario. It holds the fleet, its clients and the results of earlier steps.
type runner struct {
	scenario *Scenario
	fleet    *Fleet
	client   *client.Client
	writes   *WriteLoad // nil if the scenario has no writers
	probe    *Probe     // nil if the scenario has none

	variables  map[string]string
	grants     map[string]Token        // by lease: the grant that was awaited last
	failpoints map[failpointKey]string // actions of the failpoints that were set
	order      uint64                  // number of the latest switchover's order
	proposal   chan commandResult      // receives the result of the asynchronous proposal
	agreed     []string                // policy versions reported to operators as agreed
}

// RunScenario runs a scenario in a directory and then runs the checkers. It returns a StepError if a step fails, and a ViolationsError if a
// checker finds violations.
func RunScenario(s *Scenario, binary, directory string) (outcome Outcome, err error) {
	started := time.Now()
	f, err := New(s.options(binary, directory))
	if err != nil {
		return outcome, err
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		return outcome, err
	}
	r := &runner{scenario: s, fleet: f, client: f.newClient(), variables: map[string]string{}, grants: map[string]Token{}, failpoints: map[failpointKey]string{}}
	defer r.client.Close()
	r.startClients()
	defer r.stopClients()
	if err := r.runSteps(); err != nil {
		return outcome, err
	}
	if err := r.recover(); err != nil {
		return outcome, err
	}
	if err := r.countOutcome(&outcome); err != nil {
		return outcome, err
	}
	outcome.Duration = time.Since(started)
	if violations := r.check(outcome); len(violations) > 0 {
		return outcome, &ViolationsError{Violations: violations}
	}
	return outcome, nil
}

// options returns the options of the scenario's fleet.
func (s *Scenario) options(binary, directory string) Options {
	options := Options{Binary: binary, Dir: directory, Coordinators: s.Coordinators, Routers: s.Routers, Members: s.Members, Links: true,
		SessionTimeout: s.sessionTimeout, Switchover: s.Switchover, UnguardedMember: s.UnguardedMember, CoordinatorKeys: scenarioCoordinatorKeys,
		RouterKeys: s.routerKeys}
	if s.HealthSharing {
		options.HealthShareInterval = scenarioHealthShareInterval
	}
	return options
}

// routerKeys returns further keys of one router's settings: in [fleet] and top-level.
func (s *Scenario) routerKeys(name string) (fleet, top string) {
	if offset := s.ClockOffsets[name]; offset != "" {
		fleet = fmt.Sprintf("clock_ahead = %q\n", offset)
	}
	if slices.Contains(s.ExtraClass, name) {
		top = extraClassKeys
	}
	return fleet, top
}

func (r *runner) startClients() {
	if r.scenario.Writers > 0 {
		r.writes = NewWriteLoad(r.fleet.routerAddresses(), r.scenario.Writers)
	}
	if r.scenario.Probe {
		r.probe = NewProbe(r.fleet.FleetName, r.fleet.CoordinatorAddresses())
	}
}

func (r *runner) stopClients() {
	if r.writes != nil {
		r.writes.Stop()
	}
	if r.probe != nil {
		r.probe.Stop()
	}
}

// runSteps runs all steps in order.
func (r *runner) runSteps() error {
	for n, step := range r.scenario.steps {
		if err := r.run(step); err != nil {
			return &StepError{Scenario: r.scenario.name, Number: n + 1, Step: step.text, Err: err}
		}
	}
	return nil
}

func (r *runner) run(s step) error {
	for _, variable := range s.variables {
		if _, set := r.variables[variable]; !set {
			return fmt.Errorf("$%s is not set", variable)
		}
	}
	return s.action(r)
}

// bind polls find and sets a variable once the result is neither empty nor the excluded value.
func (r *runner) bind(bound binding, condition string, find func() (string, error)) error {
	excluded := ""
	if bound.not != nil {
		excluded = bound.not.text(r)
	}
	return WaitUntil(condition, func() (bool, error) {
		found, err := find()
		if err != nil || found == "" || found == excluded {
			return false, err
		}
		r.variables[bound.variable] = found
		return true, nil
	})
}

// recover waits for the probe's responses, stops the writers, resumes all processes, heals all links and waits until running routers apply the
// policy in force.
func (r *runner) recover() error {
	if r.probe != nil {
		if err := r.probe.WaitForRequests(); err != nil {
			return err
		}
	}
	if r.writes != nil {
		r.writes.Stop()
	}
	for _, p := range r.fleet.Processes() {
		p.Resume()
	}
	r.fleet.healLinks()
	return r.fleet.waitForPolicy()
}

// countOutcome fills in the counts of an outcome.
func (r *runner) countOutcome(outcome *Outcome) (err error) {
	if r.writes != nil {
		outcome.Succeeded, outcome.Unresolved = len(r.writes.Succeeded), len(r.writes.Unresolved)
	}
	if outcome.StaleActs, err = r.fleet.countRouterEvents(actStale); err != nil {
		return err
	}
	outcome.AcceptedActs, err = r.fleet.countRouterEvents(actAccepted)
	return err
}

// check runs all checkers.
func (r *runner) check(outcome Outcome) []string {
	violations := CheckLeases(r.fleet, r.scenario.StateRegresses)
	violations = append(violations, CheckPolicy(r.fleet, r.agreed, func(p *Process) bool { return p.Pid() > 0 })...)
	if r.writes != nil {
		violations = append(violations, CheckWrites(filepath.Join(r.fleet.Dir, memberDirectory), r.writes)...)
	}
	if r.probe != nil {
		r.probe.Stop()
		violations = append(violations, r.probe.Check()...)
	}
	if outcome.StaleActs < r.scenario.MinStaleActs {
		violations = append(violations, fmt.Sprintf("%d stale acts were rejected, want at least %d", outcome.StaleActs, r.scenario.MinStaleActs))
	}
	return violations
}
