package replication

import "liftgauge/reconcile"

// LocalGroup is the group of records that are local to this process and never replicated: its identity, the epochs that its
// replicas have joined, and the register of its witness.
const LocalGroup uint32 = 0

// Record is a key-value pair of a group. A deleted record has no value; storage removes its key.
//
// The version identifies the content: two records of a group with the same key and version are identical. Replica.Write assigns
// versions that are unique among all writes of the group, so callers leave the field zero.
type Record struct {
	Key     string
	Version uint64
	Value   []byte
	Deleted bool
}

// size estimates the encoded size of a record in bytes.
func (r Record) size() int { return len(r.Key) + len(r.Value) + recordOverhead }

const recordOverhead = 24

// Storage holds the records of all groups of a process.
//
// Everything that Get, Digest and Items return right after the storage was opened is on disk: opening syncs what it has read.
type Storage interface {
	// Append applies the records to the group's index immediately, so that reads and digests include them, and calls done from
	// another goroutine when they are synced to disk. The records of one call are atomic across a crash. After an error the records
	// may or may not be in the index, but a later Append of the same keys replaces them. done may be nil.
	Append(group uint32, records []Record, done func(error))
	// Get returns a record, or false if the group has no record with this key. The value must not be modified.
	Get(group uint32, key string) (Record, bool, error)
	// Digest returns the digest of the records in a range.
	Digest(group uint32, r reconcile.Range) reconcile.Digest
	// Items lists the keys and versions of the records in a range.
	Items(group uint32, r reconcile.Range) []reconcile.Item
	// Drop removes all records of the group and calls done from another goroutine when the removal is on disk. After an error the
	// records are unchanged. done may be nil.
	Drop(group uint32, done func(error))
}
