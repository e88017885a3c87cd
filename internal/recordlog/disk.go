package recordlog

import (
	"os"

	"github.com/tidwall/wal"
	"go.uber.org/multierr"
)

// Journal is the part of *wal.Log that is used to write a generation.
type Journal interface {
	WriteBatch(*wal.Batch) error
	Sync() error
	ClearCache() error
	Close() error
}

// Disk performs all operations that modify files. Tests and the simulated system substitute implementations that inject faults and track
// which bytes are durable. Files are always read directly from the operating system.
type Disk interface {
	CreateJournal(folder string, segmentBytes int64) (Journal, error)
	SyncFile(path string) error
	SyncFolder(path string) error
	Truncate(path string, size int64) error
	Remove(path string) error // a file, or a folder with all its files; no error if it does not exist
}

type (
	journal = Journal
	disk    = Disk
	osDisk  = SystemDisk
)

// SystemDisk is the disk of the operating system.
type SystemDisk struct{}

// CreateJournal implements Disk.
func (SystemDisk) CreateJournal(folder string, segmentBytes int64) (Journal, error) {
	return wal.Open(folder, &wal.Options{NoSync: true, SegmentSize: int(segmentBytes), SegmentCacheSize: 1, NoCopy: true})
}

// SyncFile implements Disk.
func (SystemDisk) SyncFile(path string) error {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	return multierr.Append(file.Sync(), file.Close())
}

// SyncFolder implements Disk.
func (SystemDisk) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return multierr.Append(folder.Sync(), folder.Close())
}

// Truncate implements Disk.
func (SystemDisk) Truncate(path string, size int64) error { return os.Truncate(path, size) }

// Remove implements Disk.
func (SystemDisk) Remove(path string) error { return os.RemoveAll(path) }
