package policy

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
)

func plain(b []byte, most int) ([]byte, error) {
	if len(b) > most {
		return nil, errors.New("too long")
	}
	return b, nil
}

// desk is a follower, the book that it follows, and the router that goes by what it says.
type desk struct {
	t        *testing.T
	f        *Follower
	b        *History
	now      float64
	doc      Document
	by       Version
	log      []Action
	fetched  int // bytes
	last     Decision
	wont     string // why the router takes nothing
	tampered bool   // what is fetched is changed on its way
	mute     bool   // what is asked for fails
}

func sit(t *testing.T) *desk {
	return &desk{t: t, f: NewFollower(Settings{Seed: 1, Unpack: plain}), b: &History{}}
}

func (s *desk) change(d Document) Version {
	v, why := propose(s.b, 3, d)
	if why != "" {
		s.t.Fatal(why)
	}
	return v
}

func (s *desk) told() { s.f.VersionAnnounced(s.b.Version, nil) }

// to lets time pass, in steps of 10 ms.
func (s *desk) to(at float64) {
	for ; s.now <= at; s.now += 10 {
		s.f.Advance(s.now)
		for d, more := s.f.Next(); more; d, more = s.f.Next() {
			s.log = append(s.log, d.Action)
			switch s.last = d; d.Action {
			case Apply:
				if d.Document.Hash() != d.Version.Hash {
					s.t.Fatalf("%s isn't of its hash", d.Version)
				}
				if d.Version.Number64() < s.by.Number64() {
					s.t.Fatalf("back from %s to %s", s.by, d.Version)
				}
				if s.wont != "" {
					s.f.ApplyFailed(d.Version, s.wont)
					continue
				}
				s.doc, s.by = d.Document, d.Version
				s.f.Applied(d.Version)
			case Fetch:
				if s.mute {
					s.f.FetchFailed()
					continue
				}
				s.f.PartReceived(s.part(d.Request))
			}
		}
	}
}

func (s *desk) part(q Request) Part {
	raw, whole, known := s.b.Serve(q)
	if !known {
		return Part{}
	}
	if s.tampered && whole {
		d := maps.Clone(s.b.Document)
		d["over_share_value"] = "0.99"
		raw = d.Encode()
	} else if s.tampered {
		raw = EncodeChanges([]Change{{s.b.Version, Difference{Set: map[string]string{"over_share_value": "0.99"}}}})
	}
	at := min(q.Offset, len(raw))
	end := min(at+q.Most, len(raw))
	s.fetched += end - at + each
	return Part{Version: s.b.Version, Whole: whole, Offset: at, Total: len(raw), Bytes: raw[at:end]}
}

func (s *desk) count(v Action) (n int) {
	for _, one := range s.log {
		if one == v {
			n++
		}
	}
	return n
}

func (s *desk) at(v Version) {
	s.t.Helper()
	if s.by != v || s.doc.Hash() != v.Hash {
		s.t.Fatalf("goes by %s, not %s; %v", s.by, v, s.log)
	}
}

func large(n int, by string) Document {
	d := Document{}
	for m := range n {
		d[fmt.Sprintf("tenants.customer-%05d.rate", m)] = by
	}
	return d
}

// A change whose difference was told costs nothing more; it is gone by at once, then acknowledged, then stored.
func TestInline(t *testing.T) {
	s := sit(t)
	s.change(Document{"over_share_value": "0.2"})
	s.f.VersionAnnounced(s.b.Version, &s.b.Changes[0].Difference)
	s.to(0)
	s.at(s.b.Version)
	if fmt.Sprint(s.log) != fmt.Sprint([]Action{Apply, Acknowledge, Store}) || s.f.NextDeadline() != math.Inf(1) {
		t.Error(s.log, s.f.NextDeadline())
	}
	s.f.VersionAnnounced(s.b.Version, nil) // once more
	s.to(5000)
	if len(s.log) != 3 {
		t.Error(s.log)
	}
}

