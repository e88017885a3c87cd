package recordlog

import (
	"unsafe"

	"liftgauge/reconcile"
	"liftgauge/replication"
)

// index is what the log holds in memory: the newest entry of each key, with the changes that are not durable yet already made.
//
// A generation's live records are those that the durable state consists of. A change therefore counts only once it is durable: the
// record that it replaced stays alive until then, since the log may have to go back to it.
type index struct {
	groups         map[uint32]*reconcile.Index[entry]
	segments       map[uint32]*segment
	maxInlineBytes int

	lastPending location
	pending     map[location][]byte     // values, not kept inline, of puts that are not durable yet
	replacedBy  map[location]*operation // which operation has replaced the entry of a put that is not durable yet
}

// operation is one change of the index and of the disk.
type operation struct {
	kind      recordKind
	continued bool
	group     uint32
	key       string
	version   uint64
	value     []byte
	entry     entry // a put's new one
	previous  entry // the entry it replaced
}

func newIndex(inline int) *index {
	return &index{
		groups:         make(map[uint32]*reconcile.Index[entry]),
		segments:       make(map[uint32]*segment),
		maxInlineBytes: inline,
		pending:        make(map[location][]byte),
		replacedBy:     make(map[location]*operation),
	}
}

// stringOf makes a string of bytes that nobody else holds.
func stringOf(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// bytesOf returns the bytes of a string, which must not be changed.
func bytesOf(s string) []byte { return unsafe.Slice(unsafe.StringData(s), len(s)) }

func (x *index) find(group uint32, key string) *entry {
	elements := x.groups[group]
	if elements == nil {
		return nil
	}
	return elements.Find(reconcile.Hash(key), key)
}

func (x *index) put(group uint32, e entry) (old entry) {
	elements := x.groups[group]
	if elements == nil {
		elements = &reconcile.Index[entry]{}
		x.groups[group] = elements
	}
	old, _ = elements.Put(e)
	return old
}

func (x *index) remove(group uint32, key string) (old entry) {
	elements := x.groups[group]
	if elements == nil {
		return entry{}
	}
	old, _ = elements.Delete(reconcile.Hash(key), key)
	if elements.Len() == 0 {
		delete(x.groups, group)
	}
	return old
}

// operations makes records into operations, which apply has to be called for.
func (x *index) operations(group uint32, records []replication.Record) []operation {
	operations := make([]operation, len(records))
	for i, record := range records {
		op := &operations[i]
		op.group, op.version, op.continued = group, record.Version, i < len(records)-1
		if record.Deleted {
			op.kind, op.key = kindDelete, record.Key
			continue
		}
		x.lastPending++
		op.kind, op.value = kindPut, record.Value
		op.entry = entry{pendingFlag | x.lastPending, newEntryData(record.Key, record.Version, record.Value, x.maxInlineBytes)}
		op.key = op.entry.key()
	}
	return operations
}

// dropOperations returns what dropping a group consists of: its record on disk, and the removal of each key from the index.
func (x *index) dropOperations(group uint32) []operation {
	operations := []operation{{kind: kindDrop, group: group}}
	if elements := x.groups[group]; elements != nil {
		operations = append(make([]operation, 0, elements.Len()+1), operations...)
		elements.Each(reconcile.All(), func(e entry) bool {
			operations = append(operations, operation{kind: kindNone, group: group, key: e.key()})
			return true
		})
	}
	return operations
}

// apply makes the operations' changes. The operations must stay where they are until they are committed or undone.
func (x *index) apply(operations []operation) {
	for i := range operations {
		op := &operations[i]
		switch op.kind {
		case kindPut:
			op.previous = x.put(op.group, op.entry)
			if _, inline := op.entry.inline(); !inline {
				x.pending[op.entry.location] = op.value
			}
		case kindDelete, kindNone:
			op.previous = x.remove(op.group, op.key)
		}
		if op.previous.exists() && op.previous.location.pending() {
			x.replacedBy[op.previous.location] = op
		}
	}
}

// commit notes that an operation is durable; a put's record is at this location.
func (x *index) commit(op *operation, at location) {
	if op.kind == kindPut {
		x.setLocation(op, at)
	}
	if op.previous.exists() {
		x.addLive(op.previous, -1)
	}
}

// place gives a put's entry its location, where it is now: in the index, or in the operation that has replaced it.
func (x *index) setLocation(op *operation, at location) {
	delete(x.pending, op.entry.location)
	if held := x.find(op.group, op.key); held != nil && held.location == op.entry.location {
		held.location = at
	} else if shadow := x.replacedBy[op.entry.location]; shadow != nil {
		shadow.previous.location = at
		delete(x.replacedBy, op.entry.location)
	}
	op.entry.location = at
	x.addLive(op.entry, 1)
}

// undo takes an operation back. Operations must be undone in the reverse of their order, all that are not committed.
func (x *index) undo(op *operation) {
	switch op.kind {
	case kindPut, kindDelete, kindNone:
		delete(x.pending, op.entry.location)
		if op.previous.exists() {
			delete(x.replacedBy, op.previous.location)
			x.put(op.group, op.previous)
		} else if op.kind == kindPut {
			x.remove(op.group, op.key)
		}
	}
}

// move notes that an entry's record was copied. It does nothing if the entry has been replaced meanwhile.
func (x *index) relocate(group uint32, key string, from, to location) {
	held := x.find(group, key)
	if held == nil || held.location != from {
		return
	}
	x.addLive(*held, -1)
	held.location = to
	x.addLive(*held, 1)
}

// addLive counts a durable record in or out of its generation's live records.
func (x *index) addLive(e entry, change int) {
	generation := x.segments[e.location.segment()].generation
	generation.liveRecords += change
	generation.liveBytes += int64(change) * e.frameBytes()
}

// dropGenerations takes out all entries whose records are in generations below the floor. Only
// recovery needs it, for the files of removed generations that have come back.
func (x *index) dropGenerations(floor uint64) {
	for group, elements := range x.groups {
		var stale []entry
		elements.Each(reconcile.All(), func(e entry) bool {
			if x.segments[e.location.segment()].generation.number < floor {
				stale = append(stale, e)
			}
			return true
		})
		for _, e := range stale {
			x.addLive(x.remove(group, e.key()), -1)
		}
	}
}
