package discovery

import (
	"errors"
	"fmt"
)

// ErrNoHeartbeat ends a watch on which nothing was received for too long, or a list that was never completed.
var ErrNoHeartbeat = errors.New("no heartbeat")

// errAddressChanged ends the watch of an address that is no longer in force.
var errAddressChanged = errors.New("address changed")

// InvalidListError is the error of a list that was received and can't be used.
type InvalidListError struct {
	Place string // of an entry, as members[3]; empty for the list as a whole
	Err   error
}

func (e InvalidListError) Error() string {
	if e.Place == "" {
		return e.Err.Error()
	}
	return e.Place + "." + e.Err.Error()
}

// Unwrap returns what is wrong at the place.
func (e InvalidListError) Unwrap() error { return e.Err }

var errListTooLong = errors.New("line or list too long")

// olderRevisionError is the error of a list that is older than the last one, which happens when the list service has lost its state.
type olderRevisionError struct{ received, known int64 }

func (e *olderRevisionError) Error() string {
	return fmt.Sprintf("revision %d is older than %d", e.received, e.known)
}
