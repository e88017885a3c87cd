package capture

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func records(n int) []Record {
	rng := rand.New(rand.NewPCG(1, 2))
	all := make([]Record, n)
	for i := range all {
		all[i] = Record{Arrived: int64(i) * 1e6, Class: i % 2, Key: rng.Uint64(), Hint: rng.Int64N(1e9), Timeout: 5e9, Outcome: uint8(i % 4), Duration: rng.Int64N(1e9),
			Attempts: []Attempt{{Host: "s-1", Sent: 10, Began: -1, Ended: rng.Int64N(1e9), Status: 1}}}
	}
	return all
}

// readAll returns the records that can be read.
func readAll(t testing.TB, b []byte) (*Reader, []Record) {
	t.Helper()
	r, err := NewReader(bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	var all []Record
	for {
		rec, err := r.Next()
		if err == io.EOF {
			return r, all
		}
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, rec)
	}
}

func TestRoundTrip(t *testing.T) {
	want := records(5000)
	var b bytes.Buffer
	h := Header{Name: "n0", Boot: "x", Classes: []string{"a", "b"}}
	if err := Create(&b, h, want); err != nil {
		t.Fatal(err)
	}
	r, got := readAll(t, b.Bytes())
	if h.Version = Version; !reflect.DeepEqual(got, want) || !reflect.DeepEqual(r.Header, h) || r.Truncated || r.Damaged != 0 {
		t.Errorf("%d records of %d, %+v", len(got), len(want), r)
	}
	t.Logf("%d bytes a record", b.Len()/len(want))
}

