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

func TestPairIsBlockedOnceComplaintsHaveSettled(t *testing.T) {
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
	is.True(!faults.tick(now)) // nothing new

	now += reportLifetime + unreachableFirstExclusion // nobody shares partitions any more, so nobody complains
	is.True(faults.tick(now))
	is.Equal(faults.blockedPairs(now), nil)
}

// A store that has ended is complained of until its session expires. Its partner holds what is left and must not be left out for it.
func TestSilentStoreIsNotTakenForBlocked(t *testing.T) {
	is := is.New(t)
	faults := newStoreFaults()
	now := time.Minute
	faults.heartbeat(now, unreachableHeartbeat("a"))
	faults.heartbeat(now, unreachableHeartbeat("b"))
	for range 6 { // b has lost its power; a goes on
		now += 200 * time.Millisecond
		faults.heartbeat(now, unreachableHeartbeat("a", "b"))
		faults.tick(now)
		if now-time.Minute > unresponsiveAfter {
			is.Equal(faults.blockedPairs(now), nil)
		}
	}
	for range 3 { // b stood still only, and cannot reach a now
		now += 200 * time.Millisecond
		faults.heartbeat(now, unreachableHeartbeat("a", "b"))
		faults.heartbeat(now, unreachableHeartbeat("b", "a"))
		faults.tick(now)
	}
	is.Equal(faults.blockedPairs(now), [][2]string{{"a", "b"}})
	now += unresponsiveAfter + 1 // b goes while the two are held apart
	faults.heartbeat(now, unreachableHeartbeat("a"))
	is.Equal(faults.blockedPairs(now), nil)
}

// A store that was cut off from all, control too, is heard again together with the last complaints about its silence. These are no sign of a
// link that is cut now: only complaints that last from then on are.
func TestComplaintFromBeforeASilenceIsForgotten(t *testing.T) {
	is := is.New(t)
	faults := newStoreFaults()
	now := time.Minute
	faults.heartbeat(now, unreachableHeartbeat("a"))
	faults.heartbeat(now, unreachableHeartbeat("b"))
	for range 15 { // a hears nobody and is not heard
		now += 200 * time.Millisecond
		faults.heartbeat(now, unreachableHeartbeat("b", "a"))
		is.True(!faults.tick(now))
	}
	now += 20 * time.Millisecond
	faults.heartbeat(now, unreachableHeartbeat("a", "b")) // healed; its leases are not answered yet
	is.True(!faults.tick(now))
	now += 180 * time.Millisecond
	faults.heartbeat(now, unreachableHeartbeat("b", "a"))
	faults.heartbeat(now, unreachableHeartbeat("a"))
	is.True(!faults.tick(now))
	is.Equal(faults.blockedPairs(now), nil)

	for range 2 { // but the link between the two stays cut
		now += 200 * time.Millisecond
		faults.heartbeat(now, unreachableHeartbeat("a", "b"))
		faults.heartbeat(now, unreachableHeartbeat("b", "a"))
		faults.tick(now)
	}
	is.Equal(faults.blockedPairs(now), [][2]string{{"a", "b"}})
}

func TestPassingComplaintBlocksNobody(t *testing.T) {
	is := is.New(t)
	faults := newStoreFaults()
	now := time.Minute
	faults.heartbeat(now, unreachableHeartbeat("a", "b"))
	is.True(!faults.tick(now + unreachableConfirmTime)) // not repeated
	now += reportLifetime + 1
	faults.heartbeat(now, unreachableHeartbeat("a", "b")) // another one, that has not settled
	is.True(!faults.tick(now))
	is.Equal(faults.blockedPairs(now), nil)
}

func TestTroubleThatComesBackIsLeftOutLonger(t *testing.T) {
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
		is.True(faults.tick(now)) // the store may be planned with again
	}
	now += faultFreeReset + maxExclusion
	faults.tick(now)
	is.Equal(len(faults.stalled), 0)
	faults.heartbeat(now, stalled)
	is.True(!faults.isStalled(now+stalledFirstExclusion, "a"))
}
