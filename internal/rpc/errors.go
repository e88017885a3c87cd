package rpc

import "fmt"

// RemoteError is an error that the peer's handler returned for a call.
type RemoteError struct {
	Code uint16
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("rpc: refused by the peer (code %d): %s", e.Code, e.Text)
}

// Errorf returns an error for a handler to pass to reply; the caller receives it as a *RemoteError.
func Errorf(code uint16, format string, arguments ...any) error {
	return &RemoteError{Code: code, Text: fmt.Sprintf(format, arguments...)}
}
