package policy

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
)

func passThrough(b []byte, most int) ([]byte, error) {
	if len(b) > most {
		return nil, errors.New("too long")
	}
	return b, nil
}

// harness is a follower, the book that it follows, and the router that goes by what it says.
type harness struct {
	t            *testing.T
	follower     *Follower
	history      *History
	now          float64
	document     Document
	applied      Version
	actions      []Action
	fetched      int // bytes
	last         Decision
	rejectReason string // why the router takes nothing
	tampered     bool   // what is fetched is changed on its way
	failing      bool   // what is asked for fails
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, follower: NewFollower(Settings{Seed: 1, Decompress: passThrough}), history: &History{}}
}

func (s *harness) propose(d Document) Version {
	v, why := propose(s.history, 3, d)
	if why != "" {
		s.t.Fatal(why)
	}
	return v
}

func (s *harness) announce() { s.follower.VersionAnnounced(s.history.Version, nil) }

// advanceTo lets time pass, in steps of 10 ms.
func (s *harness) advanceTo(at float64) {
	for ; s.now <= at; s.now += 10 {
		s.follower.Advance(s.now)
		for d, more := s.follower.Next(); more; d, more = s.follower.Next() {
			s.actions = append(s.actions, d.Action)
			switch s.last = d; d.Action {
			case Apply:
				if d.Document.Hash() != d.Version.Hash {
					s.t.Fatalf("%s isn't of its hash", d.Version)
				}
				if d.Version.Packed() < s.applied.Packed() {
					s.t.Fatalf("back from %s to %s", s.applied, d.Version)
				}
				if s.rejectReason != "" {
					s.follower.ApplyFailed(d.Version, s.rejectReason)
					continue
				}
				s.document, s.applied = d.Document, d.Version
				s.follower.Applied(d.Version)
			case Fetch:
				if s.failing {
					s.follower.FetchFailed()
					continue
				}
				s.follower.PartReceived(s.servePart(d.Request))
			}
		}
	}
}

func (s *harness) servePart(q Request) Part {
	raw, whole, known := s.history.Serve(q)
	if !known {
		return Part{}
	}
	if s.tampered && whole {
		d := maps.Clone(s.history.Document)
		d["over_share_value"] = "0.99"
		raw = d.Encode()
	} else if s.tampered {
		raw = EncodeChanges([]Change{{s.history.Version, Difference{Set: map[string]string{"over_share_value": "0.99"}}}})
	}
	at := min(q.Offset, len(raw))
	end := min(at+q.MaxBytes, len(raw))
	s.fetched += end - at + requestOverhead
	return Part{Version: s.history.Version, Full: whole, Offset: at, Total: len(raw), Bytes: raw[at:end]}
}

func (s *harness) count(v Action) (n int) {
	for _, one := range s.actions {
		if one == v {
			n++
		}
	}
	return n
}

func (s *harness) requireApplied(v Version) {
	s.t.Helper()
	if s.applied != v || s.document.Hash() != v.Hash {
		s.t.Fatalf("goes by %s, not %s; %v", s.applied, v, s.actions)
	}
}

func tenantRates(n int, by string) Document {
	d := Document{}
	for m := range n {
		d[fmt.Sprintf("tenants.customer-%05d.rate", m)] = by
	}
	return d
}

// A change whose difference was told costs nothing more; it is gone by at once, then acknowledged, then stored.
func TestFollower_AnnouncedDifferenceIsAppliedWithoutFetch(t *testing.T) {
	s := newHarness(t)
	s.propose(Document{"over_share_value": "0.2"})
	s.follower.VersionAnnounced(s.history.Version, &s.history.Changes[0].Difference)
	s.advanceTo(0)
	s.requireApplied(s.history.Version)
	if fmt.Sprint(s.actions) != fmt.Sprint([]Action{Apply, Acknowledge, Store}) || s.follower.NextDeadline() != math.Inf(1) {
		t.Error(s.actions, s.follower.NextDeadline())
	}
	s.follower.VersionAnnounced(s.history.Version, nil) // once more
	s.advanceTo(5000)
	if len(s.actions) != 3 {
		t.Error(s.actions)
	}
}

// What isn't told is fetched: the differences where they lead on, within the allowance.
func TestFollower_FetchesDifferencesWhereTheyLeadOn(t *testing.T) {
	s := newHarness(t)
	s.propose(tenantRates(300, "1"))
	s.announce()
	s.advanceTo(20000)
	s.requireApplied(s.history.Version)
	whole := s.fetched
	s.propose(tenantRates(30, "2"))
	s.propose(Document{"over_share_value": "0.5"})
	s.announce()
	s.fetched = 0
	begun := s.now
	s.advanceTo(begun + 3000)
	s.requireApplied(s.history.Version)
	if s.fetched > whole/4 {
		t.Errorf("%d bytes for the differences, %d for the whole", s.fetched, whole)
	}
}

