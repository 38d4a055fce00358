package policy

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

var fields = rapid.OneOf(
	rapid.Just("over_share_value"),
	rapid.Map(rapid.StringMatching(`[a-z.]{1,8}`), func(name string) string { return "txn_types." + name + ".value" }),
	rapid.Map(rapid.StringMatching(`[a-z]{1,4}`), func(name string) string { return "tenants." + name + ".rate" }),
)

var documents = rapid.Custom(func(t *rapid.T) Document {
	return rapid.MapOfN(fields, rapid.Map(rapid.IntRange(0, 1), func(n int) string { return FormatNumber(float64(n)) }), 0, 12).Draw(t, "document")
})

// What leads from one document to another leads there, in the form that others read; and nothing else has its hash.
func TestDifference_LeadsFromOneDocumentToAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := documents.Draw(t, "a"), documents.Draw(t, "b")
		x, err := DecodeDifference(Diff(a, b).Encode())
		if err != nil {
			t.Fatal(err)
		}
		before := maps.Clone(a)
		c, err := a.Apply(x)
		if err != nil || !maps.Equal(c, b) || c.Hash() != b.Hash() || !maps.Equal(a, before) {
			t.Fatalf("%v with %v is %v, %v", a, x, c, err)
		}
		if x.Empty() != maps.Equal(a, b) || (a.Hash() == b.Hash()) != maps.Equal(a, b) {
			t.Fatal("the hash, or emptiness, doesn't say whether they are the same")
		}
		d, err := Decode(b.Encode())
		if err != nil || !maps.Equal(d, b) {
			t.Fatal(d, err)
		}
		if all := ValidateChange(a, b); len(all) > 0 {
			t.Fatal(all)
		}
	})
}

// A difference on another document than its own either shows, or leads to another hash than the one that is stated, or to the
// very document.
func TestDifference_AppliedToAnotherBaseIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, other := documents.Draw(t, "a"), documents.Draw(t, "b"), documents.Draw(t, "other")
		c, err := other.Apply(Diff(a, b))
		if err == nil && c.Hash() == b.Hash() && !maps.Equal(c, b) {
			t.Fatal(c)
		}
	})
}

func TestDecode_RejectsMalformedOrOversized(t *testing.T) {
	sorted := func(v any) []byte { return encode(v) }
	loose, err := cbor.Marshal(map[string]string{"over_share_value": "1"})
	if err != nil {
		t.Fatal(err)
	}
	many := map[string]string{}
	for n := range MaxFields + 1 {
		many[fmt.Sprint(n)] = ""
	}
	wide := map[string]string{}
	for n := range 1100 {
		wide[fmt.Sprintf("%0250d", n)] = ""
	}
	for name, c := range map[string]struct {
		bytes []byte
		err   error
	}{
		"nothing":              {nil, ErrMalformed},
		"null":                 {[]byte{0xf6}, ErrMalformed},
		"a list":               {[]byte{0x80}, ErrMalformed},
		"cut off":              {loose[:len(loose)-1], ErrMalformed},
		"something behind":     {append(slices.Clone(loose), 0), ErrMalformed},
		"a key twice":          {[]byte{0xa2, 0x61, 'a', 0x60, 0x61, 'a', 0x60}, ErrMalformed},
		"out of order":         {[]byte{0xa2, 0x61, 'b', 0x60, 0x61, 'a', 0x60}, ErrMalformed},
		"a long form":          {[]byte{0xb8, 0x01, 0x61, 'a', 0x60}, ErrMalformed},
		"no length":            {[]byte{0xbf, 0x61, 'a', 0x60, 0xff}, ErrMalformed},
		"a number":             {[]byte{0xa1, 0x61, 'a', 0x01}, ErrMalformed},
		"bytes":                {[]byte{0xa1, 0x61, 'a', 0x41, 'a'}, ErrMalformed},
		"not UTF-8":            {[]byte{0xa1, 0x61, 0xff, 0x60}, ErrMalformed},
		"no name":              {sorted(map[string]string{"": "a"}), ErrTooLarge},
		"a long name":          {sorted(map[string]string{strings.Repeat("a", MaxFieldNameBytes+1): "a"}), ErrTooLarge},
		"a long value":         {sorted(map[string]string{"a": strings.Repeat("a", MaxValueBytes+1)}), ErrTooLarge},
		"too many":             {sorted(many), ErrMalformed},
		"too many bytes":       {sorted(wide), ErrTooLarge},
		"50 MB of nothing new": {make([]byte, 50<<20), ErrTooLarge},
	} {
		if d, err := Decode(c.bytes); !errors.Is(err, c.err) {
			t.Errorf("%s: %d fields, %v", name, len(d), err)
		}
	}
	if d, err := Decode(loose); err != nil || len(d) != 1 {
		t.Error(d, err)
	}
}

