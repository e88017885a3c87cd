// Package capture writes what a dispatcher observed to files, and reads them: one record for each message, without
// bodies and without ids of people.
//
// A file is a header and blocks. A block holds several records, as a sequence of CBOR items compressed with zstd, behind
// a block header with its size and a checksum. A truncated file can be read up to its last complete block; after a
// damaged block reading continues with the next one. Records dropped because the disk was slow or full are counted in
// the next block.
//
// Integers in headers are little-endian. Times are in nanoseconds.
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

// Version is the version of the file format. Files of other versions are rejected.
const Version = 1

// Header describes the source of the records in a file.
type Header struct {
	Version int      `cbor:"1,keyasint"`
	Name    string   `cbor:"2,keyasint"` // of the dispatcher
	Boot    string   `cbor:"3,keyasint"` // of its process
	Zone    int      `cbor:"4,keyasint"` // zone number of the dispatcher
	Classes []string `cbor:"5,keyasint"`
	Zones   []string `cbor:"6,keyasint"`
	Kinds   []string `cbor:"7,keyasint"`
	Started int64    `cbor:"8,keyasint"` // Unix time
}

// Attempt is one attempt of a message. Times count from the arrival of the message; Began and Ended are -1 if unknown.
type Attempt struct {
	_      struct{} `cbor:",toarray"`
	Host   string
	Kind   int
	Zone   int
	Sent   int64
	Began  int64
	Ended  int64
	Status uint8 // a balance.Status
	Age    int64 // of the host process at the time of the send; -1: old or unknown
}

// The outcomes of a message.
const (
	Failed = iota
	Served
	BackOff
	ClientLeft // the client disconnected before the answer
)

// Record is one message.
type Record struct {
	_        struct{} `cbor:",toarray"`
	Arrived  int64    // Unix time
	Class    int      // index into Header.Classes
	Key      uint64   // keyed hash of the message key; 0: no key
	Hint     int64    // expected work; 0: none
	Slots    float64
	Zone     int // of the dispatcher
	Tenant   int
	Timeout  int64
	Retry    bool // marked by the client as a retry
	Outcome  uint8
	Duration int64 // until the answer
	Attempts []Attempt
}

var (
	fileMagic  = []byte("LGCAP\x01\r\n")
	blockMagic = []byte("LGB1")
)

const (
	blockHeaderSize = 4 + 4*4 + 8 // magic; compressed size, raw size, records, dropped; checksum
	maxBlockSize    = 4 << 20     // bytes of a block, compressed or not; a larger size is treated as damage
)

// ErrVersion is returned for a file of another format version.
var ErrVersion = errors.New("another version of the format")

// ErrNotCapture is returned for a file that is not a capture file.
var ErrNotCapture = errors.New("not a capture file")

// appendHeader appends the header of a file.
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

// appendBlock appends a block of encoded records.
func appendBlock(b []byte, z *zstd.Encoder, raw []byte, records, dropped int) []byte {
	at := len(b)
	b = append(b, make([]byte, blockHeaderSize)...)
	b = z.EncodeAll(raw, b)
	head := b[at : at+blockHeaderSize]
	copy(head, blockMagic)
	for i, n := range []int{len(b) - at - blockHeaderSize, len(raw), records, dropped} {
		binary.LittleEndian.PutUint32(head[4+4*i:], uint32(n))
	}
	binary.LittleEndian.PutUint64(head[20:], checksum(head[:20], b[at+blockHeaderSize:]))
	return b
}

func checksum(head, body []byte) uint64 {
	d := xxhash.New()
	d.Write(head)
	d.Write(body)
	return d.Sum64()
}

func newEncoder() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(128<<10),
		zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))
}

// Reader reads a capture file.
type Reader struct {
	Header    Header
	Records   int64
	Dropped   int64 // by the writer, according to the file
	Damaged   int   // blocks, or ranges between blocks, that were skipped
	Truncated bool  // the file ends inside a block

	r         *bufio.Reader
	z         *zstd.Decoder
	block     *cbor.Decoder
	remaining int
	raw       []byte
}

// NewReader reads the header of a file.
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
	if size > maxBlockSize {
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
	c.z, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBlockSize))
	return c, err
}

// Next returns the next record, and io.EOF after the last readable one.
func (c *Reader) Next() (Record, error) {
	for {
		if c.remaining > 0 {
			var r Record
			if err := c.block.Decode(&r); err == nil {
				c.remaining--
				c.Records++
				return r, nil
			}
			c.remaining = 0 // the checksum matches, so the block was written this way
			c.Damaged++
		}
		if err := c.next(); err != nil {
			return Record{}, err
		}
	}
}

// next finds the next complete block.
func (c *Reader) next() error {
	skipped := false
	for {
		head, err := c.r.Peek(blockHeaderSize)
		if len(head) == 0 && err != nil {
			if skipped {
				c.Damaged++
			}
			return cleanEOF(err)
		}
		if err != nil { // too short for a block header
			c.Truncated = true
			return cleanEOF(err)
		}
		if bytes.Equal(head[:4], blockMagic) {
			size, rawSize := binary.LittleEndian.Uint32(head[4:]), binary.LittleEndian.Uint32(head[8:])
			if size <= maxBlockSize && rawSize <= maxBlockSize {
				if ok, cut := c.readBlock(append([]byte(nil), head...), int(size), skipped); ok {
					return nil
				} else if cut {
					return io.EOF
				}
				skipped = false
				continue
			}
		}
		skipped = true
		if _, err := c.r.Discard(1); err != nil {
			return cleanEOF(err)
		}
	}
}

func cleanEOF(err error) error {
	if err == io.ErrUnexpectedEOF {
		return io.EOF
	}
	return err
}

// readBlock reads the block that starts here. Of a damaged block only the magic is skipped, since its size may be the
// damaged part.
func (c *Reader) readBlock(head []byte, size int, skipped bool) (ok, truncated bool) {
	if skipped {
		c.Damaged++
	}
	c.r.Discard(blockHeaderSize)
	body := make([]byte, size)
	n, err := io.ReadFull(c.r, body)
	if err == nil && checksum(head[:20], body) == binary.LittleEndian.Uint64(head[20:]) {
		raw, err := c.z.DecodeAll(body, c.raw[:0])
		if err == nil && len(raw) == int(binary.LittleEndian.Uint32(head[8:])) {
			c.raw = raw
			c.remaining = int(binary.LittleEndian.Uint32(head[12:]))
			c.Dropped += int64(binary.LittleEndian.Uint32(head[16:]))
			c.block = cbor.NewDecoder(bytes.NewReader(raw))
			return true, false
		}
	}
	// If the size is wrong, what was read may contain complete blocks: it is searched again.
	rescan := append(append([]byte(nil), head[4:]...), body[:n]...)
	if i := bytes.Index(rescan, blockMagic); i >= 0 {
		c.Damaged++
		c.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(rescan[i:]), c.r), 64<<10)
		return false, false
	}
	if err != nil {
		c.Truncated = true
		return false, true
	}
	c.Damaged++
	return false, false
}

// Close releases the resources of the Reader.
func (c *Reader) Close() { c.z.Close() }
