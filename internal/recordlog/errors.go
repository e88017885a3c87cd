package recordlog

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// The kinds of errors, for use with errors.Is.
var (
	// ErrFull means that the disk, or the part of it that the log may use, is full. The append had no effect.
	ErrFull = errors.New("record log: no space left: delete records, or raise DiskMb of Limits")
	// ErrReserved is an ErrFull: the space that is left is kept for appends that free some, and these are still accepted.
	ErrReserved = errors.WithMessage(ErrFull, "record log: the rest is reserved for records that free space")
	// ErrClosed means that the log was closed before the append.
	ErrClosed = errors.New("record log: closed: open it again")
	// ErrTooLarge means that a key or a value is longer than the record format allows.
	ErrTooLarge = errors.New("record log: record too large: keep keys below 64 KiB and values below 16 MiB")
	// ErrWrite means that a write or a sync failed. Changes that were not durable before were undone.
	ErrWrite = errors.New("record log: write failed: look at the disk; the log goes on in a new generation")
	// ErrCorrupt means that a value on disk fails its checksum.
	ErrCorrupt = errors.New("record log: value damaged on disk: copy the record from another member")
	// ErrFormat means that a newer version of the program wrote the folder.
	ErrFormat = errors.New("record log: unknown format: run the version that wrote it, or empty DataDir")
)

// writeError marks a disk error as ErrFull or ErrWrite.
func writeError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return errors.Mark(errors.Wrap(err, ErrFull.Error()), ErrFull)
	}
	return errors.Mark(errors.Wrap(err, ErrWrite.Error()), ErrWrite)
}
