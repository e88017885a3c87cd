package recordlog

import (
	"io"
	"os"
	"path/filepath"
	"slices"

	"liftgauge/reconcile"

	"github.com/cockroachdb/errors"
	"go.uber.org/multierr"
	"go.uber.org/zap"
)

// recoveryScanBytes is the size of one read from a file.
const recoveryScanBytes = 256 << 10

// open recovers a log without starting its writing goroutine.
func open(dir string, options Options, d disk) (*Log, Report, error) {
	options = options.withDefaults()
	l := &Log{
		dir: dir, options: options, disk: d, files: &fileCache{}, wake: make(chan struct{}, 1), nextGeneration: 1,
		index: newIndex(options.MaxInlineBytes), values: valueCache{limit: options.CacheBytes},
	}
	r := recovery{log: l, scanBuffer: make([]byte, recoveryScanBytes), damage: make(map[uint64]Report)}
	if err := r.createFolder(); err != nil {
		return nil, r.report, err
	}
	if err := r.recover(); err != nil {
		return nil, r.report, err
	}
	if err := l.beginGeneration(); err != nil {
		err = writeError(err)
		if !errors.Is(err, ErrFull) {
			return nil, r.report, err
		}
		l.reportFailure("no space for a new generation", err)
	}
	l.options.Logger.Info("record log opened", zap.String("folder", dir), zap.Any("report", r.report))
	return l, r.report, nil
}

// recovery reads the files on disk into a log.
type recovery struct {
	log        *Log
	report     Report
	scanBuffer []byte

	damage       map[uint64]Report // Garbled and Missing by generation; those below the final floor are not reported
	pending      []recoveredRecord // records of an append whose last record has not been read yet
	lastComplete segmentOffset     // end of the last complete append
}

// candidate is a folder that may be a generation.
type candidate struct {
	number   uint64
	folder   string
	header   generationHeader
	readable bool // whether the header could be read
}

// recoveredRecord is a record with its location.
type recoveredRecord struct {
	kind    recordKind
	group   uint32
	version uint64
	key     string
	value   []byte
	size    int // size of the value
	at      location
}

// segmentOffset is a position in the generation being read: an offset in the segment with this index.
type segmentOffset struct {
	segment int
	offset  int64
}

func (r *recovery) createFolder() error {
	dir := r.log.dir
	if _, err := os.Stat(dir); err == nil || !os.IsNotExist(err) {
		return err
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return errors.Wrap(err, "creating the record log's folder")
	}
	return r.log.disk.SyncFolder(filepath.Dir(dir))
}

func (r *recovery) recover() error {
	candidates, err := r.candidates()
	if err != nil {
		return err
	}
	chain := r.selectChain(candidates)
	for i, c := range chain {
		g := &generation{number: c.number, salt: c.header.Salt, folder: c.folder}
		r.log.generations = append(r.log.generations, g)
		if i+1 < len(chain) && chain[i+1].header.Previous == c.number {
			err = r.readSealed(g, chain[i+1].header.End)
		} else {
			err = r.readTail(g)
		}
		if err != nil {
			return err
		}
	}
	r.dropBelowFloor()
	if len(r.log.generations) > 0 {
		if err := r.makeDurable(); err != nil {
			return err
		}
	}
	for _, folder := range r.report.Removed {
		if err := r.log.disk.Remove(folder); err != nil {
			r.log.reportFailure("removing a leftover folder failed; it is retried at the next start", err)
		}
	}
	for _, elements := range r.log.index.groups {
		r.report.Live += elements.Len()
	}
	r.report.Generations = len(r.log.generations)
	for generation, damage := range r.damage {
		if generation >= r.log.floor {
			r.report.Garbled += damage.Garbled
			r.report.Missing += damage.Missing
		}
	}
	return nil
}

// candidates lists the generations' folders in order, with their headers.
func (r *recovery) candidates() ([]candidate, error) {
	entries, err := os.ReadDir(r.log.dir)
	if err != nil {
		return nil, err
	}
	var candidates []candidate
	for _, e := range entries {
		number, ok := parseGenerationName(e.Name())
		if !ok || !e.IsDir() {
			continue
		}
		c := candidate{number: number, folder: filepath.Join(r.log.dir, e.Name())}
		c.header, err = readHeader(c.folder)
		if errors.Is(err, ErrFormat) {
			return nil, err
		}
		c.readable = err == nil && c.header.Number == number
		candidates = append(candidates, c)
		r.log.nextGeneration = max(r.log.nextGeneration, number+1)
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return int(int64(a.number) - int64(b.number)) })
	return candidates, nil
}

// readHeader reads the first record of a generation.
func readHeader(folder string) (header generationHeader, err error) {
	file, err := os.Open(segmentPath(folder, 1))
	if err != nil {
		return header, err
	}
	defer func() { err = multierr.Append(err, file.Close()) }()
	info, err := file.Stat()
	if err != nil {
		return header, err
	}
	limit := min(info.Size(), frameBytes(0, generationHeaderBytes))
	first, err := newScanner(file, limit, &generation{}, 1, nil).read()
	if err != nil {
		return header, err
	}
	if first.kind != kindGeneration {
		return header, errDamaged
	}
	return header, header.decode(first.value)
}

