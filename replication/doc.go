// Package replication implements primary-backup replication of sets of records, and elects the primary.
//
// A group is a set of records (key, version, value). A View names its epoch, primary, members and learners. A Replica is one
// member's state machine for one group: the primary streams writes to the other members, a write is committed when every member
// has it on disk, and a member that has joined an epoch rejects all requests of lower epochs. Views are decided elsewhere: for
// most groups by the owner of the table of groups, and for the control group, which has no owner, by an Elector and a Witness in
// each of its processes.
//
// The protocol follows PacificA and Vertical Paxos: majorities of witnesses (acceptors) decide views, and the members of a view
// hold the data, so F+1 copies are enough to tolerate F failures.
//
// The package performs no I/O, starts no goroutines and reads no clock. Messages, storage, time and random numbers are passed in
// through options. Its types are not safe for concurrent use: each Replica and Elector belongs to one event loop.
package replication
