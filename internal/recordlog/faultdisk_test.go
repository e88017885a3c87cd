package recordlog

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/wal"
)

var (
	errPowerLost = errors.New("power lost")
	errInjected  = errors.New("injected fault")
)

// powerLossDisk is a disk that tracks which bytes are durable and simulates power loss: durable bytes are kept, each later write is
// present, absent or torn, files that were never synced may be missing, and removed files may reappear.
type powerLossDisk struct {
	osDisk
	files          map[string]*fileState
	removed        map[string][]byte // content of removed files that may reappear
	durableNames   map[string]bool   // files and folders whose names are durable
	operationsLeft int               // operations until power is lost; negative for unlimited
	applyFailing   bool              // whether the operation at which power is lost, or a Sync with a fault, takes effect before it fails
	faults         map[string]error  // errors of operations that fail, by operation name
	log            []string
	onWrite        func() // called once, during the next write
}

type fileState struct {
	durable          int64
	synced           bool
	writes           []int64 // ends of the writes after the last sync
	contentBeforeCut []byte  // content before a truncation that is not durable
}

func newPowerLossDisk() *powerLossDisk {
	return &powerLossDisk{files: make(map[string]*fileState), removed: make(map[string][]byte), durableNames: make(map[string]bool), operationsLeft: -1,
		faults: make(map[string]error)}
}

func (d *powerLossDisk) powerLost() bool { return d.operationsLeft == 0 }

// perform runs an operation unless power is lost or a fault is set for it.
func (d *powerLossDisk) perform(name string, operation func() error) error {
	d.log = append(d.log, name)
	if d.powerLost() {
		return errPowerLost
	}
	if d.operationsLeft > 0 {
		if d.operationsLeft--; d.operationsLeft == 0 {
			if d.applyFailing {
				_ = operation()
			}
			return errPowerLost
		}
	}
	if err := d.faults[name]; err != nil {
		if name == "WriteBatch" || name == "Sync" && d.applyFailing {
			_ = operation()
		}
		return err
	}
	return operation()
}

func (d *powerLossDisk) state(path string) *fileState {
	if d.files[path] == nil {
		d.files[path] = &fileState{}
	}
	return d.files[path]
}

// recordWrites records what was written to a folder. The library has synced all files but the last.
func (d *powerLossDisk) recordWrites(folder string) {
	entries, _ := os.ReadDir(folder)
	for i, e := range entries {
		path := filepath.Join(folder, e.Name())
		info, _ := e.Info()
		s := d.state(path)
		known := s.durable
		if len(s.writes) > 0 {
			known = s.writes[len(s.writes)-1]
		}
		if info.Size() > known {
			s.writes = append(s.writes, info.Size())
		}
		if i < len(entries)-1 {
			d.markSynced(path)
		}
	}
}

func (d *powerLossDisk) markSynced(path string) {
	if info, err := os.Stat(path); err == nil {
		*d.state(path) = fileState{durable: info.Size(), synced: true}
	}
}

func (d *powerLossDisk) CreateJournal(folder string, segmentBytes int64) (journal, error) {
	var j journal
	err := d.perform("CreateJournal", func() (err error) {
		j, err = d.osDisk.CreateJournal(folder, segmentBytes)
		d.recordWrites(folder)
		return err
	})
	if err != nil {
		if j != nil {
			_ = j.Close()
		}
		return nil, err
	}
	return &powerLossJournal{disk: d, folder: folder, journal: j}, nil
}

func (d *powerLossDisk) SyncFile(path string) error {
	return d.perform("SyncFile", func() error {
		d.markSynced(path)
		return nil
	})
}

func (d *powerLossDisk) SyncFolder(path string) error {
	return d.perform("SyncFolder", func() error {
		for file := range d.removed {
			if filepath.Dir(file) == path {
				delete(d.removed, file)
			}
		}
		entries, err := os.ReadDir(path)
		for _, e := range entries {
			d.durableNames[filepath.Join(path, e.Name())] = true
		}
		return err
	})
}

