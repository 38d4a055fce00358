package simulation

import (
	"fmt"
	"maps"
	"slices"

	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/raftnode"
)

const (
	// maxControlBytesPerSecond is what control traffic may take of a router's bandwidth in any second, both ways.
	maxControlBytesPerSecond = 6 << 10
	// messageOverheadBytes is what HTTP/2, TCP and IP headers are assumed to add to each message.
	messageOverheadBytes = 100
	// maxPropagationMs bounds how long the last change of a run, after all faults, takes from being in force until all routers have
	// applied it: a watch that fell silent is noticed after watchTimeoutMs and replaced, and what is missing is fetched.
	maxPropagationMs = 10000.0
	// maxPolicyViolations is how many violations are reported of one run.
	maxPolicyViolations = 10
	// bandwidthWindowSeconds is how many seconds of a router's traffic are remembered, at most.
	bandwidthWindowSeconds = 4
)

// policyChecker remembers what happened to the policy. Versions are packed.
type policyChecker struct {
	documents           map[uint64][32]byte    // by version: the hash of the one document that it ever had
	proposedMs          map[[32]byte]float64   // by hash of the document
	propagations        map[uint64]propagation // of versions that some router has yet to apply
	acknowledged        map[uint64][][32]byte  // by version number: hashes of the proposals that were acknowledged as this version
	latest              uint64                 // version
	latestPropagationMs float64                // of the latest version, from being in force until all routers applied it
	routerDelaysMs      map[uint64][]float64   // by version: from its proposal, for each router that applied this very version
	bytesBySecond       map[string]map[int]int // by router and second
	totalBytes          int                    // of all routers
}

// propagation is a version's way to the routers.
type propagation struct {
	proposedMs, inForceMs float64
	pending               map[string]bool // routers that have yet to apply it, or a later one
}

func newPolicyChecker() policyChecker {
	return policyChecker{
		documents:      map[uint64][32]byte{},
		proposedMs:     map[[32]byte]float64{},
		propagations:   map[uint64]propagation{},
		acknowledged:   map[uint64][][32]byte{},
		routerDelaysMs: map[uint64][]float64{},
		bytesBySecond:  map[string]map[int]int{},
	}
}

// proposalAccepted records that a proposal was acknowledged to its operator as a version number.
func (c *policyChecker) proposalAccepted(number uint64, hash [32]byte) {
	c.acknowledged[number] = append(c.acknowledged[number], hash)
}

// versionInForce checks a version that some coordinator node has in force against those that were.
func (w *World) versionInForce(v policy.Version, document policy.Document, history []policy.Change) {
	r := w.policyRun
	for _, change := range history {
		if hash, known := r.documents[change.Version.Packed()]; known && hash != change.Version.Hash {
			w.violation("version %s is two documents", change.Version)
		}
	}
	packed := v.Packed()
	hash, known := r.documents[packed]
	if known && hash != v.Hash {
		w.violation("version %s is two documents", v)
	}
	if known {
		return
	}
	for _, change := range history {
		r.documents[change.Version.Packed()] = change.Version.Hash
	}
	r.documents[packed] = v.Hash
	r.latest = max(r.latest, packed)
	if document.Hash() != v.Hash {
		w.violation("version %s: the document doesn't have its hash", v)
	}
	w.startPropagation(v)
}

func (w *World) startPropagation(v policy.Version) {
	proposedMs, known := w.policyRun.proposedMs[v.Hash]
	if !known {
		proposedMs = w.Now
	}
	pending := map[string]bool{}
	for _, p := range w.Routers {
		if p.up && !p.paused {
			pending[p.Name] = true
		}
	}
	w.policyRun.propagations[v.Packed()] = propagation{proposedMs, w.Now, pending}
}

