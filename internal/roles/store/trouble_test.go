package store

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
	"liftgauge/internal/recordlog"
	"liftgauge/queue"
	"liftgauge/replication"
)

// heldStorage keeps the done functions of writes for the test to call.
type heldStorage struct {
	replication.Storage
	done []func(error)
}

func (h *heldStorage) Append(_ uint32, _ []replication.Record, done func(error)) {
	h.done = append(h.done, done)
}

func TestDiskThatCompletesNothingIsStalled(t *testing.T) {
	is := is.New(t)
	held, now := &heldStorage{}, time.Minute
	disk := newWatchedStorage(held, func() time.Duration { return now })
	is.True(!disk.stalled(now + time.Hour)) // nothing is pending
	disk.Append(1, nil, nil)
	disk.Append(1, nil, nil)
	is.True(!disk.stalled(now + stallTimeout))
	is.True(disk.stalled(now + stallTimeout + 1))

	now += stallTimeout
	held.done[0](nil) // a slow disk is not a stalled one
	is.True(!disk.stalled(now + stallTimeout))
	disk.excludePause(time.Hour) // nor is the disk of a process that was paused
	is.True(!disk.stalled(now + time.Hour))
	is.True(disk.stalled(now + time.Hour + stallTimeout + 1))
	held.done[1](nil)
	is.True(!disk.stalled(now + 2*time.Hour))
}

func TestDiskThatFailsWritesCountsAsStalled(t *testing.T) {
	is := is.New(t)
	held, now := &heldStorage{}, time.Minute
	disk := newWatchedStorage(held, func() time.Duration { return now })
	disk.Append(1, nil, nil)
	held.done[0](errors.New("no space left on device"))
	is.True(disk.stalled(now))
	is.True(!disk.stalled(now + refusalExpiry)) // no write was attempted since
	disk.Append(1, nil, nil)
	is.True(disk.stalled(now))
	held.done[1](nil)
	is.True(!disk.stalled(now))
}

// A store whose log has no room for new records must go on ending messages: a stalled one hands nothing out, so no space would come free.
func TestFullLogIsNotAStalledDisk(t *testing.T) {
	is := is.New(t)
	held, now := &heldStorage{}, time.Minute
	disk := newWatchedStorage(held, func() time.Duration { return now })
	disk.Append(1, nil, nil)
	held.done[0](recordlog.ErrReserved)
	is.True(!disk.stalled(now))
	is.True(disk.full(now))
	is.True(!disk.full(now + refusalExpiry))
	disk.Append(1, nil, nil)
	held.done[1](recordlog.ErrFull) // not even the end of a message can be recorded
	is.True(disk.stalled(now))
}

// Guards against a partition whose writes wait for a backup that has no room: the end of an earlier message could not be recorded either.
func TestMessageIsRefusedWhenABackupHasNoRoom(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	first, second, d := c.stores[0], c.stores[1], c.dispatcher
	is.Equal(d.accept(first, message("0000-earlier", "plain", "")), protocol.AcceptStored)
	earlier := d.next()

	fillLog(t, second)
	first.await(func(s *store) bool {
		return s.peer(second.member()).nearlyFull && s.peer(second.member()).room < fillerBytes
	})
	large := message("0000-large", "plain", "")
	large.Body = make([]byte, fillerBytes)
	fits := true
	first.on(func(s *store) { fits = s.hasRoom(s.partitions[0], &large) })
	is.True(!fits)
	is.Equal(d.accept(first, large), protocol.AcceptFull)
	is.NoErr(d.result(first, &earlier, protocol.OutcomeSucceeded))

	second.on(func(s *store) { s.log.Drop(fillerGroup, nil) })
	first.await(func(s *store) bool { return !s.peer(second.member()).nearlyFull })
	is.Equal(d.accept(first, large), protocol.AcceptStored)
}

// The room of a nearly full store is divided among all stores, and used up by what is accepted until its next reply.
func TestRoomIsUsedUpUntilTheNextReply(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	first, second := c.stores[0], c.stores[1]
	first.await(func(s *store) bool { return s.repairs.stores == 2 })
	first.on(func(s *store) {
		p, m := s.partitions[0], message("0000-a", "plain", "")
		peer := s.peer(second.member())
		s.takeRoom(peer, &protocol.LeaseReply{NearlyFull: true, Room: uint64(2*2*bytesOnDisk(&m) + 1)})
		for range 2 {
			is.True(s.hasRoom(p, &m))
			p.useRoom(&m)
		}
		is.True(!s.hasRoom(p, &m))
		s.takeRoom(peer, &protocol.LeaseReply{})
		is.True(s.hasRoom(p, &m))
	})
}

// fillerGroup is a group of records that belongs to no partition of these tests.
const fillerGroup = groupBase + 1000

const fillerBytes = 255 << 10

// fillLog writes records to a store's log until it takes no more.
func fillLog(t *testing.T, s *testStore) {
	t.Helper()
	is := is.New(t)
	written := make(chan error, 1)
	for i := 0; ; i++ {
		record := replication.Record{Key: fmt.Sprint(i), Version: uint64(i + 1), Value: make([]byte, fillerBytes)}
		s.store.log.Append(fillerGroup, []replication.Record{record}, func(err error) { written <- err })
		if err := <-written; err != nil {
			is.True(errors.Is(err, recordlog.ErrReserved))
			return
		}
	}
}

func TestUnresponsiveStoreIsReported(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	first, second := c.stores[0], c.stores[1]
	first.on(func(s *store) { is.Equal(s.unreachable(s.now()), nil) })
	thaw := second.freeze()
	defer thaw()
	reportedBySecond := -1
	c.control.await(func() bool {
		unreachable := c.control.heartbeats[first.node().Key].UnreachablePeers
		reportedBySecond = len(c.control.heartbeats[second.node().Key].UnreachablePeers)
		return len(unreachable) == 1 && unreachable[0] == second.member()
	})
	is.Equal(reportedBySecond, 0) // it is not primary of any partition
	c.view(0, 2)
	c.control.await(func() bool { return len(c.control.heartbeats[first.node().Key].UnreachablePeers) == 0 })
	thaw()
}

func TestPauseOfThisProcessIsNotCountedAgainstPeers(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	c.stores[0].on(func(s *store) {
		paused := s.now() + time.Hour
		s.detectPause(paused)
		is.Equal(s.unreachable(paused), nil)
		is.Equal(s.unreachable(paused+2*unreachableAfter), []string{c.stores[1].member()})
	})
}

func TestStoreWithABacklogSetsRetryAfter(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	first, d := c.stores[0], c.dispatcher
	accept := func(id string) protocol.AcceptReply {
		m := message(id, "plain", "")
		answer, err := d.call(first, protocol.KindAccept, m.Append(nil))
		is.NoErr(err)
		var reply protocol.AcceptReply
		is.NoErr(reply.Decode(answer))
		is.Equal(reply.Status, protocol.AcceptStored)
		return reply
	}
	first.on(func(s *store) {
		s.windowsStale = false
		s.queue.SetWindow("work", queue.Window{Total: 1, PerDispatcher: 1})
	})
	is.Equal(accept("m1").RetryAfter, time.Duration(0))
	m1 := d.next()
	is.Equal(accept("m2").RetryAfter, backlogRetryAfter) // one is in flight, one waits
	is.NoErr(d.result(first, &m1, protocol.OutcomeSucceeded))
	d.next()
	is.Equal(accept("m2").RetryAfter, time.Duration(0)) // it has been stored before
}
