package policy

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// FieldClass tells whether two versions of a field may be in force at different routers at the same time.
type FieldClass int

// Classes of fields.
const (
	ClassUnknown FieldClass = iota // no field of a policy
	ClassLenient                   // they may, for a bounded time
	ClassStrict                    // they may not; a change is rejected until it can be made at all routers at once or at none
)

func (c FieldClass) String() string { return [...]string{"unknown", "lenient", "strict"}[c] }

// fieldRule is one kind of field. Its name is the table, a name that the fleet gives and the key, with dots between; without a table it is
// the key alone.
type fieldRule struct {
	table, key string
	class      FieldClass
	reason     string
	validate   func(value string) error // of lenient fields
}

// Reasons that several rules have.
const (
	reasonWeighedAtOneRouter = "it weighs one router's own requests against each other; each request is weighed at one router"
	reasonExecutedTwice      = "a repeat by way of another router would be done twice"
)

// Largest values of fields that are numbers.
const (
	maxShare  = 1
	maxAmount = 1e12
)

// fieldRules is the one list of what may change. The reason of a lenient field says why an overlap does no harm, that of a strict one what
// harm it does. Operators see them, and they are part of responses on the wire.
var fieldRules = []fieldRule{
	{"", "over_share_value", ClassLenient, reasonWeighedAtOneRouter, validateShare},
	{"txn_types", "value", ClassLenient, reasonWeighedAtOneRouter, validateAmount},
	{"txn_types", "late_value", ClassLenient, "it weighs one router's own late requests; each request is weighed at one router", validateAmount},
	{"tenants", "rate", ClassLenient, "each router counts its own part of a share: for as long as the versions overlap, the sum is between both", validateAmount},

	{"txn_types", "effect", ClassStrict, "it says whether a request may be sent twice: one router would repeat what another must not", nil},
	{"txn_types", "level", ClassStrict, "it says which members may serve a read: one router would read from where another must not", nil},
	{"txn_types", "bound", ClassStrict, "it says how old a read may be: a session that changes routers would see time go back", nil},
	{"txn_types", "window", ClassStrict, "it says for how long a mark of what was done is looked for: " + reasonExecutedTwice, nil},
	{"txn_types", "expiry", ClassStrict, "it says for how long a request may be under way: another router's window may be shorter than that", nil},
	{"txn_types", "scope", ClassStrict, "it says among which requests a mark is looked for: " + reasonExecutedTwice, nil},
}

// reasonUnknownField is the reason of fields without a rule.
const reasonUnknownField = "no field of a policy"

func validateShare(value string) error  { return validateNumber(value, maxShare) }
func validateAmount(value string) error { return validateNumber(value, maxAmount) }

// validateNumber wants a decimal number from 0 to limit in its shortest form, so that one value has one form.
func validateNumber(value string, limit float64) error {
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || !(x >= 0) || x > limit || math.Signbit(x) {
		return fmt.Errorf("must be a number from 0 to %g, not %.32q", limit, value)
	}
	if shortest := FormatNumber(x); shortest != value {
		return fmt.Errorf("must be written %s, not %.32q", shortest, value)
	}
	return nil
}

// FormatNumber writes a number in the form that a field's value has.
func FormatNumber(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

// findRule gives a field's rule, and the name that the fleet gave within it; nil: it has none. Such a name may hold dots, so the first part
// and the last tell the rule.
func findRule(field string) (rule *fieldRule, name string) {
	table, rest, dotted := strings.Cut(field, ".")
	for n := range fieldRules {
		rule := &fieldRules[n]
		if rule.table == "" {
			if field == rule.key {
				return rule, ""
			}
			continue
		}
		if name, found := strings.CutSuffix(rest, "."+rule.key); dotted && table == rule.table && found && name != "" {
			return rule, name
		}
	}
	return nil, ""
}

// SplitField gives a field's parts: "txn_types.order.value" is of table "txn_types", name "order", key "value"; a field without a table is
// key alone. known is false for what is no field of a policy.
func SplitField(field string) (table, name, key string, known bool) {
	rule, name := findRule(field)
	if rule == nil {
		return "", "", "", false
	}
	return rule.table, name, rule.key, true
}

// Classify tells how a field may change, and why.
func Classify(field string) (FieldClass, string) {
	if rule, _ := findRule(field); rule != nil {
		return rule.class, rule.reason
	}
	return ClassUnknown, reasonUnknownField
}

// Violation is one thing that keeps a change from being made; Field is empty where it is about the change as a whole.
type Violation struct{ Field, Reason string }

// ValidateChange gives everything that keeps one document from following another, by field; none: it may. Fields that are the same in both
// are not checked.
func ValidateChange(current, next Document) []Violation { return Diff(current, next).Validate() }

// Validate gives everything that is wrong with a difference, by field; none: it may be made. The reasons are part of responses on the wire.
func (diff Difference) Validate() (violations []Violation) {
	for _, field := range diff.Fields() {
		rule, _ := findRule(field)
		switch {
		case rule == nil:
			violations = append(violations, Violation{field, reasonUnknownField})
		case rule.class == ClassStrict:
			violations = append(violations, Violation{field, "can't be changed yet by a policy: " + rule.reason})
		default:
			value, set := diff.Set[field]
			if err := rule.validate(value); set && err != nil {
				violations = append(violations, Violation{field, err.Error()})
			}
		}
	}
	if err := diff.Check(); err != nil {
		violations = append(violations, Violation{"", err.Error()})
	}
	return slices.Clip(violations)
}