// versionApplied checks a version that a router applied.
func (w *World) versionApplied(p *Process, v policy.Version, document policy.Document) {
	r := w.policyRun
	hash, known := r.documents[v.Packed()]
	fromTamperedStore := p.storeTampered && maps.Equal(document, p.stored.document)
	if known && hash != document.Hash() && !fromTamperedStore {
		w.violation("%s applied another document than that of version %s", p.Name, v)
	}
	if v.Packed() < p.policy.version.Packed() {
		w.violation("%s went back from %s to %s", p.Name, p.policy.version, v)
	}
	p.policy.version, p.policy.document = v, document
	w.Applied++
	if change, waits := r.propagations[v.Packed()]; waits && change.pending[p.Name] {
		r.routerDelaysMs[v.Packed()] = append(r.routerDelaysMs[v.Packed()], w.Now-change.proposedMs)
	}
	for packed, change := range r.propagations {
		if packed > v.Packed() || !change.pending[p.Name] {
			continue
		}
		delete(change.pending, p.Name)
		if len(change.pending) > 0 {
			continue
		}
		w.PropagationMs = append(w.PropagationMs, w.Now-change.proposedMs)
		if packed == r.latest {
			r.latestPropagationMs = w.Now - change.inForceMs
		}
		delete(r.propagations, packed)
	}
}

// countBytes counts a router's control traffic.
func (w *World) countBytes(p *Process, bytes int) {
	if p.client == nil {
		return
	}
	seconds := w.policyRun.bytesBySecond[p.Name]
	if seconds == nil {
		seconds = map[int]int{}
		w.policyRun.bytesBySecond[p.Name] = seconds
	}
	second := int(w.Now / 1000)
	seconds[second] += bytes + messageOverheadBytes
	w.policyRun.totalBytes += bytes + messageOverheadBytes
	w.MaxBytesPerSecond = max(w.MaxBytesPerSecond, seconds[second])
	if len(seconds) > bandwidthWindowSeconds {
		maps.DeleteFunc(seconds, func(other, _ int) bool { return other < second-1 })
	}
}

// checkPolicies checks the state at the end of a run: all routers have applied the version in force and the coordinator knows so.
func (w *World) checkPolicies() (violations []string) {
	leader := w.Leader()
	if leader == nil {
		return []string{"no coordinator node leads at the end"}
	}
	for _, p := range w.Routers {
		violations = append(violations, w.checkPolicyRouter(p, leader.node)...)
	}
	violations = append(violations, w.policyRun.checkAcknowledged()...)
	if _, pending := w.policyRun.propagations[w.policyRun.latest]; pending || w.policyRun.latestPropagationMs > maxPropagationMs {
		violations = append(violations, fmt.Sprintf("the last change, after all faults, was not applied everywhere within %.0f ms (%.0f)",
			maxPropagationMs, w.policyRun.latestPropagationMs))
	}
	if w.MaxBytesPerSecond > maxControlBytesPerSecond {
		violations = append(violations, fmt.Sprintf("a router sent and received %d bytes in a second, at most are allowed %d",
			w.MaxBytesPerSecond, maxControlBytesPerSecond))
	}
	return violations[:min(len(violations), maxPolicyViolations)]
}

func (w *World) checkPolicyRouter(p *Process, leader *raftnode.Node) (violations []string) {
	if !p.up || p.paused {
		return []string{p.Name + " is down at the end"}
	}
	w.StaleAnnouncements += p.policy.follower.Stale
	w.HashMismatches += p.policy.follower.HashMismatches
	applied, inForce := p.policy.version, leader.State().Policy().Version
	if applied.Packed() != inForce.Packed() || p.policy.document.Hash() != inForce.Hash {
		violations = append(violations, fmt.Sprintf("%s has applied %s at the end, %s is in force", p.Name, applied, inForce))
	}
	session, open := leader.State().Session(p.Name)
	if !open || session.Policy != applied.Packed() {
		violations = append(violations, fmt.Sprintf("%s has applied %s at the end, its session (open: %v) says %s", p.Name, applied,
			open, policy.FormatPacked(session.Policy)))
	}
	return violations
}

// checkAcknowledged checks that each acknowledged proposal has the version number that its operator received.
func (c *policyChecker) checkAcknowledged() (violations []string) {
	for _, number := range slices.Sorted(maps.Keys(c.acknowledged)) {
		for _, hash := range c.acknowledged[number] {
			if !c.hasVersion(number, hash) {
				violations = append(violations, fmt.Sprintf("a proposal was acknowledged as number %d, which is another document", number))
			}
		}
	}
	return violations
}

func (c *policyChecker) hasVersion(number uint64, hash [32]byte) bool {
	for packed, known := range c.documents {
		if _, n := policy.SplitPacked(packed); n == number && known == hash {
			return true
		}
	}
	return false
}
