package recordlog

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"liftgauge/reconcile"
	"liftgauge/replication"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// contents returns all records of a log.
func contents(t *testing.T, l *Log) map[string]string {
	t.Helper()
	found := make(map[string]string)
	for _, group := range l.Groups() {
		for _, item := range l.Items(group, reconcile.All()) {
			found[fmt.Sprintf("%d/%s@%d", group, item.Key, item.Version)] = valueOf(t, l, group, item.Key)
		}
	}
	return found
}

// unsyncedDisk returns a disk that does not sync, since tests that open a log for each byte of a file would take too long otherwise.
func unsyncedDisk() disk { return newPowerLossDisk() }

// openCopy opens a copy of a folder after modifying it with change.
func openCopy(t *testing.T, dir string, options Options, change func(dir string)) (*Log, Report) {
	t.Helper()
	copied := t.TempDir()
	if err := os.CopyFS(copied, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	change(copied)
	l, report, err := open(copied, options, unsyncedDisk())
	if err != nil {
		t.Fatalf("%+v", err)
	}
	return l, report
}

// writeStages writes a few appends into one generation, and returns the contents and the length of the file after each.
func writeStages(t *testing.T, dir string, options Options) (states []map[string]string, ends []int64) {
	t.Helper()
	l, _ := openStepped(t, dir, options, nil)
	note := func() {
		states = append(states, contents(t, l))
		ends = append(ends, l.generations[0].last().size)
	}
	note()
	for _, records := range [][]replication.Record{
		{put("a", 1, "one")},
		{put("a", 2, "two"), put("b", 3, repeated('b', 40)), put("c", 4, "")},
		{deletion("a")},
		{put("d", 5, repeated('d', 60)), deletion("b")},
		{put("e", 6, "five")},
	} {
		if err := appendNow(t, l, 1, records...); err != nil {
			t.Fatal(err)
		}
		note()
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return states, ends
}

const firstSegmentFile = "0000000001/00000000000000000001"

func modifyFile(t *testing.T, path string, change func(content []byte) []byte) {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, change(content), 0o640); err != nil {
		t.Fatal(err)
	}
}

// stageAt returns the last stage that ends at or before an offset.
func stageAt(ends []int64, offset int64) int {
	stage := 0
	for i, end := range ends {
		if end <= offset {
			stage = i
		}
	}
	return stage
}

func TestTruncatedTailKeepsEarlierAppends(t *testing.T) {
	dir := t.TempDir()
	options := Options{MaxInlineBytes: 16}
	states, ends := writeStages(t, dir, options)
	for cut := ends[0]; cut <= ends[len(ends)-1]; cut++ {
		l, report := openCopy(t, dir, options, func(dir string) {
			modifyFile(t, filepath.Join(dir, firstSegmentFile), func(b []byte) []byte { return b[:cut] })
		})
		stage := stageAt(ends, cut)
		if found := contents(t, l); !maps.Equal(found, states[stage]) {
			t.Fatalf("cut at %d: %v, want %v", cut, found, states[stage])
		}
		if report.TailCut != (ends[stage] != cut) || report.Damaged() {
			t.Fatalf("cut at %d: %+v", cut, report)
		}
		if report.TailCut && report.TailOffset != ends[stage] {
			t.Fatalf("cut at %d: %+v, want offset %d", cut, report, ends[stage])
		}
		if err := appendNow(t, l, 2, put("after", 1, "x")); err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
	}
}

func TestCorruptByteInTailEndsRecoveryThere(t *testing.T) {
	dir := t.TempDir()
	options := Options{MaxInlineBytes: 16}
	states, ends := writeStages(t, dir, options)
	for at := ends[0]; at < ends[len(ends)-1]; at++ {
		l, report := openCopy(t, dir, options, func(dir string) {
			modifyFile(t, filepath.Join(dir, firstSegmentFile), func(b []byte) []byte {
				b[at] ^= 0x41
				return b
			})
		})
		if found, want := contents(t, l), states[stageAt(ends, at)]; !maps.Equal(found, want) || !report.TailCut {
			t.Fatalf("byte %d changed: %v, want %v, %+v", at, found, want, report)
		}
		_ = l.Close()
	}
}

func TestRecordsAfterZeroedBytesAreIgnored(t *testing.T) {
	dir := t.TempDir()
	options := Options{MaxInlineBytes: 16}
	states, ends := writeStages(t, dir, options)
	for first := 1; first < len(ends)-1; first++ {
		for last := first; last < len(ends)-1; last++ {
			l, report := openCopy(t, dir, options, func(dir string) {
				modifyFile(t, filepath.Join(dir, firstSegmentFile), func(b []byte) []byte {
					clear(b[ends[first-1]:ends[last]])
					return b
				})
			})
			if found := contents(t, l); !maps.Equal(found, states[first-1]) || !report.TailCut {
				t.Fatalf("appends %d to %d zeroed: %v, want %v, %+v", first, last, found, states[first-1], report)
			}
			_ = l.Close()
		}
	}
}

// writeSegments writes appends across several segments of one generation, and returns the contents at the beginning of each segment.
func writeSegments(t *testing.T, dir string, options Options) (states []map[string]string) {
	t.Helper()
	l, _ := openStepped(t, dir, options, nil)
	for i := 0; len(l.generations[0].segments) < 5; i++ {
		if len(l.generations[0].segments) > len(states) {
			states = append(states, contents(t, l))
		}
		if err := appendNow(t, l, 1, put(fmt.Sprint("k", i%7), uint64(i), repeated(byte(i), 50))); err != nil {
			t.Fatal(err)
		}
	}
	states = append(states, contents(t, l))
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return states
}

func segmentPaths(t *testing.T, folder string) []string {
	t.Helper()
	firsts, err := listSegments(folder)
	if err != nil {
		t.Fatal(err)
	}
	var paths []string
	for _, first := range firsts {
		paths = append(paths, segmentPath(folder, first))
	}
	return paths
}

func TestMissingTailSegmentEndsRecovery(t *testing.T) {
	dir := t.TempDir()
	options := Options{SegmentBytes: 400}
	states := writeSegments(t, dir, options)
	for missing := 1; missing < len(states); missing++ {
		l, report := openCopy(t, dir, options, func(dir string) {
			if err := os.Remove(segmentPaths(t, generationFolder(dir, 1))[missing]); err != nil {
				t.Fatal(err)
			}
		})
		if found := contents(t, l); !maps.Equal(found, states[missing]) {
			t.Fatalf("segment %d missing: %v, want %v, %+v", missing, found, states[missing], report)
		}
		if report.TailCut != (missing < len(states)-1) { // the last segment is empty, so its absence is no damage
			t.Fatalf("segment %d missing: %+v", missing, report)
		}
		_ = l.Close()
	}
}

func TestDamageInASealedGenerationIsSkippedAndReported(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	options := Options{MaxInlineBytes: 16}
	_, ends := writeStages(t, dir, options)
	l, _ := openStepped(t, dir, options, nil) // seals the first generation
	complete := contents(t, l)
	is.NoErr(l.Close())
	l, report := openCopy(t, dir, options, func(dir string) {
		modifyFile(t, filepath.Join(dir, firstSegmentFile), func(b []byte) []byte {
			b[ends[4]-60] ^= 1 // the value of d
			return b
		})
	})
	is.Equal(report.Garbled, 1)
	is.True(report.Damaged())
	delete(complete, "1/d@5")
	is.Equal(contents(t, l), complete)
	l, report = openCopy(t, dir, options, func(dir string) {
		modifyFile(t, filepath.Join(dir, firstSegmentFile), func(b []byte) []byte { return b[:ends[4]] })
	})
	is.Equal(report.Garbled, 1) // shorter than the next generation's header records
	is.Equal(valueOf(t, l, 1, "e"), "(none)")
	l, report = openCopy(t, dir, options, func(dir string) { is.NoErr(os.RemoveAll(generationFolder(dir, 1))) })
	is.Equal(report.Missing, 1)
	is.Equal(len(l.Groups()), 0)
	l, report = openCopy(t, dir, options, func(dir string) {
		modifyFile(t, filepath.Join(dir, firstSegmentFile), func(b []byte) []byte {
			b[40] ^= 1 // in its header; the salt is also in the next generation's header
			return b
		})
	})
	is.True(report.Damaged())
	is.Equal(contents(t, l)["1/e@6"], "five")
}

func TestDamagedNewestGenerationHeaderIsReported(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	writeStages(t, dir, Options{})
	_, report := openCopy(t, dir, Options{}, func(dir string) {
		modifyFile(t, filepath.Join(dir, firstSegmentFile), func(b []byte) []byte {
			b[40] ^= 1
			return b
		})
	})
	is.Equal(report.Missing, 1)
}

func TestNewerFormatIsNotModified(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	record := diskRecord{kind: kindGeneration, position: 1, value: []byte{formatVersion + 1, 0, 0, 0, 9}}
	encoded := record.appendTo(nil, 0)
	is.NoErr(os.MkdirAll(generationFolder(dir, 1), 0o750))
	path := filepath.Join(dir, firstSegmentFile)
	is.NoErr(os.WriteFile(path, append([]byte{byte(len(encoded))}, encoded...), 0o640))
	_, _, err := Open(dir, Options{})
	is.True(errors.Is(err, ErrFormat))
	_, err = os.Stat(path)
	is.NoErr(err)
}

// compactedLog fills and compacts a log until generation 1 is removed, and returns copies of the removed files.
func compactedLog(t *testing.T, dir string, options Options) (removed map[string][]byte, l *Log) {
	t.Helper()
	is := is.New(t)
	d := newPowerLossDisk()
	l, _ = openStepped(t, dir, options, d)
	is.NoErr(appendNow(t, l, 1, put("ghost", 1, repeated('g', 100)), put("kept", 2, "old")))
	for i := 0; len(l.generations[0].segments) < 3; i++ {
		is.NoErr(appendNow(t, l, 1, put("filler", uint64(i), repeated('f', 100))))
	}
	is.NoErr(appendNow(t, l, 1, deletion("ghost"), put("kept", 3, "new")))
	for i := 0; l.generations[0].number == 1; i++ {
		is.NoErr(appendNow(t, l, 1, put("filler", uint64(i), repeated('f', 100))))
		stepUntilIdle(l)
	}
	for range 3 {
		is.NoErr(appendNow(t, l, 1, put("tail", 1, "x")))
	}
	is.True(len(d.removed) >= 3)
	return d.removed, l
}

func TestReappearingRemovedFilesAreIgnored(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	options := Options{SegmentBytes: 400, GenerationBytes: 1600, CacheBytes: -1}
	removed, l := compactedLog(t, dir, options)
	want := contents(t, l)
	is.NoErr(l.Close())
	paths := make([]string, 0, len(removed))
	for path := range removed {
		paths = append(paths, path)
	}
	for chosen := range 1 << len(paths) {
		l, report := openCopy(t, dir, options, func(copied string) {
			for i, path := range paths {
				if chosen&(1<<i) == 0 {
					continue
				}
				restored := filepath.Join(copied, path[len(dir):])
				is.NoErr(os.MkdirAll(filepath.Dir(restored), 0o750))
				is.NoErr(os.WriteFile(restored, removed[path], 0o640))
			}
		})
		if found := contents(t, l); !maps.Equal(found, want) || report.Damaged() {
			t.Fatalf("files %b restored: %v, want %v, %+v", chosen, found, want, report)
		}
		if remaining, _ := os.ReadDir(l.dir); chosen != 0 && len(remaining) != len(l.generations) {
			t.Fatalf("files %b restored: %d folders, %d generations", chosen, len(remaining), len(l.generations))
		}
		_ = l.Close()
	}
}

func TestOlderFloorRecordDoesNotLowerTheFloor(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	options := Options{SegmentBytes: 400, GenerationBytes: 1600}
	_, l := compactedLog(t, dir, options)
	floor := l.floor
	is.True(floor >= 2)
	l.writer.add(&diskRecord{kind: kindFloor, version: floor - 1}) // as in a file that has reappeared
	is.NoErr(appendNow(t, l, 1, put("last", 1, "x")))
	want := contents(t, l)
	is.NoErr(l.Close())
	l, report := openCopy(t, dir, options, func(string) {})
	is.Equal(l.floor, floor)
	is.True(!report.Damaged())
	is.Equal(contents(t, l), want)
}

func TestSegmentsOfAnEarlierGenerationInTheSameFolderAreIgnored(t *testing.T) {
	is := is.New(t)
	options := Options{SegmentBytes: 400}
	earlier := t.TempDir()
	writeSegments(t, earlier, options)
	dir := t.TempDir()
	l, _ := openStepped(t, dir, options, nil)
	for i := 0; len(l.generations[0].segments) < 2; i++ {
		is.NoErr(appendNow(t, l, 1, put(fmt.Sprint("k", i%7), uint64(i), repeated(byte(i+1), 50))))
	}
	want := contents(t, l)
	is.NoErr(l.Close())
	l, report := openCopy(t, dir, options, func(dir string) {
		existing := segmentPaths(t, generationFolder(dir, 1))
		for i, path := range segmentPaths(t, generationFolder(earlier, 1)) {
			if i < len(existing)-1 {
				is.Equal(filepath.Base(path), filepath.Base(existing[i])) // the same positions in both generations
				continue
			}
			content, err := os.ReadFile(path)
			is.NoErr(err)
			is.NoErr(os.WriteFile(filepath.Join(filepath.Dir(existing[0]), filepath.Base(path)), content, 0o640))
		}
	})
	is.True(report.TailCut)
	is.Equal(contents(t, l), want)
}

func TestOpenSyncsRecordsLeftByAKilledProcess(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		dir, d := t.TempDir(), newPowerLossDisk()
		l, _ := openStepped(t, dir, Options{}, d)
		is.NoErr(appendNow(t, l, 1, put("a", 1, "x")))
		l.Append(1, []replication.Record{put("b", 1, "written, not synced")}, nil)
		d.operationsLeft = 2 // the write succeeds, the process is killed before the sync
		l.step()
		_ = l.Close()
		d.operationsLeft = -1
		l, _ = openStepped(t, dir, Options{}, d)
		shown := contents(t, l)
		d.operationsLeft = 0
		_ = l.Close()
		d.losePower(dir, rand.New(rand.NewPCG(seed, 0)))
		d.operationsLeft = -1
		l, report := openStepped(t, dir, Options{}, d)
		is.True(!report.Damaged())
		is.Equal(contents(t, l), shown)
	}
}

