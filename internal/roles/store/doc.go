// Package store runs the store role: it keeps messages in replicated partitions and hands them out to dispatchers.
//
// One goroutine, the event loop, owns the replicas of all partitions that this store is a member of and the queue of those that it is
// primary of. Received frames, changes of the shared cluster state and disk callbacks are posted to it.
//
// # Records
//
// A partition is the replication group groupBase + its number. A message has two records: "b/" and its id with the request as it arrived,
// and "s/" and its id with its state. When a message ends, its state is rewritten; after a success the body is deleted in the same write.
// The body of a dead letter is kept as long as its state.
//
// # Fencing
//
// Writes are fenced by epochs: a replica that is no longer primary cannot complete one. Deliveries and answers to lookups are fenced by
// leases: the primary of a partition acts only while every other member has granted it a lease, that is, will not act in its place for
// leaseDuration on the steady clock. A store that becomes primary waits until the leases that it granted to the previous primary have ended.
package store
