package recordlog

import (
	"math"
	"slices"
	"sync"

	"liftgauge/reconcile"
	"liftgauge/replication"

	"go.uber.org/multierr"
	"go.uber.org/zap"
)

// Log stores records on disk. It is safe for concurrent use.
type Log struct {
	dir        string
	options    Options
	disk       disk
	files      *fileCache
	wake       chan struct{}
	writerDone chan struct{} // closed when the writing goroutine returns; nil before it is started

	// The fields from here to mu belong to the writing goroutine.
	writer          *generationWriter // of the newest generation; nil after a failure until a new one is begun
	nextGeneration  uint64            // number of the next generation
	lastSegmentID   uint32            // the last segment ID in use
	floor           uint64            // durable
	compaction      *compaction       // in progress, or nil
	lastWriteFailed bool

	mu          sync.Mutex
	index       *index
	generations []*generation // oldest first
	usage       int64         // durable bytes of all generations
	queue       []*request
	queuedBytes int64 // bytes of the queue and of the batch being written
	values      valueCache
	closed      bool
}

var _ replication.Storage = (*Log)(nil)

// request is one call of Append or Drop.
type request struct {
	operations []operation
	bytes      int64
	done       func(error)
	err        error // the append was refused with this error and has no operations
}

// Open reads the log in a folder, which is created if necessary, and starts the writing goroutine. All records that it has read are
// durable when Open returns. If there is no space for a new generation Open succeeds, and appends fail with ErrFull until there is.
func Open(dir string, options Options) (*Log, Report, error) {
	l, report, err := open(dir, options, options.withDefaults().Disk)
	if err != nil {
		return nil, report, err
	}
	l.start()
	return l, report, nil
}

// start starts the writing goroutine.
func (l *Log) start() {
	l.writerDone = make(chan struct{})
	go l.run()
}

// Close writes all queued appends, calls their callbacks, and closes the files.
func (l *Log) Close() error {
	l.mu.Lock()
	alreadyClosed := l.closed
	l.closed = true
	l.mu.Unlock()
	if l.writerDone != nil {
		l.notify()
		<-l.writerDone
	}
	if alreadyClosed {
		return nil
	}
	l.endCompaction()
	var err error
	if l.writer != nil {
		err = l.writer.journal.Close()
	}
	return multierr.Append(err, l.files.close())
}

// Append implements replication.Storage. The values must not be modified afterwards. An append is atomic: either all of its records are
// stored or none.
func (l *Log) Append(group uint32, records []replication.Record, done func(error)) {
	l.mu.Lock()
	r := &request{done: done, bytes: recordsBytes(records)}
	if r.err = l.admissionError(group, records, r.bytes); r.err == nil {
		r.operations = l.index.operations(group, records)
	}
	l.enqueue(r)
}

// Drop implements replication.Storage.
func (l *Log) Drop(group uint32, done func(error)) {
	l.mu.Lock()
	r := &request{done: done, bytes: frameBytes(0, 0)}
	if l.closed {
		r.err = ErrClosed
	} else {
		r.operations = l.index.dropOperations(group)
	}
	l.enqueue(r)
}

// enqueue applies a request to the index and queues it for the writing goroutine. The caller holds mu; enqueue unlocks it.
func (l *Log) enqueue(r *request) {
	if l.closed {
		l.mu.Unlock()
		if r.done != nil {
			go r.done(ErrClosed)
		}
		return
	}
	l.index.apply(r.operations)
	if r.err != nil {
		r.bytes = 0
	}
	l.queuedBytes += r.bytes
	l.queue = append(l.queue, r)
	l.mu.Unlock()
	l.notify()
}

func (l *Log) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func recordsBytes(records []replication.Record) int64 {
	var size int64
	for i := range records {
		if records[i].Deleted {
			size += frameBytes(len(records[i].Key), 0)
		} else {
			size += frameBytes(len(records[i].Key), len(records[i].Value))
		}
	}
	return size
}

// admissionError returns the error with which an append is refused, or nil. The caller holds mu.
func (l *Log) admissionError(group uint32, records []replication.Record, size int64) error {
	if l.closed {
		return ErrClosed
	}
	for i := range records {
		if len(records[i].Key) > maxKeyBytes || len(records[i].Value) > maxValueBytes {
			return ErrTooLarge
		}
	}
	if l.options.DiskBytes <= 0 {
		return nil
	}
	switch after := l.usage + l.queuedBytes + size; {
	case after <= l.putLimit():
		return nil
	case after <= l.reclaimLimit() && l.freesSpace(group, records, size):
		return nil
	case after-size < l.reclaimLimit():
		return ErrReserved
	}
	return ErrFull
}

