// Package invariant checks conditions that must always hold. A debug build panics on a violation; a release build counts it and continues.
package invariant

import (
	"maps"
	"sync"
)

var (
	mu         sync.Mutex
	violations = map[string]int{}
)

// Check panics in a debug build if ok is false. A release build counts the violation under its name. It is safe for concurrent use.
func Check(ok bool, name string) {
	if ok {
		return
	}
	if debug {
		panic("invariant violated: " + name)
	}
	mu.Lock()
	defer mu.Unlock()
	violations[name]++
}

// Violations returns how often each invariant was violated, by name. It is safe for concurrent use.
func Violations() map[string]int {
	mu.Lock()
	defer mu.Unlock()
	return maps.Clone(violations)
}
