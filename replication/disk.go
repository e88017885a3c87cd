package replication

// disk wraps a replica's storage. It tracks which appends are not synced yet, and which keys may differ between the index and the disk
// because an append of theirs failed.
type disk struct {
	group      uint32
	storage    Storage
	post       func(func())
	appends    sequence
	barriers   []barrier
	failedKeys map[string]struct{}
	closed     bool
}

// barrier is a callback that waits for all appends up to a number.
type barrier struct {
	upTo uint64
	call func()
}

// append stores records and calls done on the loop once they are synced or the append has failed.
func (d *disk) append(group uint32, records []Record, done func(error)) {
	n := d.appends.begin()
	d.storage.Append(group, records, func(err error) {
		d.post(func() {
			if d.closed {
				return
			}
			if err != nil && group == d.group {
				d.noteFailed(records)
			}
			d.appends.finish(n)
			done(err)
			d.release()
		})
	})
}

// drop removes the records of the group and calls done on the loop.
func (d *disk) drop(done func(error)) {
	n := d.appends.begin()
	d.storage.Drop(d.group, func(err error) {
		d.post(func() {
			if d.closed {
				return
			}
			d.appends.finish(n)
			done(err)
			d.release()
		})
	})
}

// afterSyncs calls f once all appends issued so far are synced or have failed.
func (d *disk) afterSyncs(f func()) {
	if d.appends.floor == d.appends.last {
		f()
		return
	}
	d.barriers = append(d.barriers, barrier{upTo: d.appends.last, call: f})
}

func (d *disk) release() {
	for len(d.barriers) > 0 && d.barriers[0].upTo <= d.appends.floor && !d.closed {
		first := d.barriers[0]
		d.barriers = d.barriers[1:]
		first.call()
	}
}

func (d *disk) noteFailed(records []Record) {
	if d.failedKeys == nil {
		d.failedKeys = make(map[string]struct{})
	}
	for _, record := range records {
		d.failedKeys[record.Key] = struct{}{}
	}
}

// isConsistent reports whether index and disk agree, once all appends are synced.
func (d *disk) isConsistent() bool { return len(d.failedKeys) == 0 }

// rewriteFailed appends the indexed records of all keys whose appends have failed again.
func (d *disk) rewriteFailed() {
	if d.isConsistent() {
		return
	}
	suspects := d.failedKeys
	d.failedKeys = nil
	var records []Record
	for key := range suspects {
		record, found, err := d.storage.Get(d.group, key)
		if err != nil || !found {
			record = Record{Key: key, Deleted: true}
		}
		records = append(records, record)
	}
	d.append(d.group, records, func(error) {})
}