// selectChain selects the generations to read, oldest first: the newest one with a readable header and its predecessors, each as named
// by the header of its successor, down to the floor. All others are leftovers and will be removed.
func (r *recovery) selectChain(candidates []candidate) []candidate {
	var chain []candidate
	for _, c := range candidates {
		if c.readable {
			r.log.floor = max(r.log.floor, c.header.Floor)
		}
	}
	var next *candidate
	for _, c := range slices.Backward(candidates) {
		switch {
		case c.number < r.log.floor || !c.readable && next == nil:
			r.discard(c)
			continue
		case next == nil:
		case next.header.Previous == c.number:
			if !c.readable {
				r.countGarbled(c.number)
				c.header = generationHeader{Number: c.number, Salt: next.header.PreviousSalt}
			}
		case next.header.Previous > c.number && c.readable:
			r.countMissing(next.header.Previous)
		default:
			r.discard(c)
			continue
		}
		chain = append(chain, c)
		next = &chain[len(chain)-1]
	}
	if next != nil && next.header.Previous != 0 {
		r.countMissing(next.header.Previous)
	}
	slices.Reverse(chain)
	return chain
}

// discard marks a folder for removal. A header is durable before any record follows it: a folder with more bytes than a header but no
// readable one was damaged later.
func (r *recovery) discard(c candidate) {
	r.report.Removed = append(r.report.Removed, c.folder)
	if c.readable || c.number < r.log.floor {
		return
	}
	info, err := os.Stat(segmentPath(c.folder, 1))
	if err == nil && info.Size() > frameBytes(0, generationHeaderBytes) {
		r.countMissing(c.number)
	}
}

func (r *recovery) countGarbled(generation uint64) {
	damage := r.damage[generation]
	damage.Garbled++
	r.damage[generation] = damage
}

func (r *recovery) countMissing(generation uint64) {
	damage := r.damage[generation]
	damage.Missing++
	r.damage[generation] = damage
}

// readSealed reads a generation up to its known end, skipping damaged records.
func (r *recovery) readSealed(g *generation, end generationEnd) error {
	firsts, err := listSegments(g.folder)
	if err != nil {
		return err
	}
	next := uint64(1)
	for _, first := range firsts {
		if first > end.Segment {
			break
		}
		if first != next {
			r.countGarbled(g.number) // a segment, or the rest of the previous one, is missing
		}
		limit := int64(-1)
		if first == end.Segment {
			limit = int64(end.Offset)
		}
		if next, err = r.readSegment(g, first, limit, true); err != nil {
			return err
		}
	}
	if len(g.segments) == 0 || g.last().first != end.Segment || uint64(g.last().size) != end.Offset {
		r.countGarbled(g.number)
	}
	r.applyPending()
	for _, s := range g.segments {
		g.bytes += s.size
	}
	r.log.usage += g.bytes
	return nil
}

// readTail reads the newest generation up to the first incomplete or damaged record, which becomes its end.
func (r *recovery) readTail(g *generation) error {
	firsts, err := listSegments(g.folder)
	if err != nil {
		return err
	}
	r.lastComplete, r.report.TailCut = segmentOffset{}, false
	next := uint64(1)
	for _, first := range firsts {
		if first != next {
			r.report.TailCut = true
			break
		}
		next, err = r.readSegment(g, first, -1, false)
		if err != nil {
			return err
		}
		if next == 0 {
			r.report.TailCut = true
			break
		}
	}
	r.report.TailCut = r.report.TailCut || len(r.pending) > 0
	r.pending = nil
	if len(g.segments) == 0 {
		return nil
	}
	if r.lastComplete.segment+1 < len(g.segments) && r.lastComplete.offset == g.segments[r.lastComplete.segment].size &&
		r.lastComplete.segment+2 == len(g.segments) && g.last().size == 0 {
		r.lastComplete = segmentOffset{segment: r.lastComplete.segment + 1} // the last segment is still empty
	}
	g.segments = g.segments[:r.lastComplete.segment+1]
	g.last().size = r.lastComplete.offset
	for _, s := range g.segments {
		g.bytes += s.size
	}
	r.log.usage += g.bytes
	if r.report.TailCut {
		r.report.TailFile, r.report.TailOffset = g.last().path, g.last().size
	}
	return nil
}

// listSegments returns the segments of a folder, as the sorted positions of their first records.
func listSegments(folder string) ([]uint64, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var firsts []uint64
	for _, e := range entries {
		if first, ok := parseSegmentName(e.Name()); ok {
			firsts = append(firsts, first)
		}
	}
	slices.Sort(firsts)
	return firsts, nil
}

