package configuration

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind says why a configuration or an order is refused.
type Kind uint8

// The kinds of an Error.
const (
	KindMalformed       Kind = iota + 1 // not one whole JSON object
	KindInvalidField                    // a field lacks, or holds a value of another type
	KindDuplicateName                   // two items of a list have the same name
	KindUnknownService                  // a route names a service that is not there
	KindDuplicatePrefix                 // two routes have the same host and prefix
	KindInvalidTimeout                  // a TimeoutMs that is not above 0
	KindRevision                        // a Revision that is not higher than the current one
	KindBaseVersion                     // an order without a readable X-Base-Version
	KindVersionConflict                 // another version than the order builds on is current
)

// Error tells why a configuration or an order is refused; its text names the remedy.
type Error struct {
	Kind Kind
	Text string
}

// Error returns the text.
func (e *Error) Error() string { return e.Text }

func refuse(kind Kind, format string, arguments ...any) error {
	return &Error{Kind: kind, Text: fmt.Sprintf(format, arguments...)}
}

// KindOf returns the kind of an error of this package, 0 for other errors.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
