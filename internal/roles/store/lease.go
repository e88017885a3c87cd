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

// leaseRequest is the body of a KindLease call: the request itself, the requesting process, and the partition table that it uses.
// A lease covers only the partitions that the table assigns to the requester: the grantor refuses if it has a newer table that took a
// partition away from the requester.
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

// grants are the leases that this store has granted to others.
type grants struct {
	unknownUntil time.Duration        // leases granted by an earlier process of this store may be valid until then
	minTable     protocol.ItemVersion // requests of any member that uses an older partition table are refused
	byMember     map[string]*grant
}

// grant is the lease of one member.
type grant struct {
	incarnation uint64
	until       time.Duration
	minTable    protocol.ItemVersion // as grants.minTable, for this member only
	latestTable protocol.ItemVersion // the newest partition table in its requests
}

// earlierLease is a lease that a new primary waits for: that of a member that was, or may have been, the previous primary. It ends when it
// expires, or as soon as the member has shown that it uses the table that took the partition away from it.
type earlierLease struct {
	member string // empty if the member is unknown
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

// recordTable records which table a member uses. A process never returns to an older table, and a member has one process at a time.
func (g *grants) recordTable(r *leaseRequest) {
	if grant := g.of(r.From); grant.latestTable.Less(r.Table) {
		grant.latestTable = r.Table
	}
}

// request grants or refuses a lease, or ends a released one.
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

// fenceMember makes requests of a member that uses a table older than version fail.
func (g *grants) fenceMember(member string, version protocol.ItemVersion) {
	if grant := g.of(member); grant.minTable.Less(version) {
		grant.minTable = version
	}
}

// fenceAll makes requests of all members that use a table older than version fail.
func (g *grants) fenceAll(version protocol.ItemVersion) {
	if g.minTable.Less(version) {
		g.minTable = version
	}
}

// processEnded voids the lease of a process that has ended.
func (g *grants) processEnded(member string, incarnation uint64) {
	if grant := g.byMember[member]; grant != nil && grant.incarnation == incarnation {
		grant.until = 0
	}
}

// leasesOfAll returns the leases of all members, for a takeover by a table where the previous primary is unknown.
func (g *grants) leasesOfAll(table protocol.ItemVersion) []earlierLease {
	all := []earlierLease{{until: g.unknownUntil}}
	for member, grant := range g.byMember {
		all = append(all, earlierLease{member: member, until: grant.until, table: table})
	}
	return all
}

// leasesOf returns the lease of a member, for a takeover from it by a table.
func (g *grants) leasesOf(member string, table protocol.ItemVersion) []earlierLease {
	until := g.unknownUntil
	if grant := g.byMember[member]; grant != nil {
		until = max(until, grant.until)
	}
	return []earlierLease{{member: member, until: until, table: table}}
}

// latestExpiry returns when the last of some leases expires; 0 if all have ended.
func (g *grants) latestExpiry(now time.Duration, leases []earlierLease) (until time.Duration) {
	for _, lease := range leases {
		if now < lease.until && !g.hasEnded(now, &lease) {
			until = max(until, lease.until)
		}
	}
	return until
}

// hasEnded reports whether a lease has ended early: the member uses the newer table, released the lease, or its process has ended.
func (g *grants) hasEnded(now time.Duration, lease *earlierLease) bool {
	grant := g.byMember[lease.member]
	if lease.member == "" || grant == nil {
		return false
	}
	return !grant.latestTable.Less(lease.table) || now >= max(g.unknownUntil, grant.until)
}
