// Package sourcecopy makes copies of the project's sources with changes of text in them, for tools that compare a version with a changed one.
package sourcecopy

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Edit is one change of one file.
type Edit struct {
	File     string // from the root of the sources
	Old, New string // Old stands once in the file
}

// ErrStale means that the text of an Edit does not stand once in its file.
var ErrStale = errors.New("sourcecopy: the text to change is not there once: bring the edit up to the sources")

// Make copies what a build of the sources at root needs into a folder, and makes the edits there, one after the other. Nothing is copied where an edit
// cannot be made.
func Make(root, to string, edits ...Edit) error {
	changed := map[string][]byte{}
	for _, e := range edits {
		content, err := e.apply(root, changed[e.File])
		if err != nil {
			return err
		}
		changed[e.File] = content
	}
	if err := copySources(root, to); err != nil {
		return err
	}
	for file, content := range changed {
		if err := os.WriteFile(filepath.Join(to, file), content, 0o640); err != nil {
			return err
		}
	}
	return nil
}

// Apply returns the content of the edit's file with the change made.
func (e Edit) Apply(root string) ([]byte, error) { return e.apply(root, nil) }

// apply is Apply on a content that earlier edits have changed; nil for that of the file.
func (e Edit) apply(root string, content []byte) ([]byte, error) {
	if content == nil {
		var err error
		if content, err = os.ReadFile(filepath.Join(root, e.File)); err != nil {
			return nil, errors.Wrap(err, "reading the file to change")
		}
	}
	if count := bytes.Count(content, []byte(e.Old)); count != 1 {
		return nil, errors.Wrapf(ErrStale, "%s, %q stands %d times", e.File, e.Old, count)
	}
	return bytes.Replace(content, []byte(e.Old), []byte(e.New), 1), nil
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
