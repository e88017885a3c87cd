package recordlog

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	sliceScanBytes = 128 << 10 // read between two batches
	sliceCopyBytes = 128 << 10 // written with a batch; more if a single record is larger, less if generations are small

	// spareGenerations is the number of generations allowed beyond those that the bytes on disk fill, since every start begins one.
	spareGenerations = 8
	// drainBatches is the number of batches for which uncommitted changes may still hide live records of a generation after it was read.
	drainBatches = 2
	// maxPassesWithoutCopy is the number of passes without a copy after which a generation's remaining records are considered unreadable.
	maxPassesWithoutCopy = 2
)

// compaction copies the live records of the oldest generation, one slice with each batch.
type compaction struct {
	target         *generation
	segment        int // index of the segment being read
	file           *os.File
	scanner        *scanner
	scanBuffer     []byte
	copies         int
	batchesToDrain int
}

// recordCopy is a live record that a batch copies into the newest generation.
type recordCopy struct {
	group   uint32
	key     string
	version uint64
	value   []byte
	from    location
}

// compact does a slice of compaction, if needed, and reports whether there is more to do. busy means that the batch also has requests.
func (l *Log) compact(busy bool) (copies []recordCopy, more bool) {
	if l.compaction == nil {
		target := l.compactionTarget()
		if target == nil {
			return nil, false
		}
		l.compaction = &compaction{target: target, batchesToDrain: drainBatches}
	}
	c := l.compaction
	var read, written int64
	for c.segment < len(c.target.segments) && read < sliceScanBytes && written < l.sliceCopyBytes() {
		record, err := c.next()
		switch {
		case err == io.EOF:
			c.nextSegment()
			continue
		case err != nil:
			l.reportFailure("reading a generation failed", errors.Wrapf(ErrCorrupt, "%s: %v", c.target.segments[c.segment].path, err))
			c.nextSegment()
			continue
		}
		read += int64(len(record.raw))
		if found, live := l.liveCopy(c, record); live {
			copies = append(copies, found)
			written += int64(len(record.raw))
		}
	}
	c.copies += len(copies)
	if c.segment < len(c.target.segments) || len(copies) > 0 {
		return copies, true
	}
	return nil, l.endPass(busy)
}

func (l *Log) sliceCopyBytes() int64 {
	return min(sliceCopyBytes, l.options.GenerationBytes/(2*minBatchesPerGeneration))
}

// next reads the target's next record.
func (c *compaction) next() (scannedRecord, error) {
	s := c.target.segments[c.segment]
	if c.scanner == nil {
		file, err := os.Open(s.path)
		if err != nil {
			return scannedRecord{}, err
		}
		c.file = file
		c.scanner = newScanner(file, s.size, c.target, s.first, c.scanBuffer)
		c.scanner.verifyChecksums = false
	}
	return c.scanner.read()
}

func (c *compaction) nextSegment() {
	c.segment++
	c.close()
}

func (c *compaction) close() {
	if c.scanner != nil {
		c.scanBuffer = c.scanner.backing
	}
	if c.file != nil {
		_ = c.file.Close() // opened for reading only
	}
	c.file, c.scanner = nil, nil
}

// liveCopy returns a copy of a record if the index refers to it and its checksum is valid.
func (l *Log) liveCopy(c *compaction, r scannedRecord) (recordCopy, bool) {
	if r.kind != kindPut {
		return recordCopy{}, false
	}
	at := fileLocation(c.target.segments[c.segment].id, r.offset)
	l.mu.Lock()
	current := l.index.find(r.group, string(r.key))
	live := current != nil && current.location == at
	l.mu.Unlock()
	if !live || !hasValidChecksum(r.raw, c.target.salt) {
		return recordCopy{}, false
	}
	value := append([]byte(nil), r.value...)
	return recordCopy{group: r.group, key: string(r.key), version: r.version, value: value, from: at}, true
}

// endPass ends a pass over a generation once changes that may have hidden some of its records are committed or undone.
func (l *Log) endPass(busy bool) (again bool) {
	c := l.compaction
	l.mu.Lock()
	busy = busy || len(l.queue) > 0
	l.mu.Unlock()
	if busy && c.batchesToDrain > 0 {
		c.batchesToDrain--
		return false
	}
	l.endCompaction()
	if c.copies > 0 || l.liveRecords(c.target) == 0 {
		return false
	}
	if c.target.passesWithoutCopy++; c.target.passesWithoutCopy == maxPassesWithoutCopy {
		l.reportFailure("compaction stopped", errors.Wrapf(ErrCorrupt, "%s has records that cannot be copied", c.target.folder))
	}
	return false
}

func (l *Log) endCompaction() {
	if l.compaction != nil {
		l.compaction.close()
		l.compaction = nil
	}
}

func (l *Log) liveRecords(g *generation) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return g.liveRecords
}

// compactionTarget returns the oldest generation if it should be copied.
func (l *Log) compactionTarget() *generation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.generations) < 2 {
		return nil
	}
	oldest := l.generations[0]
	if oldest.liveRecords == 0 || oldest.passesWithoutCopy >= maxPassesWithoutCopy {
		return nil
	}
	live := l.liveBytes()
	garbage, unit, limit := l.usage-live, l.options.GenerationBytes, l.options.DiskBytes
	mostlyGarbage := garbage > live+2*unit
	overHalfFull := limit > 0 && l.usage > limit/2 && garbage > max(unit, live/4)
	nearPutLimit := limit > 0 && l.usage+l.queuedBytes+unit > l.putLimit() && garbage > unit/2
	tooManyGenerations := int64(len(l.generations)) > l.usage/unit+spareGenerations
	if mostlyGarbage || overHalfFull || nearPutLimit || tooManyGenerations {
		return oldest
	}
	return nil
}

// liveBytes returns the size of the records that the index refers to. The caller holds mu.
func (l *Log) liveBytes() (live int64) {
	for _, g := range l.generations {
		live += g.liveBytes
	}
	return live
}

// removable returns the floor that excludes the oldest generations without live records, or 0 if there are none.
func (l *Log) removable() (floor uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 0; i+1 < len(l.generations) && l.generations[i].liveRecords == 0; i++ {
		floor = l.generations[i+1].number
	}
	return floor
}

// removeGenerations removes the generations below a durable floor.
func (l *Log) removeGenerations(floor uint64) {
	l.floor = floor
	if l.compaction != nil && l.compaction.target.number < floor {
		l.endCompaction()
	}
	var removed []*generation
	l.mu.Lock()
	for l.generations[0].number < floor {
		g := l.generations[0]
		removed = append(removed, g)
		l.generations = l.generations[1:]
		l.usage -= g.bytes
		for _, s := range g.segments {
			delete(l.index.segments, s.id)
		}
	}
	l.mu.Unlock()
	for _, g := range removed {
		for _, s := range g.segments {
			_ = l.files.drop(s.id) // opened for reading only
		}
		if err := l.disk.Remove(g.folder); err != nil {
			l.reportFailure("removing a generation failed; it is retried at the next start", err)
		}
		l.options.Logger.Debug("generation removed", zap.Uint64("generation", g.number))
	}
}