// What isn't told is fetched: the differences where they lead on, within the allowance.
func TestFetches(t *testing.T) {
	s := sit(t)
	s.change(large(300, "1"))
	s.told()
	s.to(20000)
	s.at(s.b.Version)
	whole := s.fetched
	s.change(large(30, "2"))
	s.change(Document{"over_share_value": "0.5"})
	s.told()
	s.fetched = 0
	begun := s.now
	s.to(begun + 3000)
	s.at(s.b.Version)
	if s.fetched > whole/4 {
		t.Errorf("%d bytes for the differences, %d for the whole", s.fetched, whole)
	}
}

func TestAllowance(t *testing.T) {
	s := sit(t)
	s.change(large(2700, "123.45"))
	s.told()
	s.to(10000)
	if most := int(rate*10) + part + each; s.fetched > most || s.fetched < most/2 {
		t.Errorf("%d bytes in 10 s, %d may be", s.fetched, most)
	}
	s.to(60000)
	s.at(s.b.Version)
}

// Bytes that don't fit the hash are never gone by; the whole is asked for, again and again, less and less often.
func TestWrongHash(t *testing.T) {
	s := sit(t)
	s.change(Document{"over_share_value": "0.2"})
	s.told()
	s.to(2000)
	had := s.b.Version
	s.change(Document{"over_share_value": "0.3"})
	s.tampered = true
	s.told()
	fetched := s.count(Fetch)
	s.to(12000)
	s.at(had)
	if n := s.count(Fetch) - fetched; n < 4 || n > 20 || s.f.Wrong != n || !s.last.Request.Whole {
		t.Errorf("%d tries, %d wrong, %+v", n, s.f.Wrong, s.last.Request)
	}
	s.tampered = false
	s.to(15000)
	s.at(s.b.Version)
	lie := Difference{Set: map[string]string{"over_share_value": "0.9"}} // a difference that was told, and isn't the one
	s.change(Document{"over_share_value": "0.4"})
	s.f.VersionAnnounced(s.b.Version, &lie)
	s.to(18000)
	s.at(s.b.Version)
}

// Older words say nothing, of whomever; a new epoch's first does.
func TestNeverBack(t *testing.T) {
	s := sit(t)
	old := s.change(Document{"over_share_value": "0.2"})
	first := s.b.Changes[0].Difference
	s.change(Document{"over_share_value": "0.3"})
	s.told()
	s.to(2000)
	s.f.VersionAnnounced(old, &first)
	s.to(4000)
	s.at(s.b.Version)
	if s.f.Stale != 1 {
		t.Error(s.f.Stale)
	}
	s.b = &History{}
	if v, why := propose(s.b, 9, Document{"over_share_value": "0.2"}); why != "" || v.Number != 1 {
		t.Fatal(v, why)
	}
	s.f.VersionAnnounced(s.b.Version, &s.b.Changes[0].Difference)
	s.to(8000)
	s.at(s.b.Version)
}

// Another document under a version that the coordinator has told already is never gone by.
func TestConflict(t *testing.T) {
	s := sit(t)
	v := s.change(Document{"over_share_value": "0.2"})
	s.told()
	s.to(2000)
	v.Hash[0]++
	s.f.VersionAnnounced(v, nil)
	s.to(6000)
	s.at(s.b.Version)
	if s.f.Conflicts != 1 || s.count(Fetch) != 1 {
		t.Error(s.f.Conflicts, s.log)
	}
}

// What was kept is gone by from the start, acknowledged once the coordinator has told of it, and given up where the coordinator has another
// document under its version; what doesn't fit its hash counts as nothing.
func TestStored(t *testing.T) {
	s := sit(t)
	kept, doc := s.change(Document{"over_share_value": "0.2"}), s.b.Document
	s.f.Stored(kept, doc)
	s.to(5000)
	s.at(kept)
	if s.count(Acknowledge) != 0 || s.count(Fetch) != 0 {
		t.Fatal(s.log)
	}
	s.told()
	s.to(6000)
	if s.last.Action != Store && s.last.Applied != kept.Number64() || s.count(Acknowledge) != 1 || s.count(Fetch) != 0 {
		t.Error(s.log)
	}
	s.change(Document{"over_share_value": "0.3"})
	s.told()
	s.to(8000)
	s.at(s.b.Version)

	s = sit(t)
	s.change(Document{"over_share_value": "0.2"})
	other := Document{"over_share_value": "0.7"}
	v := s.b.Version
	v.Hash = other.Hash()
	s.f.Stored(v, other)
	s.told()
	s.to(3000)
	s.at(s.b.Version)
	if s.last.Applied != s.b.Version.Number64() && s.last.Action != Store {
		t.Error(s.log)
	}

	s = sit(t)
	s.change(Document{"over_share_value": "0.2"})
	s.f.Stored(s.b.Version, other)
	s.to(1000)
	if s.by.Number != 0 || s.f.Wrong != 1 {
		t.Error(s.by, s.f.Wrong)
	}
}

