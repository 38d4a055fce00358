// Package invariant states what always holds. It owns the counts of what did not; it must never change what the program
// does in a release build.
package invariant

import (
	"maps"
	"sync"
)

var (
	mu     sync.Mutex
	broken = map[string]int{}
)

// Check panics in a debug build where ok is false, and counts it under its name otherwise.
func Check(ok bool, name string) {
	if ok {
		return
	}
	if debug {
		panic("broken: " + name)
	}
	mu.Lock()
	defer mu.Unlock()
	broken[name]++
}

// Violations tells how often each thing did not hold.
func Violations() map[string]int {
	mu.Lock()
	defer mu.Unlock()
	return maps.Clone(broken)
}
