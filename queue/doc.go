// Package queue decides which of a store's messages are delivered to which dispatcher, and when.
//
// One Queue holds the messages of all partitions that the store is primary of. It tracks the delay, the ordering key, the attempts and the
// retention of each message, the window of each service, and the deliveries in flight at each dispatcher. It does no I/O, reads no clock
// and starts no goroutine: the owner passes the time as a duration on its steady clock, writes the records that a Transition requires,
// and calls ConfirmEnd once they are on disk.
//
// Ordering: messages with an ordering key on a Fifo route form one lane per (partition, route, key). Only the head of a lane is delivered;
// the next message follows once the head has ended and its end is confirmed.
//
// The cost of an operation depends on the messages it affects, not on the number of waiting messages: everything with a deadline is kept
// in heaps.
package queue