func (d *powerLossDisk) Truncate(path string, size int64) error {
	return d.perform("Truncate", func() error {
		before, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if s := d.state(path); s.contentBeforeCut == nil {
			s.contentBeforeCut = before
		}
		s := d.state(path)
		s.durable = min(s.durable, size)
		s.writes = slices.DeleteFunc(s.writes, func(end int64) bool { return end > size })
		if s.durable < size && (len(s.writes) == 0 || s.writes[len(s.writes)-1] < size) {
			s.writes = append(s.writes, size)
		}
		return os.Truncate(path, size)
	})
}

func (d *powerLossDisk) Remove(path string) error {
	return d.perform("Remove", func() error {
		err := filepath.Walk(path, func(file string, info os.FileInfo, err error) error {
			if err != nil || info.IsDir() {
				return nil
			}
			content, _ := os.ReadFile(file)
			d.removed[file] = content[:d.state(file).durable]
			delete(d.files, file)
			delete(d.durableNames, file)
			return nil
		})
		delete(d.durableNames, path)
		if err != nil {
			return err
		}
		return os.RemoveAll(path)
	})
}

// losePower changes the files of a folder to a state in which a power loss may leave them.
func (d *powerLossDisk) losePower(dir string, r *rand.Rand) {
	wipe := r.IntN(4) == 0
	_ = filepath.Walk(dir, func(path string, info os.FileInfo, err error) error {
		if err != nil || info.IsDir() {
			return nil
		}
		s := d.state(path)
		named := d.durableNames[path] && d.durableNames[filepath.Dir(path)]
		if !(s.synced && named) && (wipe || r.IntN(2) == 0) {
			_ = os.Remove(path)
			delete(d.files, path)
			return nil
		}
		content, _ := os.ReadFile(path)
		if s.contentBeforeCut != nil && r.IntN(2) == 0 {
			content = s.contentBeforeCut
		} else {
			content = tornContent(content, s, wipe, r)
		}
		_ = os.WriteFile(path, content, 0o640)
		d.files[path] = &fileState{durable: int64(len(content)), synced: true}
		d.durableNames[path], d.durableNames[filepath.Dir(path)] = true, true
		return nil
	})
	for path, content := range d.removed {
		if _, err := os.Stat(path); err == nil || r.IntN(2) == 0 {
			continue
		}
		_ = os.MkdirAll(filepath.Dir(path), 0o750)
		_ = os.WriteFile(path, content, 0o640)
		d.files[path] = &fileState{durable: int64(len(content)), synced: true}
		d.durableNames[path], d.durableNames[filepath.Dir(path)] = true, true
		delete(d.removed, path)
	}
}

// tornContent decides for each write after the last sync which part of it is kept.
func tornContent(content []byte, s *fileState, wipe bool, r *rand.Rand) []byte {
	kept := slices.Clone(content[:s.durable])
	start, last := s.durable, s.durable
	kept = append(kept, make([]byte, int64(len(content))-s.durable)...)
	for _, end := range s.writes {
		from, to := start, end
		start = end
		choice := r.IntN(4)
		switch {
		case wipe || choice == 0:
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

// powerLossJournal is a journal on a powerLossDisk.
type powerLossJournal struct {
	disk    *powerLossDisk
	folder  string
	journal journal
}

func (j *powerLossJournal) WriteBatch(b *wal.Batch) error {
	if during := j.disk.onWrite; during != nil {
		j.disk.onWrite = nil
		during()
	}
	return j.disk.perform("WriteBatch", func() error {
		err := j.journal.WriteBatch(b)
		j.disk.recordWrites(j.folder)
		return err
	})
}

func (j *powerLossJournal) Sync() error {
	return j.disk.perform("Sync", func() error {
		entries, _ := os.ReadDir(j.folder)
		j.disk.markSynced(filepath.Join(j.folder, entries[len(entries)-1].Name()))
		return nil
	})
}

func (j *powerLossJournal) ClearCache() error { return j.journal.ClearCache() }

func (j *powerLossJournal) Close() error {
	err := j.disk.perform("Close", func() error { return nil })
	_ = j.journal.Close()
	return err
}

func (d *powerLossDisk) count(name string) int {
	n := 0
	for _, entry := range d.log {
		if strings.HasPrefix(entry, name) {
			n++
		}
	}
	return n
}
