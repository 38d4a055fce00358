package policy

import (
	"math"

	"wayloft/internal/decide/random"
)

// Times are ms, sizes bytes.
const (
	rate    = 2560.0  // a second, where the settings don't say: at most two parts in any second, so that all else has room within 6 KB
	part    = 1 << 10 // packed: small, so that a second in which parts come together isn't far above any other
	each    = 300     // that a request and its answer take besides, with their headers; assumed
	spread  = 500.0   // over which a first request is drawn: what starts, or hears of a change, together must not ask together
	retry   = 200.0   // until the first retry of what failed; doubled each time
	longest = 2000.0  // between two retries
)

// Settings of a Follower are given once.
type Settings struct {
	Rate          float64 // bytes a second that what is fetched may take, with what each request costs; 0: 2560
	Seed          uint64
	Unpack        func(b []byte, most int) ([]byte, error) // undoes the packing of all parts together; at most so many bytes may come of it
	SeededDefects SeededDefects
}

// SeededDefects are defects that tests plant, to show that checkers find them; none is ever set in the program.
type SeededDefects struct {
	Unhashed   bool // takes a whole document whatever its hash
	Backward   bool // believes whoever told it last
	WrongBase  bool // applies a difference to whatever document it has
	StoredWins bool // takes what was stored for what is in force
	EarlyWord  bool // acknowledges before the router goes by it
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
	Have   uint64   // mark of the version whose document is here; 0: none
	Hash   [32]byte // of it
	Want   uint64   // mark of the version that is wanted: a coordinator node that doesn't know of it must say so
	Whole  bool     // not differences: they don't fit, or didn't
	Offset int
	Most   int // bytes
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

// mostPacked are the bytes of all parts together: packing must not make the most that is packed longer than this.
const mostPacked = 2 * MostChanges

// Follower is one router's account of the policy: which version it goes by, which it was told of, and what it has yet to fetch.
// It never goes back to an older version of an epoch, whoever tells it, and never has a document adopted whose hash isn't
// the version's.
type Follower struct {
	set     Settings
	now     float64
	chance  random.Source
	known   Version // the latest whose document is here, whole and of its hash
	doc     Document
	sure    bool // the coordinator told of known; else it is what was stored
	here    Version
	offered uint64 // mark of the latest that the host was told to adopt
	wont    uint64
	why     string
	target  Version
	whole   bool // what is fetched must be the whole
	asked   bool
	reading Part    // the parts so far
	at      float64 // of the next request
	paid    float64 // when the allowance has room for another
	wait    float64
	anew    bool // offered may be offered again: its document is another now
	store   bool
	word    bool

	Stale, Wrong, Conflicts int // words of older versions, bytes whose hash didn't fit, other documents under a version that is known
}

// NewFollower makes one that knows nothing.
func NewFollower(set Settings) *Follower {
	if set.Rate == 0 {
		set.Rate = rate
	}
	return &Follower{set: set, chance: random.Source{Seed: set.Seed}, at: math.Inf(1)}
}

// Advance sets the time; all that follows until the next call happens then.
func (f *Follower) Advance(now float64) { f.now = math.Max(f.now, now) }

// Stored says at start what was kept. It is gone by until the coordinator has told what is in force: fields may overlap (all are
// lenient), and a router that can't reach the coordinator is nearer to the others with it than without.
func (f *Follower) Stored(v Version, d Document) {
	if f.known.Number > 0 || v.Number == 0 {
		return
	}
	if d.Hash() != v.Hash && !f.set.SeededDefects.Unhashed {
		f.Wrong++
		return
	}
	f.known, f.doc = v, d
}

// VersionAnnounced takes in a version that some coordinator node tells, and what led to it, if that was told. The teller may lag: an
// older version than one that is known says nothing.
func (f *Follower) VersionAnnounced(v Version, x *Difference) {
	mark, known := v.Number64(), f.known.Number64()
	switch {
	case mark == 0 || f.set.SeededDefects.StoredWins && known > 0 && !f.sure:
		return
	case f.set.SeededDefects.Backward && mark != known:
	case mark < known || mark < f.target.Number64():
		f.Stale++
		return
	case mark == known && v.Hash == f.known.Hash:
		f.sure = true
		return
	case mark == known && f.sure:
		f.Conflicts++
		return
	}
	if mark == f.target.Number64() && v.Hash != f.target.Hash {
		f.Conflicts++
		return
	}
	f.target = v
	if v.Hash == f.known.Hash && known > 0 { // the same document under a later version
		f.verified(v, f.doc)
		return
	}
	if x != nil {
		if d, err := f.doc.With(*x); err == nil && (d.Hash() == v.Hash || f.set.SeededDefects.WrongBase) {
			f.verified(v, d)
			return
		}
	}
	if mark == known { // stored under this version, and another document: there is no difference from that
		f.whole = true
	}
	f.begin()
}

// begin has the first part asked for, at a drawn time, unless something is on its way already.
func (f *Follower) begin() {
	if !f.asked && math.IsInf(f.at, 1) {
		f.at = math.Max(f.now+spread*f.chance.Next(), f.paid)
	}
}

// needs tells whether the document that is in force, as far as is known, isn't here.
func (f *Follower) needs() bool {
	mark, known := f.target.Number64(), f.known.Number64()
	return mark > known || mark == known && f.target.Hash != f.known.Hash || f.set.SeededDefects.Backward && mark != known
}

// verified takes over a document whose hash fits.
func (f *Follower) verified(v Version, d Document) {
	if v.Number64() < f.known.Number64() && !f.set.SeededDefects.Backward {
		return
	}
	if v.Number64() == f.offered && v.Hash != f.known.Hash {
		f.anew = true
	}
	f.known, f.doc, f.sure, f.whole = v, d, true, false
	if f.reading, f.at, f.wait = (Part{}), math.Inf(1), 0; f.target.Number64() <= v.Number64() {
		f.target = v
	} else {
		f.begin()
	}
}

// PartReceived takes in what was fetched.
func (f *Follower) PartReceived(p Part) {
	if !f.asked {
		return
	}
	f.asked = false
	mark := p.Version.Number64()
	sound := mark > 0 && p.Total > 0 && p.Total <= mostPacked && len(p.Bytes) > 0 && p.Offset+len(p.Bytes) <= p.Total && len(p.Bytes) <= part
	old := mark < f.known.Number64() || mark == f.known.Number64() && p.Version.Hash == f.known.Hash
	if f.set.SeededDefects.Backward {
		old = false
	}
	if !sound || old { // whoever answered lags, or worse
		f.again()
		return
	}
	if r := f.reading; p.Version != r.Version || p.Whole != r.Whole || p.Total != r.Total || p.Offset != len(r.Bytes) {
		if p.Offset != 0 {
			f.reading = Part{}
			f.again()
			return
		}
		f.reading = Part{Version: p.Version, Whole: p.Whole, Total: p.Total}
	}
	f.reading.Bytes = append(f.reading.Bytes, p.Bytes...)
	if mark > f.target.Number64() {
		f.target = p.Version
	}
	f.paid = f.now + float64(len(p.Bytes)+each)/f.set.Rate*1000
	f.at = f.paid
	if len(f.reading.Bytes) == f.reading.Total {
		f.complete()
	} else {
		f.wait = 0
	}
}

// complete makes the document of all parts. What doesn't fit its hash is dropped, and the whole asked for.
func (f *Follower) complete() {
	r := f.reading
	f.reading = Part{}
	if d, ok := f.make(r); ok {
		f.verified(r.Version, d)
		return
	}
	f.Wrong++
	f.whole = true
	f.again()
}

func (f *Follower) make(r Part) (Document, bool) {
	raw, err := f.set.Unpack(r.Bytes, MostChanges)
	if err != nil {
		return nil, false
	}
	if r.Whole {
		d, err := Decode(raw)
		return d, err == nil && (d.Hash() == r.Version.Hash || f.set.SeededDefects.Unhashed)
	}
	all, err := DecodeChanges(raw)
	if err != nil {
		return nil, false
	}
	d := f.doc
	for _, c := range all {
		if d, err = d.With(c.Difference); err != nil {
			return nil, false
		}
	}
	return d, d.Hash() == r.Version.Hash || f.set.SeededDefects.WrongBase
}

// FetchFailed says that a request brought nothing.
func (f *Follower) FetchFailed() {
	if f.asked {
		f.asked = false
		f.again()
	}
}

// again puts the next try off, twice as far each time, by a part that is drawn.
func (f *Follower) again() {
	if !f.needs() {
		f.reading, f.at, f.wait = Part{}, math.Inf(1), 0
		return
	}
	f.wait = math.Min(math.Max(2*f.wait, retry), longest)
	f.at = math.Max(f.now+f.wait*(1-f.chance.Next()/2), f.paid)
}

// Applied says that the router goes by a version that it was to adopt.
func (f *Follower) Applied(v Version) {
	if v.Number64() < f.here.Number64() && !f.set.SeededDefects.Backward {
		return
	}
	f.here, f.word = v, true
	if f.wont <= v.Number64() {
		f.wont, f.why = 0, ""
	}
	if v == f.known {
		f.store = true
	}
}

// ApplyFailed says that the router can't go by a version that it was to adopt, and why; it stays with what it had until there is
// another.
func (f *Follower) ApplyFailed(v Version, why string) {
	if len(why) > LongestWhy {
		why = why[:LongestWhy]
	}
	f.wont, f.why, f.word = v.Number64(), why, true
}

// Next gives the next decision; false: none is left.
func (f *Follower) Next() (Decision, bool) {
	switch {
	case f.known.Number > 0 && (f.known.Number64() != f.offered || f.anew):
		f.offered, f.anew = f.known.Number64(), false
		if f.set.SeededDefects.EarlyWord {
			f.here, f.word = f.known, true
		}
		return Decision{Action: Apply, Version: f.known, Document: f.doc}, true
	case f.word && (f.sure || f.here != f.known || f.set.SeededDefects.StoredWins): // what was stored is not yet known to be of this version
		f.word = false
		return Decision{Action: Acknowledge, Applied: f.here.Number64(), Rejected: f.wont, Reason: f.why}, true
	case f.store:
		f.store = false
		if f.here == f.known {
			return Decision{Action: Store, Version: f.known, Document: f.doc}, true
		}
		return f.Next()
	case !f.asked && f.at <= f.now:
		f.asked, f.at = true, math.Inf(1)
		q := Request{Have: f.known.Number64(), Hash: f.known.Hash, Want: f.target.Number64(), Whole: f.whole, Offset: len(f.reading.Bytes),
			Most: part}
		if f.set.SeededDefects.Backward && q.Want < q.Have {
			q.Have, q.Whole = 0, true
		}
		if q.Offset > 0 { // what is begun is read to its end: else changes that come faster than it does would starve it
			q.Want, q.Whole = f.reading.Version.Number64(), f.reading.Whole
		}
		return Decision{Action: Fetch, Request: q}, true
	}
	return Decision{}, false
}

// NextDeadline is when At must be called again at the latest; infinite: nothing waits for a time.
func (f *Follower) NextDeadline() float64 { return f.at }

// AppliedVersion is the version that the router goes by; Known the latest whose document is here.
func (f *Follower) AppliedVersion() Version { return f.here }
func (f *Follower) FetchedVersion() Version { return f.known }
