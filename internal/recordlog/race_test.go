package recordlog

import (
	"fmt"
	"sync"
	"testing"

	"liftgauge/reconcile"
	"liftgauge/replication"

	"github.com/matryer/is"
)

// TestReadsDuringWritesAndCompaction reads values that are queued, cached, on disk and being copied; it is meant to run under the
// race detector.
func TestReadsDuringWritesAndCompaction(t *testing.T) {
	is := is.New(t)
	options := Options{SegmentBytes: 8 << 10, GenerationBytes: 32 << 10, CacheBytes: 4 << 10}
	dir := t.TempDir()
	l, _, err := Open(dir, options)
	is.NoErr(err)
	const writers, rounds, kept = 3, 150, 10
	var all sync.WaitGroup
	failures := make(chan error, 10*writers*rounds)
	for w := range writers {
		group := uint32(w)
		value := func(i int) []byte { return []byte(repeated(byte(i), 1000+i)) }
		all.Go(func() {
			for i := range rounds {
				written := make(chan error, 1)
				l.Append(group, []replication.Record{
					{Key: fmt.Sprint("k", i%kept), Version: uint64(i), Value: value(i)}, {Key: fmt.Sprint("t", i), Version: 1, Value: value(i)},
				}, func(err error) { written <- err })
				l.Append(group, []replication.Record{deletion(fmt.Sprint("t", i))}, nil)
				for back := range min(i, kept) {
					record, found, err := l.Get(group, fmt.Sprint("k", (i-back)%kept))
					if err != nil || !found || string(record.Value) != string(value(i-back)) {
						failures <- fmt.Errorf("get: %v %v, round %d of %d", found, err, i-back, i)
					}
				}
				if err := <-written; err != nil {
					failures <- err
				}
			}
		})
	}
	all.Go(func() {
		for range rounds {
			for _, group := range l.Groups() {
				l.Each(group, func(key string, _ uint64, _ []byte) bool { return key != "" })
				if l.Digest(group, reconcile.All()).Count > kept+1 {
					failures <- fmt.Errorf("too many records in group %d", group)
				}
			}
			l.Usage()
		}
	})
	all.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	is.NoErr(l.Close())
	l, report := openStepped(t, dir, options, nil)
	is.True(!report.Damaged())
	is.Equal(report.Live, writers*kept)
	is.True(l.floor > 1)
}
