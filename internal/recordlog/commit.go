package recordlog

import "slices"

// maxBatchBytes limits a batch that has more than one append, since a batch is held in memory twice while it is written.
const (
	maxBatchBytes           = 1 << 20
	minBatchesPerGeneration = 4
)

// batch holds the changes that one write and one sync make durable.
type batch struct {
	requests []*request
	copies   []recordCopy
	floor    uint64 // new floor; 0 to leave it
}

func (b *batch) empty() bool { return len(b.requests) == 0 && len(b.copies) == 0 && b.floor == 0 }

// run is the writing goroutine.
func (l *Log) run() {
	defer close(l.writerDone)
	for {
		if l.step() {
			continue
		}
		if l.drained() {
			return
		}
		<-l.wake
	}
}

func (l *Log) drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed && len(l.queue) == 0
}

// step writes one batch, including a slice of compaction, and reports whether there was anything to do.
func (l *Log) step() bool {
	requests, closed := l.dequeue()
	b := batch{requests: requests}
	more := false
	if !closed && l.mayCompact(requests) {
		b.copies, more = l.compact(len(requests) > 0)
	}
	if !closed && (!l.lastWriteFailed || len(requests) > 0) {
		b.floor = l.removable()
	}
	if b.empty() {
		return more
	}
	if err := l.write(&b); err != nil {
		l.rollBack(&b, writeError(err))
		return true
	}
	if b.floor > 0 {
		l.removeGenerations(b.floor)
	}
	for _, r := range b.requests {
		if r.done != nil {
			r.done(r.err)
		}
	}
	return true
}

// mayCompact reports whether a batch may include copies. After a failure compaction is retried only when there are requests, and only if
// all of them were refused: it must neither retry endlessly nor use the space that accepted requests need.
func (l *Log) mayCompact(requests []*request) bool {
	if !l.lastWriteFailed {
		return true
	}
	for _, r := range requests {
		if len(r.operations) > 0 {
			return false
		}
	}
	return len(requests) > 0
}

// dequeue removes and returns the next requests to write.
func (l *Log) dequeue() (requests []*request, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maxBytes := min(maxBatchBytes, l.options.GenerationBytes/minBatchesPerGeneration)
	n, size := 0, int64(0)
	for n < len(l.queue) && (n == 0 || size+l.queue[n].bytes <= maxBytes) {
		size += l.queue[n].bytes
		n++
	}
	requests = l.queue[:n:n]
	if l.queue = l.queue[n:]; len(l.queue) == 0 {
		l.queue = nil
	}
	return requests, l.closed
}

// write makes a batch durable and commits it to the index.
func (l *Log) write(b *batch) error {
	if l.writer == nil || l.writer.generation.bytes >= l.options.GenerationBytes {
		if err := l.beginGeneration(); err != nil {
			return err
		}
	}
	locations := l.encodeBatch(b)
	if l.writer.batchBytes > 0 {
		if err := l.writer.flush(); err != nil {
			return err
		}
		l.lastWriteFailed = false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commitWriter()
	l.commit(b, locations)
	return nil
}

// encodeBatch adds a batch to the writer and returns the locations of its records, in order.
func (l *Log) encodeBatch(b *batch) []location {
	var locations []location
	for _, r := range b.requests {
		for i := range r.operations {
			op := &r.operations[i]
			if op.kind == kindNone {
				break
			}
			record := diskRecord{kind: op.kind, continued: op.continued, group: op.group, version: op.version, value: op.value}
			record.key = bytesOf(op.key)
			locations = append(locations, l.writer.add(&record))
		}
	}
	for _, c := range b.copies {
		record := diskRecord{kind: kindPut, group: c.group, version: c.version, key: bytesOf(c.key), value: c.value}
		locations = append(locations, l.writer.add(&record))
	}
	if b.floor > 0 {
		l.writer.add(&diskRecord{kind: kindFloor, version: b.floor})
	}
	return locations
}

// commit records in the index that a batch is durable. The caller holds mu.
func (l *Log) commit(b *batch, locations []location) {
	for _, r := range b.requests {
		for i := range r.operations {
			op := &r.operations[i]
			var at location
			if op.kind != kindNone {
				at, locations = locations[0], locations[1:]
			}
			l.index.commit(op, at)
			l.cacheValue(op)
		}
		l.queuedBytes -= r.bytes
	}
	for i, c := range b.copies {
		l.index.relocate(c.group, c.key, c.from, locations[i])
	}
}

// cacheValue adds a new large value to the cache, and removes the value that it replaced.
func (l *Log) cacheValue(op *operation) {
	if op.previous.exists() {
		l.values.remove(op.previous.location)
	}
	if op.kind == kindPut {
		if _, inline := op.entry.inline(); !inline {
			l.values.add(op.entry.location, op.value)
		}
	}
}

// rollBack undoes everything that is not durable after a failure, including the queue, since later appends may depend on failed ones.
func (l *Log) rollBack(b *batch, err error) {
	if l.writer != nil && l.writer.batchBytes > 0 {
		if failure := l.writer.abandon(); failure != nil {
			l.reportFailure("truncating a generation failed", failure)
		}
		l.writer = nil
	}
	l.endCompaction()
	l.lastWriteFailed = true
	l.mu.Lock()
	requests := append(b.requests, l.queue...)
	l.queue, l.queuedBytes = nil, 0
	for _, r := range slices.Backward(requests) {
		for i := len(r.operations) - 1; i >= 0; i-- {
			l.index.undo(&r.operations[i])
		}
	}
	l.mu.Unlock()
	l.reportFailure("write failed", err)
	for _, r := range requests {
		if r.err == nil {
			r.err = err
		}
		if r.done != nil {
			r.done(r.err)
		}
	}
}
