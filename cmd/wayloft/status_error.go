package main

// statusError is an error with its own exit status. Its text is empty if everything has been printed already.
type statusError struct {
	error
	status int
}

// Unwrap returns the underlying error.
func (e statusError) Unwrap() error { return e.error }
