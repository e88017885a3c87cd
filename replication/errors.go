package replication

import "github.com/cockroachdb/errors"

var (
	// ErrNotPrimary rejects a write to a replica that is not the primary of its group. Nothing was written.
	ErrNotPrimary = errors.New("not the primary of this group; look up the group's present view and write there")
	// ErrDeposed fails a write whose replica ceased to be the primary. The outcome of the write is unknown.
	ErrDeposed = errors.New("deposed while writing; ask the group's new primary whether the write survived")
	// ErrStorage fails a write that the primary's local storage could not persist. Its outcome is unknown until it is written again.
	ErrStorage = errors.New("the primary's storage failed; write again, or let another member become primary")
	// ErrStillMember rejects a Drop of a replica that may still belong to its group. Nothing was dropped.
	ErrStillMember = errors.New("still part of the group; drop the replica once a view without it is installed here")
	// ErrMalformed reports bytes that do not decode to a message, register or record of this package.
	ErrMalformed = errors.New("malformed replication data; drop the connection that it came from")
)
