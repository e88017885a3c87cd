// Package protocol defines the messages that the roles exchange: their frame kinds and their binary encoding.
//
// Every message is encoded as a sequence of fields in a fixed order. A decoder ignores bytes after the last field that it knows, and
// leaves fields that an older sender did not write at their zero value, so that adjacent versions are compatible.
package protocol

import "liftgauge/internal/rpc"

// The kinds of frames. A number is never reused for another kind.
const (
	// Any process to a control process.
	KindHeartbeat rpc.Kind = 1 // call: Heartbeat -> HeartbeatReply
	KindLeave     rpc.Kind = 2 // call: Leave -> empty; a planned shutdown begins or has ended
	KindFetch     rpc.Kind = 3 // call: Fetch -> Items; any process to any process

	// Dissemination between any two processes.
	KindDigest rpc.Kind = 10 // datagram or notification: Digest
	KindItems  rpc.Kind = 11 // notification: Items

	// Replication between members of a group; the body is a header followed by one encoded replication.Message.
	KindReplication rpc.Kind = 20 // notification: ReplicationFrame
	KindWitness     rpc.Kind = 21 // call between control processes: witness requests
	KindLease       rpc.Kind = 22 // call between stores: LeaseRequest -> LeaseReply

	// Dispatcher to store.
	KindAccept rpc.Kind = 30 // call: Accept -> AcceptReply
	KindLookup rpc.Kind = 31 // call: Lookup -> LookupReply
	KindHello  rpc.Kind = 32 // notification: Hello; starts deliveries on this connection
	KindResult rpc.Kind = 33 // call: Result -> empty; answered once the outcome is on disk at all members
	KindPause  rpc.Kind = 34 // notification, empty: no more deliveries on this connection

	// Store to dispatcher.
	KindDeliver rpc.Kind = 40 // notification: Deliver
)
