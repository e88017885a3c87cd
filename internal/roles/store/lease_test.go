package store

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

const ms = time.Millisecond

func tableVersion(n uint64) protocol.ItemVersion { return protocol.ItemVersion{Term: 1, Number: n} }

func requestFrom(member string, incarnation, table uint64) *leaseRequest {
	return &leaseRequest{Incarnation: incarnation, Table: tableVersion(table),
		LeaseRequest: protocol.LeaseRequest{From: member, To: "b", Duration: leaseDuration}}
}

// until returns when the lease of a member expires, for a takeover by a table that the member has not received.
func until(g *grants, now time.Duration, member string) time.Duration {
	return g.latestExpiry(now, g.leasesOf(member, tableVersion(1<<40)))
}

func TestNoLeaseBeforeAPartitionTableIsInstalled(t *testing.T) {
	is := is.New(t)
	g := newGrants(0)
	is.True(!g.request(0, requestFrom("a", 1, 5)))
	g.fenceAll(tableVersion(5))
	is.True(!g.request(0, requestFrom("a", 1, 4)))
	is.True(g.request(0, requestFrom("a", 1, 5)))
}

func TestLeaseIsRefusedUntilTheMemberUsesTheNewTable(t *testing.T) {
	is := is.New(t)
	g := newGrants(0)
	g.fenceAll(tableVersion(1))
	is.True(g.request(700*ms, requestFrom("a", 1, 1)))
	is.Equal(until(g, 700*ms, "a"), 1300*ms)
	g.fenceMember("a", tableVersion(2))
	is.True(!g.request(800*ms, requestFrom("a", 1, 1))) // it may not have the new table yet
	is.Equal(until(g, 800*ms, "a"), 1300*ms)
	is.True(g.request(800*ms, requestFrom("c", 1, 1)))
	is.True(g.request(900*ms, requestFrom("a", 1, 2)))
}

func TestLeasesOfAnEarlierProcessAreWaitedFor(t *testing.T) {
	is := is.New(t)
	g := newGrants(2 * time.Second)
	is.Equal(until(g, 2*time.Second, "a"), 2*time.Second+leaseDuration)
	is.Equal(g.latestExpiry(2*time.Second, g.leasesOfAll(tableVersion(1))), 2*time.Second+leaseDuration)
}

func TestReleaseAndEndOfTheProcessEndALease(t *testing.T) {
	is := is.New(t)
	g := newGrants(-time.Minute)
	g.fenceAll(tableVersion(1))
	is.True(g.request(0, requestFrom("a", 1, 1)))
	released := requestFrom("a", 1, 1)
	released.Release = true
	is.True(!g.request(10*ms, released))
	is.Equal(until(g, 9*ms, "a"), 10*ms)
	is.Equal(until(g, 10*ms, "a"), time.Duration(0))
	is.True(g.request(20*ms, requestFrom("a", 2, 1)))
	g.processEnded("a", 1) // an earlier process than the one with the lease
	is.Equal(until(g, 20*ms, "a"), 620*ms)
	g.processEnded("a", 2)
	is.Equal(until(g, 20*ms, "a"), time.Duration(0))
}

func TestLeaseEndsOnceTheMemberUsesTheNewTable(t *testing.T) {
	is := is.New(t)
	g := newGrants(-time.Minute)
	g.fenceAll(tableVersion(1))
	is.True(g.request(0, requestFrom("a", 1, 1)))
	g.fenceMember("a", tableVersion(3))
	taken := g.leasesOf("a", tableVersion(3))
	taken = append(taken, g.leasesOfAll(tableVersion(3))...)
	is.Equal(g.latestExpiry(50*ms, taken), leaseDuration)
	g.recordTable(requestFrom("a", 1, 2)) // newer, but not yet the one that took the partition
	g.recordTable(requestFrom("c", 1, 3)) // a different member
	is.Equal(g.latestExpiry(50*ms, taken), leaseDuration)
	g.recordTable(requestFrom("a", 1, 3))
	is.Equal(g.latestExpiry(50*ms, taken), time.Duration(0))
	g.recordTable(requestFrom("a", 1, 1)) // a delayed request with an older table has no effect
	is.Equal(g.latestExpiry(50*ms, taken), time.Duration(0))
}

func TestLeaseOfAnUnknownProcessIsWaitedForWhateverTheMemberUses(t *testing.T) {
	is := is.New(t)
	g := newGrants(time.Second)
	g.fenceAll(tableVersion(1))
	is.True(g.request(time.Second, requestFrom("a", 1, 1)))
	g.processEnded("a", 1) // this process ended, but an earlier process of the store may have granted a lease to another one
	is.Equal(g.latestExpiry(time.Second, g.leasesOf("a", tableVersion(3))), time.Second+leaseDuration)
	g.recordTable(requestFrom("a", 2, 3))
	is.Equal(g.latestExpiry(time.Second, g.leasesOf("a", tableVersion(3))), time.Duration(0))
	is.Equal(g.latestExpiry(time.Second, g.leasesOfAll(tableVersion(3))), time.Second+leaseDuration) // the previous primary is unknown
}

func TestLeaseRequestRoundTrip(t *testing.T) {
	is := is.New(t)
	request := requestFrom("machine-1/0a", 1<<63, 77)
	request.Sequence, request.Release = 9, true
	var got leaseRequest
	encoded := request.append(nil)
	is.NoErr(got.decode(append(encoded, 1, 2, 3))) // a later version may add fields
	is.Equal(got, *request)
	for length := range encoded {
		is.True(new(leaseRequest).decode(encoded[:length]) != nil)
	}
}
