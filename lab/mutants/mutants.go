// Package mutants checks the checks: it takes one promise at a time out of a copy of the sources, runs the tests of a package on the copy,
// and tells which of them notices.
package mutants

import (
	"bytes"
	"cmp"
	"context"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/lab/sourcecopy"
)

// Mutant is one change of one file that breaks a promise.
type Mutant struct {
	Promise  string // that is taken out
	File     string // from the root of the sources
	Old, New string // Old stands once in the file
	Package  string // whose tests are to notice; SystemPackage if empty
}

// testPackage is the package whose tests are to notice the mutant.
func (m Mutant) testPackage() string { return cmp.Or(m.Package, SystemPackage) }

// Result is what the tests made of a mutant.
type Result struct {
	Promise string
	Package string
	Caught  bool
	Test    string   `json:",omitempty"` // the first that failed; empty when none did, or all ran out of time
	Rules   []string `json:",omitempty"` // that the judge saw broken
	Seconds float64
}

// ErrBuild means that a mutant does not compile.
var ErrBuild = errors.New("mutants: the changed sources do not compile: mend the mutant")

// Select returns the mutants of the promises that are named, or all if none is.
func Select(all []Mutant, promises []string) ([]Mutant, error) {
	if len(promises) == 0 {
		return all, nil
	}
	var found []Mutant
	for _, promise := range promises {
		at := slices.IndexFunc(all, func(m Mutant) bool { return m.Promise == promise })
		if at < 0 {
			return nil, errors.Newf("there is no mutant of the promise %q: see lab/mutants", promise)
		}
		found = append(found, all[at])
	}
	return found, nil
}

// edit is the change that breaks the promise.
func (m Mutant) edit() sourcecopy.Edit { return sourcecopy.Edit{File: m.File, Old: m.Old, New: m.New} }

// Run plays a mutant: it copies the sources at root, changes the copy, and runs the tests of its package until one fails. patience bounds it;
// a mutant whose tests do not end is caught too.
func Run(ctx context.Context, root string, patience time.Duration, m Mutant) (r Result, err error) {
	scratch, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(scratch)
	if err := sourcecopy.Make(root, scratch, m.edit()); err != nil {
		return r, errors.Wrapf(err, "mutant %q", m.Promise)
	}
	begin := time.Now()
	test := exec.CommandContext(ctx, "go", "test", "-vet=off", "-failfast", "-count", "1", "-timeout", patience.String(), m.testPackage())
	test.Dir = scratch
	output, err := test.CombinedOutput()
	r = read(output, err == nil)
	r.Promise, r.Package, r.Seconds = m.Promise, m.testPackage(), time.Since(begin).Seconds()
	if ctx.Err() != nil {
		return r, ctx.Err()
	}
	if bytes.Contains(output, []byte("[build failed]")) {
		return r, errors.Wrapf(ErrBuild, "%q\n%s", m.Promise, output)
	}
	var ended *exec.ExitError
	if err != nil && !errors.As(err, &ended) {
		return r, errors.Wrap(err, "run go test: go must be in PATH")
	}
	return r, nil
}

var (
	failedTest = regexp.MustCompile(`(?m)^--- FAIL: (\S+)`)
	brokenRule = regexp.MustCompile(`(?m)_test\.go:\d+: ([A-Z]+) at `)
)

// read reads the output of the tests.
func read(output []byte, passed bool) (r Result) {
	r.Caught = !passed
	if found := failedTest.FindSubmatch(output); found != nil {
		r.Test = string(found[1])
	}
	for _, found := range brokenRule.FindAllSubmatch(output, -1) {
		if rule := string(found[1]); !slices.Contains(r.Rules, rule) {
			r.Rules = append(r.Rules, rule)
		}
	}
	return r
}
