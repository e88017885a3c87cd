// Package cuefile checks a CUE settings file against the schema and converts it to JSON with all defaults filled in.
//
// The daemon does not link this package: CUE alone makes an idle process 9 MB larger, and the daemon is limited to 24 MB
// in total. Only the program liftgauge-cue does, which the daemon runs to read a file.
package cuefile

import (
	_ "embed"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/token"
)

//go:embed schema.cue
var schema string

// Error lists everything that is wrong with a file, one line for each error: file:line: field: what is wrong.
type Error []string

func (e Error) Error() string { return strings.Join(e, "\n") }

// Load reads a file. If the file has errors, it returns an Error.
func Load(path string) (json []byte, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Compile(path, text)
}

// Compile checks a text; name is the file name used in errors.
func Compile(name string, text []byte) (json []byte, err error) {
	return CompileWith(schema, "#Settings", name, text)
}

// CompileWith checks a text against a definition of another schema.
func CompileWith(schema, definition, name string, text []byte) (json []byte, err error) {
	ctx := cuecontext.New()
	rules := ctx.CompileString(schema, cue.Filename("schema.cue"))
	if err := rules.Err(); err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	file := ctx.CompileBytes(text, cue.Filename(name))
	if err := file.Err(); err != nil {
		return nil, fileErrors(name, definition, err)
	}
	v := rules.LookupPath(cue.ParsePath(definition)).Unify(file)
	if err := v.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return nil, fileErrors(name, definition, err)
	}
	return v.MarshalJSON()
}

// Line returns the line at which a text sets a field, or the nearest enclosing one; 0 if it sets none of them. It is for
// errors that a schema cannot detect. Numbers among the names are list indexes.
func Line(text []byte, field ...string) int {
	v, line := cuecontext.New().CompileBytes(text), 0
	for _, name := range field {
		if i, err := strconv.Atoi(name); err == nil && v.Kind() == cue.ListKind {
			v = v.LookupPath(cue.MakePath(cue.Index(i)))
		} else {
			v = v.LookupPath(cue.MakePath(cue.Str(name)))
		}
		if !v.Exists() {
			break
		}
		if at := v.Pos(); at.IsValid() {
			line = at.Line()
		}
	}
	return line
}

// fileErrors lists the errors, with their place in the file where there is one.
func fileErrors(name, definition string, err error) Error {
	var all Error
	seen := map[string]bool{}
	for _, e := range errors.Errors(err) {
		at := token.NoPos
		for _, p := range errors.Positions(e) {
			if p.Filename() == name {
				at = p
				break
			}
		}
		format, args := e.Msg()
		if strings.Contains(format, "errors in empty disjunction") {
			continue // the errors of each alternative follow
		}
		field := strings.Join(e.Path(), ".")
		field = strings.TrimPrefix(strings.TrimPrefix(field, definition), ".")
		line := filepath.Base(name)
		if at.IsValid() {
			line += fmt.Sprint(":", at.Line())
		}
		if field != "" {
			line += ": " + field
		}
		line += ": " + strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", " ")
		if !seen[line] {
			seen[line] = true
			all = append(all, line)
		}
	}
	return all
}