// Whatever bytes come, they are refused or are those that Encode gives for what was read.
func FuzzDecode(f *testing.F) {
	f.Add(Document{"over_share_value": "0.2"}.Encode())
	f.Add(Diff(Document{"a": "1"}, Document{"b": "2"}).Encode())
	f.Add(EncodeChanges([]Change{{Version{1, 2, [32]byte{3}, 4, 5, "a", "b"}, Difference{Removed: []string{"c"}}}}))
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if d, err := Decode(b); err == nil && !slices.Equal(d.Encode(), b) {
			t.Errorf("%x is read as %v", b, d)
		}
		if x, err := DecodeDifference(b); err == nil && !slices.Equal(x.Encode(), b) {
			t.Errorf("%x is read as %v", b, x)
		}
		if all, err := DecodeChanges(b); err == nil && !slices.Equal(EncodeChanges(all), b) {
			t.Errorf("%x is read as %v", b, all)
		}
	})
}

func TestDecode_DamagedByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := documents.Draw(t, "d").Encode()
		at := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		b[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "by"))
		if d, err := Decode(b); err == nil && !slices.Equal(d.Encode(), b) {
			t.Fatalf("%x is read as %v", b, d)
		}
	})
}

func TestClassify_EachField(t *testing.T) {
	for field, class := range map[string]FieldClass{
		"over_share_value": ClassLenient, "txn_types.order.value": ClassLenient, "txn_types.order.late_value": ClassLenient, "tenants.acme.rate": ClassLenient,
		"txn_types.a.b.value": ClassLenient, "txn_types.value.value": ClassLenient, "tenants.rate.rate": ClassLenient,
		"txn_types.order.effect": ClassStrict, "txn_types.order.level": ClassStrict, "txn_types.order.bound": ClassStrict, "txn_types.order.window": ClassStrict,
		"txn_types.order.expiry": ClassStrict, "txn_types.order.scope": ClassStrict,
		"": ClassUnknown, "value": ClassUnknown, "txn_types": ClassUnknown, "txn_types.value": ClassUnknown, "txn_types..value": ClassUnknown, "tenants.acme.value": ClassUnknown,
		"txn_types.order.Value": ClassUnknown, "x.over_share_value": ClassUnknown, "listen": ClassUnknown, "txn_types.order.value.": ClassUnknown,
	} {
		if got, reason := Classify(field); got != class || reason == "" {
			t.Errorf("%q is %v: %s", field, got, reason)
		}
	}
	if table, name, key, known := SplitField("txn_types.a.b.late_value"); table != "txn_types" || name != "a.b" || key != "late_value" || !known {
		t.Error(table, name, key, known)
	}
}

