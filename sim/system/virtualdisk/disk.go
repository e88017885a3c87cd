// Package virtualdisk provides a disk for package recordlog that tracks which data is durable. It uses files of the operating system but never
// syncs them. After a power loss each write since the last sync is independently present, absent or torn, files whose names were never synced
// may be missing, and removed files may reappear.
package virtualdisk

import (
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/wal"

	"liftgauge/internal/recordlog"
)

// ErrPower is the error of every operation after Stop.
var ErrPower = errors.New("virtualdisk: the machine is off")

// Options configure a disk.
type Options struct {
	Sync time.Duration // duration of a sync of a file, during which the virtual clock advances
	// SkipSync makes syncs of files leave data non-durable, which is for mutation tests.
	SkipSync bool
	// Crash determines the crash point at which the disk stops; it may be nil.
	Crash *Crash
}

// Disk is the disk of one incarnation of a process; it implements recordlog.Disk.
type Disk struct {
	recordlog.SystemDisk
	options Options

	stopped chan struct{} // closed once the disk is off
	faults  *faultState

	mu           sync.Mutex
	off          bool
	files        map[string]*fileState
	removed      map[string][]byte // durable content of removed files whose removal is not durable
	durableNames map[string]bool   // files and folders whose names are durable
}

// fileState is what of a file is durable.
type fileState struct {
	durable        int64
	writes         []int64 // end offsets of the writes since the last sync
	beforeTruncate []byte  // content before a truncation that is not durable
}

var _ recordlog.Disk = (*Disk)(nil)

// New returns the disk of a process whose folder holds what Keep or LosePower left there, all of it durable.
func New(folder string, o Options) (*Disk, error) {
	d := &Disk{options: o, stopped: make(chan struct{}), faults: newFaultState(), files: map[string]*fileState{}, removed: map[string][]byte{}, durableNames: map[string]bool{}}
	err := filepath.WalkDir(folder, func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		d.durableNames[path] = true
		if e.IsDir() {
			return nil
		}
		info, err := e.Info()
		if err == nil {
			d.files[path] = &fileState{durable: info.Size()}
		}
		return err
	})
	return d, err
}

// Stop makes all later operations fail.
func (d *Disk) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turnOff()
}

// turnOff makes all later operations fail. The caller holds the lock.
func (d *Disk) turnOff() {
	if !d.off {
		d.off = true
		close(d.stopped)
	}
}

// do carries out an operation between two crash points.
func (d *Disk) do(operation func() error) error {
	d.awaitNotStalled()
	if d.passCrashPoint() {
		return ErrPower
	}
	err := d.locked(operation)
	if d.passCrashPoint() {
		return ErrPower
	}
	return err
}

// passCrashPoint passes a crash point. If that is the one to stop at, it returns true once the disk is off.
func (d *Disk) passCrashPoint() bool {
	if d.options.Crash == nil || !d.options.Crash.pass() {
		return false
	}
	<-d.stopped
	return true
}

func (d *Disk) locked(operation func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.off {
		return ErrPower
	}
	return operation()
}

func (d *Disk) file(path string) *fileState {
	if d.files[path] == nil {
		d.files[path] = &fileState{}
	}
	return d.files[path]
}

// observe records the writes to a journal's folder. The journal library syncs each segment when it starts the next one.
func (d *Disk) observe(folder string) {
	entries, _ := os.ReadDir(folder)
	for i, e := range entries {
		info, err := e.Info()
		if err != nil {
			continue
		}
		path := filepath.Join(folder, e.Name())
		f := d.file(path)
		known := f.durable
		if len(f.writes) > 0 {
			known = f.writes[len(f.writes)-1]
		}
		if info.Size() > known {
			f.writes = append(f.writes, info.Size())
		}
		if i < len(entries)-1 {
			d.markSynced(path)
		}
	}
}

func (d *Disk) markSynced(path string) {
	if info, err := os.Stat(path); err == nil && !d.options.SkipSync {
		d.files[path] = &fileState{durable: info.Size()}
	}
}

// CreateJournal implements recordlog.Disk.
func (d *Disk) CreateJournal(folder string, segmentBytes int64) (j recordlog.Journal, err error) {
	err = d.do(func() error {
		if err := d.faults.writeError(); err != nil {
			return err
		}
		j, err = d.SystemDisk.CreateJournal(folder, segmentBytes)
		d.observe(folder)
		return err
	})
	if err != nil {
		return nil, err
	}
	return &journal{Journal: j, disk: d, folder: folder}, nil
}

// SyncFile implements recordlog.Disk.
func (d *Disk) SyncFile(path string) error {
	d.awaitSync()
	return d.do(func() error {
		d.markSynced(path)
		return nil
	})
}