// The space reserved at the end of DiskBytes, in quarters of a generation. Compaction must always be able to copy the oldest generation,
// which may exceed its length by one batch, and deletions must still be accepted when there is no space left for anything else.
const (
	compactionReserve         = 6
	deletionReserve           = 4
	reserveUnitsPerGeneration = 4
)

// putLimit returns the usage up to which all appends are accepted.
func (l *Log) putLimit() int64 {
	return l.options.DiskBytes - l.options.GenerationBytes*(compactionReserve+deletionReserve)/reserveUnitsPerGeneration
}

// reclaimLimit returns the usage up to which appends that free space are accepted.
func (l *Log) reclaimLimit() int64 {
	return l.options.DiskBytes - l.options.GenerationBytes*compactionReserve/reserveUnitsPerGeneration
}

// freesSpace reports whether an append replaces or deletes records and does not increase the live bytes.
func (l *Log) freesSpace(group uint32, records []replication.Record, size int64) bool {
	var replaced int64
	for i := range records {
		if current := l.index.find(group, records[i].Key); current != nil {
			replaced += current.frameBytes()
		}
		if records[i].Deleted {
			size -= frameBytes(len(records[i].Key), 0)
		}
	}
	return replaced > 0 && size <= replaced
}

// Usage returns the bytes on disk, including those of queued appends, and the limit, which is 0 for none.
func (l *Log) Usage() (bytes, limit int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage + l.queuedBytes, max(l.options.DiskBytes, 0)
}

// Live returns the bytes of the records that are not deleted or replaced, and how many the log takes, which is 0 for no limit.
func (l *Log) Live() (bytes, capacity int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.options.DiskBytes > 0 {
		capacity = l.putLimit()
	}
	return l.liveBytes(), capacity
}

// Full reports whether appends that need more space are currently refused.
func (l *Log) Full() bool {
	if l.options.DiskBytes <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage+l.queuedBytes >= l.putLimit()
}

// Room returns the bytes that are left before appends that need more space are refused. The log is nearly full if that is less than the
// length of a generation.
func (l *Log) Room() (bytes int64, nearlyFull bool) {
	if l.options.DiskBytes <= 0 {
		return math.MaxInt64, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	bytes = max(l.putLimit()-l.usage-l.queuedBytes, 0)
	return bytes, bytes < l.options.GenerationBytes
}

// Groups returns the groups that have records, in order.
func (l *Log) Groups() []uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	groups := make([]uint32, 0, len(l.index.groups))
	for group := range l.index.groups {
		groups = append(groups, group)
	}
	slices.Sort(groups)
	return groups
}

// Digest implements replication.Storage.
func (l *Log) Digest(group uint32, r reconcile.Range) reconcile.Digest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if elements := l.index.groups[group]; elements != nil {
		return elements.Digest(r)
	}
	return reconcile.Digest{}
}

// Items implements replication.Storage.
func (l *Log) Items(group uint32, r reconcile.Range) []reconcile.Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	if elements := l.index.groups[group]; elements != nil {
		return elements.Items(r)
	}
	return nil
}

// Each calls f for each record of a group, as of the call of Each, until f returns false. The value is nil if it is not kept in memory;
// Get returns it. f may call the log.
func (l *Log) Each(group uint32, f func(key string, version uint64, value []byte) bool) {
	for _, e := range l.entries(group) {
		var value []byte
		if kept, inline := e.inline(); inline {
			value = []byte(kept)
		}
		if !f(e.key(), e.version(), value) {
			return
		}
	}
}

func (l *Log) entries(group uint32) []entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	elements := l.index.groups[group]
	if elements == nil {
		return nil
	}
	entries := make([]entry, 0, elements.Len())
	elements.Each(reconcile.All(), func(e entry) bool {
		entries = append(entries, e)
		return true
	})
	return entries
}

// reportFailure logs an error and passes it to Options.OnError.
func (l *Log) reportFailure(message string, err error) {
	l.options.Logger.Warn(message, zap.String("folder", l.dir), zap.Error(err))
	l.options.OnError(err)
}
