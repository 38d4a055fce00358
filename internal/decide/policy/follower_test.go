package policy

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
)

// passThrough is a Settings.Decompress for content that is not compressed.
func passThrough(b []byte, limit int) ([]byte, error) {
	if len(b) > limit {
		return nil, errors.New("too long")
	}
	return b, nil
}

// harness connects a follower with the history that it follows, and with a router that applies its decisions.
type harness struct {
	t            *testing.T
	follower     *Follower
	history      *History
	now          float64
	document     Document
	applied      Version
	actions      []Action
	fetchedBytes int
	lastDecision Decision
	rejectReason string // the router can't apply any version, for this reason; empty: it can
	tamper       bool   // fetched content is modified in transit
	failRequests bool   // all requests fail
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, follower: NewFollower(Settings{Seed: 1, Decompress: passThrough}), history: &History{}}
}

// propose changes some fields and fails the test unless the change is put in force.
func (h *harness) propose(d Document) Version {
	h.t.Helper()
	v, rejection := propose(h.history, 3, d)
	if rejection != "" {
		h.t.Fatal(rejection)
	}
	return v
}

// announce announces the version in force without its difference.
func (h *harness) announce() { h.follower.VersionAnnounced(h.history.Version, nil) }

// advanceTo advances the time in steps of 10 ms and executes decisions.
func (h *harness) advanceTo(end float64) {
	h.t.Helper()
	for ; h.now <= end; h.now += 10 {
		h.follower.Advance(h.now)
		for d, more := h.follower.Next(); more; d, more = h.follower.Next() {
			h.actions = append(h.actions, d.Action)
			switch h.lastDecision = d; d.Action {
			case Apply:
				if d.Document.Hash() != d.Version.Hash {
					h.t.Fatalf("the document to apply does not have the hash of version %s", d.Version)
				}
				if d.Version.Packed() < h.applied.Packed() {
					h.t.Fatalf("version %s is to be applied after the later %s", d.Version, h.applied)
				}
				if h.rejectReason != "" {
					h.follower.ApplyFailed(d.Version, h.rejectReason)
					continue
				}
				h.document, h.applied = d.Document, d.Version
				h.follower.Applied(d.Version)
			case Fetch:
				if h.failRequests {
					h.follower.FetchFailed()
					continue
				}
				h.follower.PartReceived(h.servePart(d.Request))
			}
		}
	}
}

// servePart responds to a request like a coordinator node.
func (h *harness) servePart(request Request) Part {
	content, full, known := h.history.Serve(request)
	if !known {
		return Part{}
	}
	if h.tamper && full {
		d := maps.Clone(h.history.Document)
		d["over_share_value"] = "0.99"
		content = d.Encode()
	} else if h.tamper {
		content = EncodeChanges([]Change{{h.history.Version, Difference{Set: map[string]string{"over_share_value": "0.99"}}}})
	}
	start := min(request.Offset, len(content))
	end := min(start+request.MaxBytes, len(content))
	h.fetchedBytes += end - start + requestOverhead
	return Part{Version: h.history.Version, Full: full, Offset: start, Total: len(content), Bytes: content[start:end]}
}

// count returns the number of decisions with an action.
func (h *harness) count(action Action) (n int) {
	for _, a := range h.actions {
		if a == action {
			n++
		}
	}
	return n
}

// requireApplied fails the test unless the router has applied this version.
func (h *harness) requireApplied(v Version) {
	h.t.Helper()
	if h.applied != v || h.document.Hash() != v.Hash {
		h.t.Fatalf("applied version %s, want %s; actions: %v", h.applied, v, h.actions)
	}
}

// tenantRates returns a document with n fields of the same value.
func tenantRates(n int, value string) Document {
	d := Document{}
	for tenant := range n {
		d[fmt.Sprintf("tenants.customer-%05d.rate", tenant)] = value
	}
	return d
}

// A version that is announced together with its difference is applied immediately without a fetch, then acknowledged, then stored.
func TestFollower_AnnouncedDifferenceIsAppliedWithoutFetch(t *testing.T) {
	h := newHarness(t)
	h.propose(Document{"over_share_value": "0.2"})
	h.follower.VersionAnnounced(h.history.Version, &h.history.Changes[0].Difference)
	h.advanceTo(0)
	h.requireApplied(h.history.Version)
	if fmt.Sprint(h.actions) != fmt.Sprint([]Action{Apply, Acknowledge, Store}) || h.follower.NextDeadline() != math.Inf(1) {
		t.Error(h.actions, h.follower.NextDeadline())
	}
	h.follower.VersionAnnounced(h.history.Version, nil) // a repeated announcement
	h.advanceTo(5000)
	if len(h.actions) != 3 {
		t.Error(h.actions)
	}
}

