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

// overlay is a router's own settings with fields of a policy in place of its own.
type overlay struct {
	own       *router.Settings
	result    router.Settings
	copied    map[string]*router.RequestClass // request classes of the result that are not shared with own
	errs      []error
	undefined map[string]bool // request classes that the router does not have, and that an error names
}

// Overlay returns a router's own settings with the fields of a policy in place of its own. Its error names everything that this router
// can't apply. own stays as it is, and shares with the result all that the policy does not name.
func Overlay(own *router.Settings, document policy.Document) (*router.Settings, error) {
	o := &overlay{own: own, result: *own, copied: map[string]*router.RequestClass{}, undefined: map[string]bool{}}
	o.result.RequestClasses = maps.Clone(own.RequestClasses)
	if o.result.Tenants = maps.Clone(own.Tenants); o.result.Tenants == nil {
		o.result.Tenants = map[string]float64{}
	}
	invalid := map[string]bool{}
	for _, finding := range policy.ValidateChange(nil, document) {
		invalid[finding.Field] = true
		o.fail("%s: %s", finding.Field, finding.Reason)
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

// apply sets a field that policy.ValidateChange found valid.
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

// copyClass returns a request class of the result that is not shared with the router's own settings.
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
