package sourcecopy

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestStaleEdit(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(folder, "a.go"), []byte("one one"), 0o600))
	for _, text := range []string{"one", "two"} {
		_, err := Edit{File: "a.go", Old: text}.Apply(folder)
		is.True(errors.Is(err, ErrStale))
	}
	_, err := Edit{File: "b.go"}.Apply(folder)
	is.True(errors.Is(err, os.ErrNotExist))
}

func TestMake(t *testing.T) {
	is := is.New(t)
	root, to := t.TempDir(), filepath.Join(t.TempDir(), "copy")
	is.NoErr(os.MkdirAll(filepath.Join(root, "part"), 0o750))
	is.NoErr(os.MkdirAll(filepath.Join(root, "journal"), 0o750))
	is.NoErr(os.MkdirAll(to, 0o750))
	for file, text := range map[string]string{"part/a.go": "first second", "b.go": "third", "journal/c": "no source", ".hidden": "no source"} {
		is.NoErr(os.WriteFile(filepath.Join(root, file), []byte(text), 0o600))
	}
	is.NoErr(Make(root, to, Edit{"part/a.go", "first", "1"}, Edit{"part/a.go", "second", "2"}))
	for file, want := range map[string]string{"part/a.go": "1 2", "b.go": "third"} {
		have, err := os.ReadFile(filepath.Join(to, file))
		is.NoErr(err)
		is.Equal(string(have), want)
	}
	for _, file := range []string{"journal", ".hidden"} {
		_, err := os.Stat(filepath.Join(to, file))
		is.True(errors.Is(err, os.ErrNotExist))
	}
	is.True(errors.Is(Make(root, to, Edit{"b.go", "fourth", ""}), ErrStale))
}
