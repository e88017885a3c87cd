package recordlog

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/tidwall/wal"
	"go.uber.org/multierr"
)

// generationWriter appends to the newest generation. It computes where the library puts each record: the library begins a new segment
// as soon as the current one has reached its length.
type generationWriter struct {
	disk         disk
	journal      journal
	generation   *generation
	segmentBytes int64
	newSegment   func(g *generation, first uint64) *segment

	next       uint64   // position of the next record
	tail       *segment // segment of the next record
	tailEnd    int64    // length of tail, including the batch
	batch      *wal.Batch
	scratch    []byte
	batchBytes int64         // bytes of the batch
	filled     []segmentSize // segments that the batch has filled
}

// segmentSize is the new size of a segment.
type segmentSize struct {
	segment *segment
	size    int64
}

// maxScratchBytes is the capacity up to which the scratch buffer is kept for the next batch.
const maxScratchBytes = 256 << 10

// add adds a record to the batch and returns its location.
func (w *generationWriter) add(record *diskRecord) location {
	record.position = uint32(w.next)
	salt := w.generation.salt
	if record.kind == kindGeneration {
		salt = 0
	}
	w.scratch = record.appendTo(w.scratch[:0], salt)
	w.batch.Write(w.next, w.scratch)
	prefix := int64(uvarintBytes(uint64(len(w.scratch))))
	at := fileLocation(w.tail.id, w.tailEnd+prefix)
	size := prefix + int64(len(w.scratch))
	w.next++
	w.tailEnd += size
	w.batchBytes += size
	if w.tailEnd >= w.segmentBytes {
		w.filled = append(w.filled, segmentSize{w.tail, w.tailEnd})
		w.tail, w.tailEnd = w.newSegment(w.generation, w.next), 0
	}
	return at
}

// flush writes the batch and makes it durable. After an error the writer must be abandoned.
func (w *generationWriter) flush() error {
	if err := w.journal.WriteBatch(w.batch); err != nil {
		return err
	}
	if err := w.journal.Sync(); err != nil {
		return err
	}
	if len(w.filled) == 0 {
		return nil
	}
	if err := w.disk.SyncFolder(w.generation.folder); err != nil {
		return err
	}
	return w.journal.ClearCache()
}

// commit records that the batch is durable, and returns the segments that it began.
func (w *generationWriter) commit() (newSegments []*segment) {
	g := w.generation
	for _, updated := range append(w.filled, segmentSize{w.tail, w.tailEnd}) {
		updated.segment.size = updated.size
		if len(g.segments) == 0 || g.last() != updated.segment {
			g.segments = append(g.segments, updated.segment)
			newSegments = append(newSegments, updated.segment)
		}
	}
	g.bytes += w.batchBytes
	w.batchBytes, w.filled = 0, nil
	if cap(w.scratch) > maxScratchBytes {
		w.scratch, w.batch = nil, &wal.Batch{}
	}
	return newSegments
}

// abandon closes the journal after a failure and truncates the files to their durable length. An error is harmless if the next generation
// can be begun, since its header contains the end of this one.
func (w *generationWriter) abandon() error {
	err := w.journal.Close()
	g := w.generation
	if len(g.segments) == 0 {
		return multierr.Append(err, w.disk.Remove(g.folder))
	}
	for _, updated := range append(w.filled, segmentSize{segment: w.tail}) {
		if updated.segment != g.last() {
			err = multierr.Append(err, w.disk.Remove(updated.segment.path))
		}
	}
	err = multierr.Append(err, w.disk.Truncate(g.last().path, g.last().size))
	return multierr.Append(err, w.disk.SyncFile(g.last().path))
}

// beginGeneration begins a new generation and makes its header durable.
func (l *Log) beginGeneration() error {
	w, err := l.createGeneration()
	if err != nil {
		return err
	}
	header := l.header(w.generation)
	w.add(&diskRecord{kind: kindGeneration, value: header.append(nil)})
	err = w.flush()
	if err == nil {
		err = w.disk.SyncFolder(w.generation.folder)
	}
	if err == nil {
		err = w.disk.SyncFolder(l.dir)
	}
	if err != nil {
		return multierr.Append(err, w.abandon())
	}
	if l.writer != nil {
		if err := l.writer.journal.Close(); err != nil { // everything written to it is durable
			l.reportFailure("closing a generation failed", err)
		}
	}
	l.writer = w
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generations = append(l.generations, w.generation)
	l.commitWriter()
	return nil
}

// createGeneration creates the folder and journal of a new generation.
func (l *Log) createGeneration() (*generationWriter, error) {
	g := &generation{number: l.nextGeneration, folder: generationFolder(l.dir, l.nextGeneration)}
	l.nextGeneration++
	var salt [8]byte
	if _, err := rand.Read(salt[:]); err != nil {
		return nil, err
	}
	g.salt = binary.LittleEndian.Uint64(salt[:])
	journal, err := l.disk.CreateJournal(g.folder, l.options.SegmentBytes)
	if err != nil {
		return nil, multierr.Append(err, l.disk.Remove(g.folder))
	}
	return &generationWriter{
		disk:         l.disk,
		journal:      journal,
		generation:   g,
		segmentBytes: l.options.SegmentBytes,
		newSegment:   l.newSegment,
		next:         1,
		tail:         l.newSegment(g, 1),
		batch:        &wal.Batch{},
	}, nil
}

// header returns the header for a generation that follows the newest one.
func (l *Log) header(g *generation) generationHeader {
	header := generationHeader{Number: g.number, Salt: g.salt, Floor: l.floor}
	if len(l.generations) > 0 {
		previous := l.generations[len(l.generations)-1]
		header.Previous, header.PreviousSalt, header.End = previous.number, previous.salt, previous.end()
	}
	return header
}

func (l *Log) newSegment(g *generation, first uint64) *segment {
	l.lastSegmentID++
	return &segment{id: l.lastSegmentID, first: first, path: segmentPath(g.folder, first), generation: g}
}

// commitWriter records that the writer's batch is durable. The caller holds mu.
func (l *Log) commitWriter() {
	l.usage += l.writer.batchBytes
	for _, s := range l.writer.commit() {
		l.index.segments[s.id] = s
	}
}
