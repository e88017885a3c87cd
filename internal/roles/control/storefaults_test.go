package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

func unreachableHeartbeat(member string, stuck ...string) *protocol.Heartbeat {
	return &protocol.Heartbeat{Node: protocol.Node{Member: member}, UnreachablePeers: stuck}
}

func TestPairIsBlockedOnceComplaintsHaveSettled(t *testing.T) {
	is := is.New(t)
	trouble := newStoreFaults()
	now := time.Minute
	trouble.heartbeat(now, unreachableHeartbeat("b", "a", "c"))
	is.True(!trouble.tick(now))
	is.Equal(trouble.blocked(now), nil)
	now += unreachableConfirmTime
	trouble.heartbeat(now, unreachableHeartbeat("b", "a", "c"))
	trouble.heartbeat(now, unreachableHeartbeat("a", "b"))
	trouble.heartbeat(now, unreachableHeartbeat("c"))
	is.True(trouble.tick(now))
	is.Equal(trouble.blocked(now), [][2]string{{"a", "b"}, {"b", "c"}})
	is.True(!trouble.tick(now)) // nothing new

	now += reportLifetime + unreachableFirstExclusion // nobody shares partitions any more, so nobody complains
	is.True(trouble.tick(now))
	is.Equal(trouble.blocked(now), nil)
}

// A store that has ended is complained of until its session expires. Its partner holds what is left and must not be left out for it.
func TestSilentStoreIsNotTakenForBlocked(t *testing.T) {
	is := is.New(t)
	trouble := newStoreFaults()
	now := time.Minute
	trouble.heartbeat(now, unreachableHeartbeat("a"))
	trouble.heartbeat(now, unreachableHeartbeat("b"))
	for range 6 { // b has lost its power; a goes on
		now += 200 * time.Millisecond
		trouble.heartbeat(now, unreachableHeartbeat("a", "b"))
		trouble.tick(now)
		if now-time.Minute > unresponsiveAfter {
			is.Equal(trouble.blocked(now), nil)
		}
	}
	for range 3 { // b stood still only, and cannot reach a now
		now += 200 * time.Millisecond
		trouble.heartbeat(now, unreachableHeartbeat("a", "b"))
		trouble.heartbeat(now, unreachableHeartbeat("b", "a"))
		trouble.tick(now)
	}
	is.Equal(trouble.blocked(now), [][2]string{{"a", "b"}})
	now += unresponsiveAfter + 1 // b goes while the two are held apart
	trouble.heartbeat(now, unreachableHeartbeat("a"))
	is.Equal(trouble.blocked(now), nil)
}

// A store that was cut off from all, control too, is heard again together with the last complaints about its silence. These are no sign of a
// link that is cut now: only complaints that last from then on are.
func TestComplaintFromBeforeASilenceIsForgotten(t *testing.T) {
	is := is.New(t)
	trouble := newStoreFaults()
	now := time.Minute
	trouble.heartbeat(now, unreachableHeartbeat("a"))
	trouble.heartbeat(now, unreachableHeartbeat("b"))
	for range 15 { // a hears nobody and is not heard
		now += 200 * time.Millisecond
		trouble.heartbeat(now, unreachableHeartbeat("b", "a"))
		is.True(!trouble.tick(now))
	}
	now += 20 * time.Millisecond
	trouble.heartbeat(now, unreachableHeartbeat("a", "b")) // healed; its leases are not answered yet
	is.True(!trouble.tick(now))
	now += 180 * time.Millisecond
	trouble.heartbeat(now, unreachableHeartbeat("b", "a"))
	trouble.heartbeat(now, unreachableHeartbeat("a"))
	is.True(!trouble.tick(now))
	is.Equal(trouble.blocked(now), nil)

	for range 2 { // but the link between the two stays cut
		now += 200 * time.Millisecond
		trouble.heartbeat(now, unreachableHeartbeat("a", "b"))
		trouble.heartbeat(now, unreachableHeartbeat("b", "a"))
		trouble.tick(now)
	}
	is.Equal(trouble.blocked(now), [][2]string{{"a", "b"}})
}

func TestPassingComplaintBlocksNobody(t *testing.T) {
	is := is.New(t)
	trouble := newStoreFaults()
	now := time.Minute
	trouble.heartbeat(now, unreachableHeartbeat("a", "b"))
	is.True(!trouble.tick(now + unreachableConfirmTime)) // not repeated
	now += reportLifetime + 1
	trouble.heartbeat(now, unreachableHeartbeat("a", "b")) // another one, that has not settled
	is.True(!trouble.tick(now))
	is.Equal(trouble.blocked(now), nil)
}

func TestTroubleThatComesBackIsLeftOutLonger(t *testing.T) {
	is := is.New(t)
	trouble := newStoreFaults()
	now := time.Minute
	stalled := &protocol.Heartbeat{Node: protocol.Node{Member: "a"}, DiskStalled: true}
	for pause := stalledFirstExclusion; pause < maxExclusion; pause *= 2 {
		is.True(trouble.heartbeat(now, stalled))
		is.True(!trouble.heartbeat(now, stalled))
		trouble.tick(now)
		is.True(trouble.isStalled(now+pause-1, "a"))
		now += pause
		is.True(!trouble.isStalled(now, "a"))
		is.True(trouble.tick(now)) // the store may be planned with again
	}
	now += faultFreeReset + maxExclusion
	trouble.tick(now)
	is.Equal(len(trouble.stalled), 0)
	trouble.heartbeat(now, stalled)
	is.True(!trouble.isStalled(now+stalledFirstExclusion, "a"))
}
