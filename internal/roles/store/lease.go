package store

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/protocol"
)

const (
	leaseDuration   = 600 * time.Millisecond
	leaseInterval   = 150 * time.Millisecond
	leaseRetryDelay = 20 * time.Millisecond // after a refusal
)

var errLease = errors.New("store: malformed lease request; run the same version on both stores")

// leaseRequest is the body of a KindLease call: the request itself, the process that asks, and the partition table that it acts by.
// A lease covers only what that table says: the grantor refuses when it knows that a newer table took a partition from the asker.
type leaseRequest struct {
	protocol.LeaseRequest
	Incarnation uint64
	Table       protocol.ItemVersion
}

func (r *leaseRequest) append(b []byte) []byte {
	inner := r.LeaseRequest.Append(nil)
	b = binary.AppendUvarint(b, uint64(len(inner)))
	b = append(b, inner...)
	for _, number := range []uint64{r.Incarnation, r.Table.Term, r.Table.Number} {
		b = binary.AppendUvarint(b, number)
	}
	return b
}

func (r *leaseRequest) decode(b []byte) error {
	length, n := binary.Uvarint(b)
	if n <= 0 || length > uint64(len(b)-n) {
		return errLease
	}
	if err := r.LeaseRequest.Decode(b[n : n+int(length)]); err != nil {
		return errors.Mark(err, errLease)
	}
	b = b[n+int(length):]
	for _, number := range []*uint64{&r.Incarnation, &r.Table.Term, &r.Table.Number} {
		value, n := binary.Uvarint(b)
		if n <= 0 {
			return errLease
		}
		*number, b = value, b[n:]
	}
	return nil
}

// grants is what this store has promised to others.
type grants struct {
	unknownUntil time.Duration        // promises of an earlier process of this store may stand until then
	minTable     protocol.ItemVersion // requests that act by an older partition table are refused, whoever asks
	byMember     map[string]*grant
}

// grant is the promise to one member.
type grant struct {
	incarnation uint64
	until       time.Duration
	minTable    protocol.ItemVersion // as floor, for this member alone
	latestTable protocol.ItemVersion // the newest partition table that its requests acted by
}

// earlierLease is a promise that a new primary waits for: that of a member that was, or may have been, primary before. It is over at its time,
// or as soon as the member is known to act by the table that took the partition from it.
type earlierLease struct {
	member string // empty for one to an unknown member
	until  time.Duration
	table  protocol.ItemVersion
}

func newGrants(started time.Duration) *grants {
	return &grants{unknownUntil: started + leaseDuration, byMember: map[string]*grant{}}
}

func (g *grants) of(member string) *grant {
	found := g.byMember[member]
	if found == nil {
		found = &grant{}
		g.byMember[member] = found
	}
	return found
}

// recordTable notes which table a member acts by. What a process knows never goes back, and a member has one process at a time.
func (g *grants) recordTable(r *leaseRequest) {
	if grant := g.of(r.From); grant.latestTable.Less(r.Table) {
		grant.latestTable = r.Table
	}
}

// request grants or refuses a lease, or takes back a released one.
func (g *grants) request(now time.Duration, r *leaseRequest) bool {
	grant := g.of(r.From)
	if r.Release {
		if grant.incarnation == r.Incarnation {
			grant.until = now
		}
		return false
	}
	if g.minTable == (protocol.ItemVersion{}) || r.Table.Less(g.minTable) || r.Table.Less(grant.minTable) {
		return false
	}
	grant.incarnation, grant.until = r.Incarnation, max(grant.until, now+min(r.Duration, leaseDuration))
	return true
}

// fenceMember refuses requests from a member that acts by a table older than version.
func (g *grants) fenceMember(member string, version protocol.ItemVersion) {
	if grant := g.of(member); grant.minTable.Less(version) {
		grant.minTable = version
	}
}

// fenceAll refuses requests of all that act by a table older than version.
func (g *grants) fenceAll(version protocol.ItemVersion) {
	if g.minTable.Less(version) {
		g.minTable = version
	}
}

// processEnded says that a process has processEnded: its lease is void.
func (g *grants) processEnded(member string, incarnation uint64) {
	if grant := g.byMember[member]; grant != nil && grant.incarnation == incarnation {
		grant.until = 0
	}
}

// leasesOfAll returns all promises, as seen by who takes a partition over by a table without knowing from whom.
func (g *grants) leasesOfAll(table protocol.ItemVersion) []earlierLease {
	all := []earlierLease{{until: g.unknownUntil}}
	for member, grant := range g.byMember {
		all = append(all, earlierLease{member: member, until: grant.until, table: table})
	}
	return all
}

// leasesOf returns the promise to a member, as seen by who takes a partition over from it by a table.
func (g *grants) leasesOf(member string, table protocol.ItemVersion) []earlierLease {
	until := g.unknownUntil
	if grant := g.byMember[member]; grant != nil {
		until = max(until, grant.until)
	}
	return []earlierLease{{member: member, until: until, table: table}}
}

// latestExpiry returns when the last of some promises is over, at the latestExpiry; 0 if none stands any more.
func (g *grants) latestExpiry(now time.Duration, leases []earlierLease) (until time.Duration) {
	for _, lease := range leases {
		if now < lease.until && !g.hasEnded(now, &lease) {
			until = max(until, lease.until)
		}
	}
	return until
}

// hasEnded tells whether a promise is over before its time: the member acts by the newer table, gave the lease back, or its process has ended.
func (g *grants) hasEnded(now time.Duration, lease *earlierLease) bool {
	grant := g.byMember[lease.member]
	if lease.member == "" || grant == nil {
		return false
	}
	return !grant.latestTable.Less(lease.table) || now >= max(g.unknownUntil, grant.until)
}
