package control

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"

	"liftgauge/configuration"
	"liftgauge/election"
	"liftgauge/internal/protocol"
	"liftgauge/replication"
)

// controlGroup is the group of records that the control processes replicate among themselves.
const controlGroup uint32 = 1

// The keys of the records of controlGroup.
const (
	keyConfiguration        = configuration.RecordCurrent       // the operator's JSON, complete
	keyConfigurationVersion = "config/version"                  // its protocol.ItemVersion
	prefixAccepted          = configuration.RecordAppliedPrefix // + hash of an order: its revision
	prefixNode              = "node/"                           // + key of a node: protocol.Node
	prefixPartition         = "partition/"                      // + number: protocol.PartitionView
	prefixStore             = "store/"                          // + member: storeRecord
	prefixDuty              = "duty/"                           // + name: election.Award
	keyFounded              = "founded"                         // number of partitions
)

// errMalformedRecord marks a record that cannot be decoded.
var errMalformedRecord = errors.New("control: a record of the group cannot be read: run the version that wrote it")

func configurationRecord(raw []byte) replication.Record {
	return replication.Record{Key: keyConfiguration, Value: raw}
}

func versionRecord(v protocol.ItemVersion) replication.Record {
	value := binary.AppendUvarint(nil, v.Term)
	return replication.Record{Key: keyConfigurationVersion, Value: binary.AppendUvarint(value, v.Number)}
}

func acceptedRecord(hash string, revision uint64) replication.Record {
	return replication.Record{Key: prefixAccepted + hash, Value: strconv.AppendUint(nil, revision, 10)}
}

func nodeRecord(n protocol.Node) replication.Record {
	return replication.Record{Key: prefixNode + n.Key, Value: n.Append(nil)}
}

func partitionRecord(v protocol.PartitionView) replication.Record {
	return replication.Record{Key: fmt.Sprintf("%s%d", prefixPartition, v.Partition), Value: v.Append(nil)}
}

func dutyRecord(name string, a election.Award) replication.Record {
	value := binary.AppendUvarint(nil, a.Term)
	value = binary.AppendUvarint(value, a.Holder.Incarnation)
	return replication.Record{Key: prefixDuty + name, Value: appendText(value, a.Holder.Key)}
}

func foundedRecord(partitions int) replication.Record {
	return replication.Record{Key: keyFounded, Value: binary.AppendUvarint(nil, uint64(partitions))}
}

func deletion(key string) replication.Record { return replication.Record{Key: key, Deleted: true} }

// storeRecord is the stored information on a store. It is kept while the store has no session.
type storeRecord struct {
	Member   string
	Name     string // of the machine
	Zone     string
	Region   string
	Retiring bool
	Emptied  bool // it was retiring and no partition names it any longer
	// Abandoned is set when the operator has abandoned the disk, and cleared when the store opens a session with it.
	Abandoned bool
}

// The flags of a store's record.
const (
	storeRetiring uint64 = 1 << iota
	storeEmptied
	storeAbandoned
)

func (s storeRecord) record() replication.Record {
	var flags uint64
	if s.Retiring {
		flags |= storeRetiring
	}
	if s.Emptied {
		flags |= storeEmptied
	}
	if s.Abandoned {
		flags |= storeAbandoned
	}
	value := appendText(appendText(appendText(nil, s.Name), s.Zone), s.Region)
	return replication.Record{Key: prefixStore + s.Member, Value: binary.AppendUvarint(value, flags)}
}

func decodeStore(member string, value []byte) (storeRecord, error) {
	r := fieldReader{rest: value}
	s := storeRecord{Member: member, Name: r.text(), Zone: r.text(), Region: r.text()}
	flags := r.number()
	s.Retiring, s.Emptied, s.Abandoned = flags&storeRetiring != 0, flags&storeEmptied != 0, flags&storeAbandoned != 0
	return s, r.err
}

func decodeAward(value []byte) (election.Award, error) {
	r := fieldReader{rest: value}
	a := election.Award{Term: r.number()}
	a.Holder.Incarnation = r.number()
	a.Holder.Key = r.text()
	return a, r.err
}

func decodeVersion(value []byte) (protocol.ItemVersion, error) {
	r := fieldReader{rest: value}
	return protocol.ItemVersion{Term: r.number(), Number: r.number()}, r.err
}

func decodeAccepted(value []byte) (uint64, error) {
	revision, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, errMalformedRecord
	}
	return revision, nil
}

func appendText(b []byte, text string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

// fieldReader reads fields in sequence and keeps the error, if any.
type fieldReader struct {
	rest []byte
	err  error
}

func (r *fieldReader) number() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.rest, r.err = nil, errMalformedRecord
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

func (r *fieldReader) bytes() []byte {
	n := r.number()
	if n > uint64(len(r.rest)) {
		r.rest, r.err = nil, errMalformedRecord
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *fieldReader) text() string { return string(r.bytes()) }
