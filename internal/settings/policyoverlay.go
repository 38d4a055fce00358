package settings

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"wayloft/internal/decide/policy"
	"wayloft/router"
)

// overlay builds a copy of a router's own settings with the fields of a policy applied.
type overlay struct {
	own       *router.Settings
	result    router.Settings
	copied    map[string]*router.RequestClass // request classes of the result that have been copied from own
	errs      []error
	undefined map[string]bool // unknown request classes that have been reported
}

// Overlay returns a copy of a router's own settings in which the fields of a policy replace the router's values. Its error lists
// everything that this router can't apply. own is not changed, and shares with the result what the policy doesn't name.
func Overlay(own *router.Settings, document policy.Document) (*router.Settings, error) {
	o := &overlay{own: own, result: *own, copied: map[string]*router.RequestClass{}, undefined: map[string]bool{}}
	o.result.RequestClasses = maps.Clone(own.RequestClasses)
	if o.result.Tenants = maps.Clone(own.Tenants); o.result.Tenants == nil {
		o.result.Tenants = map[string]float64{}
	}
	invalid := map[string]bool{}
	for _, violation := range policy.ValidateChange(nil, document) {
		invalid[violation.Field] = true
		o.fail("%s: %s", violation.Field, violation.Reason)
	}
	for _, field := range slices.Sorted(maps.Keys(document)) {
		if !invalid[field] {
			o.apply(field, document[field])
		}
	}
	if len(o.errs) > 0 {
		return nil, errors.Join(o.errs...)
	}
	return &o.result, nil
}

func (o *overlay) fail(format string, args ...any) {
	o.errs = append(o.errs, fmt.Errorf(format, args...))
}

// apply sets a field that policy.ValidateChange has accepted.
func (o *overlay) apply(field, value string) {
	table, name, key, _ := policy.SplitField(field)
	number, _ := strconv.ParseFloat(value, 64)
	switch {
	case table == keyTenants:
		o.result.Tenants[name] = number
	case table == "":
		o.result.OverQuotaWeight = number
	case o.own.RequestClasses[name] != nil:
		o.applyToClass(o.copyClass(name), field, key, value, number)
	case !o.undefined[name]:
		o.undefined[name] = true
		o.fail("no such txn type %q", name)
	}
}

// copyClass returns the result's request class of this name, which it copies first if it is still shared with the router's own settings.
func (o *overlay) copyClass(name string) *router.RequestClass {
	if o.copied[name] == nil {
		class := *o.own.RequestClasses[name]
		o.copied[name], o.result.RequestClasses[name] = &class, &class
	}
	return o.copied[name]
}

func (o *overlay) applyToClass(class *router.RequestClass, field, key, value string, number float64) {
	switch {
	case key == keyLateValue && number > 1:
		o.fail("%s: must be from 0 to 1, not %s", field, value)
	case key == keyLateValue:
		class.LateWeightShare = number
	case number == 0:
		o.fail("%s: must be more than 0", field)
	default:
		class.PriorityWeight = number
	}
}
