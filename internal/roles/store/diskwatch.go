package store

import (
	"sync"
	"time"

	"liftgauge/replication"
)

const (
	// stallTimeout is how long the disk may take for a sync before the store stops acting as primary, and asks to be left out. A store is
	// to be out of its partitions within a second, with the round over control.
	stallTimeout = 450 * time.Millisecond
	// refusalExpiry is how long a refused write counts if no other is tried.
	refusalExpiry = time.Second
)

// watchedStorage tells when the disk does not finish what it was given. A store whose disk stalls cannot record what becomes of a
// message, and must not hand out more.
type watchedStorage struct {
	replication.Storage
	steady func() time.Duration

	mu           sync.Mutex
	outstanding  int
	lastProgress time.Duration // when something was last finished, or begun after a rest
	lastRefusal  time.Duration // when the disk last refused a write; 0 once one has succeeded
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
	w.lastRefusal = 0
	if err != nil {
		w.lastRefusal = w.lastProgress
	}
}

// excludePause says that this process stood still for a time, in which the disk could not show that it finishes anything.
func (w *watchedStorage) excludePause(gap time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastProgress += gap
}

// stalled reports whether the disk has finished nothing for too long, or refuses writes.
func (w *watchedStorage) stalled(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outstanding > 0 && now-w.lastProgress > stallTimeout || w.lastRefusal != 0 && now-w.lastRefusal < refusalExpiry
}
