package nodeconfig

import (
	"errors"
	"os"
)

// Load reads and checks the settings file at the path.
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, &FileError{}
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{File: path, Err: cause(err)}
	}
	return Parse(path, content)
}

// cause strips the path from a file system error, since FileError names it already.
func cause(err error) error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}
