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

var fieldGenerator = rapid.OneOf(
	rapid.Just("over_share_value"),
	rapid.Map(rapid.StringMatching(`[a-z.]{1,8}`), func(name string) string { return "txn_types." + name + ".value" }),
	rapid.Map(rapid.StringMatching(`[a-z]{1,4}`), func(name string) string { return "tenants." + name + ".rate" }),
)

var documentGenerator = rapid.Custom(func(t *rapid.T) Document {
	return rapid.MapOfN(fieldGenerator, rapid.Map(rapid.IntRange(0, 1), func(n int) string { return FormatNumber(float64(n)) }), 0, 12).Draw(t, "document")
})

// Applying the difference of two documents to the first produces the second, also after the difference has been encoded and decoded.
// Documents have the same hash only if they are equal.
func TestDifference_LeadsFromOneDocumentToAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := documentGenerator.Draw(t, "a"), documentGenerator.Draw(t, "b")
		diff, err := DecodeDifference(Diff(a, b).Encode())
		if err != nil {
			t.Fatal(err)
		}
		before := maps.Clone(a)
		c, err := a.Apply(diff)
		if err != nil || !maps.Equal(c, b) || c.Hash() != b.Hash() || !maps.Equal(a, before) {
			t.Fatalf("applying to %v the difference %v: got %v, %v", a, diff, c, err)
		}
		if diff.Empty() != maps.Equal(a, b) || (a.Hash() == b.Hash()) != maps.Equal(a, b) {
			t.Fatal("equal hashes or an empty difference don't match equal documents")
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

// Applying a difference to a document from which it was not computed returns an error, or produces a document with a hash other than the
// stated one, or the correct document.
func TestDifference_AppliedToAnotherBaseIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, other := documentGenerator.Draw(t, "a"), documentGenerator.Draw(t, "b"), documentGenerator.Draw(t, "other")
		c, err := other.Apply(Diff(a, b))
		if err == nil && c.Hash() == b.Hash() && !maps.Equal(c, b) {
			t.Fatal(c)
		}
	})
}

// Decode returns ErrMalformed for bytes that are not a canonical encoding, and ErrTooLarge for a document beyond the size limits.
func TestDecode_RejectsMalformedOrOversized(t *testing.T) {
	valid, err := cbor.Marshal(map[string]string{"over_share_value": "1"})
	if err != nil {
		t.Fatal(err)
	}
	tooManyFields := map[string]string{}
	for n := range MaxFields + 1 {
		tooManyFields[fmt.Sprint(n)] = ""
	}
	tooManyBytes := map[string]string{}
	for n := range 1100 {
		tooManyBytes[fmt.Sprintf("%0250d", n)] = ""
	}
	for name, c := range map[string]struct {
		bytes []byte
		err   error
	}{
		"empty":                  {nil, ErrMalformed},
		"null":                   {[]byte{0xf6}, ErrMalformed},
		"list":                   {[]byte{0x80}, ErrMalformed},
		"truncated":              {valid[:len(valid)-1], ErrMalformed},
		"trailing byte":          {append(slices.Clone(valid), 0), ErrMalformed},
		"duplicate key":          {[]byte{0xa2, 0x61, 'a', 0x60, 0x61, 'a', 0x60}, ErrMalformed},
		"keys out of order":      {[]byte{0xa2, 0x61, 'b', 0x60, 0x61, 'a', 0x60}, ErrMalformed},
		"length in a long form":  {[]byte{0xb8, 0x01, 0x61, 'a', 0x60}, ErrMalformed},
		"indefinite length":      {[]byte{0xbf, 0x61, 'a', 0x60, 0xff}, ErrMalformed},
		"number as a value":      {[]byte{0xa1, 0x61, 'a', 0x01}, ErrMalformed},
		"byte string as a value": {[]byte{0xa1, 0x61, 'a', 0x41, 'a'}, ErrMalformed},
		"not UTF-8":              {[]byte{0xa1, 0x61, 0xff, 0x60}, ErrMalformed},
		"empty name":             {encode(map[string]string{"": "a"}), ErrTooLarge},
		"long name":              {encode(map[string]string{strings.Repeat("a", MaxFieldNameBytes+1): "a"}), ErrTooLarge},
		"long value":             {encode(map[string]string{"a": strings.Repeat("a", MaxValueBytes+1)}), ErrTooLarge},
		"too many fields":        {encode(tooManyFields), ErrMalformed},
		"too many bytes":         {encode(tooManyBytes), ErrTooLarge},
		"50 MiB of zeros":        {make([]byte, 50<<20), ErrTooLarge},
	} {
		if d, err := Decode(c.bytes); !errors.Is(err, c.err) {
			t.Errorf("%s: got %d fields and error %v", name, len(d), err)
		}
	}
	if d, err := Decode(valid); err != nil || len(d) != 1 {
		t.Error(d, err)
	}
}

