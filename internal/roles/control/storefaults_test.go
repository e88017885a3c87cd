package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

func unreachableHeartbeat(member string, unreachable ...string) *protocol.Heartbeat {
	return &protocol.Heartbeat{Node: protocol.Node{Member: member}, UnreachablePeers: unreachable}
}

func TestPairIsBlockedOnceReportsAreConfirmed(t *testing.T) {
	is := is.New(t)
	faults := newStoreFaults()
	now := time.Minute
	faults.heartbeat(now, unreachableHeartbeat("b", "a", "c"))
	is.True(!faults.tick(now))
	is.Equal(faults.blockedPairs(now), nil)
	now += unreachableConfirmTime
	faults.heartbeat(now, unreachableHeartbeat("b", "a", "c"))
	faults.heartbeat(now, unreachableHeartbeat("a", "b"))
	faults.heartbeat(now, unreachableHeartbeat("c"))
	is.True(faults.tick(now))
	is.Equal(faults.blockedPairs(now), [][2]string{{"a", "b"}, {"b", "c"}})
	is.True(!faults.tick(now)) // no change

	now += reportLifetime + unreachableFirstExclusion // the stores no longer share partitions, so there are no reports
	is.True(faults.tick(now))
	is.Equal(faults.blockedPairs(now), nil)
}

// A store that has stopped is reported as unreachable until its session expires. The reporting store holds the remaining copies and must not be
// excluded because of these reports.
func TestUnresponsiveStoreIsNotTreatedAsBlocked(t *testing.T) {
	is := is.New(t)
	faults := newStoreFaults()
	now := time.Minute
	faults.heartbeat(now, unreachableHeartbeat("a"))
	faults.heartbeat(now, unreachableHeartbeat("b"))
	for range 6 { // b has stopped; a continues
		now += 200 * time.Millisecond
		faults.heartbeat(now, unreachableHeartbeat("a", "b"))
		faults.tick(now)
		if now-time.Minute > unresponsiveAfter {
			is.Equal(faults.blockedPairs(now), nil)
		}
	}
	for range 3 { // b was only paused, and cannot reach a now
		now += 200 * time.Millisecond
		faults.heartbeat(now, unreachableHeartbeat("a", "b"))
		faults.heartbeat(now, unreachableHeartbeat("b", "a"))
		faults.tick(now)
	}
	is.Equal(faults.blockedPairs(now), [][2]string{{"a", "b"}})
	now += unresponsiveAfter + 1 // b stops while the pair is blocked
	faults.heartbeat(now, unreachableHeartbeat("a"))
	is.Equal(faults.blockedPairs(now), nil)
}

// The first heartbeat of a store that was partitioned from all processes arrives together with the last reports about it. These are no evidence
// of a broken link now: only reports that are repeated from then on are.
func TestReportsFromBeforeAStoreRespondedAgainAreDiscarded(t *testing.T) {
	is := is.New(t)
	faults := newStoreFaults()
	now := time.Minute
	faults.heartbeat(now, unreachableHeartbeat("a"))
	faults.heartbeat(now, unreachableHeartbeat("b"))
	for range 15 { // a neither receives nor sends anything
		now += 200 * time.Millisecond
		faults.heartbeat(now, unreachableHeartbeat("b", "a"))
		is.True(!faults.tick(now))
	}
	now += 20 * time.Millisecond
	faults.heartbeat(now, unreachableHeartbeat("a", "b")) // the partition has healed; lease requests of a have no replies yet
	is.True(!faults.tick(now))
	now += 180 * time.Millisecond
	faults.heartbeat(now, unreachableHeartbeat("b", "a"))
	faults.heartbeat(now, unreachableHeartbeat("a"))
	is.True(!faults.tick(now))
	is.Equal(faults.blockedPairs(now), nil)

	for range 2 { // but the link between the two stays broken
		now += 200 * time.Millisecond
		faults.heartbeat(now, unreachableHeartbeat("a", "b"))
		faults.heartbeat(now, unreachableHeartbeat("b", "a"))
		faults.tick(now)
	}
	is.Equal(faults.blockedPairs(now), [][2]string{{"a", "b"}})
}

func TestReportThatIsNotRepeatedBlocksNoPair(t *testing.T) {
	is := is.New(t)
	faults := newStoreFaults()
	now := time.Minute
	faults.heartbeat(now, unreachableHeartbeat("a", "b"))
	is.True(!faults.tick(now + unreachableConfirmTime)) // not repeated
	now += reportLifetime + 1
	faults.heartbeat(now, unreachableHeartbeat("a", "b")) // another report, not confirmed yet
	is.True(!faults.tick(now))
	is.Equal(faults.blockedPairs(now), nil)
}

func TestExclusionDoublesWithEachRecurrenceOfAFault(t *testing.T) {
	is := is.New(t)
	faults := newStoreFaults()
	now := time.Minute
	stalled := &protocol.Heartbeat{Node: protocol.Node{Member: "a"}, DiskStalled: true}
	for pause := stalledFirstExclusion; pause < maxExclusion; pause *= 2 {
		is.True(faults.heartbeat(now, stalled))
		is.True(!faults.heartbeat(now, stalled))
		faults.tick(now)
		is.True(faults.isStalled(now+pause-1, "a"))
		now += pause
		is.True(!faults.isStalled(now, "a"))
		is.True(faults.tick(now)) // the store may be used again
	}
	now += faultFreeReset + maxExclusion
	faults.tick(now)
	is.Equal(len(faults.stalled), 0)
	faults.heartbeat(now, stalled)
	is.True(!faults.isStalled(now+stalledFirstExclusion, "a"))
}

func TestFullStoreCountsAsFullForAWhileAfterItsLastReport(t *testing.T) {
	is := is.New(t)
	faults := newStoreFaults()
	h := &protocol.Heartbeat{Node: protocol.Node{Member: "storage-1/disk"}, DiskFull: true}
	is.True(faults.heartbeat(time.Second, h)) // partitions are planned anew
	is.True(!faults.heartbeat(2*time.Second, h))
	is.True(faults.isFull(2*time.Second+fullLinger-1, h.Node.Member))
	is.True(!faults.isStalled(2*time.Second, h.Node.Member))
	is.True(!faults.tick(2*time.Second + fullLinger - 1))
	is.True(faults.tick(2*time.Second + fullLinger))
	is.True(!faults.isFull(2*time.Second+fullLinger, h.Node.Member))
	is.True(!faults.tick(3*time.Second + fullLinger))
}
