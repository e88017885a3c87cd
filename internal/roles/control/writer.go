package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/replication"
)

const (
	// storageRetry is the time between attempts to write a batch that the own disk refused.
	storageRetry = 200 * time.Millisecond
	// toleratedRefusals is how often the own disk may refuse a batch before another member is asked to take over: a full disk may have space again by then.
	toleratedRefusals = 2
)

// writer replicates changes of the model in batches, one at a time: what is put while a batch is under way goes into the next one.
type writer struct {
	// write replicates a batch; done is called on the event loop.
	write func(records []replication.Record, done func(error))
	// onBegin is called when a batch begins, with the model as it is after it; what it returns is called when the batch is durable.
	onBegin func() (durable func())
	after   func(time.Duration, func())
	// onRefused is called each time that the own disk has onRefused a batch more often than is borne.
	onRefused func()

	records   []replication.Record
	index     map[string]int // of records, by key
	callbacks []func(error)
	inFlight  bool
	closed    bool
}

// put adds a record to the next batch; the last one of a key counts.
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

// onDurable calls f when all that was put so far is durable, or with an error if its fate is unknown.
func (w *writer) onDurable(f func(error)) {
	if w.closed {
		f(replication.ErrDeposed)
		return
	}
	w.callbacks = append(w.callbacks, f)
}

// idle tells whether nothing is under way.
func (w *writer) idle() bool { return !w.inFlight }

// flush begins the next batch if there is something to do and no batch is under way.
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

// attempt writes a batch until the own disk takes it or the process is deposed. Giving up earlier would leave its fate open.
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

// close ends the writer: what has not begun fails, and what is under way is answered by the replica.
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