func TestGenerationsAreRemovedOnlyAfterTheFloorIsDurable(t *testing.T) {
	is := is.New(t)
	options := Options{SegmentBytes: 400, GenerationBytes: 1600}
	for seed := range uint64(20) {
		dir, d := t.TempDir(), newPowerLossDisk()
		l, _ := openStepped(t, dir, options, d)
		is.NoErr(appendNow(t, l, 1, put("kept", 2, "old")))
		for i := uint64(0); l.removable() == 0; i++ {
			is.NoErr(appendNow(t, l, 1, put("filler", i, repeated('f', 100)), put("kept", i, "new")))
		}
		want := contents(t, l)
		d.operationsLeft = 2 // power is lost between the write and the sync of the floor
		l.step()
		is.True(d.powerLost())
		_ = l.Close()
		d.losePower(dir, rand.New(rand.NewPCG(seed, 0)))
		d.operationsLeft = -1
		l, report := openStepped(t, dir, options, d)
		is.True(!report.Damaged())
		is.Equal(contents(t, l), want)
	}
}

func TestRecordsAfterAMissingRecordAreIgnored(t *testing.T) {
	dir := t.TempDir()
	options := Options{MaxInlineBytes: 16}
	states, ends := writeStages(t, dir, options)
	for missing := 1; missing < len(ends)-1; missing++ {
		l, report := openCopy(t, dir, options, func(dir string) {
			modifyFile(t, filepath.Join(dir, firstSegmentFile), func(b []byte) []byte {
				return append(b[:ends[missing-1]:ends[missing-1]], b[ends[missing]:]...)
			})
		})
		if found := contents(t, l); !maps.Equal(found, states[missing-1]) || !report.TailCut {
			t.Fatalf("append %d is missing: %v, want %v, %+v", missing, found, states[missing-1], report)
		}
		_ = l.Close()
	}
}

// TestInterruptedStartsReportNoDamage interrupts the first start at each operation by a kill, and the second one by a power loss. A
// generation whose folder was created but whose name is not durable yet must be made durable before the next header refers to it.
func TestInterruptedStartsReportNoDamage(t *testing.T) {
	is := is.New(t)
	interrupted := func(dir string, d *powerLossDisk, operation int) bool {
		d.operationsLeft = operation
		l, _, err := open(dir, Options{}, d)
		dead := d.powerLost()
		d.operationsLeft = 0
		if err == nil {
			_ = l.Close()
		}
		d.operationsLeft = -1
		return dead
	}
	for first, more := 1, true; more; first++ {
		for second, again := 1, true; again; second++ {
			for seed := range uint64(8) {
				dir, d := t.TempDir(), newPowerLossDisk()
				more = interrupted(dir, d, first)
				again = interrupted(dir, d, second)
				d.losePower(dir, rand.New(rand.NewPCG(seed, 0)))
				l, report := openStepped(t, dir, Options{}, d)
				is.True(!report.Damaged())
				is.Equal(report.Live, 0)
				_ = l.Close()
			}
		}
	}
}
