package policy

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// FieldClass tells whether two versions of a field may be in force at different routers at one moment.
type FieldClass int

const (
	ClassUnknown FieldClass = iota // no field of a policy
	ClassLenient                   // they may overlap, for a bounded time
	ClassStrict                    // they may not; refused until changes of such fields can be made everywhere at once or nowhere
)

func (c FieldClass) String() string { return [...]string{"unknown", "lenient", "strict"}[c] }

// fieldRule is one kind of field: Table, then a name that the fleet gives, then Key; without Table it is Key alone.
type fieldRule struct {
	table, key string
	class      FieldClass
	reason     string
	validate   func(value string) error
}

// fieldRules is the one account of what may change how. The reason of a lenient one says why an overlap does no harm; of a strict one,
// what harm it does.
var fieldRules = []fieldRule{
	{"", "over_share_value", ClassLenient, "it weighs one router's own txns against each other; each txn is weighed at one router", validateShare},
	{"txn_types", "value", ClassLenient, "it weighs one router's own txns against each other; each txn is weighed at one router", validateAmount},
	{"txn_types", "late_value", ClassLenient, "it weighs one router's own late txns; each txn is weighed at one router", validateAmount},
	{"tenants", "rate", ClassLenient, "each router counts its own part of a share: for as long as the versions overlap, the sum is between both", validateAmount},

	{"txn_types", "effect", ClassStrict, "it says whether a txn may be sent twice: one router would repeat what another must not", nil},
	{"txn_types", "level", ClassStrict, "it says which members may serve a read: one router would read from where another must not", nil},
	{"txn_types", "bound", ClassStrict, "it says how old a read may be: a session that changes routers would see time go back", nil},
	{"txn_types", "window", ClassStrict, "it says for how long a mark of what was done is looked for: a repeat by way of another router would be done twice", nil},
	{"txn_types", "expiry", ClassStrict, "it says for how long a txn may be under way: another router's window may be shorter than that", nil},
	{"txn_types", "scope", ClassStrict, "it says among which txns a mark is looked for: a repeat by way of another router would be done twice", nil},
}

func validateShare(value string) error  { return validateNumber(value, 1) }
func validateAmount(value string) error { return validateNumber(value, 1e12) }

// validateNumber takes a decimal from 0 in its shortest form, so that one value has one form.
func validateNumber(value string, most float64) error {
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || !(x >= 0) || x > most || math.Signbit(x) {
		return fmt.Errorf("must be a number from 0 to %g, not %.32q", most, value)
	}
	if short := strconv.FormatFloat(x, 'g', -1, 64); short != value {
		return fmt.Errorf("must be written %s, not %.32q", short, value)
	}
	return nil
}

// FormatNumber writes a number as a field's value has it.
func FormatNumber(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

// findRule gives a field's row. A name that the fleet gives may hold dots: the first part and the last tell the row.
func findRule(field string) *fieldRule {
	table, rest, dotted := strings.Cut(field, ".")
	for n := range fieldRules {
		r := &fieldRules[n]
		if r.table == "" {
			if field == r.key {
				return r
			}
			continue
		}
		if name, is := strings.CutSuffix(rest, "."+r.key); dotted && table == r.table && is && name != "" {
			return r
		}
	}
	return nil
}

// SplitField gives a field's parts: "txn_types.order.value" is of table "txn_types", name "order", key "value"; a field without a
// table is key alone. false: no field of a policy.
func SplitField(field string) (table, name, key string, known bool) {
	r := findRule(field)
	if r == nil {
		return "", "", "", false
	}
	if r.table == "" {
		return "", "", r.key, true
	}
	return r.table, strings.TrimSuffix(strings.TrimPrefix(field, r.table+"."), "."+r.key), r.key, true
}

// Classify tells how a field may change, and why.
func Classify(field string) (FieldClass, string) {
	if r := findRule(field); r != nil {
		return r.class, r.reason
	}
	return ClassUnknown, "no field of a policy"
}

// Violation is one thing that keeps a change from being made.
type Violation struct{ Field, Reason string }

// ValidateChange tells everything that keeps one document from following another, by field; none: it may. Fields that both have alike are
// not looked at.
func ValidateChange(old, new Document) []Violation { return Diff(old, new).Validate() }

// Validate tells everything that is wrong with a difference, by field; none: it may be made.
func (x Difference) Validate() (all []Violation) {
	for _, field := range x.Fields() {
		class, reason := Classify(field)
		value, set := x.Set[field]
		switch class {
		case ClassUnknown:
			all = append(all, Violation{field, reason})
		case ClassStrict:
			all = append(all, Violation{field, "can't be changed yet by a policy: " + reason})
		case ClassLenient:
			if err := findRule(field).validate(value); set && err != nil {
				all = append(all, Violation{field, err.Error()})
			}
		}
	}
	if err := x.Check(); err != nil {
		all = append(all, Violation{"", err.Error()})
	}
	return slices.Clip(all)
}