// Arbitrary bytes are either rejected, or are exactly the encoding of the decoded value.
func FuzzDecode(f *testing.F) {
	f.Add(Document{"over_share_value": "0.2"}.Encode())
	f.Add(Diff(Document{"a": "1"}, Document{"b": "2"}).Encode())
	f.Add(EncodeChanges([]Change{{Version{1, 2, [32]byte{3}, 4, 5, "a", "b"}, Difference{Removed: []string{"c"}}}}))
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if d, err := Decode(b); err == nil && !slices.Equal(d.Encode(), b) {
			t.Errorf("%x is decoded as %v", b, d)
		}
		if diff, err := DecodeDifference(b); err == nil && !slices.Equal(diff.Encode(), b) {
			t.Errorf("%x is decoded as %v", b, diff)
		}
		if changes, err := DecodeChanges(b); err == nil && !slices.Equal(EncodeChanges(changes), b) {
			t.Errorf("%x is decoded as %v", b, changes)
		}
	})
}

// A document with one corrupted byte is either rejected, or decoded as a value of which the corrupted bytes are the exact encoding.
func TestDecode_DamagedByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := documentGenerator.Draw(t, "d").Encode()
		offset := rapid.IntRange(0, len(b)-1).Draw(t, "offset")
		b[offset] ^= byte(rapid.IntRange(1, 255).Draw(t, "mask"))
		if d, err := Decode(b); err == nil && !slices.Equal(d.Encode(), b) {
			t.Fatalf("%x is decoded as %v", b, d)
		}
	})
}

// Classify returns the class of each field of a policy, and ClassUnknown for any other name.
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
			t.Errorf("%q: got class %v, reason %q", field, got, reason)
		}
	}
	if table, name, key, known := SplitField("txn_types.a.b.late_value"); table != "txn_types" || name != "a.b" || key != "late_value" || !known {
		t.Error(table, name, key, known)
	}
}

// ValidateChange lists every violation with its field and a reason.
func TestValidateChange_ListsEveryViolation(t *testing.T) {
	current := Document{"txn_types.order.effect": "idempotent", "txn_types.order.value": "1"}
	got := ValidateChange(current, Document{"txn_types.order.value": "-1", "tenants.a.rate": "1e3", "tenants.b.rate": "NaN", "over_share_value": "1.5", "memory": "1GiB",
		"tenants.ok.rate": "12.5", "txn_types.order.late_value": "0x1p4"})
	var violated []string
	for _, v := range got {
		violated = append(violated, v.Field)
		if v.Reason == "" {
			t.Error(v)
		}
	}
	if want := []string{"memory", "over_share_value", "tenants.a.rate", "tenants.b.rate", "txn_types.order.effect", "txn_types.order.late_value",
		"txn_types.order.value"}; !slices.Equal(violated, want) {
		t.Errorf("violations of %v: %v", violated, got)
	}
}

// Formatting and parsing a version round-trips through its packed form, and packed versions are ordered by epoch and number.
func TestVersion_PackedAndText(t *testing.T) {
	v := Version{Epoch: 94000000, Number: 7}
	if v.String() != "94000000.7" || (Version{Epoch: 3}).String() != "none" {
		t.Error(v, Version{Epoch: 3})
	}
	if packed, err := ParsePacked(v.String()); err != nil || packed != v.Packed() {
		t.Error(packed, err)
	}
	for _, bad := range []string{"", "7", "1.0", "01.2", "1.2 ", "1.2.3", "-1.2", "9999999999.1", "1.4294967296"} {
		if packed, err := ParsePacked(bad); err == nil {
			t.Errorf("%q is parsed as %x", bad, packed)
		}
	}
	if (Version{Epoch: 1, Number: maxNumber}).Packed() >= (Version{Epoch: 2, Number: 1}).Packed() {
		t.Error("a version of a later epoch must be greater than all of an earlier one")
	}
}