// All that is wrong is told at once, each with its field.
func TestValidateChange_ListsEveryViolation(t *testing.T) {
	old := Document{"txn_types.order.effect": "idempotent", "txn_types.order.value": "1"}
	got := ValidateChange(old, Document{"txn_types.order.value": "-1", "tenants.a.rate": "1e3", "tenants.b.rate": "NaN", "over_share_value": "1.5", "memory": "1GiB",
		"tenants.ok.rate": "12.5", "txn_types.order.late_value": "0x1p4"})
	var named []string
	for _, f := range got {
		named = append(named, f.Field)
		if f.Reason == "" {
			t.Error(f)
		}
	}
	if want := []string{"memory", "over_share_value", "tenants.a.rate", "tenants.b.rate", "txn_types.order.effect", "txn_types.order.late_value",
		"txn_types.order.value"}; !slices.Equal(named, want) {
		t.Errorf("%v, %v", named, got)
	}
}

func TestVersion_PackedAndText(t *testing.T) {
	v := Version{Epoch: 94000000, Number: 7}
	if v.String() != "94000000.7" || (Version{Epoch: 3}).String() != "none" {
		t.Error(v, Version{Epoch: 3})
	}
	if mark, err := ParsePacked(v.String()); err != nil || mark != v.Packed() {
		t.Error(mark, err)
	}
	for _, bad := range []string{"", "7", "1.0", "01.2", "1.2 ", "1.2.3", "-1.2", "9999999999.1", "1.4294967296"} {
		if mark, err := ParsePacked(bad); err == nil {
			t.Errorf("%q is %x", bad, mark)
		}
	}
	if (Version{Epoch: 1, Number: maxNumber}).Packed() >= (Version{Epoch: 2, Number: 1}).Packed() {
		t.Error("a later epoch must be above all of an earlier one")
	}
}

// propose has a book take a change of its document.
func propose(b *History, epoch uint64, change Document) (Version, string) {
	next := maps.Clone(b.Document)
	if next == nil {
		next = Document{}
	}
	maps.Copy(next, change)
	return b.Propose(epoch, Propose(b.Version, b.Document, next, "a", fmt.Sprintf("%.100s", fmt.Sprint(change))))
}

func TestHistory_Propose(t *testing.T) {
	b := &History{}
	if v, why := propose(b, 5, Document{"over_share_value": "0.2"}); why != "" || v.String() != "5.1" || b.Version != v || v.Size != len(b.Document.Encode()) {
		t.Fatal(v, why)
	}
	first, doc := b.Version, b.Document
	p := Propose(first, doc, Document{"over_share_value": "0.3"}, "a", "r")
	other := Propose(first, doc, Document{"over_share_value": "0.4"}, "b", "r")
	v, why := b.Propose(5, p)
	if why != "" || v.String() != "5.2" || v.Base != first.Packed() {
		t.Fatal(v, why)
	}
	if again, why := b.Propose(5, p); why != "" || again != v || b.Version != v {
		t.Error("the same once more:", again, why)
	}
	if _, why := b.Propose(5, other); !strings.Contains(why, "5.2 is in force, this was made from 5.1") {
		t.Error(why)
	}
	p.Base = v.Packed()
	if _, why := b.Propose(5, p); why == "" {
		t.Error("a difference that was made from another document")
	}
	wrong := Propose(v, b.Document, Document{}, "a", "r")
	wrong.Hash[0]++
	if _, why := b.Propose(5, wrong); why != ErrMismatch.Error() {
		t.Error(why)
	}
	if _, why := b.Propose(5, Propose(v, b.Document, b.Document, "a", "none")); why != "nothing changes" {
		t.Error(why)
	}
	// After an epoch was begun, what is in force stands above all that was given before.
	was := b.Version
	if !b.BeginEpoch(9) || b.Version.String() != "9.3" || b.Version.Hash != was.Hash || b.Version.Base != was.Packed() {
		t.Error(b.Version)
	}
	if (&History{}).BeginEpoch(9) {
		t.Error("nothing is in force")
	}
}

