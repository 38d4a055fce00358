package fleet

import (
	"fmt"
	"time"
)

const (
	// WaitLimit is how long WaitUntil waits: far longer than anything takes that isn't limited in its rate, so that no result depends on the
	// machine's speed.
	WaitLimit = 30 * time.Second
	// policyWaitLimit is the same for routers that come to a policy: they fetch a document at a limited rate, and each lost request delays it.
	policyWaitLimit = 3 * time.Minute
	pollInterval    = 5 * time.Millisecond
)

// WaitTimeoutError means that a condition has not become true within a limit.
type WaitTimeoutError struct {
	Condition string
	Limit     time.Duration
}

// Error names the condition.
func (e *WaitTimeoutError) Error() string {
	return fmt.Sprintf("not true after %s: %s", e.Limit, e.Condition)
}

// WaitUntil polls until a condition holds. An error of the condition ends the wait.
func WaitUntil(condition string, holds func() (bool, error)) error {
	return waitWithin(WaitLimit, condition, holds)
}

// waitWithin is WaitUntil with a limit of its own.
func waitWithin(limit time.Duration, condition string, holds func() (bool, error)) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		ok, err := holds()
		if ok {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%s: %w", condition, err)
		}
		if time.Now().After(deadline) {
			return &WaitTimeoutError{Condition: condition, Limit: limit}
		}
	}
}
