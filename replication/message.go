package replication

import "liftgauge/reconcile"

// Message is one message between the replicas of a group.
//
// A stream is what the primary sends to one other member between one Join and the next. Everything after the Join bears the epoch
// and the stream, and is ignored where another stream was joined since.
type Message interface {
	// Append appends the encoded message to b.
	Append(b []byte) []byte
}

// IsReply tells whether a message answers a primary: it goes back on the connection that the primary opened.
func IsReply(m Message) bool {
	switch m.(type) {
	case *JoinReply, *RangeReply, *RecordReply, *AppendAck:
		return true
	}
	return false
}

// Join begins a stream: the primary of the view asks another to refuse what is of a lower epoch from now on.
type Join struct {
	Epoch  uint64
	Stream uint64
	View   View
}

// JoinReply answers a Join. Where the epoch was refused, Joined is the higher one; where OK is false and Joined is not higher, the
// other could not join for now.
type JoinReply struct {
	Epoch  uint64
	Stream uint64
	OK     bool
	Joined uint64
	Digest reconcile.Digest // of all records
}

// RangeQuery asks for the digests of some ranges and the items of others, as they are at this point of the stream.
type RangeQuery struct {
	Epoch   uint64
	Stream  uint64
	Digests []reconcile.Range
	Items   []reconcile.Range
}

// RangeReply answers a RangeQuery, with as many elements as the query had ranges, in their order.
type RangeReply struct {
	Epoch   uint64
	Stream  uint64
	Digests []RangeDigest
	Items   []RangeItems
}

// RangeDigest is the digest of one range.
type RangeDigest struct {
	Range  reconcile.Range
	Digest reconcile.Digest
}

// RangeItems lists the items of one range.
type RangeItems struct {
	Range reconcile.Range
	Items []reconcile.Item
}

// RecordQuery asks a source for the records of some keys, as they are at this point of the stream.
type RecordQuery struct {
	Epoch  uint64
	Stream uint64
	Keys   []string
}

// RecordReply answers a RecordQuery with what there is of the first Covered keys.
type RecordReply struct {
	Epoch   uint64
	Stream  uint64
	Covered uint64
	Records []Record
}

// Append is the next batch of a stream: a write, or a part of a repair.
type Append struct {
	Epoch   uint64
	Stream  uint64
	Seq     uint64 // counts from 1 in each stream
	Records []Record
}

// AppendAck tells up to which batch everything of a stream is on disk. Where the epoch was refused, Joined is the higher one.
// Failed means that the stream cannot go on and has to begin anew.
type AppendAck struct {
	Epoch  uint64
	Stream uint64
	Seq    uint64
	Joined uint64
	Failed bool
}
