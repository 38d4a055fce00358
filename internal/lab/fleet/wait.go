package fleet

import (
	"fmt"
	"time"
)

const (
	// WaitLimit limits WaitUntil. It is far longer than any operation takes that isn't rate-limited, so that no result depends on the machine's
	// speed.
	WaitLimit = 30 * time.Second
	// policyWaitLimit is the limit for routers to apply a policy. They fetch documents at a limited rate, and each lost request adds a delay.
	policyWaitLimit = 3 * time.Minute
	pollInterval    = 5 * time.Millisecond
)

// WaitTimeoutError means that a condition did not become true within a limit.
type WaitTimeoutError struct {
	Condition string
	Limit     time.Duration
}

// Error names the condition and the limit.
func (e *WaitTimeoutError) Error() string {
	return fmt.Sprintf("condition not met within %s: %s", e.Limit, e.Condition)
}

// WaitUntil polls until a condition holds. An error of the condition ends the wait.
func WaitUntil(condition string, holds func() (bool, error)) error {
	return waitWithin(WaitLimit, condition, holds)
}

// waitWithin is WaitUntil with the given limit.
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
