package replication

import (
	"encoding/binary"
	"strconv"

	"github.com/cockroachdb/errors"
)

// joinState is the persistent state of a replica: the epoch that it has joined.
type joinState struct {
	Epoch    uint64
	Reserved uint64 // version numbers up to here may have been used by this member as primary of the epoch
	View     View
}

func joinedKey(group uint32) string { return "joined/" + strconv.FormatUint(uint64(group), 10) }

func (j *joinState) record(group uint32) Record {
	value := binary.AppendUvarint(nil, j.Epoch)
	value = binary.AppendUvarint(value, j.Reserved)
	value = appendNested(value, j.View.append)
	return Record{Key: joinedKey(group), Version: j.Epoch, Value: value}
}

func loadJoinState(s Storage, group uint32) (joinState, error) {
	var j joinState
	record, found, err := s.Get(LocalGroup, joinedKey(group))
	if err != nil || !found {
		return j, err
	}
	r := reader{b: record.Value}
	j.Epoch, j.Reserved = r.uint(), r.uint()
	r.nested(j.View.read)
	return j, errors.Wrapf(r.err(), "record %s", joinedKey(group))
}

// A version consists of the epoch in which it was assigned and a number within that epoch. Numbers are reserved on disk in blocks
// before they are used, so that a primary that restarts in its epoch assigns none twice.
const (
	versionNumberBits   = 36
	versionBlockBits    = 24
	versionBlock        = uint64(1) << versionBlockBits
	streamsPerBlockBits = 32
)

// EpochLimit is the exclusive upper bound of epochs, as many as fit into a version. One view change a second reaches it in eight and a
// half years. No view at or beyond it is made, and a message that names such an epoch is malformed, so that a corrupted message cannot
// exhaust the epochs.
const EpochLimit = uint64(1) << (64 - versionNumberBits)

// EpochWarning is the epoch from which on the owner of a group should warn that its epochs are running out.
const EpochWarning = EpochLimit / 8 * 7

// versions assigns versions to the writes of one primary.
type versions struct {
	epoch     uint64 // zero: no version can be assigned
	last      uint64 // last number used
	reserved  uint64 // last number that may be used
	reserving bool   // another block is being reserved
}

func (v *versions) canAssign() bool { return v.epoch != 0 && v.last < v.reserved }

// needsReservation reports whether it is time to reserve another block.
func (v *versions) needsReservation() bool {
	return !v.reserving && v.reserved-v.last <= versionBlock/2
}

func (v *versions) next() uint64 {
	v.last++
	return v.epoch<<versionNumberBits | v.last
}
