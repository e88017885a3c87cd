package recordlog

import (
	"os"
	"slices"
	"sync"

	"liftgauge/replication"

	"github.com/cockroachdb/errors"
	"go.uber.org/multierr"
)

// readAttempts limits how often a read is retried because compaction moves the record concurrently.
const readAttempts = 4

// Get implements replication.Storage. It returns ErrCorrupt for a value that fails its checksum on disk.
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

// lookup finds an entry, and its value if it is in memory; otherwise the path of the file that contains it.
func (l *Log) lookup(group uint32, key string) (found bool, e entry, value []byte, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.index.find(group, key)
	if current == nil {
		return false, entry{}, nil, ""
	}
	if kept, inline := current.inline(); inline {
		return true, *current, []byte(kept), ""
	}
	if current.location.pending() {
		return true, *current, l.index.pending[current.location], ""
	}
	if value, cached := l.values.get(current.location); cached {
		return true, *current, value, ""
	}
	return true, *current, nil, l.index.segments[current.location.segment()].path
}

// readValue reads an entry's record from its file and verifies it.
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

// maxOpenFiles limits the number of files kept open for reading.
const maxOpenFiles = 16

// fileCache keeps the most recently read files open.
type fileCache struct {
	mu     sync.Mutex
	files  []openFile // most recently used last
	closed bool
}

type openFile struct {
	segment uint32
	file    *os.File
}

// open returns a segment's file. The cache may close it while it is being read; the read then fails.
func (c *fileCache) open(segment uint32, path string) (*os.File, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, cached := range c.files {
		if cached.segment == segment {
			copy(c.files[i:], c.files[i+1:])
			c.files[len(c.files)-1] = cached
			return cached.file, nil
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
	for i, cached := range c.files {
		if cached.segment == segment {
			c.files = append(c.files[:i], c.files[i+1:]...)
			return cached.file.Close()
		}
	}
	return nil
}

func (c *fileCache) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var err error
	for _, cached := range c.files {
		err = multierr.Append(err, cached.file.Close())
	}
	c.files, c.closed = nil, true
	return err
}

// staleLocations is the number of locations of removed values that the cache tolerates, beyond its number of values, before it discards
// them.
const staleLocations = 64

// valueCache holds recent values by location, up to a number of bytes; the oldest is evicted first.
type valueCache struct {
	limit  int64
	size   int64
	values map[location][]byte
	order  []location // oldest first; may contain locations of removed values
}

func (c *valueCache) get(at location) ([]byte, bool) {
	value, cached := c.values[at]
	return value, cached
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
	if value, cached := c.values[at]; cached {
		c.size -= int64(len(value))
		delete(c.values, at)
	}
}