// If the difference was not announced, the follower fetches the changes after its version instead of the full document, if the history still
// has them.
func TestFollower_FetchesDifferencesWhereTheyLeadOn(t *testing.T) {
	h := newHarness(t)
	h.propose(tenantRates(300, "1"))
	h.announce()
	h.advanceTo(20000)
	h.requireApplied(h.history.Version)
	full := h.fetchedBytes
	h.propose(tenantRates(30, "2"))
	h.propose(Document{"over_share_value": "0.5"})
	h.announce()
	h.fetchedBytes = 0
	started := h.now
	h.advanceTo(started + 3000)
	h.requireApplied(h.history.Version)
	if h.fetchedBytes > full/4 {
		t.Errorf("%d bytes for the differences, %d for the full document", h.fetchedBytes, full)
	}
}

// A fetch uses no more bytes per second than the rate limit allows, and at least half of it.
func TestFollower_FetchStaysWithinTheRate(t *testing.T) {
	h := newHarness(t)
	h.propose(tenantRates(2700, "123.45"))
	h.announce()
	h.advanceTo(10000)
	if limit := int(defaultRate*10) + partBytes + requestOverhead; h.fetchedBytes > limit || h.fetchedBytes < limit/2 {
		t.Errorf("fetched %d bytes in 10 s, the limit is %d, the minimum half of it", h.fetchedBytes, limit)
	}
	h.advanceTo(60000)
	h.requireApplied(h.history.Version)
}

// A document with the wrong hash is never applied; the full document is fetched instead, with backoff.
func TestFollower_HashMismatchIsNeverApplied(t *testing.T) {
	h := newHarness(t)
	h.propose(Document{"over_share_value": "0.2"})
	h.announce()
	h.advanceTo(2000)
	before := h.history.Version
	h.propose(Document{"over_share_value": "0.3"})
	h.tamper = true
	h.announce()
	fetched := h.count(Fetch)
	h.advanceTo(12000)
	h.requireApplied(before)
	if n := h.count(Fetch) - fetched; n < 4 || n > 20 || h.follower.HashMismatches != n || !h.lastDecision.Request.Full {
		t.Errorf("%d requests, %d hash mismatches, last request %+v", n, h.follower.HashMismatches, h.lastDecision.Request)
	}
	h.tamper = false
	h.advanceTo(15000)
	h.requireApplied(h.history.Version)
	other := Difference{Set: map[string]string{"over_share_value": "0.9"}} // announced, but not the difference of the version
	h.propose(Document{"over_share_value": "0.4"})
	h.follower.VersionAnnounced(h.history.Version, &other)
	h.advanceTo(18000)
	h.requireApplied(h.history.Version)
}

// Announcements of older versions are ignored. The first version of a new epoch is later than all versions of earlier epochs.
func TestFollower_OlderVersionIsIgnored(t *testing.T) {
	h := newHarness(t)
	old := h.propose(Document{"over_share_value": "0.2"})
	first := h.history.Changes[0].Difference
	h.propose(Document{"over_share_value": "0.3"})
	h.announce()
	h.advanceTo(2000)
	h.follower.VersionAnnounced(old, &first)
	h.advanceTo(4000)
	h.requireApplied(h.history.Version)
	if h.follower.StaleAnnouncements != 1 {
		t.Error(h.follower.StaleAnnouncements)
	}
	h.history = &History{}
	if v, rejection := propose(h.history, 9, Document{"over_share_value": "0.2"}); rejection != "" || v.Number != 1 {
		t.Fatal(v, rejection)
	}
	h.follower.VersionAnnounced(h.history.Version, &h.history.Changes[0].Difference)
	h.advanceTo(8000)
	h.requireApplied(h.history.Version)
}

// A different document under a version that the coordinator has already announced is never applied.
func TestFollower_ConflictingDocumentIsIgnored(t *testing.T) {
	h := newHarness(t)
	v := h.propose(Document{"over_share_value": "0.2"})
	h.announce()
	h.advanceTo(2000)
	v.Hash[0]++
	h.follower.VersionAnnounced(v, nil)
	h.advanceTo(6000)
	h.requireApplied(h.history.Version)
	if h.follower.ConflictingAnnouncements != 1 || h.count(Fetch) != 1 {
		t.Error(h.follower.ConflictingAnnouncements, h.actions)
	}
}

// A stored version is applied at startup, acknowledged once the coordinator has announced it, and replaced if the coordinator has another
// document under the same version. A stored document with the wrong hash is ignored.
func TestFollower_StoredVersion(t *testing.T) {
	h := newHarness(t)
	stored, document := h.propose(Document{"over_share_value": "0.2"}), h.history.Document
	h.follower.Stored(stored, document)
	h.advanceTo(5000)
	h.requireApplied(stored)
	if h.count(Acknowledge) != 0 || h.count(Fetch) != 0 {
		t.Fatal(h.actions)
	}
	h.announce()
	h.advanceTo(6000)
	if h.lastDecision.Action != Store && h.lastDecision.Applied != stored.Packed() || h.count(Acknowledge) != 1 || h.count(Fetch) != 0 {
		t.Error(h.actions)
	}
	h.propose(Document{"over_share_value": "0.3"})
	h.announce()
	h.advanceTo(8000)
	h.requireApplied(h.history.Version)

	h = newHarness(t)
	h.propose(Document{"over_share_value": "0.2"})
	other := Document{"over_share_value": "0.7"}
	v := h.history.Version
	v.Hash = other.Hash()
	h.follower.Stored(v, other)
	h.announce()
	h.advanceTo(3000)
	h.requireApplied(h.history.Version)
	if h.lastDecision.Applied != h.history.Version.Packed() && h.lastDecision.Action != Store {
		t.Error(h.actions)
	}

	h = newHarness(t)
	h.propose(Document{"over_share_value": "0.2"})
	h.follower.Stored(h.history.Version, other)
	h.advanceTo(1000)
	if h.applied.Number != 0 || h.follower.HashMismatches != 1 {
		t.Error(h.applied, h.follower.HashMismatches)
	}
}

