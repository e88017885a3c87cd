package replication

import "liftgauge/reconcile"

// Message is a message between the replicas of a group.
//
// A stream is what the primary sends to one other member between one Join and the next. Every message after the Join carries the
// epoch and the stream, and is ignored if the receiver has joined another stream since.
type Message interface {
	// Append appends the encoded message to b.
	Append(b []byte) []byte
}

// IsReply reports whether a message is a reply to a primary, which goes back on the connection that the primary opened.
func IsReply(m Message) bool {
	switch m.(type) {
	case *JoinReply, *RangeReply, *RecordReply, *AppendAck:
		return true
	}
	return false
}

// Join starts a stream: the primary of the view requests another member to join its epoch and reject all requests of lower epochs.
type Join struct {
	Epoch  uint64
	Stream uint64
	View   View
}

// JoinReply answers a Join. If the epoch was rejected, Joined is the higher epoch; if OK is false and Joined is not higher, the
// member could not join for now.
type JoinReply struct {
	Epoch  uint64
	Stream uint64
	OK     bool
	Joined uint64
	Digest reconcile.Digest // of all records
}

// RangeQuery requests the digests of some ranges and the items of others, as of this position of the stream.
type RangeQuery struct {
	Epoch   uint64
	Stream  uint64
	Digests []reconcile.Range
	Items   []reconcile.Range
}

// RangeReply answers a RangeQuery with one element for each range of the query, in the same order.
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

// RecordQuery requests the records of some keys from a source, as of this position of the stream.
type RecordQuery struct {
	Epoch  uint64
	Stream uint64
	Keys   []string
}

// RecordReply answers a RecordQuery with the existing records among the first Covered keys.
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

// AppendAck acknowledges that all batches of a stream up to Seq are on disk. If the epoch was rejected, Joined is the higher epoch.
// Failed means that the stream cannot continue and has to be restarted.
type AppendAck struct {
	Epoch  uint64
	Stream uint64
	Seq    uint64
	Joined uint64
	Failed bool
}
