package policy

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// propose proposes new values for some fields of the document in force.
func propose(history *History, epoch uint64, change Document) (Version, string) {
	next := maps.Clone(history.Document)
	if next == nil {
		next = Document{}
	}
	maps.Copy(next, change)
	return history.Propose(epoch, Propose(history.Version, history.Document, next, "a", fmt.Sprintf("%.100s", fmt.Sprint(change))))
}

// A proposal becomes a version only if it is based on the version in force, applies to its document and results in the stated hash.
func TestHistory_Propose(t *testing.T) {
	history := &History{}
	if v, rejection := propose(history, 5, Document{"over_share_value": "0.2"}); rejection != "" || v.String() != "5.1" || history.Version != v || v.Size != len(history.Document.Encode()) {
		t.Fatal(v, rejection)
	}
	first, doc := history.Version, history.Document
	p := Propose(first, doc, Document{"over_share_value": "0.3"}, "a", "r")
	other := Propose(first, doc, Document{"over_share_value": "0.4"}, "b", "r")
	v, rejection := history.Propose(5, p)
	if rejection != "" || v.String() != "5.2" || v.Base != first.Packed() {
		t.Fatal(v, rejection)
	}
	if again, rejection := history.Propose(5, p); rejection != "" || again != v || history.Version != v {
		t.Error("repeated proposal:", again, rejection)
	}
	if _, rejection := history.Propose(5, other); !strings.Contains(rejection, "5.2 is in force, this was made from 5.1") {
		t.Error(rejection)
	}
	p.Base = v.Packed()
	if _, rejection := history.Propose(5, p); rejection == "" {
		t.Error("accepted a difference that was computed from another document")
	}
	wrong := Propose(v, history.Document, Document{}, "a", "r")
	wrong.Hash[0]++
	if _, rejection := history.Propose(5, wrong); rejection != ErrMismatch.Error() {
		t.Error(rejection)
	}
	if _, rejection := history.Propose(5, Propose(v, history.Document, history.Document, "a", "none")); rejection != "nothing changes" {
		t.Error(rejection)
	}
	// A new epoch puts the same document in force under a later version.
	before := history.Version
	if !history.BeginEpoch(9) || history.Version.String() != "9.3" || history.Version.Hash != before.Hash || history.Version.Base != before.Packed() {
		t.Error(history.Version)
	}
	if (&History{}).BeginEpoch(9) {
		t.Error("began an epoch without a version in force")
	}
}

// A coordinator whose state was reset to an older one rejects proposals until a new epoch begins: otherwise it would assign a version number
// that already belongs to another document.
func TestHistory_RegressedCoordinatorRejectsProposals(t *testing.T) {
	history := &History{}
	propose(history, 5, Document{"over_share_value": "0.2"})
	history.Acknowledged(history.Version.Packed())
	if history.ForeignVersion != 0 {
		t.Error("the version in force is recorded as a foreign one")
	}
	history.Acknowledged(Version{Epoch: 5, Number: 4}.Packed())
	if _, rejection := propose(history, 5, Document{"over_share_value": "0.3"}); !strings.Contains(rejection, "5.4") {
		t.Error(rejection)
	}
	if !history.BeginEpoch(6) {
		t.Fatal()
	}
	if v, rejection := propose(history, 6, Document{"over_share_value": "0.3"}); rejection != "" || v.String() != "6.3" {
		t.Error(v, rejection)
	}
	restarted := &History{}
	restarted.Acknowledged(Version{Epoch: 5, Number: 4}.Packed())
	if v, rejection := propose(restarted, 8, Document{"over_share_value": "0.3"}); rejection != "" || v.String() != "8.1" {
		t.Error("coordinator without any state, in a later epoch:", v, rejection)
	}
}

// The history is limited in number of changes and in bytes. A router whose version is no longer in it is served the full document.
func TestHistory_IsBounded(t *testing.T) {
	history := &History{}
	for n := range 100 {
		propose(history, 1, Document{"over_share_value": FormatNumber(float64(n) / 100)})
	}
	if len(history.Changes) != maxHistoryChanges {
		t.Fatal(len(history.Changes))
	}
	if _, kept := history.ChangesSince(Version{Epoch: 1, Number: 100 - maxHistoryChanges - 1}.Packed()); kept {
		t.Error("kept a change beyond the limit")
	}
	all, kept := history.ChangesSince(Version{Epoch: 1, Number: 90}.Packed())
	if !kept || len(all) != 10 || all[9].Version != history.Version {
		t.Error(len(all), kept)
	}
	for n := range 5 {
		large := Document{}
		for m := range 5000 {
			large[fmt.Sprintf("tenants.%05d.rate", m)] = fmt.Sprint(100000000000 + n*5000 + m)
		}
		if _, rejection := propose(history, 1, large); rejection != "" {
			t.Fatal(rejection)
		}
	}
	if kept := history.differenceBytes(); kept > maxDifferenceBytes || len(history.Changes) > 4 {
		t.Error(kept, len(history.Changes))
	}
	if n := len(EncodeChanges(history.Changes)); n > MaxHistoryBytes {
		t.Error(n)
	}
	if _, full, known := history.Serve(Request{Have: Version{Epoch: 1, Number: 90}.Packed(), Want: history.Version.Packed()}); !full || !known {
		t.Error(full, known)
	}
	if _, _, known := history.Serve(Request{Want: history.Version.Packed() + 1}); known {
		t.Error("served a version later than the one in force")
	}
}

// For any sequence of proposals and epochs, each version identifies a single document, and versions increase.
func TestHistory_VersionsGrowAndNameOneDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history, documentsByVersion, epoch := &History{}, map[uint64]Document{}, uint64(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := history.Version
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				epoch++
				history.BeginEpoch(epoch)
			default:
				base := history.Version
				from := history.Document
				if versions := slices.Sorted(maps.Keys(documentsByVersion)); len(versions) > 0 && rapid.Bool().Draw(t, "stale") {
					packed := rapid.SampledFrom(versions).Draw(t, "base")
					base.Epoch, base.Number = SplitPacked(packed)
					from = documentsByVersion[packed]
				}
				v, rejection := history.Propose(epoch, Propose(base, from, documentGenerator.Draw(t, "next"), "a", "r"))
				if rejection == "" && v != before && base.Packed() != before.Packed() {
					t.Fatalf("accepted a proposal based on %s while %s was in force", base, before)
				}
			}
			packed := history.Version.Packed()
			if packed < before.Packed() || history.Check() != nil {
				t.Fatal(history.Version, before, history.Check())
			}
			if previous, known := documentsByVersion[packed]; known && previous.Hash() != history.Document.Hash() {
				t.Fatalf("version %s identifies two documents", history.Version)
			}
			if documentsByVersion[packed] = history.Document; packed == 0 {
				delete(documentsByVersion, packed)
			}
		}
	})
}
