package recordlog

import (
	"os"
	"slices"
	"sync"

	"liftgauge/replication"

	"github.com/cockroachdb/errors"
	"go.uber.org/multierr"
)

// readAttempts bounds how often a read follows a record that is copied elsewhere at the same time.
const readAttempts = 4

// Get implements replication.Storage. A value that fails its checksum on disk gives ErrGarbled.
func (l *Log) Get(group uint32, key string) (replication.Record, bool, error) {
	var err error
	for range readAttempts {
		found, e, value, path := l.lookup(group, key)
		if !found {
			return replication.Record{}, false, nil
		}
		record := replication.Record{Key: key, Version: e.version(), Value: value}
		if path == "" {
			return record, true, nil
		}
		if record.Value, err = l.readValue(e, path); err == nil {
			return record, true, nil
		}
	}
	return replication.Record{}, false, err
}

// lookup finds an entry, and its value if it is in memory; otherwise the path of the file that has it.
func (l *Log) lookup(group uint32, key string) (found bool, e entry, value []byte, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.index.find(group, key)
	if held == nil {
		return false, entry{}, nil, ""
	}
	if kept, inline := held.inline(); inline {
		return true, *held, []byte(kept), ""
	}
	if held.location.pending() {
		return true, *held, l.index.pending[held.location], ""
	}
	if value, cached := l.values.get(held.location); cached {
		return true, *held, value, ""
	}
	return true, *held, nil, l.index.segments[held.location.segment()].path
}

// readValue reads and checks an entry's record in its file.
func (l *Log) readValue(e entry, path string) ([]byte, error) {
	file, err := l.files.open(e.location.segment(), path)
	if err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "%s: %v", path, err)
	}
	b := make([]byte, recordHeaderBytes+e.keyLength()+e.valueLength())
	if _, err := file.ReadAt(b, e.location.offset()); err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "%s at %d: %v", path, e.location.offset(), err)
	}
	var record diskRecord
	if !hasValidChecksum(b, l.saltOf(e.location)) || !record.decode(b) || string(record.key) != e.key() || record.version != e.version() {
		return nil, errors.Wrapf(ErrCorrupt, "%s at %d", path, e.location.offset())
	}
	return record.value, nil
}

func (l *Log) saltOf(at location) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.index.segments[at.segment()]; s != nil {
		return s.generation.salt
	}
	return 0
}

// mostOpenFiles bounds the descriptors kept for reading.
const maxOpenFiles = 16

// fileCache keeps the files that were read last open.
type fileCache struct {
	mu     sync.Mutex
	files  []openFile // most recently used last
	closed bool
}

type openFile struct {
	segment uint32
	file    *os.File
}

// open returns a segment's file. It may be closed while it is read, which the read then reports.
func (c *fileCache) open(segment uint32, path string) (*os.File, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, held := range c.files {
		if held.segment == segment {
			copy(c.files[i:], c.files[i+1:])
			c.files[len(c.files)-1] = held
			return held.file, nil
		}
	}
	if c.closed {
		return nil, ErrClosed
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	if len(c.files) == maxOpenFiles {
		err = c.files[0].file.Close()
		c.files = append(c.files[:0], c.files[1:]...)
	}
	c.files = append(c.files, openFile{segment, file})
	return file, err
}

// drop closes a segment's file if it is open.
func (c *fileCache) drop(segment uint32) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, held := range c.files {
		if held.segment == segment {
			c.files = append(c.files[:i], c.files[i+1:]...)
			return held.file.Close()
		}
	}
	return nil
}

func (c *fileCache) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var err error
	for _, held := range c.files {
		err = multierr.Append(err, held.file.Close())
	}
	c.files, c.closed = nil, true
	return err
}

// staleLocations is how many locations of removed values the cache keeps at least before it forgets them.
const staleLocations = 64

// valueCache holds recent values by their location, up to a number of bytes; the oldest goes first.
type valueCache struct {
	limit  int64
	size   int64
	values map[location][]byte
	order  []location // may name locations that were removed
}

func (c *valueCache) get(at location) ([]byte, bool) {
	value, held := c.values[at]
	return value, held
}

func (c *valueCache) add(at location, value []byte) {
	if int64(len(value)) > c.limit {
		return
	}
	if c.values == nil {
		c.values = make(map[location][]byte)
	}
	c.values[at] = value
	c.size += int64(len(value))
	c.order = append(c.order, at)
	for c.size > c.limit {
		c.remove(c.order[0])
		c.order = c.order[1:]
	}
	if len(c.order) > 2*len(c.values)+staleLocations {
		c.order = slices.DeleteFunc(c.order, func(at location) bool { return c.values[at] == nil })
	}
}

func (c *valueCache) remove(at location) {
	if value, held := c.values[at]; held {
		c.size -= int64(len(value))
		delete(c.values, at)
	}
}
