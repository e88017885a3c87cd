// Package snapshot implements the file format for snapshots of control's state: the records of the control group, and where and when they
// were read.
//
// A file begins with a magic string and a format number, followed by fields in the varint encoding of encoding/binary, and ends with a
// CRC-32C of everything before it.
package snapshot

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/replication"
)

const (
	magic  = "liftgauge control snapshot\n"
	format = 1
	// MaxBytes is the maximum size of a snapshot. A configuration of 15 MB with its partition table and orders stays far below it.
	MaxBytes = 256 << 20

	checksumBytes = 4
)

// The errors of Decode. Each tells the operator what to do.
var (
	ErrNotASnapshot = errors.New("this is no snapshot of control: make one with liftgauge snapshot > FILE")
	ErrDamaged      = errors.New("the snapshot is cut off or damaged: take another copy of the file")
	ErrNewerFormat  = errors.New("the snapshot was made by a later version: read it with that one")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Snapshot is the state of the control group.
type Snapshot struct {
	Node       string // key of the process that it was read from
	TakenAt    time.Time
	Epoch      uint64 // epoch of the view
	Generation uint64
	Confirmed  bool // a majority has confirmed that no newer state was acknowledged
	Records    []replication.Record
}

// Encode returns the content of a snapshot file.
func (s *Snapshot) Encode() []byte {
	b := append([]byte(magic), format)
	b = appendText(b, []byte(s.Node))
	b = binary.AppendVarint(b, s.TakenAt.UnixMilli())
	b = binary.AppendUvarint(b, s.Epoch)
	b = binary.AppendUvarint(b, s.Generation)
	b = binary.AppendUvarint(b, flag(s.Confirmed))
	b = binary.AppendUvarint(b, uint64(len(s.Records)))
	for _, r := range s.Records {
		b = appendText(b, []byte(r.Key))
		b = binary.AppendUvarint(b, r.Version)
		b = appendText(b, r.Value)
	}
	return appendChecksum(b)
}

// appendChecksum appends the checksum of a body.
func appendChecksum(body []byte) []byte {
	return binary.BigEndian.AppendUint32(body, crc32.Checksum(body, castagnoli))
}

// Decode parses the content of a snapshot file.
func Decode(file []byte) (*Snapshot, error) {
	if !bytes.HasPrefix(file, []byte(magic)) {
		return nil, ErrNotASnapshot
	}
	if len(file) < len(magic)+1+checksumBytes {
		return nil, ErrDamaged
	}
	body, sum := file[:len(file)-checksumBytes], file[len(file)-checksumBytes:]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(sum) {
		return nil, ErrDamaged
	}
	if body[len(magic)] > format {
		return nil, ErrNewerFormat
	}
	f := fields{rest: body[len(magic)+1:]}
	s := &Snapshot{Node: string(f.text()), TakenAt: time.UnixMilli(f.signed()), Epoch: f.number(), Generation: f.number(), Confirmed: f.number() != 0}
	for range f.count() {
		s.Records = append(s.Records, replication.Record{Key: string(f.text()), Version: f.number(), Value: f.text()})
	}
	if f.invalid {
		return nil, ErrDamaged
	}
	return s, nil
}

// Read reads and decodes a snapshot file of at most MaxBytes.
func Read(r io.Reader) (*Snapshot, error) {
	file, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "reading the snapshot")
	}
	if len(file) > MaxBytes {
		return nil, ErrNotASnapshot
	}
	return Decode(file)
}

func flag(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func appendText(b, text []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

// fields reads fields from the body of a file in sequence. After the first field that is malformed, invalid is set and all further fields
// are zero.
type fields struct {
	rest    []byte
	invalid bool
}

func (f *fields) advance(size int) {
	if size <= 0 {
		f.rest, f.invalid = nil, true
		return
	}
	f.rest = f.rest[size:]
}

func (f *fields) number() uint64 {
	n, size := binary.Uvarint(f.rest)
	f.advance(size)
	return n
}

func (f *fields) signed() int64 {
	n, size := binary.Varint(f.rest)
	f.advance(size)
	return n
}

// count reads the length of a list whose elements take at least one byte each.
func (f *fields) count() uint64 {
	n := f.number()
	if n > uint64(len(f.rest)) {
		f.rest, f.invalid = nil, true
		return 0
	}
	return n
}

func (f *fields) text() []byte {
	n := f.count()
	text := f.rest[:n:n]
	f.rest = f.rest[n:]
	return text
}