// readSegment applies the records of a segment up to a limit, or to its end if the limit is negative, and returns the position after the
// last one. In a sealed generation it skips damaged records; otherwise it stops at the first one and returns 0.
func (r *recovery) readSegment(g *generation, first uint64, limit int64, sealed bool) (next uint64, err error) {
	s := r.log.newSegment(g, first)
	file, err := os.Open(s.path)
	if err != nil {
		return 0, err
	}
	defer func() { err = multierr.Append(err, file.Close()) }()
	info, err := file.Stat()
	if err != nil {
		return 0, err
	}
	if s.size = info.Size(); limit >= 0 {
		s.size = min(s.size, limit)
	}
	g.segments = append(g.segments, s)
	r.log.index.segments[s.id] = s
	scan := newScanner(file, s.size, g, first, r.scanBuffer)
	defer func() { r.scanBuffer = scan.backing }()
	for {
		record, err := scan.read()
		switch {
		case err == io.EOF:
			return scan.next, nil
		case errors.Is(err, errDamaged) && sealed:
			r.countGarbled(g.number)
			if !scan.skip() {
				return scan.next, nil
			}
		case errors.Is(err, errDamaged):
			return 0, nil
		case err != nil:
			return 0, errors.Wrapf(err, "reading %s", s.path)
		default:
			r.collect(s, record)
			if !record.continued {
				r.lastComplete = segmentOffset{len(g.segments) - 1, scan.offset}
			}
		}
	}
}

// collect adds a record to the pending append, and applies the append once it is complete.
func (r *recovery) collect(s *segment, record scannedRecord) {
	r.report.Records++
	recovered := recoveredRecord{
		kind: record.kind, group: record.group, version: record.version, key: string(record.key), size: len(record.value),
		at: fileLocation(s.id, record.offset),
	}
	if len(record.value) <= r.log.options.MaxInlineBytes {
		recovered.value = append([]byte(nil), record.value...)
	}
	r.pending = append(r.pending, recovered)
	if !record.continued {
		r.applyPending()
	}
}

func (r *recovery) applyPending() {
	for i := range r.pending {
		r.apply(&r.pending[i])
	}
	r.pending = r.pending[:0]
}

func (r *recovery) apply(record *recoveredRecord) {
	x := r.log.index
	switch record.kind {
	case kindPut:
		e := entry{record.at, newEntryDataOfLength(record.key, record.version, record.value, record.size, x.maxInlineBytes)}
		old := x.put(record.group, e)
		x.addLive(e, 1)
		if old.exists() {
			x.addLive(old, -1)
		}
	case kindDelete:
		if old := x.remove(record.group, record.key); old.exists() {
			x.addLive(old, -1)
		}
	case kindDrop:
		if elements := x.groups[record.group]; elements != nil {
			elements.Each(reconcile.All(), func(e entry) bool {
				x.addLive(e, -1)
				return true
			})
			delete(x.groups, record.group)
		}
	case kindFloor:
		r.raiseFloor(record.version)
	}
}

// raiseFloor drops the entries read from generations below the floor: all their live records had been copied when the floor was written.
func (r *recovery) raiseFloor(floor uint64) {
	if floor <= r.log.floor {
		return
	}
	r.log.floor = floor
	if r.log.generations[0].number < floor {
		r.log.index.dropGenerations(floor)
	}
}

// dropBelowFloor removes the generations from the list that are below the floor, which a later record may have raised.
func (r *recovery) dropBelowFloor() {
	l := r.log
	for len(l.generations) > 0 && l.generations[0].number < l.floor {
		g := l.generations[0]
		l.generations = l.generations[1:]
		l.usage -= g.bytes
		r.report.Removed = append(r.report.Removed, g.folder)
		for _, s := range g.segments {
			delete(l.index.segments, s.id)
		}
	}
}

// makeDurable truncates the newest generation at its end, and syncs what a killed process may have left unsynced. All segments but the
// last were synced before the next one was begun.
func (r *recovery) makeDurable() error {
	l := r.log
	g := l.generations[len(l.generations)-1]
	if len(g.segments) == 0 {
		return nil
	}
	if r.report.TailCut {
		if err := r.cutTail(g); err != nil {
			l.reportFailure("truncating a torn tail failed; the next generation's header records where it ends", err)
		}
	}
	if err := l.disk.SyncFile(g.last().path); err != nil {
		return errors.Wrapf(err, "syncing %s", g.last().path)
	}
	if err := l.disk.SyncFolder(g.folder); err != nil {
		return errors.Wrapf(err, "syncing %s", g.folder)
	}
	return errors.Wrapf(l.disk.SyncFolder(l.dir), "syncing %s", l.dir) // the killed process may have just created g's folder
}

func (r *recovery) cutTail(g *generation) error {
	firsts, err := listSegments(g.folder)
	for _, first := range firsts {
		if first > g.last().first {
			err = multierr.Append(err, r.log.disk.Remove(segmentPath(g.folder, first)))
		}
	}
	return multierr.Append(err, r.log.disk.Truncate(g.last().path, g.last().size))
}
