// Package capture writes what a dispatcher saw to files, and reads them: a record for each message, without bodies and
// without ids of people.
//
// A file is a header and blocks. A block holds some records, as a sequence of CBOR items compressed by zstd, behind a head
// with its size and a checksum. A file that is cut off at any byte reads up to its last whole block; past a damaged block
// reading goes on at the next one. What was dropped, because the disk was slow or full, is counted in the next block.
//
// All integers of heads are little-endian. Times are nanoseconds.
package capture

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Version is that of the format. Files of another one are refused.
const Version = 1

// Header says whose records a file holds.
type Header struct {
	Version int      `cbor:"1,keyasint"`
	Name    string   `cbor:"2,keyasint"` // of the dispatcher
	Boot    string   `cbor:"3,keyasint"` // of its process
	Zone    int      `cbor:"4,keyasint"` // its station, by number
	Classes []string `cbor:"5,keyasint"`
	Zones   []string `cbor:"6,keyasint"`
	Kinds   []string `cbor:"7,keyasint"`
	Started int64    `cbor:"8,keyasint"` // Unix time
}

// Attempt is one send of a message. Times count from the message's arrival; Began and Ended are -1 where they are not known.
type Attempt struct {
	_      struct{} `cbor:",toarray"`
	Host   string
	Kind   int
	Zone   int
	Sent   int64
	Began  int64
	Ended  int64
	Status uint8 // as balance.Status has it
	Age    int64 // of the host's process when it was sent; -1: started long ago, or not known
}

// The ends of a message.
const (
	Failed = iota
	Served
	BackOff
	ClientLeft // its client left first
)

// Record is one message.
type Record struct {
	_        struct{} `cbor:",toarray"`
	Arrived  int64    // Unix time
	Class    int      // place in Header.Classes
	Key      uint64   // a keyed hash of what the message is about; 0: no key
	Hint     int64    // of the work; 0: none
	Slots    float64
	Zone     int // of the dispatcher
	Tenant   int
	Timeout  int64
	Retry    bool // marked as a client's retry
	Outcome  uint8
	Duration int64 // until the answer
	Attempts []Attempt
}

var (
	fileMagic  = []byte("LGCAP\x01\r\n")
	blockMagic = []byte("LGB1")
)

const (
	blockHead = 4 + 4*4 + 8 // magic; compressed size, raw size, records, dropped; checksum
	mostBlock = 4 << 20     // bytes of a block, compressed or not; more is taken for damage
)

// ErrVersion is a file of another version.
var ErrVersion = errors.New("another version of the format")

// ErrNotCapture is a file that is none of this kind.
var ErrNotCapture = errors.New("not a capture file")

// appendHeader writes a file's header.
func appendHeader(b []byte, h Header) ([]byte, error) {
	h.Version = Version
	text, err := cbor.Marshal(h)
	if err != nil {
		return nil, err
	}
	b = append(b, fileMagic...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(text))
	return append(b, text...), nil
}

// appendBlock writes a block of raw records.
func appendBlock(b []byte, z *zstd.Encoder, raw []byte, records, dropped int) []byte {
	at := len(b)
	b = append(b, make([]byte, blockHead)...)
	b = z.EncodeAll(raw, b)
	head := b[at : at+blockHead]
	copy(head, blockMagic)
	for i, n := range []int{len(b) - at - blockHead, len(raw), records, dropped} {
		binary.LittleEndian.PutUint32(head[4+4*i:], uint32(n))
	}
	binary.LittleEndian.PutUint64(head[20:], sum(head[:20], b[at+blockHead:]))
	return b
}

func sum(head, body []byte) uint64 {
	d := xxhash.New()
	d.Write(head)
	d.Write(body)
	return d.Sum64()
}

func newEncoder() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(128<<10),
		zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))
}

// Reader reads a file. It never changes it.
type Reader struct {
	Header    Header
	Records   int64
	Dropped   int64 // by the writer, as the file says
	Damaged   int   // blocks, or stretches between blocks, that were passed by
	Truncated bool  // the file ends inside a block

	r     *bufio.Reader
	z     *zstd.Decoder
	block *cbor.Decoder
	left  int
	raw   []byte
}

