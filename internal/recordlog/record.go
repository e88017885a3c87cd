package recordlog

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// recordKind is the meaning of a record on disk.
type recordKind uint8

const (
	kindNone       recordKind = iota // not on disk: removes one key of a dropped group from the index
	kindPut                          // key has version and value
	kindDelete                       // key is removed
	kindDrop                         // all keys of the group are removed
	kindFloor                        // generations below the version field were removed
	kindGeneration                   // header of a generation
	kindLimit                        // upper limit, not a kind
)

// continuedFlag in the kind byte marks that the next record belongs to the same append. Recovery applies an append completely or not at
// all.
const continuedFlag = 0x80

// Layout of a record: checksum 4, position 4, kind 1, key length 2, value length 4, group 4, version 8, key, value. The library
// prefixes it with its total length as a uvarint.
const (
	offsetPosition    = 4
	offsetKind        = 8
	offsetKeyLength   = 9
	offsetValueLength = 11
	offsetGroup       = 15
	offsetVersion     = 19
	recordHeaderBytes = 27

	maxKeyBytes    = math.MaxUint16
	maxValueBytes  = 16 << 20
	maxRecordBytes = recordHeaderBytes + maxKeyBytes + maxValueBytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// diskRecord is a record as stored on disk.
type diskRecord struct {
	kind      recordKind
	continued bool
	position  uint32 // in its generation, starting at 1; the library's index
	group     uint32
	version   uint64
	key       []byte
	value     []byte
}

// appendTo appends the encoded record for a generation with this salt.
func (r *diskRecord) appendTo(b []byte, salt uint64) []byte {
	start := len(b)
	kind := byte(r.kind)
	if r.continued {
		kind |= continuedFlag
	}
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, r.position)
	b = append(b, kind)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(r.key)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(r.value)))
	b = binary.LittleEndian.AppendUint32(b, r.group)
	b = binary.LittleEndian.AppendUint64(b, r.version)
	b = append(b, r.key...)
	b = append(b, r.value...)
	binary.LittleEndian.PutUint32(b[start:], checksum(b[start:], salt))
	return b
}

// decode reads a record; key and value alias b. It checks the lengths and the kind but not the checksum.
func (r *diskRecord) decode(b []byte) bool {
	if len(b) < recordHeaderBytes {
		return false
	}
	kind := b[offsetKind]
	r.kind, r.continued = recordKind(kind&^continuedFlag), kind&continuedFlag != 0
	r.position = binary.LittleEndian.Uint32(b[offsetPosition:])
	r.group = binary.LittleEndian.Uint32(b[offsetGroup:])
	r.version = binary.LittleEndian.Uint64(b[offsetVersion:])
	keyLength := int(binary.LittleEndian.Uint16(b[offsetKeyLength:]))
	valueLength := int(binary.LittleEndian.Uint32(b[offsetValueLength:]))
	if r.kind == kindNone || r.kind >= kindLimit || len(b) != recordHeaderBytes+keyLength+valueLength {
		return false
	}
	r.key = b[recordHeaderBytes : recordHeaderBytes+keyLength]
	r.value = b[recordHeaderBytes+keyLength:]
	return true
}

// hasValidChecksum reports whether the checksum of an encoded record is valid for a generation with this salt.
func hasValidChecksum(b []byte, salt uint64) bool {
	return len(b) >= recordHeaderBytes && binary.LittleEndian.Uint32(b) == checksum(b, salt)
}

func checksum(b []byte, salt uint64) uint32 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], salt)
	return crc32.Update(crc32.Checksum(seed[:], castagnoli), castagnoli, b[offsetPosition:])
}

// frameBytes returns the length on disk of a record with a key and a value of these lengths.
func frameBytes(keyLength, valueLength int) int64 {
	size := recordHeaderBytes + keyLength + valueLength
	return int64(uvarintBytes(uint64(size)) + size)
}

func uvarintBytes(x uint64) int {
	n := 1
	for ; x >= 0x80; x >>= 7 {
		n++
	}
	return n
}