// A version that the router can't apply is reported with the reason. The router keeps its current version, and applies the next one.
func TestFollower_ApplyFailureIsReported(t *testing.T) {
	h := newHarness(t)
	before := h.propose(Document{"over_share_value": "0.2"})
	h.announce()
	h.advanceTo(2000)
	h.rejectReason = "no memory"
	h.propose(Document{"over_share_value": "0.3"})
	h.follower.VersionAnnounced(h.history.Version, &h.history.Changes[1].Difference)
	h.advanceTo(4000)
	h.requireApplied(before)
	if d := h.lastDecision; d.Action != Acknowledge || d.Applied != before.Packed() || d.Rejected != h.history.Version.Packed() || d.Reason != "no memory" {
		t.Errorf("%+v", d)
	}
	h.rejectReason = ""
	h.propose(Document{"over_share_value": "0.4"})
	h.follower.VersionAnnounced(h.history.Version, &h.history.Changes[2].Difference)
	h.advanceTo(6000)
	h.requireApplied(h.history.Version)
	if h.lastDecision.Action != Store || h.follower.rejected != 0 {
		t.Errorf("%+v", h.lastDecision)
	}
}

// While requests fail, retries back off up to a maximum delay; fetching resumes once requests succeed.
func TestFollower_FailedFetchesBackOff(t *testing.T) {
	h := newHarness(t)
	h.propose(Document{"over_share_value": "0.2"})
	h.failRequests = true
	h.announce()
	h.advanceTo(60000)
	if n := h.count(Fetch); n < 30 || n > 70 {
		t.Errorf("%d requests in a minute", n)
	}
	h.failRequests = false
	h.advanceTo(63000)
	h.requireApplied(h.history.Version)
}

// Changes that arrive faster than the full document can be fetched don't starve a router, because a fetch in progress is completed.
func TestFollower_FrequentChangesDoNotStarveAFetch(t *testing.T) {
	h := newHarness(t)
	h.propose(tenantRates(200, "123.45"))
	served := *h.history // the history as it was when the current fetch started
	serve := func(request Request) Part {
		if request.Offset > 0 && request.Want == served.Version.Packed() {
			current := h.history
			h.history = &served
			defer func() { h.history = current }()
		} else {
			served = *h.history
			served.Changes = slices.Clone(h.history.Changes)
		}
		return h.servePart(request)
	}
	h.announce()
	for n := range 150 {
		h.propose(Document{"over_share_value": FormatNumber(float64(n) / 1000)})
		h.announce()
		for end := h.now + 200; h.now <= end; h.now += 10 {
			h.follower.Advance(h.now)
			for d, more := h.follower.Next(); more; d, more = h.follower.Next() {
				switch d.Action {
				case Apply:
					h.document, h.applied = d.Document, d.Version
					h.follower.Applied(d.Version)
				case Fetch:
					h.follower.PartReceived(serve(d.Request))
				}
			}
		}
	}
	if behind := h.history.Version.Number - h.applied.Number; h.applied.Number == 0 || behind > 10 {
		t.Errorf("applied version %s after 30 s, while %s is in force", h.applied, h.history.Version)
	}
}

// Malformed parts and unrequested parts are ignored.
func TestFollower_MalformedPartsAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.propose(tenantRates(300, "1"))
	v := h.history.Version
	for n, p := range []Part{{}, {Version: v}, {Version: v, Total: 10}, {Version: v, Total: 10, Bytes: make([]byte, 11)}, {Version: v, Total: 1 << 30, Bytes: []byte{1}},
		{Version: v, Total: 10, Offset: 5, Bytes: []byte{1}}, {Version: v, Total: 4000, Bytes: make([]byte, partBytes+1)}, {Version: v, Full: true, Total: 1, Bytes: []byte{0xff}}} {
		f := NewFollower(Settings{Seed: 1, Decompress: passThrough})
		f.VersionAnnounced(v, nil)
		f.Advance(1000)
		if d, more := f.Next(); !more || d.Action != Fetch {
			t.Fatal(d, more)
		}
		f.PartReceived(p)
		f.PartReceived(p) // not requested
		if d, more := f.Next(); more {
			t.Errorf("part %d: unexpected decision %+v", n, d)
		}
	}
}
