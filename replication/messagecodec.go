package replication

import (
	"encoding/binary"

	"liftgauge/reconcile"
)

// The first byte of an encoded message. Numbers must not be reused.
const (
	codeJoin byte = iota + 1
	codeJoinReply
	codeRangeQuery
	codeRangeReply
	codeAppend
	codeAppendAck
	codeRecordQuery
	codeRecordReply
)

// DecodeMessage decodes one message. Values of records alias b.
func DecodeMessage(b []byte) (Message, error) {
	if len(b) == 0 {
		return nil, ErrMalformed
	}
	var m interface {
		Message
		read(*reader)
	}
	switch b[0] {
	case codeJoin:
		m = &Join{}
	case codeJoinReply:
		m = &JoinReply{}
	case codeRangeQuery:
		m = &RangeQuery{}
	case codeRangeReply:
		m = &RangeReply{}
	case codeAppend:
		m = &Append{}
	case codeAppendAck:
		m = &AppendAck{}
	case codeRecordQuery:
		m = &RecordQuery{}
	case codeRecordReply:
		m = &RecordReply{}
	default:
		return nil, ErrMalformed
	}
	r := reader{b: b[1:]}
	m.read(&r)
	return m, r.err()
}

func appendHead(b []byte, code byte, epoch, stream uint64) []byte {
	b = append(b, code)
	b = binary.AppendUvarint(b, epoch)
	return binary.AppendUvarint(b, stream)
}

// Append implements Message.
func (m *Join) Append(b []byte) []byte {
	b = appendHead(b, codeJoin, m.Epoch, m.Stream)
	return appendNested(b, m.View.append)
}

func (m *Join) read(r *reader) {
	m.Epoch, m.Stream = r.epoch(), r.uint()
	r.nested(m.View.read)
}

// Append implements Message.
func (m *JoinReply) Append(b []byte) []byte {
	b = appendHead(b, codeJoinReply, m.Epoch, m.Stream)
	b = appendBool(b, m.OK)
	b = binary.AppendUvarint(b, m.Joined)
	return appendDigest(b, m.Digest)
}

func (m *JoinReply) read(r *reader) {
	m.Epoch, m.Stream, m.OK, m.Joined = r.epoch(), r.uint(), r.bool(), r.epoch()
	m.Digest = readDigest(r)
}

// Append implements Message.
func (m *RangeQuery) Append(b []byte) []byte {
	b = appendHead(b, codeRangeQuery, m.Epoch, m.Stream)
	b = appendRanges(b, m.Digests)
	return appendRanges(b, m.Items)
}

func (m *RangeQuery) read(r *reader) {
	m.Epoch, m.Stream, m.Digests, m.Items = r.epoch(), r.uint(), readRanges(r), readRanges(r)
}

// Append implements Message.
func (m *RangeReply) Append(b []byte) []byte {
	b = appendHead(b, codeRangeReply, m.Epoch, m.Stream)
	b = binary.AppendUvarint(b, uint64(len(m.Digests)))
	for _, d := range m.Digests {
		b = appendDigest(appendRange(b, d.Range), d.Digest)
	}
	b = binary.AppendUvarint(b, uint64(len(m.Items)))
	for _, list := range m.Items {
		b = appendRange(b, list.Range)
		b = binary.AppendUvarint(b, uint64(len(list.Items)))
		for _, item := range list.Items {
			b = binary.AppendUvarint(appendString(b, item.Key), item.Version)
		}
	}
	return b
}

func (m *RangeReply) read(r *reader) {
	m.Epoch, m.Stream = r.epoch(), r.uint()
	for range r.count() {
		m.Digests = append(m.Digests, RangeDigest{Range: readRange(r), Digest: readDigest(r)})
	}
	for range r.count() {
		list := RangeItems{Range: readRange(r)}
		for range r.count() {
			list.Items = append(list.Items, reconcile.Item{Key: r.string(), Version: r.uint()})
		}
		m.Items = append(m.Items, list)
	}
}

// Append implements Message.
func (m *Append) Append(b []byte) []byte {
	b = appendHead(b, codeAppend, m.Epoch, m.Stream)
	b = binary.AppendUvarint(b, m.Seq)
	return appendRecords(b, m.Records)
}

func (m *Append) read(r *reader) {
	m.Epoch, m.Stream, m.Seq, m.Records = r.epoch(), r.uint(), r.uint(), readRecords(r)
}

// Append implements Message.
func (m *RecordQuery) Append(b []byte) []byte {
	return appendStrings(appendHead(b, codeRecordQuery, m.Epoch, m.Stream), m.Keys)
}

func (m *RecordQuery) read(r *reader) { m.Epoch, m.Stream, m.Keys = r.epoch(), r.uint(), r.strings() }

// Append implements Message.
func (m *RecordReply) Append(b []byte) []byte {
	b = appendHead(b, codeRecordReply, m.Epoch, m.Stream)
	b = binary.AppendUvarint(b, m.Covered)
	return appendRecords(b, m.Records)
}

func (m *RecordReply) read(r *reader) {
	m.Epoch, m.Stream, m.Covered, m.Records = r.epoch(), r.uint(), r.uint(), readRecords(r)
}

// Append implements Message.
func (m *AppendAck) Append(b []byte) []byte {
	b = appendHead(b, codeAppendAck, m.Epoch, m.Stream)
	b = binary.AppendUvarint(b, m.Seq)
	b = binary.AppendUvarint(b, m.Joined)
	return appendBool(b, m.Failed)
}

func (m *AppendAck) read(r *reader) {
	m.Epoch, m.Stream, m.Seq, m.Joined, m.Failed = r.epoch(), r.uint(), r.uint(), r.epoch(), r.bool()
}

func appendRecords(b []byte, records []Record) []byte {
	b = binary.AppendUvarint(b, uint64(len(records)))
	for _, record := range records {
		b = appendString(b, record.Key)
		b = binary.AppendUvarint(b, record.Version)
		b = appendBool(b, record.Deleted)
		b = appendBytes(b, record.Value)
	}
	return b
}

func readRecords(r *reader) []Record {
	n := r.count()
	if n == 0 {
		return nil
	}
	records := make([]Record, 0, n)
	for range n {
		records = append(records, Record{Key: r.string(), Version: r.uint(), Deleted: r.bool(), Value: r.bytes()})
	}
	return records
}

func appendRange(b []byte, r reconcile.Range) []byte {
	return append(binary.BigEndian.AppendUint64(b, r.Prefix), r.Bits)
}

func readRange(r *reader) reconcile.Range {
	const size = 9
	if len(r.b) < size {
		r.fail()
		return reconcile.Range{}
	}
	v := reconcile.Range{Prefix: binary.BigEndian.Uint64(r.b), Bits: r.b[size-1]}
	r.b = r.b[size:]
	if !v.Valid() {
		r.fail()
	}
	return v
}

func appendRanges(b []byte, list []reconcile.Range) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, v := range list {
		b = appendRange(b, v)
	}
	return b
}

func readRanges(r *reader) []reconcile.Range {
	n := r.count()
	var list []reconcile.Range
	for range n {
		list = append(list, readRange(r))
	}
	return list
}

func appendDigest(b []byte, d reconcile.Digest) []byte {
	return binary.AppendUvarint(binary.AppendUvarint(b, d.Count), d.Sum)
}

func readDigest(r *reader) reconcile.Digest { return reconcile.Digest{Count: r.uint(), Sum: r.uint()} }
