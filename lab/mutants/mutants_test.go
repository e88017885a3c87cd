package mutants

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const (
	root    = "../.."
	timeout = time.Minute // a run takes a second or two
)

// TestListIsUpToDate checks that the text of each mutant still occurs in the sources and that no promise is listed twice.
func TestListIsUpToDate(t *testing.T) {
	is := is.NewRelaxed(t)
	seen := map[string]bool{}
	for _, m := range System {
		changed, err := m.edit().Apply(root)
		is.NoErr(err)
		before, err := os.ReadFile(filepath.Join(root, m.File))
		is.NoErr(err)
		is.True(string(changed) != string(before))
		is.True(!seen[m.Promise])
		seen[m.Promise] = true
	}
}

func TestSelect(t *testing.T) {
	is := is.New(t)
	all := []Mutant{{Promise: "a"}, {Promise: "b"}}
	found, err := Select(all, nil)
	is.NoErr(err)
	is.Equal(found, all)
	found, err = Select(all, []string{"b"})
	is.NoErr(err)
	is.Equal(found, all[1:])
	_, err = Select(all, []string{"c"})
	is.True(err != nil)
}

func TestParseOutput(t *testing.T) {
	is := is.New(t)
	output := []byte("--- FAIL: TestDays (1.00s)\n    --- FAIL: TestDays/seed_1 (1.00s)\n" +
		"        system_test.go:360: LOST at 3s: a\n        system_test.go:360: ORDER at 4s: b\n        system_test.go:360: LOST at 5s: c\nFAIL\n")
	is.Equal(parseOutput(output, false), Result{Caught: true, Test: "TestDays", Rules: []string{"LOST", "ORDER"}})
	is.Equal(parseOutput([]byte("ok  \tp\t1s\n"), true), Result{})
	is.Equal(parseOutput([]byte("panic: test timed out after 1m0s\n"), false), Result{Caught: true})
}

// TestRun runs mutants of a small module that the test creates.
func TestRun(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	for name, content := range map[string]string{
		"go.mod":     "module small\n\ngo 1.26\n",
		"a.go":       "package small\n\nfunc sum(a, b int) int { return a + b }\n\nfunc unused() int { return 1 }\n",
		"a_test.go":  "package small\n\nimport \"testing\"\n\nfunc TestSum(t *testing.T) {\n\tif sum(1, 2) != 3 {\n\t\tt.Error()\n\t}\n}\n",
		"docs/a.txt": "not copied",
	} {
		path := filepath.Join(folder, name)
		is.NoErr(os.MkdirAll(filepath.Dir(path), 0o700))
		is.NoErr(os.WriteFile(path, []byte(content), 0o600))
	}
	run := func(old, replacement string) (Result, error) {
		return Run(t.Context(), folder, timeout, Mutant{Promise: "p", File: "a.go", Old: old, New: replacement, Package: "."})
	}
	r, err := run("a + b", "a - b")
	is.NoErr(err)
	is.True(r.Caught)
	is.Equal(r.Test, "TestSum")
	r, err = run("return 1", "return 2")
	is.NoErr(err)
	is.True(!r.Caught)
	_, err = run("a + b", "a +")
	is.True(errors.Is(err, ErrBuild))
	content, err := os.ReadFile(filepath.Join(folder, "a.go"))
	is.NoErr(err)
	is.True(string(content) != "") // the original sources are unchanged
}
