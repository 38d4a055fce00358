package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"wayloft/internal/decide/policy"
	client "wayloft/internal/fleet"
	"wayloft/internal/settings"
)

const (
	tenantsField     = "many"  // a field of write-policy
	proposalVariable = "begun" // set by await-proposal
	tenantRateFactor = 7919    // spreads the tenants' rates
	maxTenantRate    = 10007
)

// Texts in the output of `wayloft policy propose`.
const (
	agreedText          = "is agreed"
	unchangedText       = "which is in force, says the same"
	outcomeUnknownText  = "it is not known whether"
	noCoordinatorText   = "gives no answer"
	outdatedVersionText = "this was made from "
)

var (
	errNoProposal     = errors.New("no asynchronous proposal was started")
	errNoVersion      = errors.New("the command printed no version")
	errProposalFailed = errors.New("the command failed")
)

func parseWritePolicy(a *arguments) action {
	name := a.name("a policy")
	fields := a.fields()
	return func(r *runner) error {
		document := policy.Document{}
		for _, f := range fields {
			if f.key != tenantsField {
				document[f.key] = f.text.text(r)
				continue
			}
			count, err := strconv.Atoi(f.text.text(r))
			if err != nil {
				return err
			}
			addTenants(document, count)
		}
		_, err := r.fleet.WritePolicy(name, document)
		return err
	}
}

// addTenants adds the rates of this number of tenants to a document.
func addTenants(document policy.Document, count int) {
	for n := range count {
		document[fmt.Sprintf("tenants.t%05d.rate", n)] = fmt.Sprint(1 + n*tenantRateFactor%maxTenantRate)
	}
}

// policyName consumes the name of a policy and declares the variable of that name.
func (a *arguments) policyName() string {
	name := a.name("a policy")
	a.sets = append(a.sets, name)
	return name
}

func (f *Fleet) proposeCommand(name string, flags []string) commandResult {
	return f.runForResult(append([]string{"policy", "propose", f.policyPath(name)}, flags...)...)
}

// parsePropose parses propose. The step repeats a command whose outcome is unknown, as an operator would; repeating a proposal is harmless.
func parsePropose(a *arguments) action {
	name, flags := a.policyName(), a.remaining()
	return func(r *runner) error {
		var result commandResult
		err := WaitUntil("policy "+name+" is agreed", func() (bool, error) {
			result = r.fleet.proposeCommand(name, r.texts(flags))
			if result.status == 0 {
				return true, r.recordAgreed(name, result.output)
			}
			if strings.Contains(result.output, outcomeUnknownText) || strings.Contains(result.output, noCoordinatorText) {
				return false, nil
			}
			return false, errProposalFailed
		})
		if err != nil {
			return fmt.Errorf("%w: status %d: %s", err, result.status, result.output)
		}
		return nil
	}
}

// recordAgreed records the version that a proposal became, according to the command's output.
func (r *runner) recordAgreed(variable, output string) error {
	for line := range strings.Lines(output) {
		words := strings.Fields(line)
		if len(words) < 2 || words[0] != "version" || !strings.Contains(line, agreedText) && !strings.Contains(line, unchangedText) {
			continue
		}
		version := strings.TrimSuffix(words[1], ",")
		r.variables[variable] = version
		r.agreed = append(r.agreed, version)
		return nil
	}
	return fmt.Errorf("%w: %s", errNoVersion, output)
}

func parseProposeAsync(a *arguments) action {
	name, flags := a.name("a policy"), a.remaining()
	return func(r *runner) error {
		result := make(chan commandResult, 1)
		r.proposal = result
		texts := r.texts(flags)
		go func() { result <- r.fleet.proposeCommand(name, texts) }()
		return nil
	}
}

func parseAwaitProposal(a *arguments) action {
	status, wanted := a.number("an exit status"), a.remaining()
	a.sets = append(a.sets, proposalVariable)
	return func(r *runner) error {
		if r.proposal == nil {
			return errNoProposal
		}
		result := <-r.proposal
		if result.status != status || !strings.Contains(result.output, r.joined(wanted)) {
			return fmt.Errorf("status %d: %s", result.status, result.output)
		}
		if !strings.Contains(result.output, agreedText) {
			return nil
		}
		return r.recordAgreed(proposalVariable, result.output)
	}
}

func parseProposeBoth(a *arguments) action {
	names := [2]string{a.name("a policy"), a.name("a policy")}
	return func(r *runner) error {
		base, err := r.policyInForce()
		if err != nil {
			return err
		}
		var documents [2]policy.Document
		for n, name := range names {
			if documents[n], err = r.fleet.readPolicy(name); err != nil {
				return err
			}
		}
		var both sync.WaitGroup
		var failures [2]error
		for n, document := range documents {
			both.Go(func() { failures[n] = r.proposeDocument(document, base) })
		}
		both.Wait()
		return checkOneAgreed(failures, base.Version)
	}
}

