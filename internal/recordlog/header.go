package recordlog

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// formatVersion is increased with each change that older versions of the program cannot read.
const formatVersion = 1

// generationHeader is the value of a generation's first record, whose checksum has no salt. It seals the previous generation: bytes
// after End were not durable when this one was begun, and are ignored.
type generationHeader struct {
	Number       uint64
	Salt         uint64
	Floor        uint64
	Previous     uint64 // number of the previous generation; 0 for none
	PreviousSalt uint64
	End          generationEnd // of the previous generation
}

// generationEnd is a position in a generation's files.
type generationEnd struct {
	Segment uint64 // position of the segment's first record, which is its file name
	Offset  uint64
}

const generationHeaderBytes = 4 + 7*8

func (h generationHeader) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	for _, field := range []uint64{h.Number, h.Salt, h.Floor, h.Previous, h.PreviousSalt, h.End.Segment, h.End.Offset} {
		b = binary.LittleEndian.AppendUint64(b, field)
	}
	return b
}

// decode reads a header. Bytes after it are ignored; they are reserved for later versions of the same format.
func (h *generationHeader) decode(b []byte) error {
	if len(b) < 4 {
		return errors.New("generation header too short")
	}
	if format := binary.LittleEndian.Uint32(b); format != formatVersion {
		return errors.Wrapf(ErrFormat, "format %d, known is %d", format, formatVersion)
	}
	if len(b) < generationHeaderBytes {
		return errors.New("generation header too short")
	}
	fields := []*uint64{&h.Number, &h.Salt, &h.Floor, &h.Previous, &h.PreviousSalt, &h.End.Segment, &h.End.Offset}
	for i, field := range fields {
		*field = binary.LittleEndian.Uint64(b[4+8*i:])
	}
	return nil
}
