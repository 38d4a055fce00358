package simulation

import (
	"fmt"
	"maps"
	"slices"

	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/raftnode"
)

const (
	// maxControlBytesPerSecond is the limit on the control traffic that a router sends and receives in any second.
	maxControlBytesPerSecond = 6 << 10
	// messageOverheadBytes is the assumed size of the HTTP/2, TCP and IP headers of each message.
	messageOverheadBytes = 100
	// maxPropagationMs bounds the time from when the last change of a run, after all faults, is in force until all routers have applied
	// it. It leaves time for a router to notice a silent watch after watchTimeoutMs, replace it, and fetch what it missed.
	maxPropagationMs = 10000.0
	// maxPolicyViolations is the maximum number of policy violations reported per run.
	maxPolicyViolations = 10
	// bandwidthWindowSeconds is the maximum number of seconds for which a router's traffic counters are kept.
	bandwidthWindowSeconds = 4
)

// policyChecker records the versions, proposals and propagation of the policy. Versions are packed.
type policyChecker struct {
	documents           map[uint64][32]byte    // by version: the hash of its document
	proposedMs          map[[32]byte]float64   // by hash of the document
	propagations        map[uint64]propagation // by version: those that some router has yet to apply
	acknowledged        map[uint64][][32]byte  // by version number: hashes of the proposals that were acknowledged as this version
	latest              uint64                 // latest version in force
	latestPropagationMs float64                // of the latest version, from being in force until all routers applied it
	routerDelaysMs      map[uint64][]float64   // by version: from its proposal, for each router that applied exactly this version
	bytesBySecond       map[string]map[int]int // by router and second
	totalBytes          int                    // of all routers
}

// propagation tracks which routers have yet to apply a version.
type propagation struct {
	proposedMs, inForceMs float64
	pending               map[string]bool // routers that have applied neither this version nor a later one
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

// versionInForce checks a version that is in force at a coordinator node against the versions seen before, and records it.
func (w *World) versionInForce(v policy.Version, document policy.Document, history []policy.Change) {
	r := w.policyRun
	for _, change := range history {
		if hash, known := r.documents[change.Version.Packed()]; known && hash != change.Version.Hash {
			w.violation("version %s has two different documents", change.Version)
		}
	}
	packed := v.Packed()
	hash, known := r.documents[packed]
	if known && hash != v.Hash {
		w.violation("version %s has two different documents", v)
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
		w.violation("version %s: its hash does not match its document", v)
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

// versionApplied checks a version that a router applied, and records its propagation.
func (w *World) versionApplied(p *Process, v policy.Version, document policy.Document) {
	r := w.policyRun
	hash, known := r.documents[v.Packed()]
	fromTamperedStore := p.storeTampered && maps.Equal(document, p.stored.document)
	if known && hash != document.Hash() && !fromTamperedStore {
		w.violation("%s applied a document that differs from that of version %s", p.Name, v)
	}
	if v.Packed() < p.policy.version.Packed() {
		w.violation("%s went back from %s to %s", p.Name, p.policy.version, v)
	}
	p.policy.version, p.policy.document = v, document
	w.Applied++
	if change, waiting := r.propagations[v.Packed()]; waiting && change.pending[p.Name] {
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

// countBytes adds a message to a router's control traffic; other processes are not counted.
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

// checkPolicies checks the state at the end of a run: all routers have applied the version in force, and the coordinator has recorded that.
func (w *World) checkPolicies() (violations []string) {
	leader := w.Leader()
	if leader == nil {
		return []string{"no leader at the end"}
	}
	for _, p := range w.Routers {
		violations = append(violations, w.checkPolicyRouter(p, leader.node)...)
	}
	violations = append(violations, w.policyRun.checkAcknowledged()...)
	if _, pending := w.policyRun.propagations[w.policyRun.latest]; pending || w.policyRun.latestPropagationMs > maxPropagationMs {
		violations = append(violations, fmt.Sprintf("the last change, after all faults, was not applied by all routers within %.0f ms (%.0f)",
			maxPropagationMs, w.policyRun.latestPropagationMs))
	}
	if w.MaxBytesPerSecond > maxControlBytesPerSecond {
		violations = append(violations, fmt.Sprintf("a router sent and received %d bytes in a second; the limit is %d",
			w.MaxBytesPerSecond, maxControlBytesPerSecond))
	}
	return violations[:min(len(violations), maxPolicyViolations)]
}

func (w *World) checkPolicyRouter(p *Process, leader *raftnode.Node) (violations []string) {
	if !p.up || p.paused {
		return []string{p.Name + " is down at the end"}
	}
	w.StaleAnnouncements += p.policy.follower.StaleAnnouncements
	w.HashMismatches += p.policy.follower.HashMismatches
	applied, inForce := p.policy.version, leader.State().Policy().Version
	if applied.Packed() != inForce.Packed() || p.policy.document.Hash() != inForce.Hash {
		violations = append(violations, fmt.Sprintf("%s has applied %s at the end, but %s is in force", p.Name, applied, inForce))
	}
	session, open := leader.State().Session(p.Name)
	if !open || session.Policy != applied.Packed() {
		violations = append(violations, fmt.Sprintf("%s has applied %s at the end, but its session (open: %v) records %s", p.Name, applied,
			open, policy.FormatPacked(session.Policy)))
	}
	return violations
}

// checkAcknowledged checks that each acknowledged proposal has the version number that was returned to its operator.
func (c *policyChecker) checkAcknowledged() (violations []string) {
	for _, number := range slices.Sorted(maps.Keys(c.acknowledged)) {
		for _, hash := range c.acknowledged[number] {
			if !c.hasVersion(number, hash) {
				violations = append(violations, fmt.Sprintf("a proposal was acknowledged as version number %d, which has a different document", number))
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
