package settings

import (
	"cmp"
	"errors"
	"fmt"

	"wayloft/router"
)

// RequestClass is a request class in a router's file.
type RequestClass struct {
	Name              string   `toml:"name"`
	LatencyObjective  Duration `toml:"sla"`
	Deadline          Duration `toml:"expiry"`
	PriorityWeight    float64  `toml:"value"`
	LateWeight        float64  `toml:"late_value"` // share of the priority weight that a late response earns, from 0 to 1
	Effect            string   `toml:"effect"`
	Scope             string   `toml:"scope"` // of the idempotency key
	IdempotencyWindow Duration `toml:"window"`
	Level             string   `toml:"level"`
	StalenessBound    Duration `toml:"bound"`
}

// Tenant is a tenant in a router's file.
type Tenant struct {
	Name string  `toml:"name"`
	Rate float64 `toml:"rate"` // quota in requests per second
}

// UnlabelledClass is the request class of a request for which neither a label nor a setting nor its pool names one. By default its requests
// are non-idempotent and go to the primary.
const UnlabelledClass = "unlabelled"

// Defaults of a request class.
const (
	defaultPriorityWeight = 1.
	defaultEffect         = "once-only"
	defaultScope          = "all"
	defaultLevel          = "write"
)

// newUnlabelledClass returns the settings of UnlabelledClass for a file that doesn't define it.
func newUnlabelledClass() *router.RequestClass {
	return &router.RequestClass{
		LatencyObjective: 1000,
		Deadline:         60_000,
		PriorityWeight:   defaultPriorityWeight,
		LateWeightShare:  0.5,
		Effect:           router.NonIdempotent,
		Level:            router.Write,
	}
}

// checkRequestClasses checks the classes and returns their names, including UnlabelledClass.
func checkRequestClasses(classes []RequestClass) (names map[string]bool, err error) {
	names = map[string]bool{UnlabelledClass: true}
	for n, class := range classes {
		if class.Name == "" || names[class.Name] {
			return nil, fmt.Errorf("txn_types[%d]: name: must be given, and only once", n)
		}
		names[class.Name] = true
		if class.LatencyObjective <= 0 || class.Deadline < class.LatencyObjective {
			return nil, fmt.Errorf("txn_types[%d]: %s: sla must be more than 0, expiry not less", n, class.Name)
		}
	}
	return names, nil
}

// settings returns the class in the form of the decision module.
func (c *RequestClass) settings() (*router.RequestClass, error) {
	effect, effectErr := keyword(fileEffects, "effect", c.Effect, defaultEffect)
	scope, scopeErr := keyword(fileScopes, "scope", c.Scope, defaultScope)
	level, levelErr := keyword(levels, "level", c.Level, defaultLevel)
	if err := errors.Join(effectErr, scopeErr, levelErr); err != nil {
		return nil, fmt.Errorf("txn_types: %s: %w", c.Name, err)
	}
	return &router.RequestClass{
		LatencyObjective:  float64(c.LatencyObjective),
		Deadline:          float64(c.Deadline),
		PriorityWeight:    cmp.Or(c.PriorityWeight, defaultPriorityWeight),
		LateWeightShare:   c.LateWeight,
		Effect:            effect,
		Scope:             scope,
		IdempotencyWindow: float64(c.IdempotencyWindow),
		Level:             level,
		StalenessBound:    float64(c.StalenessBound),
	}, nil
}
