package policy

import (
	"math"

	"wayloft/internal/decide/random"
)

// defaultRate is the fetch rate in bytes per second if Settings.Rate is 0. It allows at most two parts in any second, which leaves room for
// all other control traffic within a budget of 6 KB per second.
const defaultRate = 2560.0

// Settings are the settings of a Follower.
type Settings struct {
	Rate          float64                                   // maximum bytes per second for fetching, including request overhead; 0 means 2560
	Seed          uint64                                    // for the random delays
	Decompress    func(b []byte, limit int) ([]byte, error) // of the concatenated parts; returns an error if the result is longer than limit
	SeededDefects SeededDefects
}

// SeededDefects are deliberate defects that tests enable to verify that checkers detect them. The program never enables them.
type SeededDefects struct {
	SkipHashCheck       bool // accepts a full document without checking its hash
	AcceptOlderVersions bool // follows the latest announcement, even if its version is older
	SkipBaseCheck       bool // applies a difference without checking that it leads to the announced hash
	TrustStored         bool // treats the stored version as the one in force
	AcknowledgeEarly    bool // acknowledges a version before the router has applied it
}

// Action is the kind of a Decision.
type Action int

// Actions for the caller to perform.
const (
	Fetch       Action = iota // request the part that Request describes from a coordinator node, then call PartReceived or FetchFailed
	Apply                     // make the router apply Document, which belongs to Version, then call Applied or ApplyFailed
	Store                     // store Version and Document for the next start; no confirmation is expected
	Acknowledge               // send Applied, Rejected and Reason to the coordinator with the next heartbeat
)

// Request describes the next part to fetch. Versions are packed.
type Request struct {
	Have     uint64   // the version whose document the router has; 0: none
	Hash     [32]byte // of that document
	Want     uint64   // the requested version; a coordinator node that doesn't have it must report that
	Full     bool     // the full document is requested, because differences don't apply to the router's document
	Offset   int      // of the part
	MaxBytes int      // maximum size of the part
}

// Decision is one action for the caller to perform. Only the fields that belong to its Action are set.
type Decision struct {
	Action   Action
	Request  Request  // Fetch
	Version  Version  // Apply, Store
	Document Document // Apply, Store
	Applied  uint64   // Acknowledge: packed version that the router has applied
	Rejected uint64   // Acknowledge: packed version that the router could not apply; 0: none
	Reason   string   // Acknowledge: why it could not be applied
}

// Follower decides which version of the policy a router applies and what it fetches. It never returns to an older version, whichever
// coordinator node announces it, and never hands out a document to apply whose hash differs from that of its version. It is not safe for
// concurrent use.
type Follower struct {
	settings Settings
	now      float64
	random   random.Source

	fetched   Version  // the latest version whose complete document is available, with a matching hash
	document  Document // of fetched
	confirmed bool     // the coordinator has announced fetched; else it was loaded from the store
	target    Version  // the latest announced version

	applied         Version
	lastApplyIssued uint64 // packed version of the latest Apply decision
	reapply         bool   // lastApplyIssued must be applied again, because its document was replaced
	rejected        uint64 // packed version that the router could not apply; 0: none
	rejectReason    string
	ackPending      bool
	storePending    bool

	fetching     bool    // a request is in flight
	needsFull    bool    // the full document must be fetched
	partial      Part    // the parts fetched so far
	nextFetch    float64 // when the next request is due; infinite: none is scheduled
	allowedAt    float64 // when the rate limit allows another request
	retryDelayMs float64

	StaleAnnouncements       int // ignored announcements of a version older than the fetched or announced one
	HashMismatches           int // fetched or stored documents discarded because they were invalid or had another hash
	ConflictingAnnouncements int // announcements of a known version with a different document hash
}

// NewFollower returns a Follower without any version.
func NewFollower(settings Settings) *Follower {
	if settings.Rate == 0 {
		settings.Rate = defaultRate
	}
	return &Follower{settings: settings, random: random.Source{Seed: settings.Seed}, nextFetch: math.Inf(1)}
}

// Advance sets the current time in ms, which applies to all inputs until the next call. Time never goes backwards.
func (f *Follower) Advance(now float64) { f.now = math.Max(f.now, now) }

// Stored supplies the version stored by an earlier run, at startup. It is applied until the coordinator announces the version in force:
// different versions of all fields may be in force for some time, and a router that can't reach the coordinator differs less from the
// others with the stored version than without any.
func (f *Follower) Stored(v Version, d Document) {
	if f.fetched.Number > 0 || v.Number == 0 {
		return
	}
	if d.Hash() != v.Hash && !f.settings.SeededDefects.SkipHashCheck {
		f.HashMismatches++
		return
	}
	f.fetched, f.document = v, d
}

