package policy

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// FieldClass determines whether routers may apply different versions of a field at the same time.
type FieldClass int

// Field classes.
const (
	ClassUnknown FieldClass = iota // not a field of a policy
	ClassLenient                   // allowed, for a bounded time
	ClassStrict                    // not allowed; changes are rejected as long as they can't be made atomically at all routers
)

func (c FieldClass) String() string { return [...]string{"unknown", "lenient", "strict"}[c] }

// fieldRule describes one kind of field. The name of such a field is table.name.key, where the fleet's configuration chooses the name, or
// only the key if there is no table.
type fieldRule struct {
	table, key string
	class      FieldClass
	reason     string
	validate   func(value string) error // nil for strict fields
}

// Reasons shared by several rules.
const (
	reasonWeighedAtOneRouter = "it weighs one router's own requests against each other; each request is weighed at one router"
	reasonExecutedTwice      = "a repeat by way of another router would be done twice"
)

// Maximum values of numeric fields.
const (
	maxShare  = 1
	maxAmount = 1e12
)

// fieldRules lists all fields of a policy. The reason of a lenient field says why it is harmless that routers apply different versions for
// some time, the reason of a strict field what harm that does. Reasons are shown to operators and sent in responses on the wire, so their
// texts must not change.
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

// reasonUnknownField is the reason for fields without a rule.
const reasonUnknownField = "no field of a policy"

func validateShare(value string) error  { return validateNumber(value, maxShare) }
func validateAmount(value string) error { return validateNumber(value, maxAmount) }

// validateNumber checks for a decimal number from 0 to limit in its shortest form, so that each value has exactly one form.
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

// FormatNumber formats a number as the value of a field.
func FormatNumber(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

// findRule returns the rule of a field and the name between its table and its key, or nil if it has no rule. The name may contain dots, so
// only the first and the last component determine the rule.
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

// SplitField splits a field into its components: "txn_types.order.value" has table "txn_types", name "order" and key "value"; a field without
// a table has only a key. known is false if it is not a field of a policy.
func SplitField(field string) (table, name, key string, known bool) {
	rule, name := findRule(field)
	if rule == nil {
		return "", "", "", false
	}
	return rule.table, name, rule.key, true
}

// Classify returns the class of a field, and the reason for it.
func Classify(field string) (FieldClass, string) {
	if rule, _ := findRule(field); rule != nil {
		return rule.class, rule.reason
	}
	return ClassUnknown, reasonUnknownField
}

// Violation is one reason why a change is not allowed. Field is empty if the reason applies to the change as a whole.
type Violation struct{ Field, Reason string }

// ValidateChange returns all violations of a change from one document to the next, like Validate. Fields that are the same in both documents
// are not checked.
func ValidateChange(current, next Document) []Violation { return Diff(current, next).Validate() }

// Validate returns all violations of a difference, sorted by field, followed by one of the change as a whole, if any. There are none if the
// change is allowed. The reasons are sent in responses on the wire, so their texts must not change.
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
