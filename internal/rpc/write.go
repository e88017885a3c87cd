package rpc

import (
	"net"
	"sync"
)

const (
	// copyThreshold is the size below which a body is copied next to its header; longer bodies are written without a copy.
	copyThreshold = 2048
	// targetBatchBytes is the approximate size of a batch, which is written with one system call.
	targetBatchBytes = 64 << 10
	// maxKeptBufferBytes is the capacity up to which a buffer is kept for later batches.
	maxKeptBufferBytes = 128 << 10
)

// outgoingFrame is a frame in the write queue.
type outgoingFrame struct {
	header header
	body   []byte
	call   *call // set for a frameCall
}

func (o *outgoingFrame) size() int { return headerSize + len(o.body) }

// batch holds the frames that are written to the socket at once.
type batch struct {
	buffers net.Buffers
	scratch *[]byte
	size    int
	// Guarded by the connection's mutex, since calls refer to their batch.
	failed  bool
	written int // bytes written before the failure
}

var scratchBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4096); return &b }}

// send queues a frame and starts the writing goroutine if none is running.
func (c *Conn) send(o outgoingFrame) error {
	if len(o.body) > c.options.MaxFrame {
		return notSent(ErrTooLong)
	}
	o.header.length = len(o.body)
	if o.header.frameType != framePing && o.header.frameType != framePong {
		c.dataFrames.Add(1)
	}
	c.mutex.Lock()
	if c.closed {
		cause := c.closeErr
		c.mutex.Unlock()
		return notSent(cause)
	}
	if c.queued+o.size() > c.options.MaxQueued && c.queued > 0 {
		c.mutex.Unlock()
		c.closeWithCause(ErrQueueFull)
		return notSent(ErrQueueFull)
	}
	c.queue = append(c.queue, o)
	c.queued += o.size()
	begin := !c.writing
	c.writing = true
	c.mutex.Unlock()
	if begin {
		go c.write()
	}
	return nil
}

// write writes all queued frames to the socket and returns when the queue is empty. Frames that are queued meanwhile are combined into
// one system call.
func (c *Conn) write() {
	for {
		b := c.takeBatch()
		if b == nil {
			return
		}
		written, err := b.writeTo(c.socket)
		c.mutex.Lock()
		c.queued -= b.size
		if err != nil {
			b.failed, b.written = true, int(written)
		}
		c.mutex.Unlock()
		if err != nil {
			c.closeWithCause(err)
			return
		}
		b.release()
	}
}

// takeBatch removes frames from the queue. It returns nil if there are none, after which the writer must return.
func (c *Conn) takeBatch() *batch {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	b := &batch{scratch: scratchBuffers.Get().(*[]byte)}
	taken := 0
	for ; taken < len(c.queue) && b.size < targetBatchBytes; taken++ {
		o := &c.queue[taken]
		if o.call != nil {
			if o.call.cancelled {
				c.queued -= o.size()
				continue
			}
			o.call.batch, o.call.offset = b, b.size
		}
		b.add(o)
	}
	c.dropQueue(taken)
	if b.size == 0 || c.closed {
		b.release()
		c.writing = false
		return nil
	}
	b.seal()
	return b
}

// dropQueue removes the first n frames of the queue, and releases its memory if it is then empty and has a large capacity.
func (c *Conn) dropQueue(n int) {
	const keepFrames = 64
	if n < len(c.queue) {
		clear(c.queue[:n])
		c.queue = c.queue[n:]
		return
	}
	clear(c.queue)
	if cap(c.queue) > keepFrames {
		c.queue = nil
	}
	c.queue = c.queue[:0]
}

func (b *batch) add(o *outgoingFrame) {
	b.size += o.size()
	var head [headerSize]byte
	o.header.put(head[:])
	*b.scratch = append(*b.scratch, head[:]...)
	if len(o.body) < copyThreshold {
		*b.scratch = append(*b.scratch, o.body...)
		return
	}
	b.seal()
	b.buffers = append(b.buffers, o.body)
}

// seal appends the content of the scratch buffer to the buffers to be written.
func (b *batch) seal() {
	filled := *b.scratch
	if len(filled) == 0 {
		return
	}
	b.buffers = append(b.buffers, filled)
	*b.scratch = filled[len(filled):] // the remaining capacity is used for the next frames
}

func (b *batch) writeTo(socket net.Conn) (int64, error) {
	if len(b.buffers) == 1 {
		n, err := socket.Write(b.buffers[0])
		return int64(n), err
	}
	buffers := b.buffers
	return buffers.WriteTo(socket)
}

// release returns the scratch buffer to the pool; the batch must have been written completely or not at all.
func (b *batch) release() {
	if len(b.buffers) == 0 || len(b.buffers) == 1 && cap(b.buffers[0]) <= maxKeptBufferBytes && len(*b.scratch) == 0 {
		if len(b.buffers) == 1 {
			*b.scratch = b.buffers[0][:0]
		} else {
			*b.scratch = (*b.scratch)[:0]
		}
		scratchBuffers.Put(b.scratch)
	}
	b.buffers, b.scratch = nil, nil
}
