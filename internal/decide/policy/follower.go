package policy

import (
	"math"

	"wayloft/internal/decide/random"
)

// defaultRate, in bytes a second, holds where the settings give no rate: at most two parts in any second, so that all other control
// traffic has room within 6 KB a second.
const defaultRate = 2560.0

// Settings of a Follower.
type Settings struct {
	Rate          float64                                   // bytes a second that fetching may take, the cost of each request included; 0: 2560
	Seed          uint64                                    // of the random delays
	Decompress    func(b []byte, limit int) ([]byte, error) // of all parts together; an error if that is longer than limit
	SeededDefects SeededDefects
}

// SeededDefects are defects that tests switch on to show that checkers find them. The program never sets one.
type SeededDefects struct {
	SkipHashCheck       bool // accepts a full document whatever its hash
	AcceptOlderVersions bool // follows whichever coordinator node announced last
	SkipBaseCheck       bool // applies a difference to whatever document it has
	TrustStored         bool // takes what was stored for what is in force
	AcknowledgeEarly    bool // acknowledges a version before the router has applied it
}

// Action is the kind of a Decision.
type Action int

// Actions for the caller to carry out.
const (
	Fetch       Action = iota // ask a coordinator node for the part that Request names, then call PartReceived or FetchFailed
	Apply                     // have the router apply Document, of Version, then call Applied or ApplyFailed
	Store                     // keep Version and Document for the next start; nothing waits for it
	Acknowledge               // tell the coordinator with the next heartbeat what is Applied, and what was Rejected for which Reason
)

// Request names the part of the policy that is wanted. Versions are packed.
type Request struct {
	Have     uint64   // the version whose document is here; 0: none
	Hash     [32]byte // of that document
	Want     uint64   // the version that is wanted: a coordinator node that doesn't know it must say so
	Full     bool     // the full document: differences don't fit what is here
	Offset   int      // of the part
	MaxBytes int      // of the part
}

// Decision is one thing for the caller to do; only the fields of its Action are set.
type Decision struct {
	Action   Action
	Request  Request  // Fetch
	Version  Version  // Apply, Store
	Document Document // Apply, Store
	Applied  uint64   // Acknowledge: packed version that the router has applied
	Rejected uint64   // Acknowledge: packed version that the router could not apply; 0: none
	Reason   string   // Acknowledge: why it could not
}

// Follower decides how one router follows the policy: which version it applies and what it has to fetch. It never goes back to an older
// version of an epoch, whichever coordinator node announces it, and never gives a document to apply whose hash isn't the version's. It is
// not safe for concurrent use.
type Follower struct {
	settings Settings
	now      float64
	random   random.Source

	fetched   Version  // the latest version whose document is here, complete and of its hash
	document  Document // of fetched
	confirmed bool     // the coordinator announced fetched; else it comes from the store
	target    Version  // the latest version that was announced

	applied         Version
	lastApplyIssued uint64 // packed version that the caller was last asked to apply
	reapply         bool   // lastApplyIssued must be applied again: its document has changed
	rejected        uint64 // packed version that the router could not apply; 0: none
	rejectReason    string
	ackPending      bool
	storePending    bool

	fetching     bool    // a request is in flight
	needsFull    bool    // the full document must be fetched
	partial      Part    // the parts fetched so far
	nextFetch    float64 // when the next request is due; infinite: none is
	allowedAt    float64 // when the rate allows another request
	retryDelayMs float64

	Stale          int // announcements of versions older than a known one
	HashMismatches int // documents that were dropped because their hash didn't fit
	Conflicts      int // announcements of another document under a known version
}

// NewFollower makes a Follower that knows no version.
func NewFollower(settings Settings) *Follower {
	if settings.Rate == 0 {
		settings.Rate = defaultRate
	}
	return &Follower{settings: settings, random: random.Source{Seed: settings.Seed}, nextFetch: math.Inf(1)}
}

// Advance sets the time in ms; all that follows until the next call happens then.
func (f *Follower) Advance(now float64) { f.now = math.Max(f.now, now) }

// Stored takes in, at the start, the version that was kept from an earlier run. It is applied until the coordinator has announced what is
// in force: all fields of a policy may overlap, and a router that can't reach the coordinator is nearer to the others with it than
// without.
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

// VersionAnnounced takes in a version that a coordinator node announced, and the difference that led to it, if that came with it. The node
// may lag: a version older than a known one is ignored.
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
	if v.Packed() == f.fetched.Packed() { // stored under this version, with another document: no difference leads from that one
		f.needsFull = true
	}
	f.scheduleFetch()
}

// ignoresAnnouncement tells whether an announcement says nothing new, or nothing that may be believed.
func (f *Follower) ignoresAnnouncement(v Version) bool {
	announced, known := v.Packed(), f.fetched.Packed()
	switch {
	case announced == 0 || f.settings.SeededDefects.TrustStored && known > 0 && !f.confirmed:
		return true
	case f.settings.SeededDefects.AcceptOlderVersions && announced != known:
	case announced < known || announced < f.target.Packed():
		f.Stale++
		return true
	case announced == known && v.Hash == f.fetched.Hash:
		f.confirmed = true
		return true
	case announced == known && f.confirmed:
		f.Conflicts++
		return true
	}
	if announced == f.target.Packed() && v.Hash != f.target.Hash {
		f.Conflicts++
		return true
	}
	return false
}

// accept takes over a document whose hash fits.
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

// Applied takes in that the router has applied a version.
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

// ApplyFailed takes in that the router could not apply a version, and why; the router keeps what it had until there is another version.
func (f *Follower) ApplyFailed(v Version, reason string) {
	if len(reason) > MaxReasonBytes {
		reason = reason[:MaxReasonBytes]
	}
	f.rejected, f.rejectReason, f.ackPending = v.Packed(), reason, true
}

// Next gives the next decision; false: none is left.
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

// mayAcknowledge tells whether what was applied may be acknowledged: a stored document is not yet known to be that of its version.
func (f *Follower) mayAcknowledge() bool {
	return f.confirmed || f.applied != f.fetched || f.settings.SeededDefects.TrustStored
}

// NextDeadline is when Advance must be called again at the latest; infinite: nothing waits for a time.
func (f *Follower) NextDeadline() float64 { return f.nextFetch }

// AppliedVersion is the version that the router has applied.
func (f *Follower) AppliedVersion() Version { return f.applied }

// FetchedVersion is the latest version whose document is here.
func (f *Follower) FetchedVersion() Version { return f.fetched }