// checkOneAgreed returns an error unless one of two proposals was agreed and the other was rejected as based on an outdated version.
func checkOneAgreed(failures [2]error, base policy.Version) error {
	rejected := failures[0]
	if rejected == nil {
		rejected = failures[1]
	}
	if (failures[0] == nil) == (failures[1] == nil) {
		return fmt.Errorf("want one of two proposals agreed: %w, %w", failures[0], failures[1])
	}
	if !strings.Contains(rejected.Error(), outdatedVersionText+base.String()) {
		return fmt.Errorf("rejected for another reason: %w", rejected)
	}
	return nil
}

func parseProposeMany(a *arguments) action {
	const firstValue = 100
	count := a.number("a count")
	return func(r *runner) error {
		for n := range count {
			base, err := r.policyInForce()
			if err != nil {
				return err
			}
			document := policy.Document{"txn_types.write.value": fmt.Sprint(firstValue + n)}
			if err := r.proposeDocument(document, base); err != nil {
				return err
			}
		}
		return nil
	}
}

// proposeDocument proposes a document as the successor of a version.
func (r *runner) proposeDocument(document policy.Document, base client.Policies) error {
	ctx, cancel := context.WithTimeout(context.Background(), WaitLimit)
	defer cancel()
	result, err := r.client.Propose(ctx, policy.Propose(base.Version, base.Document, document, "lab", ""))
	if err != nil {
		return err
	}
	if !result.Held {
		return result.Rejection
	}
	return nil
}

// policyInForce requests the policy in force from the coordinator, with WaitLimit as the timeout.
func (r *runner) policyInForce() (client.Policies, error) {
	ctx, cancel := context.WithTimeout(context.Background(), WaitLimit)
	defer cancel()
	return r.client.Policy(ctx)
}

func parseAwaitPolicyEverywhere(a *arguments) action {
	var except []value
	if a.accept("except") {
		for len(a.words) > 0 {
			except = append(except, a.process())
		}
	}
	return func(r *runner) error {
		excepted := map[string]bool{}
		for _, name := range r.texts(except) {
			excepted[name] = true
		}
		return waitWithin(policyWaitLimit, "every router applies the policy in force", func() (bool, error) { return r.policyEverywhere(excepted) })
	}
}

// policyEverywhere reports whether each running router, apart from the excepted ones, applies the version in force.
func (r *runner) policyEverywhere(except map[string]bool) (bool, error) {
	state, err := coordinatorState(r.client)
	if err != nil {
		return false, nil // a coordinator without a leader has one later
	}
	inForce := versionInForce(state)
	for _, router := range r.fleet.ofKind(routerKind) {
		pid := router.Pid()
		if pid == 0 || except[router.Name] {
			continue
		}
		version, _, err := r.fleet.ReportedPolicy(router, pid)
		if err != nil || version != inForce {
			return false, err
		}
	}
	return true, nil
}

func parseAwaitPolicy(a *arguments) action {
	process, version := a.process(), a.value("a version")
	return func(r *runner) error {
		p, err := r.process(process)
		if err != nil {
			return err
		}
		return waitWithin(policyWaitLimit, p.Name+" reports "+version.text(r), func() (bool, error) {
			applied, _, err := r.fleet.ReportedPolicy(p, anyPid)
			return applied == version.text(r), err
		})
	}
}

// parseAwaitPolicyTaken parses await-policy-taken. The step waits for the router to apply the version rather than to report it: a router
// reports only once it was notified, and may have applied the next version by then.
func parseAwaitPolicyTaken(a *arguments) action {
	process, version := a.process(), a.value("a version")
	return func(r *runner) error {
		p, err := r.process(process)
		if err != nil {
			return err
		}
		return waitWithin(policyWaitLimit, p.Name+" has applied "+version.text(r), func() (bool, error) {
			wanted := map[string]string{pidField: fmt.Sprint(p.Pid()), versionField: version.text(r)}
			count, _, err := r.fleet.CountEvents(p.Name, policyApplied, wanted)
			return count > 0, err
		})
	}
}

func parseCorruptPolicy(a *arguments) action {
	const bit = 4
	process := a.process()
	return func(r *runner) error {
		p, err := r.process(process)
		if err != nil {
			return err
		}
		path := filepath.Join(r.fleet.policyDirectory(p), "policy")
		stored, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		stored[len(stored)/2] ^= bit
		return os.WriteFile(path, stored, fileMode)
	}
}

// readPolicy reads a policy file.
func (f *Fleet) readPolicy(name string) (policy.Document, error) {
	text, err := os.ReadFile(f.policyPath(name))
	if err != nil {
		return nil, err
	}
	return settings.ReadPolicy(text)
}
