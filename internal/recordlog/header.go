package recordlog

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// formatVersion is raised when an older program could not read the folder any more.
const formatVersion = 1

// generationHeader is the value of a generation's first record, whose checksum has no salt. It seals the generation before: what
// that had behind End was not durable when this one was begun, and is not taken.
type generationHeader struct {
	Number       uint64
	Salt         uint64
	Floor        uint64
	Previous     uint64 // number of the generation before; 0 for none
	PreviousSalt uint64
	End          generationEnd // of the generation before
}

// endOfGeneration is a place in a generation's files.
type generationEnd struct {
	Segment uint64 // first position of the segment, which is its file's name
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

// decode reads a header. Bytes behind it are for later versions of the same format.
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
