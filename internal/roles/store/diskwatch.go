package store

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/recordlog"
	"liftgauge/replication"
)

const (
	// stallTimeout is how long the disk may complete nothing before the store stops acting as primary and reports the stall, so that control
	// excludes it. The exclusion, including the round trip to control, should take less than a second.
	stallTimeout = 450 * time.Millisecond
	// refusalExpiry is how long a failed write counts if no other write is attempted.
	refusalExpiry = time.Second
)

// watchedStorage detects that the disk does not complete writes. A store whose disk stalls cannot record the outcome of a delivery, and
// must not send more. A full log is no stalled disk: it has a reserve for the ends of messages, which free its space.
type watchedStorage struct {
	replication.Storage
	steady func() time.Duration

	mu           sync.Mutex
	outstanding  int
	lastProgress time.Duration // when a write last completed, or was started while none was pending
	lastRefusal  time.Duration // when a write last failed; 0 after one has succeeded
	lastNoSpace  time.Duration // when a write was last refused because the space that is left is reserved; 0 for never
}

func newWatchedStorage(storage replication.Storage, steady func() time.Duration) *watchedStorage {
	return &watchedStorage{Storage: storage, steady: steady}
}

// Append implements replication.Storage.
func (w *watchedStorage) Append(group uint32, records []replication.Record, done func(error)) {
	w.begin()
	w.Storage.Append(group, records, func(err error) {
		w.end(err)
		if done != nil {
			done(err)
		}
	})
}

func (w *watchedStorage) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outstanding == 0 {
		w.lastProgress = w.steady()
	}
	w.outstanding++
}

func (w *watchedStorage) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outstanding--
	w.lastProgress = w.steady()
	switch {
	case errors.Is(err, recordlog.ErrReserved):
		w.lastNoSpace = w.lastProgress
		return // the log still takes what ends messages
	case err != nil:
		w.lastRefusal = w.lastProgress
	default:
		w.lastRefusal = 0
	}
}

// full reports whether writes of new records were refused within refusalExpiry.
func (w *watchedStorage) full(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastNoSpace != 0 && now-w.lastNoSpace < refusalExpiry
}

// excludePause does not count a pause of this process as time without progress of the disk.
func (w *watchedStorage) excludePause(gap time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastProgress += gap
}

// stalled reports whether the disk has completed nothing for stallTimeout although writes are pending, or fails writes.
func (w *watchedStorage) stalled(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outstanding > 0 && now-w.lastProgress > stallTimeout || w.lastRefusal != 0 && now-w.lastRefusal < refusalExpiry
}
