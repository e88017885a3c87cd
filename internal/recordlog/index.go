package recordlog

import (
	"unsafe"

	"liftgauge/reconcile"
	"liftgauge/replication"
)

// index is the in-memory state of the log: the newest entry of each key, including changes that are not durable yet.
//
// A generation's live records are those that make up the durable state. A change therefore counts only once it is durable: the record
// that it replaced stays live until then, since the log may have to restore it.
type index struct {
	groups         map[uint32]*reconcile.Index[entry]
	segments       map[uint32]*segment
	maxInlineBytes int

	lastPending location
	pending     map[location][]byte     // values that are not inline, of puts that are not durable yet
	replacedBy  map[location]*operation // the operation that has replaced the entry of a put that is not durable yet
}

// operation is one change to the index and the disk.
type operation struct {
	kind      recordKind
	continued bool
	group     uint32
	key       string
	version   uint64
	value     []byte
	entry     entry // the new entry of a put
	previous  entry // the entry that it replaced
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

// stringOf returns b as a string without a copy. There must be no other reference to b.
func stringOf(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// bytesOf returns the bytes of a string without a copy. They must not be modified.
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

// operations converts records into operations, which have to be passed to apply.
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

// dropOperations returns the operations that drop a group: its record on disk, and the removal of each key from the index.
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

// apply applies operations to the index, which refers to them: they must not be moved in memory until they are committed or undone.
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

// commit records that an operation is durable; the record of a put is at this location.
func (x *index) commit(op *operation, at location) {
	if op.kind == kindPut {
		x.setLocation(op, at)
	}
	if op.previous.exists() {
		x.addLive(op.previous, -1)
	}
}

// setLocation sets the location of a put's entry, which is either in the index or in the operation that has replaced it.
func (x *index) setLocation(op *operation, at location) {
	delete(x.pending, op.entry.location)
	if current := x.find(op.group, op.key); current != nil && current.location == op.entry.location {
		current.location = at
	} else if shadow := x.replacedBy[op.entry.location]; shadow != nil {
		shadow.previous.location = at
		delete(x.replacedBy, op.entry.location)
	}
	op.entry.location = at
	x.addLive(op.entry, 1)
}

// undo reverts an operation. All operations that are not committed must be undone together, in reverse order.
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

// relocate records that an entry's record was copied. It does nothing if the entry has been replaced meanwhile.
func (x *index) relocate(group uint32, key string, from, to location) {
	current := x.find(group, key)
	if current == nil || current.location != from {
		return
	}
	x.addLive(*current, -1)
	current.location = to
	x.addLive(*current, 1)
}

// addLive adds a durable record to its generation's live records, or with a change of -1 removes it.
func (x *index) addLive(e entry, change int) {
	generation := x.segments[e.location.segment()].generation
	generation.liveRecords += change
	generation.liveBytes += int64(change) * e.frameBytes()
}

// dropGenerations removes all entries whose records are in generations below the floor. Only recovery needs it, for files of removed
// generations that have reappeared.
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
