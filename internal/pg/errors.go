package pg

import "fmt"

// Error is the content of an ErrorResponse.
type Error struct{ Code, Text, Detail string }

func (e *Error) Error() string { return e.Code + ": " + e.Text }

// IsStatementError reports whether the statement itself causes the error, on whichever member it runs.
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

// DecodeError is the error of bytes that are no valid message or statement comment.
type DecodeError struct {
	Place string // the message or comment and, if known, the field
	Err   *Error // the ErrorResponse for the other end
}

func (e *DecodeError) Error() string { return e.Place + ": " + e.Err.Error() }

// Unwrap returns the ErrorResponse for the other end.
func (e *DecodeError) Unwrap() error { return e.Err }

func newDecodeError(place, code, format string, args ...any) error {
	return &DecodeError{Place: place, Err: &Error{Code: code, Text: fmt.Sprintf(format, args...)}}
}

// newMalformedMessageError is the error of a message whose fields don't fit its body.
func newMalformedMessageError(messageType byte, field string) error {
	place := fmt.Sprintf("message %q, %s", messageType, field)
	return newDecodeError(place, ProtocolViolation, "broken message of type %q", messageType)
}
