package recordlog

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
)

// errDamaged means that there is no complete and valid record at a position.
var errDamaged = errors.New("damaged record")

const scanBytes = 64 << 10

// scanner reads the records of one segment in order.
type scanner struct {
	file            io.ReaderAt
	limit           int64 // end of what may be read
	salt            uint64
	verifyChecksums bool   // whether to verify checksums
	next            uint64 // position of the next record
	offset          int64  // start of the next frame

	unread  []byte // bytes read from offset on
	backing []byte // memory of unread
}

// scannedRecord is a record with its position in the file.
type scannedRecord struct {
	diskRecord
	raw    []byte // the whole encoded record; valid until the next read
	offset int64  // of the record, after the length prefix of its frame
}

func newScanner(file io.ReaderAt, limit int64, g *generation, first uint64, space []byte) *scanner {
	if len(space) < scanBytes {
		space = make([]byte, scanBytes)
	}
	return &scanner{file: file, limit: limit, salt: g.salt, verifyChecksums: true, next: first, backing: space}
}

// read returns the next record, io.EOF at the limit, errDamaged, or a read error of the file. After errDamaged it does not advance.
func (s *scanner) read() (r scannedRecord, err error) {
	if s.offset >= s.limit {
		return r, io.EOF
	}
	prefix, size, err := s.readLength()
	if err != nil {
		return r, err
	}
	if err := s.fill(prefix + size); err != nil {
		return r, err
	}
	r.raw = s.unread[prefix : prefix+size]
	r.offset = s.offset + int64(prefix)
	if !r.decode(r.raw) || r.position != uint32(s.next) || s.verifyChecksums && !hasValidChecksum(r.raw, s.saltFor(r.kind)) {
		return r, errDamaged
	}
	s.advance(prefix + size)
	return r, nil
}

// skip skips a damaged record whose length is plausible, and reports whether that was possible.
func (s *scanner) skip() bool {
	prefix, size, err := s.readLength()
	if err != nil || s.offset+int64(prefix+size) > s.limit {
		return false
	}
	if err := s.fill(prefix + size); err != nil {
		return false
	}
	s.advance(prefix + size)
	return true
}

// saltFor returns the checksum salt of a kind of record. A generation's header has none, since the salt is read from it.
func (s *scanner) saltFor(kind recordKind) uint64 {
	if kind == kindGeneration {
		return 0
	}
	return s.salt
}

// readLength reads the length of the next record.
func (s *scanner) readLength() (prefix, size int, err error) {
	if err := s.fill(int(min(binary.MaxVarintLen64, s.limit-s.offset))); err != nil {
		return 0, 0, err
	}
	length, prefix := binary.Uvarint(s.unread)
	if prefix <= 0 || length < recordHeaderBytes || length > maxRecordBytes || int64(length) > s.limit-s.offset-int64(prefix) {
		return 0, 0, errDamaged
	}
	return prefix, int(length), nil
}

func (s *scanner) advance(n int) {
	s.unread = s.unread[n:]
	s.offset += int64(n)
	s.next++
}

// fill ensures that unread has at least n bytes.
func (s *scanner) fill(n int) error {
	if len(s.unread) >= n {
		return nil
	}
	if len(s.backing) < n {
		s.backing = append(make([]byte, 0, n), s.unread...)[:n]
	} else {
		copy(s.backing, s.unread)
	}
	buffered := len(s.unread)
	end := int(min(int64(len(s.backing)), s.limit-s.offset))
	got, err := s.file.ReadAt(s.backing[buffered:end], s.offset+int64(buffered))
	s.unread = s.backing[:buffered+got]
	if len(s.unread) >= n {
		return nil
	}
	if err == io.EOF {
		return errDamaged
	}
	return err
}
