package discovery

import (
	"errors"
	"fmt"
)

// ErrNoHeartbeat ends a watch that received nothing within the heartbeat timeout, or only part of a list that was not completed in time.
var ErrNoHeartbeat = errors.New("no heartbeat")

// errAddressChanged ends a watch of an address that has been replaced.
var errAddressChanged = errors.New("address changed")

// InvalidListError is returned for a received list that is invalid.
type InvalidListError struct {
	Path string // path of the invalid entry, such as members[3]; empty for the list as a whole
	Err  error
}

func (e InvalidListError) Error() string {
	if e.Path == "" {
		return e.Err.Error()
	}
	return e.Path + "." + e.Err.Error()
}

// Unwrap returns the error at the path.
func (e InvalidListError) Unwrap() error { return e.Err }

var errListTooLong = errors.New("line or list too long")

// olderRevisionError is returned for a list whose revision is older than the last known one. This happens when the list service has lost
// its state.
type olderRevisionError struct{ received, known int64 }

func (e *olderRevisionError) Error() string {
	return fmt.Sprintf("revision %d is older than %d", e.received, e.known)
}
