package recordlog

import "slices"

// mostBatchBytes bounds what is written at once, unless a single append is larger: it is held in memory twice meanwhile.
const (
	maxBatchBytes           = 1 << 20
	minBatchesPerGeneration = 4 // at least
)

// batch is what one write and one sync make durable.
type batch struct {
	requests []*request
	copies   []recordCopy
	floor    uint64 // to be raised to; 0 for none
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

// step writes one batch, with a slice of compaction, and tells whether there was anything to do.
func (l *Log) step() bool {
	requests, closed := l.dequeue()
	b := batch{requests: requests}
	scanned := false
	if !closed && l.mayCompact(requests) {
		b.copies, scanned = l.compact(len(requests) > 0)
	}
	if !closed && (!l.lastWriteFailed || len(requests) > 0) {
		b.floor = l.removable()
	}
	if b.empty() {
		return scanned
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

// mayCompact tells whether a batch may carry copies. After a failure compaction tries again only when there are requests, and only
// with those that were refused: it must neither try without end nor take the space that the others need.
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

// take returns the next requests to write.
func (l *Log) dequeue() (requests []*request, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := min(maxBatchBytes, l.options.GenerationBytes/minBatchesPerGeneration)
	n, size := 0, int64(0)
	for n < len(l.queue) && (n == 0 || size+l.queue[n].bytes <= most) {
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
	places := l.encodeBatch(b)
	if l.writer.batchBytes > 0 {
		if err := l.writer.flush(); err != nil {
			return err
		}
		l.lastWriteFailed = false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commitWriter()
	l.commit(b, places)
	return nil
}

// add encodes a batch and returns where its records will be, in order.
func (l *Log) encodeBatch(b *batch) []location {
	var places []location
	for _, r := range b.requests {
		for i := range r.operations {
			op := &r.operations[i]
			if op.kind == kindNone {
				break
			}
			record := diskRecord{kind: op.kind, continued: op.continued, group: op.group, version: op.version, value: op.value}
			record.key = bytesOf(op.key)
			places = append(places, l.writer.add(&record))
		}
	}
	for _, c := range b.copies {
		record := diskRecord{kind: kindPut, group: c.group, version: c.version, key: bytesOf(c.key), value: c.value}
		places = append(places, l.writer.add(&record))
	}
	if b.floor > 0 {
		l.writer.add(&diskRecord{kind: kindFloor, version: b.floor})
	}
	return places
}

// commit notes in the index that a batch is durable. The caller holds mu.
func (l *Log) commit(b *batch, places []location) {
	for _, r := range b.requests {
		for i := range r.operations {
			op := &r.operations[i]
			var at location
			if op.kind != kindNone {
				at, places = places[0], places[1:]
			}
			l.index.commit(op, at)
			l.cacheValue(op)
		}
		l.queuedBytes -= r.bytes
	}
	for i, c := range b.copies {
		l.index.relocate(c.group, c.key, c.from, places[i])
	}
}

// cacheValue keeps a new large value at hand, and forgets the one before it.
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

// takeBack undoes everything that is not durable after a failure, the queue included: later appends may build upon what has failed.
func (l *Log) rollBack(b *batch, err error) {
	if l.writer != nil && l.writer.batchBytes > 0 {
		if failure := l.writer.abandon(); failure != nil {
			l.reportFailure("cutting a generation's end failed", failure)
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
