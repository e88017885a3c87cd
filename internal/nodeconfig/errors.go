package nodeconfig

import (
	"fmt"
	"strings"
)

// FieldKind is the kind of an error in a field.
type FieldKind uint8

// The kinds of a FieldError.
const (
	FieldMissing FieldKind = iota + 1 // required, but not in the file
	FieldType                         // a value of the wrong type
	FieldValue                        // a value of the right type that is invalid
	FieldSyntax                       // the file is not valid TOML at this position
)

// FieldError reports an invalid field of a settings file. Its text is one line.
type FieldError struct {
	Kind   FieldKind
	File   string
	Field  string // path of the field, as in Limits.MemoryMb
	Found  string // the value in the file
	Wanted string // a description of the valid values
}

// Error names the file, the field, the value found and the values wanted.
func (e *FieldError) Error() string {
	return oneLine(fmt.Sprintf("%s: field %s: found %s, wanted %s", e.File, e.Field, e.Found, e.Wanted))
}

// FileError reports that a settings file could not be read. Its text is one line.
type FileError struct {
	File string // empty if no file was named
	Err  error
}

// Error names the file and tells the operator what to do.
func (e *FileError) Error() string {
	if e.File == "" {
		return "no settings file named: set " + EnvironmentVariable + " or give --config FILE"
	}
	return oneLine(fmt.Sprintf("%s: %v: name a settings file that can be read by %s or --config FILE", e.File, e.Err, EnvironmentVariable))
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
