package replication

import (
	"encoding/binary"
	"strconv"

	"github.com/cockroachdb/errors"
)

// joined is what a replica keeps on disk about the epoch that it has joined.
type joined struct {
	Epoch    uint64
	Reserved uint64 // version numbers up to here may have been used by this member as the epoch's primary
	View     View
}

func joinedKey(group uint32) string { return "joined/" + strconv.FormatUint(uint64(group), 10) }

func (j *joined) record(group uint32) Record {
	value := binary.AppendUvarint(nil, j.Epoch)
	value = binary.AppendUvarint(value, j.Reserved)
	value = appendNested(value, j.View.append)
	return Record{Key: joinedKey(group), Version: j.Epoch, Value: value}
}

func loadJoined(s Storage, group uint32) (joined, error) {
	var j joined
	record, found, err := s.Get(LocalGroup, joinedKey(group))
	if err != nil || !found {
		return j, err
	}
	r := reader{b: record.Value}
	j.Epoch, j.Reserved = r.uint(), r.uint()
	r.nested(j.View.read)
	return j, errors.Wrapf(r.err(), "record %s", joinedKey(group))
}

// A version is the epoch in which it was drawn and a number within the epoch. Numbers are reserved on disk in blocks before they are
// used, so that a primary that restarts in its epoch draws none twice.
const (
	versionNumberBits  = 36
	versionBlockBits   = 24
	versionBlock       = uint64(1) << versionBlockBits
	streamsPerBlockLog = 32
)

// EpochLimit is above every epoch: so many fit into a version. A view change a second reaches it in eight and a half years. No view of it or
// beyond is made, and a message that names one is malformed, so that a garbled one cannot use up the epochs.
const EpochLimit = uint64(1) << (64 - versionNumberBits)

// EpochWarning is the epoch from which on the owner of a group should tell that its epochs are being used up.
const EpochWarning = EpochLimit / 8 * 7

// versions draws versions for the writes of one primary.
type versions struct {
	epoch    uint64 // zero: none can be drawn
	last     uint64 // the last number drawn
	reserved uint64 // the last number that may be drawn
	extended bool   // another block is being reserved
}

func (v *versions) ready() bool { return v.epoch != 0 && v.last < v.reserved }

// low tells that it is time to reserve another block.
func (v *versions) low() bool { return !v.extended && v.reserved-v.last <= versionBlock/2 }

func (v *versions) draw() uint64 {
	v.last++
	return v.epoch<<versionNumberBits | v.last
}
