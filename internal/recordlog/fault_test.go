package recordlog

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	"liftgauge/reconcile"
	"liftgauge/replication"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestFailedWriteRollsBackAllQueuedAppends(t *testing.T) {
	for _, fault := range []string{"WriteBatch", "Sync"} {
		for _, cuts := range []bool{true, false} {
			t.Run(fmt.Sprint(fault, cuts), func(t *testing.T) {
				is := is.New(t)
				dir, d := t.TempDir(), newPowerLossDisk()
				var reported []error
				l, _ := openStepped(t, dir, Options{OnError: func(err error) { reported = append(reported, err) }}, d)
				is.NoErr(appendNow(t, l, 1, put("a", 1, "old"), put("b", 1, repeated('b', 1000))))
				want := contents(t, l)
				d.faults[fault] = syscall.EIO
				if !cuts {
					d.faults["Truncate"], d.faults["SyncFile"] = syscall.EIO, syscall.EIO
				}
				var results []error
				collect := func(err error) { results = append(results, err) }
				l.Append(1, []replication.Record{put("a", 2, "new"), deletion("b"), put("c", 1, repeated('c', 1000))}, collect)
				d.onWrite = func() { l.Append(1, []replication.Record{put("a", 3, "newer"), put("d", 1, "")}, collect) }
				stepUntilIdle(l)
				is.Equal(len(results), 2)
				is.True(errors.Is(results[0], ErrWrite) && errors.Is(results[1], ErrWrite))
				is.True(len(reported) > 0)
				is.Equal(contents(t, l), want)
				is.Equal(l.Digest(1, reconcile.All()).Count, uint64(2))

				clear(d.faults)
				is.NoErr(appendNow(t, l, 1, put("e", 1, "after")))
				want = contents(t, l)
				is.NoErr(l.Close())
				l, report := openStepped(t, dir, Options{}, nil)
				is.True(!report.Damaged())
				is.Equal(contents(t, l), want) // if the file could not be truncated, the next generation's header marks its end
			})
		}
	}
}

func TestNoSpaceReturnsErrFullUntilSpaceIsAvailable(t *testing.T) {
	is := is.New(t)
	d := newPowerLossDisk()
	l, _ := openStepped(t, t.TempDir(), Options{}, d)
	is.NoErr(appendNow(t, l, 1, put("a", 1, "x")))
	want := contents(t, l)
	d.faults["WriteBatch"], d.faults["CreateJournal"] = syscall.ENOSPC, syscall.ENOSPC
	for range 3 {
		is.True(errors.Is(appendNow(t, l, 1, put("a", 2, "y"), put("b", 2, "y")), ErrFull))
		is.Equal(contents(t, l), want)
	}
	clear(d.faults)
	is.NoErr(appendNow(t, l, 1, put("b", 3, "z")))
	is.Equal(valueOf(t, l, 1, "b"), "z")
}

func TestOpenSucceedsWithoutSpace(t *testing.T) {
	is := is.New(t)
	dir, d := t.TempDir(), newPowerLossDisk()
	writeStages(t, dir, Options{})
	d.faults["CreateJournal"] = syscall.ENOSPC
	l, _ := openStepped(t, dir, Options{}, d)
	is.Equal(valueOf(t, l, 1, "e"), "five")
	is.True(errors.Is(appendNow(t, l, 1, put("a", 2, "y")), ErrFull))
	clear(d.faults)
	is.NoErr(appendNow(t, l, 1, put("a", 3, "z")))
	is.NoErr(l.Close())
	l, report := openStepped(t, dir, Options{}, nil)
	is.True(!report.Damaged())
	is.Equal(valueOf(t, l, 1, "a"), "z")
	is.Equal(valueOf(t, l, 1, "e"), "five")

	d = newPowerLossDisk()
	d.faults["CreateJournal"] = syscall.EIO
	_, _, err := open(dir, Options{}, d)
	is.True(errors.Is(err, ErrWrite))
}

// fillLog returns a log that is filled up to its limit with records of 1000 bytes, and their keys.
func fillLog(t *testing.T, dir string, options Options, d disk) (l *Log, keys []string) {
	t.Helper()
	l, _ = openStepped(t, dir, options, d)
	for i := 0; ; i++ {
		key := fmt.Sprint("k", i)
		err := appendNow(t, l, 1, put(key, 1, repeated('x', 1000)))
		if errors.Is(err, ErrFull) {
			return l, keys
		}
		if err != nil {
			t.Fatal(err)
		}
		keys = append(keys, key)
	}
}

var smallDisk = Options{SegmentBytes: 8 << 10, GenerationBytes: 32 << 10, DiskBytes: 512 << 10, CacheBytes: -1}

// A log that refuses new records because of its reserve is told from a disk that takes nothing.
func TestReserveIsToldFromAFullDisk(t *testing.T) {
	is := is.New(t)
	l, _ := fillLog(t, t.TempDir(), smallDisk, newPowerLossDisk())
	is.True(errors.Is(appendNow(t, l, 1, put("another", 1, repeated('x', 1000))), ErrReserved))
	is.True(errors.Is(ErrReserved, ErrFull))
	is.True(!errors.Is(ErrFull, ErrReserved))
	is.True(!errors.Is(writeError(syscall.ENOSPC), ErrReserved))
}

