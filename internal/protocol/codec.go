package protocol

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrMalformed is returned by Decode for bytes that are not a valid encoding.
var ErrMalformed = errors.New("protocol: malformed message: check that both sides run neighbouring versions")

// Message is the content of a frame's body.
type Message interface {
	// Append appends the encoded message to b.
	Append(b []byte) []byte
	// Decode replaces the message with the decoded one. Fields of type []byte alias b.
	Decode(b []byte) error
}

// fielder passes the fields of a message to a coder in encoding order, for both encoding and decoding. New fields are added at the end.
type fielder interface{ fields(c *coder) }

// coder encodes fields to b or decodes them from it. Integers are uvarints, signed integers and durations zigzag varints; strings, byte
// slices and nested messages are prefixed with their length, lists with their element count.
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

// putUvarint appends one integer.
func (c *coder) putUvarint(v uint64) { c.b = binary.AppendUvarint(c.b, v) }

// takeUvarint decodes one integer. A field that the sender did not write is 0.
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

// unsigned encodes or decodes an integer of at most limit. Encoding does not write to the message, since other goroutines may read it
// concurrently.
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

// byteEnum encodes or decodes a value of a one-byte type.
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

// takeBytes decodes a length and that many bytes, without copying them.
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

// nested encodes or decodes a message inside another one, with a length prefix so that later versions can add fields to it.
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

// initialListCapacity limits the allocation for a list before its elements are decoded.
const initialListCapacity = 256

// list encodes or decodes a count and that many elements; each element takes at least one byte.
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

// messages encodes or decodes a list of nested messages.
func messages[T any, P interface {
	*T
	fielder
}](c *coder, p *[]T) {
	list(c, p, func(c *coder, e *T) { c.nested(P(e)) })
}