func TestFollower_FetchStaysWithinTheRate(t *testing.T) {
	s := newHarness(t)
	s.propose(tenantRates(2700, "123.45"))
	s.announce()
	s.advanceTo(10000)
	if most := int(defaultRate*10) + partBytes + requestOverhead; s.fetched > most || s.fetched < most/2 {
		t.Errorf("%d bytes in 10 s, %d may be", s.fetched, most)
	}
	s.advanceTo(60000)
	s.requireApplied(s.history.Version)
}

// Bytes that don't fit the hash are never gone by; the whole is asked for, again and again, less and less often.
func TestFollower_HashMismatchIsNeverApplied(t *testing.T) {
	s := newHarness(t)
	s.propose(Document{"over_share_value": "0.2"})
	s.announce()
	s.advanceTo(2000)
	had := s.history.Version
	s.propose(Document{"over_share_value": "0.3"})
	s.tampered = true
	s.announce()
	fetched := s.count(Fetch)
	s.advanceTo(12000)
	s.requireApplied(had)
	if n := s.count(Fetch) - fetched; n < 4 || n > 20 || s.follower.HashMismatches != n || !s.last.Request.Full {
		t.Errorf("%d tries, %d wrong, %+v", n, s.follower.HashMismatches, s.last.Request)
	}
	s.tampered = false
	s.advanceTo(15000)
	s.requireApplied(s.history.Version)
	lie := Difference{Set: map[string]string{"over_share_value": "0.9"}} // a difference that was told, and isn't the one
	s.propose(Document{"over_share_value": "0.4"})
	s.follower.VersionAnnounced(s.history.Version, &lie)
	s.advanceTo(18000)
	s.requireApplied(s.history.Version)
}

// Older words say nothing, of whomever; a new epoch's first does.
func TestFollower_OlderVersionIsIgnored(t *testing.T) {
	s := newHarness(t)
	old := s.propose(Document{"over_share_value": "0.2"})
	first := s.history.Changes[0].Difference
	s.propose(Document{"over_share_value": "0.3"})
	s.announce()
	s.advanceTo(2000)
	s.follower.VersionAnnounced(old, &first)
	s.advanceTo(4000)
	s.requireApplied(s.history.Version)
	if s.follower.Stale != 1 {
		t.Error(s.follower.Stale)
	}
	s.history = &History{}
	if v, why := propose(s.history, 9, Document{"over_share_value": "0.2"}); why != "" || v.Number != 1 {
		t.Fatal(v, why)
	}
	s.follower.VersionAnnounced(s.history.Version, &s.history.Changes[0].Difference)
	s.advanceTo(8000)
	s.requireApplied(s.history.Version)
}

// Another document under a version that the coordinator has told already is never gone by.
func TestFollower_ConflictingDocumentIsIgnored(t *testing.T) {
	s := newHarness(t)
	v := s.propose(Document{"over_share_value": "0.2"})
	s.announce()
	s.advanceTo(2000)
	v.Hash[0]++
	s.follower.VersionAnnounced(v, nil)
	s.advanceTo(6000)
	s.requireApplied(s.history.Version)
	if s.follower.Conflicts != 1 || s.count(Fetch) != 1 {
		t.Error(s.follower.Conflicts, s.actions)
	}
}

// What was kept is gone by from the start, acknowledged once the coordinator has told of it, and given up where the coordinator has another
// document under its version; what doesn't fit its hash counts as nothing.
func TestFollower_StoredVersion(t *testing.T) {
	s := newHarness(t)
	kept, doc := s.propose(Document{"over_share_value": "0.2"}), s.history.Document
	s.follower.Stored(kept, doc)
	s.advanceTo(5000)
	s.requireApplied(kept)
	if s.count(Acknowledge) != 0 || s.count(Fetch) != 0 {
		t.Fatal(s.actions)
	}
	s.announce()
	s.advanceTo(6000)
	if s.last.Action != Store && s.last.Applied != kept.Packed() || s.count(Acknowledge) != 1 || s.count(Fetch) != 0 {
		t.Error(s.actions)
	}
	s.propose(Document{"over_share_value": "0.3"})
	s.announce()
	s.advanceTo(8000)
	s.requireApplied(s.history.Version)

	s = newHarness(t)
	s.propose(Document{"over_share_value": "0.2"})
	other := Document{"over_share_value": "0.7"}
	v := s.history.Version
	v.Hash = other.Hash()
	s.follower.Stored(v, other)
	s.announce()
	s.advanceTo(3000)
	s.requireApplied(s.history.Version)
	if s.last.Applied != s.history.Version.Packed() && s.last.Action != Store {
		t.Error(s.actions)
	}

	s = newHarness(t)
	s.propose(Document{"over_share_value": "0.2"})
	s.follower.Stored(s.history.Version, other)
	s.advanceTo(1000)
	if s.applied.Number != 0 || s.follower.HashMismatches != 1 {
		t.Error(s.applied, s.follower.HashMismatches)
	}
}

