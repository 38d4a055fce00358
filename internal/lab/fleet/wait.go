package fleet

import (
	"fmt"
	"time"
)

const (
	// WaitLimit is how long WaitUntil waits: far longer than anything takes, so that no result depends on the machine's speed.
	WaitLimit    = 30 * time.Second
	pollInterval = 5 * time.Millisecond
)

// WaitTimeoutError means that a condition has not become true within WaitLimit.
type WaitTimeoutError struct{ Condition string }

// Error names the condition.
func (e *WaitTimeoutError) Error() string {
	return fmt.Sprintf("not true after %s: %s", WaitLimit, e.Condition)
}

// WaitUntil polls until a condition holds. An error of the condition ends the wait.
func WaitUntil(condition string, holds func() (bool, error)) error {
	for deadline := time.Now().Add(WaitLimit); ; time.Sleep(pollInterval) {
		ok, err := holds()
		if ok {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%s: %w", condition, err)
		}
		if time.Now().After(deadline) {
			return &WaitTimeoutError{Condition: condition}
		}
	}
}
