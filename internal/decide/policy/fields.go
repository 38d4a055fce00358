package policy

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Class tells whether two versions of a field may be in force at different routers at one moment.
type Class int

const (
	Unknown Class = iota // no field of a policy
	Lenient              // they may overlap, for a bounded time
	Strict               // they may not; refused until changes of such fields can be made everywhere at once or nowhere
)

func (c Class) String() string { return [...]string{"unknown", "lenient", "strict"}[c] }

// row is one kind of field: Table, then a name that the fleet gives, then Key; without Table it is Key alone.
type row struct {
	table, key string
	class      Class
	reason     string
	sound      func(value string) error
}

// rows is the one account of what may change how. The reason of a lenient one says why an overlap does no harm; of a strict one,
// what harm it does.
var rows = []row{
	{"", "over_share_value", Lenient, "it weighs one router's own txns against each other; each txn is weighed at one router", share},
	{"txn_types", "value", Lenient, "it weighs one router's own txns against each other; each txn is weighed at one router", amount},
	{"txn_types", "late_value", Lenient, "it weighs one router's own late txns; each txn is weighed at one router", amount},
	{"tenants", "rate", Lenient, "each router counts its own part of a share: for as long as the versions overlap, the sum is between both", amount},

	{"txn_types", "effect", Strict, "it says whether a txn may be sent twice: one router would repeat what another must not", nil},
	{"txn_types", "level", Strict, "it says which members may serve a read: one router would read from where another must not", nil},
	{"txn_types", "bound", Strict, "it says how old a read may be: a session that changes routers would see time go back", nil},
	{"txn_types", "window", Strict, "it says for how long a mark of what was done is looked for: a repeat by way of another router would be done twice", nil},
	{"txn_types", "expiry", Strict, "it says for how long a txn may be under way: another router's window may be shorter than that", nil},
	{"txn_types", "scope", Strict, "it says among which txns a mark is looked for: a repeat by way of another router would be done twice", nil},
}

func share(value string) error  { return number(value, 1) }
func amount(value string) error { return number(value, 1e12) }

// number takes a decimal from 0 in its shortest form, so that one value has one form.
func number(value string, most float64) error {
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || !(x >= 0) || x > most || math.Signbit(x) {
		return fmt.Errorf("must be a number from 0 to %g, not %.32q", most, value)
	}
	if short := strconv.FormatFloat(x, 'g', -1, 64); short != value {
		return fmt.Errorf("must be written %s, not %.32q", short, value)
	}
	return nil
}

// Number writes a number as a field's value has it.
func Number(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

// find gives a field's row. A name that the fleet gives may hold dots: the first part and the last tell the row.
func find(field string) *row {
	table, rest, dotted := strings.Cut(field, ".")
	for n := range rows {
		r := &rows[n]
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

// Name gives a field's parts: "txn_types.order.value" is of table "txn_types", name "order", key "value"; a field without a
// table is key alone. false: no field of a policy.
func Name(field string) (table, name, key string, known bool) {
	r := find(field)
	if r == nil {
		return "", "", "", false
	}
	if r.table == "" {
		return "", "", r.key, true
	}
	return r.table, strings.TrimSuffix(strings.TrimPrefix(field, r.table+"."), "."+r.key), r.key, true
}

// Classify tells how a field may change, and why.
func Classify(field string) (Class, string) {
	if r := find(field); r != nil {
		return r.class, r.reason
	}
	return Unknown, "no field of a policy"
}

// Finding is one thing that keeps a change from being made.
type Finding struct{ Field, Reason string }

// Judge tells everything that keeps one document from following another, by field; none: it may. Fields that both have alike are
// not looked at.
func Judge(old, new Document) []Finding { return Between(old, new).Judge() }

// Judge tells everything that is wrong with a difference, by field; none: it may be made.
func (x Difference) Judge() (all []Finding) {
	for _, field := range x.Fields() {
		class, reason := Classify(field)
		value, set := x.Set[field]
		switch class {
		case Unknown:
			all = append(all, Finding{field, reason})
		case Strict:
			all = append(all, Finding{field, "can't be changed yet by a policy: " + reason})
		case Lenient:
			if err := find(field).sound(value); set && err != nil {
				all = append(all, Finding{field, err.Error()})
			}
		}
	}
	if err := x.Check(); err != nil {
		all = append(all, Finding{"", err.Error()})
	}
	return slices.Clip(all)
}
