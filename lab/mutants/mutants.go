// Package mutants checks the checks: it takes one promise at a time out of a copy of the sources, runs the tests of a package on the copy,
// and tells which of them notices.
package mutants

import (
	"bytes"
	"cmp"
	"context"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
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

var (
	// ErrStale means that a mutant's text does not stand once in its file.
	ErrStale = errors.New("mutants: the text to change is not there once: bring the list of mutants up to the sources")
	// ErrBuild means that a mutant does not compile.
	ErrBuild = errors.New("mutants: the changed sources do not compile: mend the mutant")
)

// Named returns the mutants of the promises that are named, or all if none is.
func Named(all []Mutant, promises []string) ([]Mutant, error) {
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

// mutated returns the content of the mutant's file with the change made.
func (m Mutant) mutated(root string) ([]byte, error) {
	content, err := os.ReadFile(filepath.Join(root, m.File))
	if err != nil {
		return nil, errors.Wrapf(err, "mutant %q", m.Promise)
	}
	if count := bytes.Count(content, []byte(m.Old)); count != 1 {
		return nil, errors.Wrapf(ErrStale, "%s, %q stands %d times", m.File, m.Old, count)
	}
	return bytes.Replace(content, []byte(m.Old), []byte(m.New), 1), nil
}

// Run plays a mutant: it copies the sources at root, changes the copy, and runs the tests of its package until one fails. patience bounds it;
// a mutant whose tests do not end is caught too.
func Run(ctx context.Context, root string, patience time.Duration, m Mutant) (r Result, err error) {
	changed, err := m.mutated(root)
	if err != nil {
		return r, err
	}
	scratch, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(scratch)
	if err := copySources(root, scratch); err != nil {
		return r, err
	}
	if err := os.WriteFile(filepath.Join(scratch, m.File), changed, 0o640); err != nil {
		return r, err
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

// notCopied are folders that no build needs.
var notCopied = []string{"bin", "docs", "journal", "target"}

// copySources copies what a build of the sources needs.
func copySources(root, to string) error {
	return filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		switch {
		case name == ".":
			return nil
		case strings.HasPrefix(e.Name(), ".") || slices.Contains(notCopied, name):
			if e.IsDir() {
				return filepath.SkipDir
			}
			return nil
		case e.IsDir():
			return os.MkdirAll(filepath.Join(to, name), 0o750)
		case !e.Type().IsRegular():
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, name), content, 0o640)
	})
}