// SyncFolder implements recordlog.Disk.
func (d *Disk) SyncFolder(path string) error {
	return d.do(func() error {
		for name := range d.removed {
			if filepath.Dir(name) == path {
				delete(d.removed, name)
			}
		}
		entries, err := os.ReadDir(path)
		for _, e := range entries {
			d.durableNames[filepath.Join(path, e.Name())] = true
		}
		return err
	})
}

// Truncate implements recordlog.Disk.
func (d *Disk) Truncate(path string, size int64) error {
	return d.do(func() error {
		before, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		f := d.file(path)
		if f.beforeTruncate == nil {
			f.beforeTruncate = before
		}
		f.durable = min(f.durable, size)
		f.writes = slices.DeleteFunc(f.writes, func(end int64) bool { return end > size })
		if f.durable < size && (len(f.writes) == 0 || f.writes[len(f.writes)-1] < size) {
			f.writes = append(f.writes, size)
		}
		return os.Truncate(path, size)
	})
}

// Remove implements recordlog.Disk.
func (d *Disk) Remove(path string) error {
	return d.do(func() error {
		_ = filepath.WalkDir(path, func(name string, e fs.DirEntry, err error) error {
			if err != nil || e.IsDir() {
				return nil
			}
			if content, err := os.ReadFile(name); err == nil {
				d.removed[name] = content[:min(d.file(name).durable, int64(len(content)))]
			}
			delete(d.files, name)
			delete(d.durableNames, name)
			return nil
		})
		delete(d.durableNames, path)
		return os.RemoveAll(path)
	})
}

// journal passes writes to the operating system's files and records them.
type journal struct {
	recordlog.Journal
	disk   *Disk
	folder string
}

// WriteBatch implements recordlog.Journal.
func (j *journal) WriteBatch(b *wal.Batch) error {
	return j.disk.do(func() error {
		if err := j.disk.faults.writeError(); err != nil {
			return err
		}
		err := j.Journal.WriteBatch(b)
		j.disk.observe(j.folder)
		return err
	})
}

// Sync implements recordlog.Journal.
func (j *journal) Sync() error {
	j.disk.awaitSync()
	return j.disk.do(func() error {
		entries, err := os.ReadDir(j.folder)
		if err == nil && len(entries) > 0 {
			j.disk.markSynced(filepath.Join(j.folder, entries[len(entries)-1].Name()))
		}
		return err
	})
}

// CopyAfterKill copies the folder of a stopped process to a new one, as it is after a kill: everything written is kept.
func (d *Disk) CopyAfterKill(folder, to string) error { return d.copy(folder, to, nil) }

// CopyAfterPowerLoss copies the folder of a stopped process to a new one, as it may be after a power loss.
func (d *Disk) CopyAfterPowerLoss(folder, to string, r *rand.Rand) error {
	return d.copy(folder, to, r)
}

func (d *Disk) copy(folder, to string, r *rand.Rand) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turnOff()
	if err := os.MkdirAll(to, 0o750); err != nil {
		return err
	}
	loseUnsynced := r != nil && r.IntN(4) == 0
	err := filepath.WalkDir(folder, func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if r != nil {
			f := d.file(path)
			named := d.durableNames[path] && d.durableNames[filepath.Dir(path)]
			switch {
			case !named && (loseUnsynced || r.IntN(2) == 0):
				return nil
			case f.beforeTruncate != nil && r.IntN(2) == 0:
				content = f.beforeTruncate
			default:
				content = tear(content, f, loseUnsynced, r)
			}
		}
		return write(folder, to, path, content)
	})
	if err != nil || r == nil {
		return err
	}
	for path, content := range d.removed {
		if _, err := os.Stat(path); err == nil || r.IntN(2) == 0 {
			continue
		}
		if err := write(folder, to, path, content); err != nil {
			return err
		}
	}
	return nil
}

func write(folder, to, path string, content []byte) error {
	name, err := filepath.Rel(folder, path)
	if err != nil {
		return err
	}
	target := filepath.Join(to, name)
	if err := os.MkdirAll(filepath.Dir(target), 0o750); err != nil {
		return err
	}
	return os.WriteFile(target, content, 0o640)
}

// tear returns the content of a file after a power loss: each write since the last sync is kept, lost or torn.
func tear(content []byte, f *fileState, loseUnsynced bool, r *rand.Rand) []byte {
	durable := min(f.durable, int64(len(content)))
	kept := append(slices.Clone(content[:durable]), make([]byte, int64(len(content))-durable)...)
	start, last := durable, durable
	for _, end := range f.writes {
		from, to := start, min(end, int64(len(content)))
		start = to
		choice := r.IntN(4)
		switch {
		case loseUnsynced || choice == 0 || to <= from:
			continue
		case choice == 1:
			to = from + r.Int64N(to-from+1)
		case choice == 2:
			from += r.Int64N(to - from + 1)
		}
		copy(kept[from:to], content[from:to])
		last = to
	}
	if r.IntN(2) == 0 {
		return kept[:last]
	}
	return kept
}