// TestTruncatedAndDamagedFiles checks that wherever a file is truncated or damaged, the records read are records that
// were written, in order, and only those of the affected blocks are missing.
func TestTruncatedAndDamagedFiles(t *testing.T) {
	want := records(4000)
	var b bytes.Buffer
	if err := Create(&b, Header{Name: "n0"}, want); err != nil {
		t.Fatal(err)
	}
	whole := b.Bytes()
	head, err := appendHeader(nil, Header{Name: "n0"})
	if err != nil {
		t.Fatal(err)
	}
	inOrder := func(got []Record) bool {
		i := 0
		for _, r := range got {
			for i < len(want) && want[i].Arrived != r.Arrived {
				i++
			}
			if i == len(want) || !reflect.DeepEqual(want[i], r) {
				return false
			}
		}
		return true
	}
	rng := rand.New(rand.NewPCG(3, 4))
	for range 60 {
		at := len(head) + rng.IntN(len(whole)-len(head))
		r, got := readAll(t, whole[:at])
		if len(got) > 0 && !reflect.DeepEqual(got, want[:len(got)]) {
			t.Fatalf("cut at %d: %d records are not the first", at, len(got))
		}
		if _, next := readAll(t, whole); len(next) != len(want) {
			t.Fatal("reading changed the file")
		}
		if r.Damaged != 0 {
			t.Fatalf("cut at %d counts as damaged", at)
		}
		bad := bytes.Clone(whole)
		bad[at] ^= byte(1 + rng.IntN(255))
		r, got = readAll(t, bad)
		if !inOrder(got) || len(got) == len(want) || r.Damaged == 0 && !r.Truncated || len(got) < len(want)/3 {
			t.Fatalf("damaged at %d: %d of %d records, %d damaged, cut %v", at, len(got), len(want), r.Damaged, r.Truncated)
		}
	}
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{"another kind": {[]byte("#!/bin/sh\n and so on, for some more"), ErrNotCapture}, "empty": {nil, ErrNotCapture},
		"another version": {append([]byte("LGCAP\x02\r\n"), whole[8:]...), ErrVersion}, "cut in its header": {whole[:len(head)-1], ErrNotCapture}} {
		if _, err := NewReader(bytes.NewReader(c.b)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// faultyFile is a file that can fail.
type faultyFile struct {
	mu     sync.Mutex
	b      []byte
	room   int // free space in bytes
	stuck  chan struct{}
	writes int
}

func (d *faultyFile) Write(b []byte) (int, error) {
	if d.stuck != nil {
		<-d.stuck
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writes++
	n := min(len(b), d.room)
	d.b = append(d.b, b[:n]...)
	if d.room -= n; n < len(b) {
		return n, errors.New("no space left on device")
	}
	return n, nil
}
func (d *faultyFile) Truncate(n int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room += len(d.b) - int(n)
	d.b = d.b[:n]
	return nil
}
func (d *faultyFile) Close() error { return nil }

func writer(d *faultyFile, queue int) *Writer {
	return NewWriter(Config{Header: Header{Name: "n0"}, MaxFileSize: 1 << 30, QueueSize: queue, Interval: time.Second,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Create: func(string) (File, error) { return d, nil }})
}

// TestFullDisk checks that on a full disk, records that do not fit are dropped and counted, the file stays readable, and
// writing continues once there is space.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &faultyFile{room: 2000}
		w := writer(d, 4096)
		ctx, stop := context.WithCancel(t.Context())
		go w.Run(ctx)
		for _, r := range records(2000) {
			w.Put(r)
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if w.Dropped() == 0 {
			t.Fatal("nothing dropped on a full disk")
		}
		d.mu.Lock()
		d.room = 1 << 30
		d.mu.Unlock()
		w.Put(records(1)[0])
		time.Sleep(2 * time.Second)
		stop()
		synctest.Wait()
		r, got := readAll(t, d.b)
		if r.Truncated || r.Damaged != 0 || int64(len(got)) != w.Written() || r.Dropped != w.Dropped() || w.Written()+w.Dropped() != 2001 {
			t.Errorf("%d read, %d written, %d dropped, %d said to be; cut %v, %d damaged", len(got), w.Written(), w.Dropped(), r.Dropped, r.Truncated, r.Damaged)
		}
	})
}

// TestSlowDisk checks that on a slow disk Put does not block and holds no more records than the queue.
func TestSlowDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &faultyFile{room: 1 << 30, stuck: make(chan struct{})}
		w := writer(d, 100)
		ctx, stop := context.WithCancel(t.Context())
		go w.Run(ctx)
		start := time.Now()
		for range 30 {
			for _, r := range records(1000) {
				w.Put(r)
			}
		}
		if time.Since(start) != 0 || len(w.queue) > 100 || w.Dropped() == 0 {
			t.Errorf("%v passed, %d wait, %d dropped", time.Since(start), len(w.queue), w.Dropped())
		}
		close(d.stuck)
		stop()
		synctest.Wait()
		if r, got := readAll(t, d.b); int64(len(got)) != w.Written() || r.Dropped+0 > w.Dropped() {
			t.Errorf("%d read, %d written", len(got), w.Written())
		}
	})
}

// TestFileRotation checks that a full file is followed by the next, and only the given number of files is kept.
func TestFileRotation(t *testing.T) {
	dir := t.TempDir()
	w := NewWriter(Config{Folder: dir, Header: Header{Name: "n0", Boot: "b"}, MaxFileSize: 20 << 10, MaxFiles: 3, QueueSize: 1 << 16, Interval: time.Second,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	for range 10 {
		for _, r := range records(2000) {
			w.Put(r)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := w.Run(ctx); err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob(filepath.Join(dir, "n0-b-*"+Extension))
	if len(files) != 3 || w.Dropped() != 0 {
		t.Errorf("%d files, %d dropped", len(files), w.Dropped())
	}
	b, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	if _, got := readAll(t, b); len(got) == 0 {
		t.Error("an empty file")
	}
}

// FuzzReader checks that, whatever a file contains, reading it terminates without a panic and without unbounded memory.
func FuzzReader(f *testing.F) {
	var b bytes.Buffer
	Create(&b, Header{Name: "n0"}, records(20))
	f.Add(b.Bytes())
	f.Add(b.Bytes()[:b.Len()-3])
	f.Fuzz(func(t *testing.T, in []byte) {
		r, err := NewReader(bytes.NewReader(in))
		if err != nil {
			return
		}
		defer r.Close()
		for {
			if _, err := r.Next(); err != nil {
				return
			}
		}
	})
}
