package protocol

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrMalformed is the error of a Decode of bytes that no Append made.
var ErrMalformed = errors.New("protocol: malformed message: check that both sides run neighbouring versions")

// Message is what a frame's body holds.
type Message interface {
	// Append adds the encoded message to b.
	Append(b []byte) []byte
	// Decode replaces the message by the encoded one. Fields of type []byte point into b.
	Decode(b []byte) error
}

// fielder names the fields of a message once for both directions, in the order of the encoding. New fields are added at the end.
type fielder interface{ fields(c *coder) }

// coder appends fields to b or takes them from it. Whole numbers are uvarints, durations zigzag varints; strings, byte slices and
// nested messages are preceded by their length, lists by their count.
type coder struct {
	decoding bool
	b        []byte
	failed   bool
}

func encode(m fielder, b []byte) []byte {
	c := coder{b: b}
	m.fields(&c)
	return c.b
}

func decode(m fielder, b []byte) error {
	c := coder{b: b, decoding: true}
	m.fields(&c)
	if c.failed {
		return errors.Wrapf(ErrMalformed, "%T of %d bytes", m, len(b))
	}
	return nil
}

func (c *coder) fail() {
	c.failed, c.b = true, nil
}

// put appends one whole number.
func (c *coder) putUvarint(v uint64) { c.b = binary.AppendUvarint(c.b, v) }

// take takes one whole number. A field that the sender did not write is 0.
func (c *coder) takeUvarint() uint64 {
	if len(c.b) == 0 {
		return 0
	}
	v, n := binary.Uvarint(c.b)
	if n <= 0 {
		c.fail()
		return 0
	}
	c.b = c.b[n:]
	return v
}

// unsigned passes a whole number that may not exceed limit. Encoding does not write to the message, which others may read meanwhile.
func unsigned[T ~uint8 | ~uint16 | ~uint32 | ~uint64](c *coder, p *T, limit uint64) {
	if !c.decoding {
		c.putUvarint(uint64(*p))
		return
	}
	v := c.takeUvarint()
	if v > limit {
		c.fail()
		v = 0
	}
	*p = T(v)
}

func (c *coder) uint64(p *uint64) { unsigned(c, p, 1<<64-1) }

func (c *coder) uint32(p *uint32) { unsigned(c, p, 1<<32-1) }

func (c *coder) uint16(p *uint16) { unsigned(c, p, 1<<16-1) }

// small passes a value of a type that fits a byte.
func byteEnum[T ~uint8](c *coder, p *T) { unsigned(c, p, 1<<8-1) }

func (c *coder) bool(p *bool) {
	var v uint8
	if *p {
		v = 1
	}
	unsigned(c, &v, 1)
	if c.decoding {
		*p = v == 1
	}
}

func (c *coder) int64(p *int64) {
	v := uint64(*p)<<1 ^ uint64(*p>>63)
	c.uint64(&v)
	if c.decoding {
		*p = int64(v>>1) ^ -int64(v&1)
	}
}

func (c *coder) duration(p *time.Duration) { c.int64((*int64)(p)) }

// slice takes a length and as many bytes, without a copy.
func (c *coder) takeBytes() []byte {
	n := c.takeUvarint()
	if n > uint64(len(c.b)) {
		c.fail()
		return nil
	}
	taken := c.b[:n:n]
	c.b = c.b[n:]
	return taken
}

func (c *coder) bytes(p *[]byte) {
	if c.decoding {
		*p = nil
		if taken := c.takeBytes(); len(taken) > 0 {
			*p = taken
		}
		return
	}
	c.putUvarint(uint64(len(*p)))
	c.b = append(c.b, *p...)
}

func (c *coder) string(p *string) {
	if c.decoding {
		*p = string(c.takeBytes())
		return
	}
	c.putUvarint(uint64(len(*p)))
	c.b = append(c.b, *p...)
}

func (c *coder) strings(p *[]string) {
	list(c, p, func(c *coder, s *string) { c.string(s) })
}

// nested passes a message that may grow by fields.
func (c *coder) nested(m fielder) {
	if c.decoding {
		inner := coder{b: c.takeBytes(), decoding: true}
		m.fields(&inner)
		if inner.failed {
			c.fail()
		}
		return
	}
	start := len(c.b)
	m.fields(c)
	size := len(c.b) - start
	var prefix [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(prefix[:], uint64(size))
	c.b = append(c.b, prefix[:n]...)
	copy(c.b[start+n:], c.b[start:start+size])
	copy(c.b[start:], prefix[:n])
}

// firstElements bounds what is allocated for a list before its elements were read.
const initialListCapacity = 256

// list passes a count and as many elements; each takes a byte at least.
func list[T any](c *coder, p *[]T, element func(c *coder, e *T)) {
	if !c.decoding {
		c.putUvarint(uint64(len(*p)))
		for i := range *p {
			element(c, &(*p)[i])
		}
		return
	}
	*p = nil
	n := c.takeUvarint()
	if n > uint64(len(c.b)) {
		c.fail()
	}
	if n == 0 || c.failed {
		return
	}
	elements := make([]T, 0, min(n, initialListCapacity))
	for range n {
		var e T
		if len(c.b) == 0 {
			c.fail()
		}
		element(c, &e)
		if c.failed {
			return
		}
		elements = append(elements, e)
	}
	*p = elements
}

// messages passes a list of nested messages.
func messages[T any, P interface {
	*T
	fielder
}](c *coder, p *[]T) {
	list(c, p, func(c *coder, e *T) { c.nested(P(e)) })
}
