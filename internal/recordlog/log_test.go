package recordlog

import (
	"bytes"
	"fmt"
	"testing"

	"liftgauge/reconcile"
	"liftgauge/replication"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// openStepped opens a log without its writing goroutine; the test calls step instead.
func openStepped(t *testing.T, dir string, options Options, d disk) (*Log, Report) {
	t.Helper()
	if d == nil {
		d = osDisk{}
	}
	l, report, err := open(dir, options, d)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, report
}

// stepUntilIdle steps until there is nothing to do.
func stepUntilIdle(l *Log) {
	for l.step() {
	}
}

func put(key string, version uint64, value string) replication.Record {
	return replication.Record{Key: key, Version: version, Value: []byte(value)}
}

func deletion(key string) replication.Record { return replication.Record{Key: key, Deleted: true} }

// appendNow appends and steps until the append's callback is called.
func appendNow(t *testing.T, l *Log, group uint32, records ...replication.Record) error {
	t.Helper()
	var result error
	called := false
	l.Append(group, records, func(err error) { result, called = err, true })
	for !called {
		if !l.step() && !called {
			t.Fatal("log is idle but the append has no result")
		}
	}
	return result
}

func valueOf(t *testing.T, l *Log, group uint32, key string) string {
	t.Helper()
	record, found, err := l.Get(group, key)
	if err != nil {
		t.Fatal(err)
	}
	if !found {
		return "(none)"
	}
	return string(record.Value)
}

func repeated(c byte, n int) string { return string(bytes.Repeat([]byte{c}, n)) }

func TestAppendAppliesAtOnceAndCallsBackWhenDurable(t *testing.T) {
	is := is.New(t)
	l, _ := openStepped(t, t.TempDir(), Options{}, nil)
	done := 0
	l.Append(1, []replication.Record{put("a", 1, "one"), put("b", 1, repeated('x', 5000))}, func(err error) {
		is.NoErr(err)
		done++
	})
	is.Equal(valueOf(t, l, 1, "a"), "one")
	is.Equal(valueOf(t, l, 1, "b"), repeated('x', 5000))
	is.Equal(l.Digest(1, reconcile.All()).Count, uint64(2))
	is.Equal(done, 0)
	is.True(l.step())
	is.Equal(done, 1)
	is.Equal(valueOf(t, l, 1, "b"), repeated('x', 5000))
	is.Equal(l.Groups(), []uint32{1})
}

func TestReopenRestoresAppendedRecords(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	options := Options{SegmentBytes: 4 << 10, CacheBytes: -1}
	l, _ := openStepped(t, dir, options, nil)
	for i := range 50 {
		is.NoErr(appendNow(t, l, 3, put(fmt.Sprint("small", i), uint64(i), "value"), put(fmt.Sprint("large", i), 1, repeated(byte(i), 1000))))
	}
	is.NoErr(appendNow(t, l, 3, deletion("small7"), put("small8", 99, "new")))
	is.NoErr(appendNow(t, l, 4, put("k", 1, "dropped")))
	is.NoErr(appendNow(t, l, 5, put("k", 1, "")))
	dropped := false
	l.Drop(4, func(err error) { dropped = err == nil })
	stepUntilIdle(l)
	is.True(dropped)
	before := l.Digest(3, reconcile.All())
	is.NoErr(l.Close())

	l, report := openStepped(t, dir, options, nil)
	is.Equal(report.TailCut, false)
	is.True(!report.Damaged())
	is.Equal(report.Live, 100)
	is.Equal(l.Digest(3, reconcile.All()), before)
	is.Equal(valueOf(t, l, 3, "small7"), "(none)")
	is.Equal(valueOf(t, l, 3, "small8"), "new")
	is.Equal(valueOf(t, l, 3, "large9"), repeated(9, 1000))
	is.Equal(valueOf(t, l, 5, "k"), "")
	is.Equal(l.Groups(), []uint32{3, 5})
	inline, large := 0, 0
	l.Each(3, func(key string, _ uint64, value []byte) bool {
		if value == nil {
			large++
		} else {
			inline++
		}
		return true
	})
	is.Equal(inline, 49)
	is.Equal(large, 50)
}

func TestWriterCommitsInOrder(t *testing.T) {
	is := is.New(t)
	l, _, err := Open(t.TempDir(), Options{})
	is.NoErr(err)
	results := make(chan int, 100)
	for i := range 100 {
		l.Append(1, []replication.Record{put("key", uint64(i), repeated('v', i))}, func(err error) {
			if err == nil {
				results <- i
			}
		})
	}
	for i := range 100 {
		is.Equal(<-results, i)
	}
	l.Append(1, nil, func(err error) {
		if err == nil {
			results <- -1
		}
	})
	is.Equal(<-results, -1) // an empty append is a barrier
	closing := make(chan error, 1)
	l.Append(1, []replication.Record{put("last", 1, "")}, func(err error) { closing <- err })
	is.NoErr(l.Close())
	is.NoErr(<-closing)
	l.Append(1, []replication.Record{put("late", 1, "")}, func(err error) { closing <- err })
	is.True(errors.Is(<-closing, ErrClosed))
	is.NoErr(l.Close())
}

func TestTooLargeRecordsAreRefused(t *testing.T) {
	is := is.New(t)
	l, _ := openStepped(t, t.TempDir(), Options{}, nil)
	is.True(errors.Is(appendNow(t, l, 1, put(repeated('k', maxKeyBytes+1), 1, "")), ErrTooLarge))
	is.True(errors.Is(appendNow(t, l, 1, replication.Record{Key: "k", Value: make([]byte, maxValueBytes+1)}), ErrTooLarge))
	is.Equal(len(l.Groups()), 0)
	is.NoErr(appendNow(t, l, 1, put(repeated('k', maxKeyBytes), 1, "v")))
}

func TestCompactionKeepsLiveRecordsAndRemovesTheRest(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	options := Options{SegmentBytes: 8 << 10, GenerationBytes: 32 << 10, CacheBytes: -1}
	l, _ := openStepped(t, dir, options, nil)
	is.NoErr(appendNow(t, l, 1, put("keep", 7, repeated('k', 3000)), put("note", 8, "small")))
	for i := range 400 {
		is.NoErr(appendNow(t, l, 1, put(fmt.Sprint("b", i), 1, repeated('b', 5000))))
		if i >= 3 {
			is.NoErr(appendNow(t, l, 1, deletion(fmt.Sprint("b", i-3)), put("note", uint64(i), "small")))
		}
		stepUntilIdle(l)
		usage, _ := l.Usage()
		is.True(usage < 7*32<<10) // two generations' worth of garbage and live records, and the current one
	}
	is.True(l.floor > 10)
	is.Equal(valueOf(t, l, 1, "keep"), repeated('k', 3000))
	before := l.Digest(1, reconcile.All())
	is.Equal(before.Count, uint64(5))
	is.NoErr(l.Close())
	l, report := openStepped(t, dir, options, nil)
	is.True(!report.Damaged())
	is.Equal(len(report.Removed), 0)
	is.Equal(l.Digest(1, reconcile.All()), before)
	is.Equal(valueOf(t, l, 1, "keep"), repeated('k', 3000))
}
