// Package wire reads and writes the frames of the simulator's protocol.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"liftgauge/balance"
)

// Codes of events.
const (
	EventPeer        = 1000
	EventStart       = 1010
	EventTimer       = 1020
	EventRegistry    = 1030
	EventNote        = 1040
	EventProbeResult = 1050
	EventOutcome     = 1060
	EventJob         = 1070
	EventList        = 1080
	EventStop        = 1090
	EventClientLeft  = 1100
	EventAccepted    = 1110
)

// Codes of actions.
const (
	ActionCancel    = 1000
	ActionWatch     = 1010
	ActionFetch     = 1020
	ActionFail      = 1030
	ActionRefuse    = 1040
	ActionSend      = 1050
	ActionCloseIdle = 1060
	ActionLog       = 1070
	ActionFault     = 1080
	ActionProbe     = 1100
	ActionTimer     = 1110
)

// Event is one decoded record; which fields are set depends on its code. Slices are valid until the next batch is read.
type Event struct {
	Code     int
	Instance uint32
	Job      balance.Job
	Outcome  balance.Outcome // also of probes, notes and accepted streams
	Seed     uint64          // or the token of a timer
	Data     []byte          // settings, or a message of a peer
	Note     int
	Amount   float64
	ListKind balance.ListKind
	ListID   uint32 // number of a list, or the sender of a message
	Entries  []balance.Worker
}

// Batch is a decoded frame.
type Batch struct {
	Now    time.Duration
	Seq    uint32
	Events []Event
}

