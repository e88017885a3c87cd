package reconcile

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// splitBits is the number of hash bits that one split of a range or one level of an Index consumes.
const splitBits = 4

// Fanout is the number of parts that a range is split into.
const Fanout = 1 << splitBits

// hashBits is the length of a key's hash.
const hashBits = 64

// Range is the set of all keys whose hash starts with the first Bits bits of Prefix, counted from the most significant bit. The
// remaining bits of Prefix are zero. The zero Range contains all keys.
type Range struct {
	Prefix uint64
	Bits   uint8
}

// Item is a key with its version.
type Item struct {
	Key     string
	Version uint64
}

// Digest summarizes the items of a range. Equal sets have equal digests, and different sets have different digests with high probability.
type Digest struct {
	Count uint64
	Sum   uint64 // wrapping sum of a hash of key and version
}

// Hash returns the position of a key in the hash space.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// All returns the range of all keys.
func All() Range { return Range{} }

func (r Range) mask() uint64 {
	if r.Bits >= hashBits {
		return ^uint64(0)
	}
	return ^(^uint64(0) >> r.Bits)
}

// Valid reports whether the range is in normal form: at most 64 bits, and no bit of Prefix set beyond them.
func (r Range) Valid() bool { return r.Bits <= hashBits && r.Prefix&^r.mask() == 0 }

// Contains reports whether a key with this hash belongs to the range.
func (r Range) Contains(hash uint64) bool { return (hash^r.Prefix)&r.mask() == 0 }

// Last returns the highest hash of the range; the lowest one is Prefix.
func (r Range) Last() uint64 { return r.Prefix | ^r.mask() }

// CanSplit reports whether the range can be split into smaller ones.
func (r Range) CanSplit() bool { return int(r.Bits)+splitBits <= hashBits }

// Split returns the sixteen parts of the range in ascending order. It must not be called if CanSplit returns false: all parts would
// be the range itself.
func (r Range) Split() [Fanout]Range {
	var parts [Fanout]Range
	if !r.CanSplit() {
		for i := range parts {
			parts[i] = r
		}
		return parts
	}
	width := r.Bits + splitBits
	for i := range parts {
		parts[i] = Range{Prefix: r.Prefix | uint64(i)<<(hashBits-int(width)), Bits: width}
	}
	return parts
}

// DigestOf returns the digest of a single item.
func DigestOf(item Item) Digest { return digestOf(Hash(item.Key), item.Version) }

func digestOf(hash, version uint64) Digest { return Digest{Count: 1, Sum: mix(hash, version)} }

// Plus returns the digest of the union of two disjoint sets.
func (d Digest) Plus(other Digest) Digest { return Digest{d.Count + other.Count, d.Sum + other.Sum} }

// Minus returns the digest of the set without the given subset.
func (d Digest) Minus(part Digest) Digest { return Digest{d.Count - part.Count, d.Sum - part.Sum} }

// Constants of the splitmix64 generator, whose finalizer spreads each bit over the whole word.
const (
	mixIncrement = 0x9e3779b97f4a7c15
	mixFirst     = 0xbf58476d1ce4e5b9
	mixSecond    = 0x94d049bb133111eb
)

func mix(hash, version uint64) uint64 {
	x := hash + bits.RotateLeft64(version*mixIncrement, 31) + mixIncrement
	x = (x ^ x>>30) * mixFirst
	x = (x ^ x>>27) * mixSecond
	return x ^ x>>31
}
