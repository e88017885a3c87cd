package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/replication"
)

const (
	// storageRetry is the time between attempts to write a batch that the local disk rejected.
	storageRetry = 200 * time.Millisecond
	// toleratedRefusals is how often the local disk may reject a batch before another member is requested to take over: a full disk may have space
	// again by then.
	toleratedRefusals = 2
)

// writer replicates changes of the model in batches, one at a time: records that are put while a batch is in flight go into the next one.
type writer struct {
	// write replicates a batch; done is called on the event loop.
	write func(records []replication.Record, done func(error))
	// onBegin is called when a batch begins, while the model is as the batch leaves it; the returned function is called when the batch is durable.
	onBegin func() (durable func())
	after   func(time.Duration, func())
	// onRefused is called on each rejection of a batch by the local disk beyond toleratedRefusals.
	onRefused func()

	records   []replication.Record
	index     map[string]int // of records, by key
	callbacks []func(error)
	inFlight  bool
	closed    bool
}

// put adds a record to the next batch, where it replaces an earlier one with the same key.
func (w *writer) put(r replication.Record) {
	if w.index == nil {
		w.index = make(map[string]int)
	}
	if i, ok := w.index[r.Key]; ok {
		w.records[i] = r
		return
	}
	w.index[r.Key] = len(w.records)
	w.records = append(w.records, r)
}

// onDurable calls f when all records put so far are durable, or with an error if the outcome is unknown.
func (w *writer) onDurable(f func(error)) {
	if w.closed {
		f(replication.ErrDeposed)
		return
	}
	w.callbacks = append(w.callbacks, f)
}

// idle reports whether no batch is in flight.
func (w *writer) idle() bool { return !w.inFlight }

// flush begins the next batch if there are records or callbacks and no batch is in flight.
func (w *writer) flush() {
	for !w.closed && !w.inFlight && (len(w.records) > 0 || len(w.callbacks) > 0) {
		records, callbacks := w.records, w.callbacks
		w.records, w.index, w.callbacks = nil, nil, nil
		if len(records) == 0 {
			callAll(callbacks, nil)
			continue
		}
		durable := w.onBegin()
		w.inFlight = true
		w.attempt(records, 0, func(err error) {
			w.inFlight = false
			if err == nil && !w.closed {
				durable()
			}
			callAll(callbacks, err)
		})
	}
}

// attempt writes a batch repeatedly until the local disk accepts it or the process is deposed. Giving up earlier would leave the outcome unknown.
func (w *writer) attempt(records []replication.Record, refusals int, done func(error)) {
	w.write(records, func(err error) {
		if errors.Is(err, replication.ErrStorage) && !w.closed {
			refusals++
			if refusals > toleratedRefusals {
				w.onRefused()
			}
			w.after(storageRetry, func() { w.attempt(records, refusals, done) })
			return
		}
		done(err)
	})
}

// close closes the writer: records that are not in flight fail, and the replica reports the outcome of the batch in flight.
func (w *writer) close() {
	w.closed = true
	callbacks := w.callbacks
	w.records, w.index, w.callbacks = nil, nil, nil
	callAll(callbacks, replication.ErrDeposed)
}

func callAll(callbacks []func(error), err error) {
	for _, f := range callbacks {
		f(err)
	}
}