// VersionAnnounced processes a version announced by a coordinator node, with its difference from the preceding version, or nil. The node may
// lag behind, so a version older than a known one is ignored.
func (f *Follower) VersionAnnounced(v Version, difference *Difference) {
	if f.ignoresAnnouncement(v) {
		return
	}
	f.target = v
	if v.Hash == f.fetched.Hash && f.fetched.Packed() > 0 { // the same document under a later version
		f.accept(v, f.document)
		return
	}
	if difference != nil {
		d, err := f.document.Apply(*difference)
		if err == nil && (d.Hash() == v.Hash || f.settings.SeededDefects.SkipBaseCheck) {
			f.accept(v, d)
			return
		}
	}
	if v.Packed() == f.fetched.Packed() { // the stored document of this version is a different one, so no difference applies to it
		f.needsFull = true
	}
	f.scheduleFetch()
}

// ignoresAnnouncement reports whether an announcement contains nothing new, or is stale or conflicting.
func (f *Follower) ignoresAnnouncement(v Version) bool {
	announced, known := v.Packed(), f.fetched.Packed()
	switch {
	case announced == 0 || f.settings.SeededDefects.TrustStored && known > 0 && !f.confirmed:
		return true
	case f.settings.SeededDefects.AcceptOlderVersions && announced != known:
	case announced < known || announced < f.target.Packed():
		f.StaleAnnouncements++
		return true
	case announced == known && v.Hash == f.fetched.Hash:
		f.confirmed = true
		return true
	case announced == known && f.confirmed:
		f.ConflictingAnnouncements++
		return true
	}
	if announced == f.target.Packed() && v.Hash != f.target.Hash {
		f.ConflictingAnnouncements++
		return true
	}
	return false
}

// accept adopts a document whose hash matches its version.
func (f *Follower) accept(v Version, d Document) {
	if v.Packed() < f.fetched.Packed() && !f.settings.SeededDefects.AcceptOlderVersions {
		return
	}
	if v.Packed() == f.lastApplyIssued && v.Hash != f.fetched.Hash {
		f.reapply = true
	}
	f.fetched, f.document, f.confirmed, f.needsFull = v, d, true, false
	f.resetFetch()
	if f.target.Packed() <= v.Packed() {
		f.target = v
	} else {
		f.scheduleFetch()
	}
}

// Applied records that the router has applied a version.
func (f *Follower) Applied(v Version) {
	if v.Packed() < f.applied.Packed() && !f.settings.SeededDefects.AcceptOlderVersions {
		return
	}
	f.applied, f.ackPending = v, true
	if f.rejected <= v.Packed() {
		f.rejected, f.rejectReason = 0, ""
	}
	if v == f.fetched {
		f.storePending = true
	}
}

// ApplyFailed records that the router could not apply a version, and why. The router keeps its current version until another one is available.
func (f *Follower) ApplyFailed(v Version, reason string) {
	if len(reason) > MaxReasonBytes {
		reason = reason[:MaxReasonBytes]
	}
	f.rejected, f.rejectReason, f.ackPending = v.Packed(), reason, true
}

// Next returns the next decision, or false if there is none.
func (f *Follower) Next() (Decision, bool) {
	switch {
	case f.fetched.Number > 0 && (f.fetched.Packed() != f.lastApplyIssued || f.reapply):
		f.lastApplyIssued, f.reapply = f.fetched.Packed(), false
		if f.settings.SeededDefects.AcknowledgeEarly {
			f.applied, f.ackPending = f.fetched, true
		}
		return Decision{Action: Apply, Version: f.fetched, Document: f.document}, true
	case f.ackPending && f.mayAcknowledge():
		f.ackPending = false
		return Decision{Action: Acknowledge, Applied: f.applied.Packed(), Rejected: f.rejected, Reason: f.rejectReason}, true
	case f.storePending:
		f.storePending = false
		if f.applied == f.fetched {
			return Decision{Action: Store, Version: f.fetched, Document: f.document}, true
		}
		return f.Next()
	case !f.fetching && f.nextFetch <= f.now:
		f.fetching, f.nextFetch = true, math.Inf(1)
		return Decision{Action: Fetch, Request: f.nextRequest()}, true
	}
	return Decision{}, false
}

// mayAcknowledge reports whether the applied version may be acknowledged. A stored version may not be until the coordinator has announced it,
// because the coordinator may have a different document under that version.
func (f *Follower) mayAcknowledge() bool {
	return f.confirmed || f.applied != f.fetched || f.settings.SeededDefects.TrustStored
}

// NextDeadline returns the time by which Advance must be called again, or infinity if no time is scheduled.
func (f *Follower) NextDeadline() float64 { return f.nextFetch }

// AppliedVersion returns the version that the router has applied.
func (f *Follower) AppliedVersion() Version { return f.applied }

// FetchedVersion returns the latest version whose document is available.
func (f *Follower) FetchedVersion() Version { return f.fetched }
