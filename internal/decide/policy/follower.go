package policy

import (
	"math"

	"wayloft/internal/decide/random"
)

// Times are ms, sizes bytes.
const (
	defaultRate      = 2560.0  // a second, where the settings don't say: at most two parts in any second, so that all else has room within 6 KB
	partBytes        = 1 << 10 // packed: small, so that a second in which parts come together isn't far above any other
	requestOverhead  = 300     // that a request and its answer take besides, with their headers; assumed
	firstFetchSpread = 500.0   // over which a first request is drawn: what starts, or hears of a change, together must not ask together
	minRetryDelay    = 200.0   // until the first retry of what failed; doubled each time
	maxRetryDelay    = 2000.0  // between two retries
)

// Settings of a Follower are given once.
type Settings struct {
	Rate          float64 // bytes a second that what is fetched may take, with what each request costs; 0: 2560
	Seed          uint64
	Decompress    func(b []byte, most int) ([]byte, error) // undoes the packing of all parts together; at most so many bytes may come of it
	SeededDefects SeededDefects
}

// SeededDefects are defects that tests plant, to show that checkers find them; none is ever set in the program.
type SeededDefects struct {
	SkipHashCheck       bool // takes a whole document whatever its hash
	AcceptOlderVersions bool // believes whoever told it last
	SkipBaseCheck       bool // applies a difference to whatever document it has
	TrustStored         bool // takes what was stored for what is in force
	AcknowledgeEarly    bool // acknowledges before the router goes by it
}

// Action tells what the host is to do.
type Action int

const (
	Fetch       Action = iota // ask some coordinator node for the part that Request names: Got or Failed follows
	Apply                     // go by Document, of Version, from now on: Took or Couldnt follows
	Store                     // keep Version and Document for the next start; nothing waits for it
	Acknowledge               // tell the coordinator with the next beat: this router goes by Mark, and couldn't take Wont, for Why
)

// Request names the part that is wanted.
type Request struct {
	Have     uint64   // mark of the version whose document is here; 0: none
	Hash     [32]byte // of it
	Want     uint64   // mark of the version that is wanted: a coordinator node that doesn't know of it must say so
	Full     bool     // not differences: they don't fit, or didn't
	Offset   int
	MaxBytes int // bytes
}

// Decision is one thing for the host to do; only the fields of its verb are set.
type Decision struct {
	Action   Action
	Request  Request
	Version  Version
	Document Document
	Applied  uint64
	Rejected uint64
	Reason   string
}

// maxCompressedBytes are the bytes of all parts together: packing must not make the most that is packed longer than this.
const maxCompressedBytes = 2 * MaxHistoryBytes

// Follower is one router's account of the policy: which version it goes by, which it was told of, and what it has yet to fetch.
// It never goes back to an older version of an epoch, whoever tells it, and never has a document adopted whose hash isn't
// the version's.
type Follower struct {
	settings           Settings
	now                float64
	random             random.Source
	fetched            Version // the latest whose document is here, whole and of its hash
	document           Document
	confirmed          bool // the coordinator told of known; else it is what was stored
	applied            Version
	lastOffered        uint64 // mark of the latest that the host was told to adopt
	rejected           uint64
	rejectReason       string
	target             Version
	needsFull          bool // what is fetched must be the whole
	fetching           bool
	partial            Part    // the parts so far
	nextFetch          float64 // of the next request
	allowedAt          float64 // when the allowance has room for another
	retryDelay         float64
	reoffer            bool // offered may be offered again: its document is another now
	storePending       bool
	acknowledgePending bool

	Stale, HashMismatches, Conflicts int // words of older versions, bytes whose hash didn't fit, other documents under a version that is known
}

// NewFollower makes one that knows nothing.
func NewFollower(set Settings) *Follower {
	if set.Rate == 0 {
		set.Rate = defaultRate
	}
	return &Follower{settings: set, random: random.Source{Seed: set.Seed}, nextFetch: math.Inf(1)}
}

// Advance sets the time; all that follows until the next call happens then.
func (f *Follower) Advance(now float64) { f.now = math.Max(f.now, now) }

// Stored says at start what was kept. It is gone by until the coordinator has told what is in force: fields may overlap (all are
// lenient), and a router that can't reach the coordinator is nearer to the others with it than without.
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