// A coordinator that was set back without a new epoch takes no proposal: its number would be another document's.
func TestHistory_RegressedCoordinatorRejectsProposals(t *testing.T) {
	b := &History{}
	propose(b, 5, Document{"over_share_value": "0.2"})
	b.Acknowledged(b.Version.Packed())
	if b.ForeignVersion != 0 {
		t.Error("that is what it gave")
	}
	b.Acknowledged(Version{Epoch: 5, Number: 4}.Packed())
	if _, why := propose(b, 5, Document{"over_share_value": "0.3"}); !strings.Contains(why, "5.4") {
		t.Error(why)
	}
	if !b.BeginEpoch(6) {
		t.Fatal()
	}
	if v, why := propose(b, 6, Document{"over_share_value": "0.3"}); why != "" || v.String() != "6.3" {
		t.Error(v, why)
	}
	lost := &History{}
	lost.Acknowledged(Version{Epoch: 5, Number: 4}.Packed())
	if v, why := propose(lost, 8, Document{"over_share_value": "0.3"}); why != "" || v.String() != "8.1" {
		t.Error("a council that began anew, in a later epoch:", v, why)
	}
}

// The history is bounded in count and bytes; what it no longer leads from is served whole.
func TestHistory_IsBounded(t *testing.T) {
	b := &History{}
	for n := range 100 {
		propose(b, 1, Document{"over_share_value": FormatNumber(float64(n) / 100)})
	}
	if len(b.Changes) != maxHistoryChanges {
		t.Fatal(len(b.Changes))
	}
	if _, kept := b.ChangesSince(Version{Epoch: 1, Number: 100 - maxHistoryChanges - 1}.Packed()); kept {
		t.Error("that is gone")
	}
	all, kept := b.ChangesSince(Version{Epoch: 1, Number: 90}.Packed())
	if !kept || len(all) != 10 || all[9].Version != b.Version {
		t.Error(len(all), kept)
	}
	for n := range 5 {
		large := Document{}
		for m := range 5000 {
			large[fmt.Sprintf("tenants.%05d.rate", m)] = fmt.Sprint(100000000000 + n*5000 + m)
		}
		if _, why := propose(b, 1, large); why != "" {
			t.Fatal(why)
		}
	}
	if kept := b.differenceBytes(); kept > maxDifferenceBytes || len(b.Changes) > 4 {
		t.Error(kept, len(b.Changes))
	}
	if n := len(EncodeChanges(b.Changes)); n > MaxHistoryBytes {
		t.Error(n)
	}
	if _, whole, known := b.Serve(Request{Have: Version{Epoch: 1, Number: 90}.Packed(), Want: b.Version.Packed()}); !whole || !known {
		t.Error(whole, known)
	}
	if _, _, known := b.Serve(Request{Want: b.Version.Packed() + 1}); known {
		t.Error("it is behind that")
	}
}

// Entries alone decide: whatever is proposed, each number is one document, numbers grow, and each follows from the one before.
func TestHistory_VersionsGrowAndNameOneDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, docs, epoch := &History{}, map[uint64]Document{}, uint64(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			was := b.Version
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				epoch++
				b.BeginEpoch(epoch)
			default:
				base := b.Version
				from := b.Document
				if marks := slices.Sorted(maps.Keys(docs)); len(marks) > 0 && rapid.Bool().Draw(t, "stale") {
					mark := rapid.SampledFrom(marks).Draw(t, "base")
					base.Epoch, base.Number = SplitPacked(mark)
					from = docs[mark]
				}
				v, why := b.Propose(epoch, Propose(base, from, documents.Draw(t, "next"), "a", "r"))
				if why == "" && v != was && base.Packed() != was.Packed() {
					t.Fatalf("made from %s, taken though %s was in force", base, was)
				}
			}
			mark := b.Version.Packed()
			if mark < was.Packed() || b.Check() != nil {
				t.Fatal(b.Version, was, b.Check())
			}
			if had, known := docs[mark]; known && had.Hash() != b.Document.Hash() {
				t.Fatalf("%s is two documents", b.Version)
			}
			if docs[mark] = b.Document; mark == 0 {
				delete(docs, mark)
			}
		}
	})
}