// NewReader reads a file's header.
func NewReader(r io.Reader) (*Reader, error) {
	b := bufio.NewReaderSize(r, 64<<10)
	head := make([]byte, len(fileMagic)+12)
	if _, err := io.ReadFull(b, head); err != nil || !bytes.Equal(head[:5], fileMagic[:5]) {
		return nil, ErrNotCapture
	}
	if !bytes.Equal(head[:len(fileMagic)], fileMagic) {
		return nil, ErrVersion
	}
	size := binary.LittleEndian.Uint32(head[len(fileMagic):])
	if size > mostBlock {
		return nil, fmt.Errorf("%w: header of %d bytes", ErrNotCapture, size)
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(b, text); err != nil {
		return nil, fmt.Errorf("%w: cut off in its header", ErrNotCapture)
	}
	if xxhash.Sum64(text) != binary.LittleEndian.Uint64(head[len(fileMagic)+4:]) {
		return nil, fmt.Errorf("%w: damaged header", ErrNotCapture)
	}
	c := &Reader{r: b}
	if err := cbor.Unmarshal(text, &c.Header); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrNotCapture, err)
	}
	if c.Header.Version != Version {
		return nil, fmt.Errorf("%w: %d, this program reads %d", ErrVersion, c.Header.Version, Version)
	}
	var err error
	c.z, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(mostBlock))
	return c, err
}

// Next returns the next record, and io.EOF after the last that can be read.
func (c *Reader) Next() (Record, error) {
	for {
		if c.left > 0 {
			var r Record
			if err := c.block.Decode(&r); err == nil {
				c.left--
				c.Records++
				return r, nil
			}
			c.left = 0 // its checksum is right, and yet: it was written so
			c.Damaged++
		}
		if err := c.next(); err != nil {
			return Record{}, err
		}
	}
}

// next finds the next whole block.
func (c *Reader) next() error {
	passed := false
	for {
		head, err := c.r.Peek(blockHead)
		if len(head) == 0 && err != nil {
			if passed {
				c.Damaged++
			}
			return eof(err)
		}
		if err != nil { // not even a head
			c.Truncated = true
			return eof(err)
		}
		if bytes.Equal(head[:4], blockMagic) {
			size, rawSize := binary.LittleEndian.Uint32(head[4:]), binary.LittleEndian.Uint32(head[8:])
			if size <= mostBlock && rawSize <= mostBlock {
				if ok, cut := c.take(append([]byte(nil), head...), int(size), passed); ok {
					return nil
				} else if cut {
					return io.EOF
				}
				passed = false
				continue
			}
		}
		passed = true
		if _, err := c.r.Discard(1); err != nil {
			return eof(err)
		}
	}
}

func eof(err error) error {
	if err == io.ErrUnexpectedEOF {
		return io.EOF
	}
	return err
}

// take reads the block that begins here. Where it is damaged only its magic is passed by: its size may be what is wrong.
func (c *Reader) take(head []byte, size int, passed bool) (ok, cut bool) {
	if passed {
		c.Damaged++
	}
	c.r.Discard(blockHead)
	body := make([]byte, size)
	n, err := io.ReadFull(c.r, body)
	if err == nil && sum(head[:20], body) == binary.LittleEndian.Uint64(head[20:]) {
		raw, err := c.z.DecodeAll(body, c.raw[:0])
		if err == nil && len(raw) == int(binary.LittleEndian.Uint32(head[8:])) {
			c.raw = raw
			c.left = int(binary.LittleEndian.Uint32(head[12:]))
			c.Dropped += int64(binary.LittleEndian.Uint32(head[16:]))
			c.block = cbor.NewDecoder(bytes.NewReader(raw))
			return true, false
		}
	}
	// What was read may hold whole blocks if the size is wrong: it is looked through again.
	again := append(append([]byte(nil), head[4:]...), body[:n]...)
	if i := bytes.Index(again, blockMagic); i >= 0 {
		c.Damaged++
		c.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(again[i:]), c.r), 64<<10)
		return false, false
	}
	if err != nil {
		c.Truncated = true
		return false, true
	}
	c.Damaged++
	return false, false
}

// Close gives back what reading took.
func (c *Reader) Close() { c.z.Close() }
