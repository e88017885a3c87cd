// Package control runs the control role: it keeps the operator's configuration, the sessions of all processes, the partition table,
// the singleton duties and the retirement of stores, replicated over a few control processes of which one is the primary.
//
// All state machines (replication.Elector and Replica, session.Table, election.Election, placement, configuration, workerlist.Reader)
// belong to one event loop. Connections, disk, HTTP handlers and timers post functions to it. The state and the work of the active
// primary are in the type primary, which is built from the replicated records when this process becomes active and discarded when it
// is deposed. Changes are published and acknowledged only after their records are on disk at all members of the view.
//
// A control process without DataDir is not part of the replicated group and only redirects callers to the primary.
package control