// A version that the router can't take is told so, with why; what it had is kept, and the next is taken.
func TestCouldnt(t *testing.T) {
	s := sit(t)
	had := s.change(Document{"over_share_value": "0.2"})
	s.told()
	s.to(2000)
	s.wont = "no memory"
	s.change(Document{"over_share_value": "0.3"})
	s.f.VersionAnnounced(s.b.Version, &s.b.Changes[1].Difference)
	s.to(4000)
	s.at(had)
	if d := s.last; d.Action != Acknowledge || d.Applied != had.Number64() || d.Rejected != s.b.Version.Number64() || d.Reason != "no memory" {
		t.Errorf("%+v", d)
	}
	s.wont = ""
	s.change(Document{"over_share_value": "0.4"})
	s.f.VersionAnnounced(s.b.Version, &s.b.Changes[2].Difference)
	s.to(6000)
	s.at(s.b.Version)
	if s.last.Action != Store || s.f.wont != 0 {
		t.Errorf("%+v", s.last)
	}
}

// While nobody answers each try comes later than the one before, up to a bound.
func TestFails(t *testing.T) {
	s := sit(t)
	s.change(Document{"over_share_value": "0.2"})
	s.mute = true
	s.told()
	s.to(60000)
	if n := s.count(Fetch); n < 30 || n > 70 {
		t.Errorf("%d tries in a minute", n)
	}
	s.mute = false
	s.to(63000)
	s.at(s.b.Version)
}

// Changes that come faster than the whole can be read don't starve a router: what it began is read to its end.
func TestNotStarved(t *testing.T) {
	s := sit(t)
	s.change(large(200, "123.45"))
	served := *s.b // what was lately begun to be given is kept as it was
	read := func(q Request) Part {
		if q.Offset > 0 && q.Want == served.Version.Number64() {
			was := s.b
			s.b = &served
			defer func() { s.b = was }()
		} else {
			served = *s.b
			served.Changes = slices.Clone(s.b.Changes)
		}
		return s.part(q)
	}
	s.told()
	for n := range 150 {
		s.change(Document{"over_share_value": Number(float64(n) / 1000)})
		s.told()
		for end := s.now + 200; s.now <= end; s.now += 10 {
			s.f.Advance(s.now)
			for d, more := s.f.Next(); more; d, more = s.f.Next() {
				switch d.Action {
				case Apply:
					s.doc, s.by = d.Document, d.Version
					s.f.Applied(d.Version)
				case Fetch:
					s.f.PartReceived(read(d.Request))
				}
			}
		}
	}
	if behind := s.b.Version.Number - s.by.Number; s.by.Number == 0 || behind > 10 {
		t.Errorf("%s after half a minute, %s is in force", s.by, s.b.Version)
	}
}

// Parts that no sound process gives change nothing.
func TestUnsoundParts(t *testing.T) {
	s := sit(t)
	s.change(large(300, "1"))
	v := s.b.Version
	for n, p := range []Part{{}, {Version: v}, {Version: v, Total: 10}, {Version: v, Total: 10, Bytes: make([]byte, 11)}, {Version: v, Total: 1 << 30, Bytes: []byte{1}},
		{Version: v, Total: 10, Offset: 5, Bytes: []byte{1}}, {Version: v, Total: 4000, Bytes: make([]byte, part+1)}, {Version: v, Whole: true, Total: 1, Bytes: []byte{0xff}}} {
		f := NewFollower(Settings{Seed: 1, Unpack: plain})
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
