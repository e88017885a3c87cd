package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/replication"
)

// manualWrites collects the batches of a writer; the test completes them manually.
type manualWrites struct {
	batches [][]replication.Record
	done    []func(error)
	retries []func()
	began   int
	durable int
}

func (h *manualWrites) writer() *writer {
	return &writer{
		write: func(records []replication.Record, done func(error)) {
			h.batches = append(h.batches, records)
			h.done = append(h.done, done)
		},
		onBegin: func() func() { h.began++; return func() { h.durable++ } },
		after:   func(_ time.Duration, f func()) { h.retries = append(h.retries, f) },
	}
}

func record(key, value string) replication.Record {
	return replication.Record{Key: key, Value: []byte(value)}
}

func TestWriterCollectsRecordsDuringABatch(t *testing.T) {
	is := is.New(t)
	var h manualWrites
	w := h.writer()
	var outcomes []string
	note := func(name string) func(error) {
		return func(err error) {
			if err != nil {
				name += " failed"
			}
			outcomes = append(outcomes, name)
		}
	}
	w.put(record("a", "1"))
	w.onDurable(note("first"))
	w.flush()
	w.put(record("a", "2"))
	w.put(record("b", "1"))
	w.put(record("a", "3"))
	w.onDurable(note("second"))
	w.flush()
	is.Equal(len(h.batches), 1) // one at a time
	is.Equal(len(outcomes), 0)
	h.done[0](nil)
	is.Equal(outcomes, []string{"first"})
	w.flush()
	is.Equal(h.batches[1], []replication.Record{record("a", "3"), record("b", "1")}) // the last record of a key is written
	h.done[1](nil)
	is.Equal(outcomes, []string{"first", "second"})
	is.Equal(h.durable, 2)
}

// After repeated rejections of a batch by the disk another member is requested to take over, while the batch is retried.
func TestWriterReportsADiskThatRejectsWrites(t *testing.T) {
	is := is.New(t)
	var h manualWrites
	w, reported := h.writer(), 0
	w.onRefused = func() { reported++ }
	w.put(record("a", "1"))
	w.flush()
	for n := range toleratedRefusals + 2 {
		h.done[n](replication.ErrStorage)
		is.Equal(reported, max(0, n+1-toleratedRefusals))
		h.retries[n]()
	}
	h.done[toleratedRefusals+2](nil)
	is.Equal(h.durable, 1)
	w.put(record("a", "2")) // the next batch starts counting anew
	w.flush()
	h.done[toleratedRefusals+3](replication.ErrStorage)
	is.Equal(reported, 2)
}

func TestWriterCallsBackAtOnceWithNothingToWrite(t *testing.T) {
	is := is.New(t)
	var h manualWrites
	w := h.writer()
	answered := false
	w.onDurable(func(err error) { answered = err == nil })
	w.flush()
	is.True(answered)
	is.Equal(h.began, 0)
}

func TestWriterRetriesABatchThatTheDiskRejected(t *testing.T) {
	is := is.New(t)
	var h manualWrites
	w := h.writer()
	var outcome error
	answered := 0
	w.put(record("a", "1"))
	w.onDurable(func(err error) { outcome = err; answered++ })
	w.flush()
	h.done[0](replication.ErrStorage)
	is.Equal(answered, 0) // its outcome is unknown
	h.retries[0]()
	is.Equal(len(h.batches), 2)
	h.done[1](nil)
	is.Equal(answered, 1)
	is.NoErr(outcome)
}

func TestWriterFailsAllCallbacksWhenClosed(t *testing.T) {
	is := is.New(t)
	var h manualWrites
	w := h.writer()
	failed := 0
	count := func(err error) {
		if err != nil {
			failed++
		}
	}
	w.put(record("a", "1"))
	w.onDurable(count)
	w.flush()
	w.put(record("b", "1"))
	w.onDurable(count)
	w.close()
	is.Equal(failed, 1) // the one that had not begun
	h.done[0](replication.ErrDeposed)
	is.Equal(failed, 2)
	w.onDurable(count)
	is.Equal(failed, 3)
	w.flush()
	is.Equal(len(h.batches), 1)
	is.Equal(h.durable, 0) // nothing was published
}
