package configuration

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind is the reason why a configuration or an order is rejected.
type Kind uint8

// The kinds of an Error.
const (
	KindMalformed       Kind = iota + 1 // not exactly one complete JSON object
	KindInvalidField                    // a required field is missing, or a field has a value of the wrong type
	KindDuplicateName                   // two items of a list have the same name
	KindUnknownService                  // a route names a service that is not defined
	KindDuplicatePrefix                 // two routes have the same host and prefix
	KindInvalidTimeout                  // TimeoutMs is not greater than 0
	KindRevision                        // Revision is not higher than the current one
	KindBaseVersion                     // X-Base-Version of an order is missing or invalid
	KindVersionConflict                 // the order is based on a version that is not the current one
)

// Error reports why a configuration or an order is rejected; its text tells the operator how to correct it.
type Error struct {
	Kind Kind
	Text string
}

// Error returns the text.
func (e *Error) Error() string { return e.Text }

func newError(kind Kind, format string, arguments ...any) error {
	return &Error{Kind: kind, Text: fmt.Sprintf(format, arguments...)}
}

// KindOf returns the kind of an error of this package, or 0 for other errors.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