// A version that the router can't take is told so, with why; what it had is kept, and the next is taken.
func TestFollower_ApplyFailureIsReported(t *testing.T) {
	s := newHarness(t)
	had := s.propose(Document{"over_share_value": "0.2"})
	s.announce()
	s.advanceTo(2000)
	s.rejectReason = "no memory"
	s.propose(Document{"over_share_value": "0.3"})
	s.follower.VersionAnnounced(s.history.Version, &s.history.Changes[1].Difference)
	s.advanceTo(4000)
	s.requireApplied(had)
	if d := s.last; d.Action != Acknowledge || d.Applied != had.Packed() || d.Rejected != s.history.Version.Packed() || d.Reason != "no memory" {
		t.Errorf("%+v", d)
	}
	s.rejectReason = ""
	s.propose(Document{"over_share_value": "0.4"})
	s.follower.VersionAnnounced(s.history.Version, &s.history.Changes[2].Difference)
	s.advanceTo(6000)
	s.requireApplied(s.history.Version)
	if s.last.Action != Store || s.follower.rejected != 0 {
		t.Errorf("%+v", s.last)
	}
}

// While nobody answers each try comes later than the one before, up to a bound.
func TestFollower_FailedFetchesBackOff(t *testing.T) {
	s := newHarness(t)
	s.propose(Document{"over_share_value": "0.2"})
	s.failing = true
	s.announce()
	s.advanceTo(60000)
	if n := s.count(Fetch); n < 30 || n > 70 {
		t.Errorf("%d tries in a minute", n)
	}
	s.failing = false
	s.advanceTo(63000)
	s.requireApplied(s.history.Version)
}

// Changes that come faster than the whole can be read don't starve a router: what it began is read to its end.
func TestFollower_FrequentChangesDoNotStarveAFetch(t *testing.T) {
	s := newHarness(t)
	s.propose(tenantRates(200, "123.45"))
	served := *s.history // what was lately begun to be given is kept as it was
	read := func(q Request) Part {
		if q.Offset > 0 && q.Want == served.Version.Packed() {
			was := s.history
			s.history = &served
			defer func() { s.history = was }()
		} else {
			served = *s.history
			served.Changes = slices.Clone(s.history.Changes)
		}
		return s.servePart(q)
	}
	s.announce()
	for n := range 150 {
		s.propose(Document{"over_share_value": FormatNumber(float64(n) / 1000)})
		s.announce()
		for end := s.now + 200; s.now <= end; s.now += 10 {
			s.follower.Advance(s.now)
			for d, more := s.follower.Next(); more; d, more = s.follower.Next() {
				switch d.Action {
				case Apply:
					s.document, s.applied = d.Document, d.Version
					s.follower.Applied(d.Version)
				case Fetch:
					s.follower.PartReceived(read(d.Request))
				}
			}
		}
	}
	if behind := s.history.Version.Number - s.applied.Number; s.applied.Number == 0 || behind > 10 {
		t.Errorf("%s after half a minute, %s is in force", s.applied, s.history.Version)
	}
}

// Parts that no sound process gives change nothing.
func TestFollower_MalformedPartsAreIgnored(t *testing.T) {
	s := newHarness(t)
	s.propose(tenantRates(300, "1"))
	v := s.history.Version
	for n, p := range []Part{{}, {Version: v}, {Version: v, Total: 10}, {Version: v, Total: 10, Bytes: make([]byte, 11)}, {Version: v, Total: 1 << 30, Bytes: []byte{1}},
		{Version: v, Total: 10, Offset: 5, Bytes: []byte{1}}, {Version: v, Total: 4000, Bytes: make([]byte, partBytes+1)}, {Version: v, Full: true, Total: 1, Bytes: []byte{0xff}}} {
		f := NewFollower(Settings{Seed: 1, Decompress: passThrough})
		f.VersionAnnounced(v, nil)
		f.Advance(1000)
		if d, more := f.Next(); !more || d.Action != Fetch {
			t.Fatal(d, more)
		}
		f.PartReceived(p)
		f.PartReceived(p) // nothing was asked for
		if d, more := f.Next(); more {
			t.Errorf("%d: %+v", n, d)
		}
	}
}
