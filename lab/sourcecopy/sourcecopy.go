// Package sourcecopy copies the project's sources with text replacements applied, for tools that compare a modified version with the
// original.
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

// Edit is a text replacement in one file.
type Edit struct {
	File     string // path relative to the root of the sources
	Old, New string // Old occurs exactly once in the file
}

// ErrStale is returned for an Edit whose old text does not occur exactly once in its file.
var ErrStale = errors.New("sourcecopy: the text to replace does not occur exactly once: update the edit to match the sources")

// Make copies the files that a build of the sources at root needs into a folder and applies the edits there, in order. Nothing is copied if
// an edit cannot be applied.
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

// Apply returns the content of the edit's file with the edit applied.
func (e Edit) Apply(root string) ([]byte, error) { return e.apply(root, nil) }

// apply is Apply on content that earlier edits have changed; nil stands for the content of the file.
func (e Edit) apply(root string, content []byte) ([]byte, error) {
	if content == nil {
		var err error
		if content, err = os.ReadFile(filepath.Join(root, e.File)); err != nil {
			return nil, errors.Wrap(err, "read the file to edit")
		}
	}
	if count := bytes.Count(content, []byte(e.Old)); count != 1 {
		return nil, errors.Wrapf(ErrStale, "%s: %q occurs %d times", e.File, e.Old, count)
	}
	return bytes.Replace(content, []byte(e.Old), []byte(e.New), 1), nil
}

// excludedFolders are folders that no build needs.
var excludedFolders = []string{"bin", "docs", "journal", "target"}

// copySources copies the files that a build needs; hidden files and links are left out.
func copySources(root, to string) error {
	return filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
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
		case strings.HasPrefix(entry.Name(), ".") || slices.Contains(excludedFolders, name):
			if entry.IsDir() {
				return filepath.SkipDir
			}
			return nil
		case entry.IsDir():
			return os.MkdirAll(filepath.Join(to, name), 0o750)
		case !entry.Type().IsRegular():
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, name), content, 0o640)
	})
}
