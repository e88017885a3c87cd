// Package mutants is a mutation test of the system's guarantees. For each guarantee (promise) it changes a copy of the sources so that the
// guarantee no longer holds, runs the tests of a package on the copy, and reports which test fails.
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

// Mutant is a change to one file that breaks one promise of the system.
type Mutant struct {
	Promise  string // the guarantee that the change breaks
	File     string // path relative to the root of the sources
	Old, New string // Old occurs exactly once in the file
	Package  string // whose tests must fail; SystemPackage if empty
}

// testPackage returns the package whose tests must fail on the mutant.
func (m Mutant) testPackage() string { return cmp.Or(m.Package, SystemPackage) }

// Result is the outcome of the tests on a mutant.
type Result struct {
	Promise string
	Package string
	Caught  bool
	Test    string   `json:",omitempty"` // the first that failed; empty if none did or the run timed out
	Rules   []string `json:",omitempty"` // rules that the simulation reported as violated
	Seconds float64
}

// ErrBuild is returned for a mutant that does not compile.
var ErrBuild = errors.New("mutants: the mutated sources do not compile: fix the mutant")

// Select returns the mutants of the given promises, or all mutants if no promise is given.
func Select(all []Mutant, promises []string) ([]Mutant, error) {
	if len(promises) == 0 {
		return all, nil
	}
	var found []Mutant
	for _, promise := range promises {
		index := slices.IndexFunc(all, func(m Mutant) bool { return m.Promise == promise })
		if index < 0 {
			return nil, errors.Newf("no mutant for the promise %q: see lab/mutants", promise)
		}
		found = append(found, all[index])
	}
	return found, nil
}

// edit returns the change to the sources.
func (m Mutant) edit() sourcecopy.Edit { return sourcecopy.Edit{File: m.File, Old: m.Old, New: m.New} }

// Run tests a mutant: it copies the sources at root, changes the copy, and runs the tests of the mutant's package until one fails. A mutant
// whose tests exceed the timeout counts as caught.
func Run(ctx context.Context, root string, timeout time.Duration, m Mutant) (r Result, err error) {
	scratch, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(scratch)
	if err := sourcecopy.Make(root, scratch, m.edit()); err != nil {
		return r, errors.Wrapf(err, "mutant %q", m.Promise)
	}
	begin := time.Now()
	test := exec.CommandContext(ctx, "go", "test", "-vet=off", "-failfast", "-count", "1", "-timeout", timeout.String(), m.testPackage())
	test.Dir = scratch
	output, err := test.CombinedOutput()
	r = parseOutput(output, err == nil)
	r.Promise, r.Package, r.Seconds = m.Promise, m.testPackage(), time.Since(begin).Seconds()
	if ctx.Err() != nil {
		return r, ctx.Err()
	}
	if bytes.Contains(output, []byte("[build failed]")) {
		return r, errors.Wrapf(ErrBuild, "%q\n%s", m.Promise, output)
	}
	var exitError *exec.ExitError
	if err != nil && !errors.As(err, &exitError) {
		return r, errors.Wrap(err, "run go test: go must be in PATH")
	}
	return r, nil
}

var (
	failedTest = regexp.MustCompile(`(?m)^--- FAIL: (\S+)`)
	brokenRule = regexp.MustCompile(`(?m)_test\.go:\d+: ([A-Z]+) at `)
)

// parseOutput extracts the first failed test and the violated rules from the output of go test.
func parseOutput(output []byte, passed bool) (r Result) {
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
