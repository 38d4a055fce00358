package pg

import "fmt"

// Error is the content of an ErrorResponse message. Code is the SQLSTATE.
type Error struct{ Code, Text, Detail string }

func (e *Error) Error() string { return e.Code + ": " + e.Text }

// IsStatementError reports whether the statement itself causes the error, so that it would fail on any member.
func (e *Error) IsStatementError() bool {
	if e.Code == ProtocolViolation {
		return true
	}
	if len(e.Code) != sqlStateLength {
		return false
	}
	switch e.Code[:2] {
	case classFeatureNotSupported, classCardinalityViolation, classDataException, classIntegrityConstraintViolation,
		classSyntaxErrorOrAccessRule, classProgramLimitExceeded:
		return true
	}
	return false
}

// DecodeError is returned for bytes that are not a valid message or statement comment.
type DecodeError struct {
	Place string // the message or comment and, if known, its field
	Err   *Error // the ErrorResponse to send to the peer
}

func (e *DecodeError) Error() string { return e.Place + ": " + e.Err.Error() }

// Unwrap returns the ErrorResponse to send to the peer.
func (e *DecodeError) Unwrap() error { return e.Err }

func newDecodeError(place, code, format string, args ...any) error {
	return &DecodeError{Place: place, Err: &Error{Code: code, Text: fmt.Sprintf(format, args...)}}
}

// newMalformedMessageError returns the error for a message whose body does not match its fields.
func newMalformedMessageError(messageType byte, field string) error {
	place := fmt.Sprintf("message %q, %s", messageType, field)
	return newDecodeError(place, ProtocolViolation, "broken message of type %q", messageType)
}
