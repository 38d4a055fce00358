package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"wayloft/internal/decide/policy"
	"wayloft/internal/fleet"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

const (
	// waitPollInterval is the interval at which a wait polls the versions that routers apply.
	waitPollInterval = 200 * time.Millisecond
	// silenceThresholdMs is how long a router may send nothing before it is reported as silent. Routers send heartbeats several times a second.
	silenceThresholdMs = 1000
	// statusNotEverywhere is the exit status if a policy is not known to be in force everywhere, or the outcome of a proposal is unknown.
	statusNotEverywhere = 3
)

// routerState is the state of a router with respect to a version of the policy. Programs read the values, which must not change.
type routerState string

const (
	routerApplied  routerState = "in force"
	routerPending  routerState = "waits"
	routerRejected routerState = "couldn't"
	routerSilent   routerState = "silent"
)

// routerPolicy is a router and the version of the policy that it applies.
type routerPolicy struct {
	name     string
	state    routerState
	reason   string // why it rejected the version or is silent
	version  uint64 // packed
	silentMs uint64
}

// routerPolicies returns each router that has a session, and those among known that no longer have one.
func routerPolicies(s *fleetpb.State, wanted uint64, known map[string]bool) []routerPolicy {
	var all []routerPolicy
	connected := map[string]bool{}
	for _, session := range s.State.Sessions {
		if session.Kind != "router" {
			continue
		}
		connected[session.Name] = true
		all = append(all, newRouterPolicy(session, wanted))
	}
	for name := range known {
		if !connected[name] {
			all = append(all, routerPolicy{name: name, state: routerSilent, reason: "its session has ended"})
		}
	}
	slices.SortFunc(all, func(a, b routerPolicy) int { return cmp.Compare(a.name, b.name) })
	return all
}

func newRouterPolicy(session *fleetpb.Session, wanted uint64) routerPolicy {
	r := routerPolicy{name: session.Name, version: session.Policy, silentMs: session.SilentMs, state: routerPending}
	switch {
	case session.Policy >= wanted:
		r.state = routerApplied
	case session.Wont >= wanted && wanted > 0:
		r.state, r.reason = routerRejected, session.Why
	case session.SilentMs >= silenceThresholdMs:
		r.state = routerSilent
	}
	return r
}

// missingRouters lists the routers that don't apply a version, with the reasons; it returns "" if all do. Routers that have had no session
// can only be counted: expected is the number of routers in the fleet.
func missingRouters(all []routerPolicy, expected int) string {
	var missing []string
	if n := max(1, expected) - len(all); n > 0 {
		missing = append(missing, fmt.Sprintf("%d more (no session with the coordinator)", n))
	}
	for _, r := range all {
		reason := string(r.state)
		switch r.state {
		case routerApplied:
			continue
		case routerRejected:
			reason = "couldn't: " + oneLine(r.reason)
		case routerPending:
			reason = "applies " + policy.FormatPacked(r.version)
		}
		missing = append(missing, fmt.Sprintf("%s (%s)", r.name, reason))
	}
	return strings.Join(missing, ", ")
}

func oneLine(text string) string { return strings.ReplaceAll(text, "\n", "; ") }

// latestVersion returns the version in force.
func latestVersion(s *fleetpb.State) policy.Version {
	if n := len(s.State.Policies); n > 0 {
		if v, _, err := rpc.DecodePolicy(s.State.Policies[n-1]); err == nil {
			return v
		}
	}
	return policy.Version{}
}

// reportNotEverywhere prints why a version is not in force everywhere and returns an error with the exit status for it.
func reportNotEverywhere(out *printer, reason string) error {
	out.printf("not everywhere: %s\n", reason)
	return statusError{error: errors.New(""), status: statusNotEverywhere}
}

// versionWait waits for one version to be in force everywhere.
type versionWait struct {
	version         policy.Version
	agreed          time.Time       // when the coordinator accepted it, as seen here
	expectedRouters int             // number of routers in the fleet; 0: unknown
	known           map[string]bool // routers that have had a session since the wait began
	missing         string          // result of missingRouters at the last poll
	out             *printer
}

// wait waits until a version is in force everywhere or the timeout passes. It prints the routers that are missing whenever they change.
func (c *policyProposeCmd) wait(out *printer, client *fleet.Client, version policy.Version, agreed time.Time) error {
	if c.Wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	w := &versionWait{version: version, agreed: agreed, expectedRouters: c.Routers, known: map[string]bool{}, missing: "no response from the coordinator yet", out: out}
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	printed := ""
	for {
		if ended, err := w.poll(ctx, client); ended {
			return err
		}
		if printed != w.missing && ctx.Err() == nil {
			printed = w.missing
			out.printf("waiting for %s\n", w.missing)
		}
		select {
		case <-ctx.Done():
			return reportNotEverywhere(out, w.missing)
		case <-ticker.C:
		}
	}
}

// poll fetches the state once and reports whether the wait has ended, and with which error.
func (w *versionWait) poll(ctx context.Context, client *fleet.Client) (ended bool, err error) {
	pollCtx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	s, err := client.State(pollCtx)
	if err != nil {
		if ctx.Err() == nil {
			w.missing = "the coordinator gives no answer: " + err.Error()
		}
		return false, nil
	}
	if now := latestVersion(s); now.Packed() > w.version.Packed() {
		return true, reportNotEverywhere(w.out, fmt.Sprintf("it was replaced by version %s, by %s: %s", now, now.Author, now.Reason))
	}
	all := routerPolicies(s, w.version.Packed(), w.known)
	for _, r := range all {
		w.known[r.name] = true
	}
	w.missing = missingRouters(all, w.expectedRouters)
	if w.missing != "" {
		return false, nil
	}
	now := time.Now()
	w.out.printf("in force everywhere since %s: version %s at %d routers, seen %.2f s after it was agreed\n",
		now.UTC().Format("2006-01-02T15:04:05.000Z"), w.version, len(all), now.Sub(w.agreed).Seconds())
	return true, nil
}
