package capture

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Extension is the file name extension of capture files.
const Extension = ".lgcap"

// File is the destination of a Writer.
type File interface {
	io.Writer
	io.Closer
	Truncate(size int64) error
}

// Config is what a Writer needs.
type Config struct {
	Folder      string
	Header      Header
	MaxFileSize int64 // bytes, after which the next file is started
	MaxFiles    int   // number of files of this dispatcher that are kept
	QueueSize   int   // records that may wait to be written; more are dropped
	Interval    time.Duration
	Log         *slog.Logger
	// Create opens a new file; by default one on disk.
	Create func(path string) (File, error)
}

// Writer writes records in its own goroutine. Put never blocks.
type Writer struct {
	Config
	queue           chan Record
	unreportedDrops atomic.Int64 // not yet recorded in a file
	droppedTotal    atomic.Int64 // since the start
	written         atomic.Int64
}

// blockSize is the size of a block before compression. Blocks are smaller if fewer records arrive within the interval.
const blockSize = 64 << 10

// NewWriter returns a Writer, whose Run writes the files.
func NewWriter(c Config) *Writer {
	if c.Create == nil {
		c.Create = func(path string) (File, error) { return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640) }
	}
	return &Writer{Config: c, queue: make(chan Record, max(c.QueueSize, 1))}
}

// Put queues a record. If the queue is full, the record is dropped and counted.
func (w *Writer) Put(r Record) {
	select {
	case w.queue <- r:
	default:
		w.drop(1)
	}
}

func (w *Writer) drop(n int) {
	w.unreportedDrops.Add(int64(n))
	w.droppedTotal.Add(int64(n))
}

// Written and Dropped return numbers of records since the start.
func (w *Writer) Written() int64 { return w.written.Load() }
func (w *Writer) Dropped() int64 { return w.droppedTotal.Load() }

// fileWriter writes the current file.
type fileWriter struct {
	w       *Writer
	z       *zstd.Encoder
	f       File
	size    int64 // of the complete blocks written
	number  int
	failing bool
	cbor    cbor.UserBufferEncMode
	raw     bytes.Buffer
	records int
	block   []byte
}

// Run writes until the context ends, and then whatever is still queued.
func (w *Writer) Run(ctx context.Context) error {
	z, err := newEncoder()
	if err != nil {
		return err
	}
	defer z.Close()
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		return err
	}
	o := &fileWriter{w: w, z: z, cbor: mode}
	defer o.close()
	ticks := time.NewTicker(max(w.Interval, 10*time.Millisecond))
	defer ticks.Stop()
	for {
		select {
		case r := <-w.queue:
			o.add(r)
		case <-ticks.C:
			o.flush()
		case <-ctx.Done():
			for {
				select {
				case r := <-w.queue:
					o.add(r)
					continue
				default:
				}
				o.flush()
				return nil
			}
		}
	}
}

// add appends a record to the current block.
func (o *fileWriter) add(r Record) {
	size := o.raw.Len()
	if err := o.cbor.MarshalToBuffer(&r, &o.raw); err != nil {
		o.raw.Truncate(size)
		o.w.drop(1)
		return
	}
	if o.records++; o.raw.Len() >= blockSize {
		o.flush()
	}
}

// flush writes the current block. What cannot be written is dropped: keeping it would use unbounded memory.
func (o *fileWriter) flush() {
	if o.records == 0 {
		return
	}
	dropped := int(o.w.unreportedDrops.Swap(0))
	o.block = appendBlock(o.block[:0], o.z, o.raw.Bytes(), o.records, dropped)
	if err := o.write(o.block); err != nil {
		o.w.unreportedDrops.Add(int64(dropped))
		o.w.drop(o.records)
		if !o.failing {
			o.w.Log.Error("capture: write failed, dropping records", "err", err)
		}
		o.failing = true
	} else {
		o.w.written.Add(int64(o.records))
		if o.failing {
			o.w.Log.Info("capture: writing again", "dropped", o.w.Dropped())
		}
		o.failing = false
	}
	o.raw.Reset()
	o.records = 0
}

// write appends to the current file, or creates one. A partial write is truncated, so that the next block follows a
// complete one; if truncating fails too, the file is closed and the next block goes to a new one.
func (o *fileWriter) write(b []byte) error {
	if o.f != nil && o.size+int64(len(b)) > o.w.MaxFileSize {
		o.close()
	}
	if o.f == nil {
		if err := o.createFile(); err != nil {
			return err
		}
	}
	n, err := o.f.Write(b)
	if err == nil {
		o.size += int64(n)
		return nil
	}
	if truncateErr := o.f.Truncate(o.size); truncateErr != nil {
		err = errors.Join(err, truncateErr)
		o.close()
	}
	return err
}

func (o *fileWriter) createFile() error {
	head, err := appendHeader(nil, o.w.Header)
	if err != nil {
		return err
	}
	o.prune()
	for range 1000 {
		o.number++
		f, err := o.w.Create(filepath.Join(o.w.Folder, fmt.Sprintf("%s-%s-%04d%s", o.w.Header.Name, o.w.Header.Boot, o.number, Extension)))
		if errors.Is(err, os.ErrExist) {
			continue
		}
		if err != nil {
			return err
		}
		if _, err := f.Write(head); err != nil {
			f.Close()
			return err
		}
		o.f, o.size = f, int64(len(head))
		return nil
	}
	return errors.New("no free name for a capture file")
}

// prune removes the oldest files of this dispatcher beyond MaxFiles.
func (o *fileWriter) prune() {
	entries, err := os.ReadDir(o.w.Folder)
	if err != nil || o.w.MaxFiles <= 0 {
		return
	}
	type old struct {
		name string
		at   time.Time
	}
	var all []old
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), o.w.Header.Name+"-") && strings.HasSuffix(e.Name(), Extension) {
			if info, err := e.Info(); err == nil {
				all = append(all, old{e.Name(), info.ModTime()})
			}
		}
	}
	slices.SortFunc(all, func(a, b old) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return strings.Compare(a.name, b.name)
	})
	for len(all) >= o.w.MaxFiles {
		if err := os.Remove(filepath.Join(o.w.Folder, all[0].name)); err != nil {
			o.w.Log.Warn("capture: old file not removed", "err", err)
		}
		all = all[1:]
	}
}

func (o *fileWriter) close() {
	if o.f != nil {
		if err := o.f.Close(); err != nil {
			o.w.Log.Error("capture: close", "err", err)
		}
	}
	o.f = nil
}

// Create writes a complete file of records, for tools.
func Create(w io.Writer, h Header, records []Record) error {
	z, err := newEncoder()
	if err != nil {
		return err
	}
	defer z.Close()
	b, err := appendHeader(nil, h)
	if err != nil {
		return err
	}
	var raw []byte
	n := 0
	flush := func() error {
		if n > 0 {
			b = appendBlock(b, z, raw, n, 0)
		}
		_, err := w.Write(b)
		b, raw, n = b[:0], raw[:0], 0
		return err
	}
	for _, r := range records {
		item, err := cbor.Marshal(r)
		if err != nil {
			return err
		}
		raw = append(raw, item...)
		if n++; len(raw) >= blockSize {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	return flush()
}