// VersionAnnounced takes in a version that some coordinator node tells, and what led to it, if that was told. The teller may lag: an
// older version than one that is known says nothing.
func (f *Follower) VersionAnnounced(v Version, x *Difference) {
	mark, known := v.Packed(), f.fetched.Packed()
	switch {
	case mark == 0 || f.settings.SeededDefects.TrustStored && known > 0 && !f.confirmed:
		return
	case f.settings.SeededDefects.AcceptOlderVersions && mark != known:
	case mark < known || mark < f.target.Packed():
		f.Stale++
		return
	case mark == known && v.Hash == f.fetched.Hash:
		f.confirmed = true
		return
	case mark == known && f.confirmed:
		f.Conflicts++
		return
	}
	if mark == f.target.Packed() && v.Hash != f.target.Hash {
		f.Conflicts++
		return
	}
	f.target = v
	if v.Hash == f.fetched.Hash && known > 0 { // the same document under a later version
		f.accept(v, f.document)
		return
	}
	if x != nil {
		if d, err := f.document.Apply(*x); err == nil && (d.Hash() == v.Hash || f.settings.SeededDefects.SkipBaseCheck) {
			f.accept(v, d)
			return
		}
	}
	if mark == known { // stored under this version, and another document: there is no difference from that
		f.needsFull = true
	}
	f.scheduleFetch()
}

// scheduleFetch has the first part asked for, at a drawn time, unless something is on its way already.
func (f *Follower) scheduleFetch() {
	if !f.fetching && math.IsInf(f.nextFetch, 1) {
		f.nextFetch = math.Max(f.now+firstFetchSpread*f.random.Next(), f.allowedAt)
	}
}

// needsFetch tells whether the document that is in force, as far as is known, isn't here.
func (f *Follower) needsFetch() bool {
	mark, known := f.target.Packed(), f.fetched.Packed()
	return mark > known || mark == known && f.target.Hash != f.fetched.Hash || f.settings.SeededDefects.AcceptOlderVersions && mark != known
}

// accept takes over a document whose hash fits.
func (f *Follower) accept(v Version, d Document) {
	if v.Packed() < f.fetched.Packed() && !f.settings.SeededDefects.AcceptOlderVersions {
		return
	}
	if v.Packed() == f.lastOffered && v.Hash != f.fetched.Hash {
		f.reoffer = true
	}
	f.fetched, f.document, f.confirmed, f.needsFull = v, d, true, false
	if f.partial, f.nextFetch, f.retryDelay = (Part{}), math.Inf(1), 0; f.target.Packed() <= v.Packed() {
		f.target = v
	} else {
		f.scheduleFetch()
	}
}

// PartReceived takes in what was fetched.
func (f *Follower) PartReceived(p Part) {
	if !f.fetching {
		return
	}
	f.fetching = false
	mark := p.Version.Packed()
	sound := mark > 0 && p.Total > 0 && p.Total <= maxCompressedBytes && len(p.Bytes) > 0 && p.Offset+len(p.Bytes) <= p.Total && len(p.Bytes) <= partBytes
	old := mark < f.fetched.Packed() || mark == f.fetched.Packed() && p.Version.Hash == f.fetched.Hash
	if f.settings.SeededDefects.AcceptOlderVersions {
		old = false
	}
	if !sound || old { // whoever answered lags, or worse
		f.scheduleRetry()
		return
	}
	if r := f.partial; p.Version != r.Version || p.Full != r.Full || p.Total != r.Total || p.Offset != len(r.Bytes) {
		if p.Offset != 0 {
			f.partial = Part{}
			f.scheduleRetry()
			return
		}
		f.partial = Part{Version: p.Version, Full: p.Full, Total: p.Total}
	}
	f.partial.Bytes = append(f.partial.Bytes, p.Bytes...)
	if mark > f.target.Packed() {
		f.target = p.Version
	}
	f.allowedAt = f.now + float64(len(p.Bytes)+requestOverhead)/f.settings.Rate*1000
	f.nextFetch = f.allowedAt
	if len(f.partial.Bytes) == f.partial.Total {
		f.finishFetch()
	} else {
		f.retryDelay = 0
	}
}

// finishFetch makes the document of all parts. What doesn't fit its hash is dropped, and the whole asked for.
func (f *Follower) finishFetch() {
	r := f.partial
	f.partial = Part{}
	if d, ok := f.assemble(r); ok {
		f.accept(r.Version, d)
		return
	}
	f.HashMismatches++
	f.needsFull = true
	f.scheduleRetry()
}

