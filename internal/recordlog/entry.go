package recordlog

import (
	"encoding/binary"

	"liftgauge/reconcile"
)

// location is the place of a record: a segment file and an offset or, before the record is durable, the number of a pending operation.
type location uint64

// pendingFlag marks a location that is the number of a pending operation.
const pendingFlag location = 1 << 63

func fileLocation(segment uint32, offset int64) location {
	return location(segment)<<32 | location(uint32(offset))
}

func (l location) pending() bool   { return l&pendingFlag != 0 }
func (l location) segment() uint32 { return uint32(l >> 32) }
func (l location) offset() int64   { return int64(uint32(l)) }

// Layout of an entry's data: hash 8, version 8, value length 4, key length 2, key, value if it is kept inline.
const (
	entryVersion     = 8
	entryValueLength = 16
	entryKeyLength   = 20
	entryHeaderBytes = 22
)

// entry is a record in the index. The zero entry means none.
type entry struct {
	location location
	data     string // immutable, so that a replaced entry can be restored
}

// newEntryData encodes an entry's data. A value longer than inline is omitted.
func newEntryData(key string, version uint64, value []byte, inline int) string {
	return newEntryDataOfLength(key, version, value, len(value), inline)
}

// newEntryDataOfLength is newEntryData for a value of the given length, which need not be available if it is longer than inline.
func newEntryDataOfLength(key string, version uint64, value []byte, length, inline int) string {
	if length > inline {
		value = nil
	}
	size := entryHeaderBytes + len(key) + len(value)
	b := make([]byte, 0, size)
	b = binary.LittleEndian.AppendUint64(b, reconcile.Hash(key))
	b = binary.LittleEndian.AppendUint64(b, version)
	b = binary.LittleEndian.AppendUint32(b, uint32(length))
	b = binary.LittleEndian.AppendUint16(b, uint16(len(key)))
	b = append(b, key...)
	b = append(b, value...)
	return stringOf(b)
}

// Hash implements reconcile.Element.
func (e entry) Hash() uint64 { return uint64At(e.data, 0) }

// Item implements reconcile.Element.
func (e entry) Item() reconcile.Item { return reconcile.Item{Key: e.key(), Version: e.version()} }

func (e entry) exists() bool     { return e.data != "" }
func (e entry) version() uint64  { return uint64At(e.data, entryVersion) }
func (e entry) valueLength() int { return int(uint32(uint64At(e.data, entryValueLength-4) >> 32)) }
func (e entry) keyLength() int {
	return int(e.data[entryKeyLength]) | int(e.data[entryKeyLength+1])<<8
}
func (e entry) key() string { return e.data[entryHeaderBytes : entryHeaderBytes+e.keyLength()] }

// inline returns the value if it is kept in the entry.
func (e entry) inline() (value string, kept bool) {
	value = e.data[entryHeaderBytes+e.keyLength():]
	return value, len(value) == e.valueLength()
}

// frameBytes is the length of the entry's record on disk.
func (e entry) frameBytes() int64 { return frameBytes(e.keyLength(), e.valueLength()) }

// uint64At reads a little-endian number; it compiles to a single load.
func uint64At(s string, at int) uint64 {
	s = s[at : at+8]
	return uint64(s[0]) | uint64(s[1])<<8 | uint64(s[2])<<16 | uint64(s[3])<<24 |
		uint64(s[4])<<32 | uint64(s[5])<<40 | uint64(s[6])<<48 | uint64(s[7])<<56
}
