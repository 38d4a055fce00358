package main

// statusError is an error with an exit status of its own. Where everything there is to say is printed already, its text is empty.
type statusError struct {
	error
	status int
}

// Unwrap gives the error itself.
func (e statusError) Unwrap() error { return e.error }