func (f *Follower) assemble(r Part) (Document, bool) {
	raw, err := f.settings.Decompress(r.Bytes, MaxHistoryBytes)
	if err != nil {
		return nil, false
	}
	if r.Full {
		d, err := Decode(raw)
		return d, err == nil && (d.Hash() == r.Version.Hash || f.settings.SeededDefects.SkipHashCheck)
	}
	all, err := DecodeChanges(raw)
	if err != nil {
		return nil, false
	}
	d := f.document
	for _, c := range all {
		if d, err = d.Apply(c.Difference); err != nil {
			return nil, false
		}
	}
	return d, d.Hash() == r.Version.Hash || f.settings.SeededDefects.SkipBaseCheck
}

// FetchFailed says that a request brought nothing.
func (f *Follower) FetchFailed() {
	if f.fetching {
		f.fetching = false
		f.scheduleRetry()
	}
}

// scheduleRetry puts the next try off, twice as far each time, by a part that is drawn.
func (f *Follower) scheduleRetry() {
	if !f.needsFetch() {
		f.partial, f.nextFetch, f.retryDelay = Part{}, math.Inf(1), 0
		return
	}
	f.retryDelay = math.Min(math.Max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
	f.nextFetch = math.Max(f.now+f.retryDelay*(1-f.random.Next()/2), f.allowedAt)
}

// Applied says that the router goes by a version that it was to adopt.
func (f *Follower) Applied(v Version) {
	if v.Packed() < f.applied.Packed() && !f.settings.SeededDefects.AcceptOlderVersions {
		return
	}
	f.applied, f.acknowledgePending = v, true
	if f.rejected <= v.Packed() {
		f.rejected, f.rejectReason = 0, ""
	}
	if v == f.fetched {
		f.storePending = true
	}
}

// ApplyFailed says that the router can't go by a version that it was to adopt, and why; it stays with what it had until there is
// another.
func (f *Follower) ApplyFailed(v Version, why string) {
	if len(why) > MaxReasonBytes {
		why = why[:MaxReasonBytes]
	}
	f.rejected, f.rejectReason, f.acknowledgePending = v.Packed(), why, true
}

// Next gives the next decision; false: none is left.
func (f *Follower) Next() (Decision, bool) {
	switch {
	case f.fetched.Number > 0 && (f.fetched.Packed() != f.lastOffered || f.reoffer):
		f.lastOffered, f.reoffer = f.fetched.Packed(), false
		if f.settings.SeededDefects.AcknowledgeEarly {
			f.applied, f.acknowledgePending = f.fetched, true
		}
		return Decision{Action: Apply, Version: f.fetched, Document: f.document}, true
	case f.acknowledgePending && (f.confirmed || f.applied != f.fetched || f.settings.SeededDefects.TrustStored): // what was stored is not yet known to be of this version
		f.acknowledgePending = false
		return Decision{Action: Acknowledge, Applied: f.applied.Packed(), Rejected: f.rejected, Reason: f.rejectReason}, true
	case f.storePending:
		f.storePending = false
		if f.applied == f.fetched {
			return Decision{Action: Store, Version: f.fetched, Document: f.document}, true
		}
		return f.Next()
	case !f.fetching && f.nextFetch <= f.now:
		f.fetching, f.nextFetch = true, math.Inf(1)
		q := Request{Have: f.fetched.Packed(), Hash: f.fetched.Hash, Want: f.target.Packed(), Full: f.needsFull, Offset: len(f.partial.Bytes),
			MaxBytes: partBytes}
		if f.settings.SeededDefects.AcceptOlderVersions && q.Want < q.Have {
			q.Have, q.Full = 0, true
		}
		if q.Offset > 0 { // what is begun is read to its end: else changes that come faster than it does would starve it
			q.Want, q.Full = f.partial.Version.Packed(), f.partial.Full
		}
		return Decision{Action: Fetch, Request: q}, true
	}
	return Decision{}, false
}

// NextDeadline is when At must be called again at the latest; infinite: nothing waits for a time.
func (f *Follower) NextDeadline() float64 { return f.nextFetch }

// AppliedVersion is the version that the router goes by; Known the latest whose document is here.
func (f *Follower) AppliedVersion() Version { return f.applied }
func (f *Follower) FetchedVersion() Version { return f.fetched }
