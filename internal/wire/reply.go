package wire

import (
	"encoding/binary"
	"io"
	"time"

	"liftgauge/balance"
)

// Reply collects the actions that answer one batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset empties the reply and sets the sequence number of the batch that it answers.
func (r *Reply) Reset(seq uint32) {
	r.buf = append(r.buf[:0], make([]byte, 12)...)
	binary.LittleEndian.PutUint32(r.buf[8:], seq)
	r.count = 0
}

// WriteTo writes the reply as one frame.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.LittleEndian.PutUint32(r.buf[0:], r.count)
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-8))
	n, err := w.Write(r.buf)
	return int64(n), err
}

func (r *Reply) start(code uint16, instance uint32) {
	r.count++
	r.u16(code)
	r.u32(instance)
}

func (r *Reply) u16(v uint16) { r.buf = binary.LittleEndian.AppendUint16(r.buf, v) }
func (r *Reply) u32(v uint32) { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64) { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }

func (r *Reply) text(code uint16, instance uint32, s string) {
	if len(s) > 60000 {
		s = s[:60000]
	}
	r.start(code, instance)
	r.u16(uint16(len(s)))
	r.buf = append(r.buf, s...)
}

// Port writes the actions of one instance into a Reply. It implements balance.Actions.
type Port struct {
	Reply    *Reply
	Instance uint32
}

var _ balance.Actions = Port{}

// Send writes TRANSMIT.
func (p Port) Send(job balance.JobID, worker balance.WorkerID, timeout time.Duration) {
	p.Reply.start(ActionSend, p.Instance)
	p.Reply.u64(uint64(job))
	p.Reply.u32(uint32(worker))
	p.Reply.u64(uint64(timeout))
}

// Refuse writes BOUNCE.
func (p Port) Refuse(job balance.JobID, wait time.Duration) {
	p.Reply.start(ActionRefuse, p.Instance)
	p.Reply.u64(uint64(job))
	p.Reply.u64(uint64(wait))
}

// Fail writes DROP_REQUEST.
func (p Port) Fail(job balance.JobID) {
	p.Reply.start(ActionFail, p.Instance)
	p.Reply.u64(uint64(job))
}

// Cancel writes ABORT_ATTEMPT.
func (p Port) Cancel(job balance.JobID, attempt int) {
	p.Reply.start(ActionCancel, p.Instance)
	p.Reply.u64(uint64(job))
	p.Reply.buf = append(p.Reply.buf, byte(attempt))
}

// Probe writes ASK_LOAD.
func (p Port) Probe(worker balance.WorkerID) {
	p.Reply.start(ActionProbe, p.Instance)
	p.Reply.u32(uint32(worker))
}

// Timer writes WAKE_ME.
func (p Port) Timer(after time.Duration, token uint64) {
	p.Reply.start(ActionTimer, p.Instance)
	p.Reply.u64(uint64(after))
	p.Reply.u64(token)
}

// Watch writes STREAM_CHANGES, turned on.
func (p Port) Watch() {
	p.Reply.start(ActionWatch, p.Instance)
	p.Reply.buf = append(p.Reply.buf, 1)
}

// Unwatch writes STREAM_CHANGES, turned off.
func (p Port) Unwatch() {
	p.Reply.start(ActionWatch, p.Instance)
	p.Reply.buf = append(p.Reply.buf, 0)
}

// Fetch writes FETCH.
func (p Port) Fetch() { p.Reply.start(ActionFetch, p.Instance) }

// CloseIdle writes DROP_CONNS.
func (p Port) CloseIdle(worker balance.WorkerID) {
	p.Reply.start(ActionCloseIdle, p.Instance)
	p.Reply.u32(uint32(worker))
}

// Log writes SAY_LOG.
func (p Port) Log(line string) { p.Reply.text(ActionLog, p.Instance, line) }

// Fault writes BUG.
func (p Port) Fault(text string) { p.Reply.text(ActionFault, p.Instance, text) }