// Reader decodes batches.
type Reader struct {
	r       io.Reader
	head    [20]byte
	buf     []byte
	batch   Batch
	loads   []float32
	lastSeq uint32
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

const readChunk = 1 << 20

// fill reads n bytes, growing the buffer only as data arrives: the declared length is not trusted.
func (d *Reader) fill(n int) error {
	d.buf = d.buf[:0]
	for len(d.buf) < n {
		step := min(n-len(d.buf), readChunk)
		at := len(d.buf)
		if cap(d.buf) < at+step {
			grown := make([]byte, at, max(at+step, 2*cap(d.buf)))
			copy(grown, d.buf)
			d.buf = grown
		}
		d.buf = d.buf[:at+step]
		if _, err := io.ReadFull(d.r, d.buf[at:]); err != nil {
			return err
		}
	}
	return nil
}

// Read returns the next batch, or io.EOF at the end of input. The batch is valid until the next call.
func (d *Reader) Read() (*Batch, error) {
	if _, err := io.ReadFull(d.r, d.head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("batch after %d: truncated header: %w", d.lastSeq, err)
	}
	le := binary.LittleEndian
	count, length := le.Uint32(d.head[0:]), le.Uint32(d.head[4:])
	d.batch.Now = time.Duration(le.Uint64(d.head[8:]))
	d.batch.Seq = le.Uint32(d.head[16:])
	d.lastSeq = d.batch.Seq
	if length < 12 {
		return nil, fmt.Errorf("batch %d: length %d is shorter than the header", d.batch.Seq, length)
	}
	if err := d.fill(int(length) - 12); err != nil {
		return nil, fmt.Errorf("batch %d: truncated frame of %d bytes: %w", d.batch.Seq, length, err)
	}
	d.batch.Events = d.batch.Events[:0]
	d.loads = d.loads[:0]
	c := cursor{b: d.buf}
	for i := uint32(0); i < count; i++ {
		if len(c.b) == 0 {
			return nil, fmt.Errorf("batch %d: %d records declared, %d found", d.batch.Seq, count, i)
		}
		ev, err := d.record(&c)
		if err != nil {
			return nil, fmt.Errorf("batch %d, record %d: %w", d.batch.Seq, i, err)
		}
		d.batch.Events = append(d.batch.Events, ev)
	}
	if len(c.b) != 0 {
		return nil, fmt.Errorf("batch %d: %d bytes left after %d records", d.batch.Seq, len(c.b), count)
	}
	return &d.batch, nil
}

var errShort = errors.New("content ends inside a record")

type cursor struct {
	b     []byte
	short bool
}

func (c *cursor) take(n int) []byte {
	if n > len(c.b) {
		c.short = true
		c.b = nil
		return make([]byte, min(n, 8))
	}
	v := c.b[:n]
	c.b = c.b[n:]
	return v
}

func (c *cursor) u8() uint8   { return c.take(1)[0] }
func (c *cursor) u16() uint16 { return binary.LittleEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32 { return binary.LittleEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64 { return binary.LittleEndian.Uint64(c.take(8)) }

// f32 reads a number; NaN and infinity are read as 0.
func (c *cursor) f32() float64 {
	v := float64(math.Float32frombits(c.u32()))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

func (c *cursor) bytes(n int) []byte {
	if n > len(c.b) {
		c.short = true
		c.b = nil
		return nil
	}
	return c.take(n)
}

func (d *Reader) load(c *cursor) []float32 {
	n := int(c.u8())
	if n*4 > len(c.b) {
		c.short = true
		return nil
	}
	at := len(d.loads)
	for range n {
		d.loads = append(d.loads, float32(c.f32()))
	}
	return d.loads[at:len(d.loads):len(d.loads)]
}

func (d *Reader) record(c *cursor) (Event, error) {
	code := int(c.u16())
	ev := Event{Code: code}
	if code != EventList {
		ev.Instance = c.u32()
	}
	o := &ev.Outcome
	switch code {
	case EventPeer:
		ev.ListID = uint32(c.u16())
		ev.Data = c.bytes(int(c.u16()))
	case EventStart:
		ev.Seed = c.u64()
		ev.Data = c.bytes(int(c.u32()))
	case EventTimer:
		ev.Seed = c.u64()
	case EventRegistry:
		switch form := c.u8(); form {
		case 0:
			ev.ListKind = balance.ListFull
		case 2:
			ev.ListKind = balance.ListChanges
		case 3:
			ev.ListKind = balance.ListFailed
		case 4:
			ev.ListKind = balance.ListCached
		default:
			return ev, fmt.Errorf("unknown form of list %d", form)
		}
		c.u32()
		ev.ListID = c.u32()
	case EventNote:
		o.Job, o.Attempt = balance.JobID(c.u64()), int(c.u8())
		o.Worker = balance.WorkerID(c.u32())
		ev.Note, ev.Amount = int(c.u8()), c.f32()
	case EventProbeResult:
		o.Worker = balance.WorkerID(c.u32())
		o.Status = balance.Status(c.u16())
		o.Took = time.Duration(c.u64())
		o.Report = d.load(c)
	case EventOutcome:
		o.Job, o.Attempt = balance.JobID(c.u64()), int(c.u8())
		o.Took = time.Duration(c.u64())
		c.u32()
		o.Status = balance.Status(c.u16())
		o.Worker = balance.WorkerID(c.u32())
		o.Closed = c.u8() != 0
		o.Report = d.load(c)
	case EventJob:
		j := &ev.Job
		j.ID, j.Class, j.Tenant = balance.JobID(c.u64()), int(c.u8()), int(c.u16())
		c.u64()
		j.Left, j.Hint = time.Duration(c.u64()), time.Duration(c.u64())
		j.Slots, j.Memory = c.f32(), c.f32()
		flags := c.u8()
		if flags&1 == 0 {
			j.Hint = 0
		}
		j.Again = flags&2 != 0
	case EventList:
		ev.ListID = c.u32()
		n := int(c.u32())
		if n > len(c.b)/22 {
			return ev, errShort
		}
		ev.Entries = make([]balance.Worker, n)
		for i := range ev.Entries {
			w := &ev.Entries[i]
			w.ID, w.Zone = balance.WorkerID(c.u32()), int(c.u8())
			switch state := c.u8(); state {
			case 0:
				w.State = balance.Ready
			case 1:
				w.State = balance.Draining
			case 3:
				w.State = balance.Removed
			default:
				return ev, fmt.Errorf("unknown state of a worker %d", state)
			}
			w.Weight, w.Kind, w.Cell = c.f32(), int(c.u16()), int(c.u16())
			w.Up = time.Duration(c.u64())
		}
	case EventStop:
	case EventClientLeft:
		o.Job = balance.JobID(c.u64())
	case EventAccepted:
		o.Job, o.Attempt = balance.JobID(c.u64()), int(c.u8())
		o.Worker, o.Took = balance.WorkerID(c.u32()), time.Duration(c.u64())
	default:
		return ev, fmt.Errorf("unknown event code %d", code)
	}
	if c.short {
		return ev, errShort
	}
	return ev, nil
}
