package replication

import (
	"errors"
	"maps"

	"liftgauge/reconcile"
)

// memoryStorage is an in-memory Storage. The test syncs its appends one by one; a crash loses the unsynced ones from some append on.
type memoryStorage struct {
	index   map[uint32]map[string]Record
	durable map[uint32]map[string]Record
	pending []pendingAppend
	failing int // number of the next syncs that fail
}

type pendingAppend struct {
	group   uint32
	records []Record
	drop    bool
	done    func(error)
}

var errDiskFull = errors.New("disk full")

func newMemoryStorage() *memoryStorage {
	return &memoryStorage{index: map[uint32]map[string]Record{}, durable: map[uint32]map[string]Record{}}
}

func apply(to map[uint32]map[string]Record, a pendingAppend) {
	if a.drop {
		delete(to, a.group)
		return
	}
	if to[a.group] == nil {
		to[a.group] = map[string]Record{}
	}
	for _, record := range a.records {
		if record.Deleted {
			delete(to[a.group], record.Key)
		} else {
			to[a.group][record.Key] = record
		}
	}
}

func (s *memoryStorage) add(a pendingAppend) {
	if a.done == nil {
		a.done = func(error) {}
	}
	apply(s.index, a)
	s.pending = append(s.pending, a)
}

func (s *memoryStorage) Append(group uint32, records []Record, done func(error)) {
	s.add(pendingAppend{group: group, records: append([]Record(nil), records...), done: done})
}

func (s *memoryStorage) Drop(group uint32, done func(error)) {
	s.add(pendingAppend{group: group, drop: true, done: done})
}

func (s *memoryStorage) Get(group uint32, key string) (Record, bool, error) {
	record, found := s.index[group][key]
	return record, found, nil
}

func (s *memoryStorage) Digest(group uint32, r reconcile.Range) reconcile.Digest {
	var sum reconcile.Digest
	for _, record := range s.index[group] {
		if r.Contains(reconcile.Hash(record.Key)) {
			sum = sum.Plus(reconcile.DigestOf(reconcile.Item{Key: record.Key, Version: record.Version}))
		}
	}
	return sum
}

func (s *memoryStorage) Items(group uint32, r reconcile.Range) []reconcile.Item {
	var items []reconcile.Item
	for _, record := range s.index[group] {
		if r.Contains(reconcile.Hash(record.Key)) {
			items = append(items, reconcile.Item{Key: record.Key, Version: record.Version})
		}
	}
	return items
}

// sync makes the oldest append durable, or fails it. After a failure the index may or may not show it, as Storage permits.
func (s *memoryStorage) sync() bool {
	if len(s.pending) == 0 {
		return false
	}
	first := s.pending[0]
	s.pending = s.pending[1:]
	if s.failing > 0 {
		s.failing--
		if s.failing%2 == 0 || first.drop {
			s.rebuild()
		}
		first.done(errDiskFull)
		return true
	}
	apply(s.durable, first)
	first.done(nil)
	return true
}

// rebuild recreates the index from the durable records and the pending appends.
func (s *memoryStorage) rebuild() {
	s.index = map[uint32]map[string]Record{}
	for group, records := range s.durable {
		s.index[group] = maps.Clone(records)
	}
	for _, a := range s.pending {
		apply(s.index, a)
	}
}

// crash loses all unsynced appends except the first kept ones.
func (s *memoryStorage) crash(kept int) {
	for _, a := range s.pending[:min(kept, len(s.pending))] {
		apply(s.durable, a)
	}
	s.pending = nil
	s.failing = 0
	s.rebuild()
}