func TestFullLogRefusesPutsAndAcceptsDeletions(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, keys := fillLog(t, dir, smallDisk, nil)
	is.True(len(keys) > 350)
	refused, _, _ := l.Get(1, fmt.Sprint("k", len(keys)))
	is.Equal(refused.Key, "")
	usage, limit := l.Usage()
	is.Equal(limit, int64(512<<10))
	is.True(usage < limit)
	for _, key := range keys[:200] { // a message completes: its state is kept for a while, its body is deleted
		is.NoErr(appendNow(t, l, 1, put("s"+key, 1, "ended"), deletion(key)))
	}
	stepUntilIdle(l)
	is.True(!l.Full())
	for i := range 100 {
		is.NoErr(appendNow(t, l, 1, put(fmt.Sprint("n", i), 1, repeated('n', 1000))))
	}
	want := contents(t, l)
	is.NoErr(l.Close())
	onDisk := diskUsage(t, dir)
	is.True(onDisk <= 512<<10)
	l, report := openStepped(t, dir, smallDisk, nil)
	is.True(!report.Damaged())
	is.Equal(contents(t, l), want)
}

func diskUsage(t *testing.T, dir string) (size int64) {
	t.Helper()
	folders, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, folder := range folders {
		for _, path := range segmentPaths(t, dir+"/"+folder.Name()) {
			info, err := os.Stat(path)
			if err != nil {
				t.Fatal(err)
			}
			size += info.Size()
		}
	}
	return size
}

func TestNearlyFullLogStaysWithinItsLimit(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _ := openStepped(t, dir, smallDisk, unsyncedDisk())
	refused := 0
	for i := range 6000 { // 300 live bodies of 1 kB use 60 percent of the 512 kB
		err := appendNow(t, l, 1, put(fmt.Sprint("b", i), 1, repeated('b', 1000)), put(fmt.Sprint("s", i%40), uint64(i), "state"))
		if errors.Is(err, ErrFull) {
			refused++
		} else {
			is.NoErr(err)
		}
		if i >= 300 {
			is.NoErr(appendNow(t, l, 1, deletion(fmt.Sprint("b", i-300)), put(fmt.Sprint("s", i%40), uint64(i), "ended")))
		}
		if i%100 == 0 {
			is.True(diskUsage(t, dir) <= 512<<10)
		}
	}
	is.Equal(refused, 0)
}

func TestCompactionDoesNotSpinWhileTheDiskFails(t *testing.T) {
	is := is.New(t)
	d := newPowerLossDisk()
	options := Options{SegmentBytes: 8 << 10, GenerationBytes: 32 << 10, CacheBytes: -1}
	l, _ := openStepped(t, t.TempDir(), options, d)
	is.NoErr(appendNow(t, l, 1, put("keep", 1, repeated('k', 1000))))
	d.faults["Sync"] = nil
	for i := 0; l.compactionTarget() == nil; i++ {
		l.Append(1, []replication.Record{put("x", uint64(i), repeated('x', 5000))}, nil)
		l.compaction = nil
		l.step()
		l.endCompaction()
	}
	d.faults["WriteBatch"], d.faults["CreateJournal"] = syscall.EIO, syscall.EIO
	before := d.count("")
	stepUntilIdle(l)
	is.True(d.count("")-before < 20)
	clear(d.faults)
	is.NoErr(appendNow(t, l, 1, put("y", 1, "")))
	stepUntilIdle(l)
	is.True(l.floor > 1)
	is.Equal(valueOf(t, l, 1, "keep"), repeated('k', 1000))
}

func TestDamagedLiveRecordStopsCompactionAndIsKept(t *testing.T) {
	is := is.New(t)
	var reported []error
	options := Options{
		SegmentBytes: 8 << 10, GenerationBytes: 32 << 10, CacheBytes: -1, OnError: func(err error) { reported = append(reported, err) },
	}
	dir := t.TempDir()
	l, _ := openStepped(t, dir, options, nil)
	is.NoErr(appendNow(t, l, 1, put("bad", 1, repeated('b', 1000))))
	modifyFile(t, l.generations[0].segments[0].path, func(b []byte) []byte {
		b[600] ^= 1
		return b
	})
	for i := range 60 {
		is.NoErr(appendNow(t, l, 1, put("x", uint64(i), repeated('x', 5000))))
		stepUntilIdle(l)
	}
	is.Equal(l.generations[0].number, uint64(1))
	is.Equal(len(reported), 1)
	is.True(errors.Is(reported[0], ErrCorrupt))
	_, _, err := l.Get(1, "bad")
	is.True(errors.Is(err, ErrCorrupt))
	is.Equal(l.Digest(1, reconcile.All()).Count, uint64(2))
	is.NoErr(appendNow(t, l, 1, put("bad", 1, repeated('b', 1000)))) // repaired from another member
	stepUntilIdle(l)
	is.True(l.generations[0].number > 1)
	is.Equal(valueOf(t, l, 1, "bad"), repeated('b', 1000))
}
