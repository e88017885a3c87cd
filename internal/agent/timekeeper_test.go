package agent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"liftgauge/clustertime"
	"liftgauge/internal/machineclock/clocktest"
	"liftgauge/internal/network"
	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
	"liftgauge/replication"
)

// memoryStorage holds records of one group.
type memoryStorage struct {
	replication.Storage
	mutex   sync.Mutex
	records map[string]replication.Record
	written chan struct{} // one token for each append
}

func newMemoryStorage() *memoryStorage {
	return &memoryStorage{records: map[string]replication.Record{}, written: make(chan struct{}, 1000)}
}

// Append implements replication.Storage.
func (s *memoryStorage) Append(_ uint32, records []replication.Record, done func(error)) {
	s.mutex.Lock()
	for _, r := range records {
		s.records[r.Key] = r
	}
	s.mutex.Unlock()
	go done(nil)
	s.written <- struct{}{}
}

// Get implements replication.Storage.
func (s *memoryStorage) Get(_ uint32, key string) (replication.Record, bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r, found := s.records[key]
	return r, found, nil
}

// aheadOfWall is how far the cluster time is ahead of the time of day in these tests.
const aheadOfWall = time.Hour

// tellTime makes replies tell a cluster time ahead of the machine's clock by so much.
func (c *fakeControl) tellTime(ahead time.Duration) {
	c.setAnswer(func(*protocol.Heartbeat) protocol.HeartbeatReply {
		return protocol.HeartbeatReply{Accepted: true, ClusterTime: time.Now().Add(ahead).UnixNano()}
	})
}

// startWithCheckpoint returns storage with a checkpoint of a process that was synchronized and has ended.
func startWithCheckpoint(t *testing.T, clocks *clocktest.Clocks) *memoryStorage {
	storage := newMemoryStorage()
	control := startControl(t, uniqueLoopback())
	control.tellTime(aheadOfWall)
	a := start(t, Options{Settings: settingsFor(t, "n", control.server.Addr()), Storage: storage, Clocks: clocks.Read})
	<-storage.written
	a.Close()
	return storage
}

// difference returns how far the agent's cluster time is ahead of the one that was told.
func difference(a *Agent) time.Duration { return time.Until(a.ClusterTime()) - aheadOfWall }

func TestProcessGoesOnWithTheClusterTimeOfAnEarlierOne(t *testing.T) {
	is := is.New(t)
	var clocks clocktest.Clocks
	clocks.Boot("first", time.Hour)
	storage := startWithCheckpoint(t, &clocks)
	clocks.Step(-4 * time.Second)
	control := startControl(t, uniqueLoopback()) // tells no time
	a := start(t, Options{Settings: settingsFor(t, "n", control.server.Addr()), Storage: storage, Clocks: clocks.Read})
	is.True(a.Synchronized())
	is.True(a.TimeUsable())
	is.True(difference(a).Abs() < time.Second)
	awaitAccepted(a, control)
	h := <-control.heartbeats
	is.Equal(h.Time.Certainty, clustertime.Certain)
}

func TestProcessAfterARebootWaitsForControlsTime(t *testing.T) {
	is := is.New(t)
	var clocks clocktest.Clocks
	clocks.Boot("first", time.Hour)
	storage := startWithCheckpoint(t, &clocks)
	clocks.Boot("second", time.Minute)
	clocks.Step(4 * time.Second)
	control := startControl(t, uniqueLoopback())
	a := start(t, Options{Settings: settingsFor(t, "n", control.server.Addr()), Storage: storage, Clocks: clocks.Read})
	is.True(!a.Synchronized())
	is.True(!a.TimeUsable())
	is.True(difference(a) < time.Second) // it begins at the checkpoint, not four seconds ahead
	h := <-control.heartbeats
	is.Equal(h.Time.Certainty, clustertime.Estimated)
	is.True(h.Time.Time-h.Time.Floor >= int64(4*time.Second))
	control.tellTime(aheadOfWall)
	awaitSynchronized(a)
	is.True(a.TimeUsable())
	is.True(difference(a).Abs() < time.Second)
}

// awaitSynchronized polls until the agent knows the cluster time.
func awaitSynchronized(a *Agent) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !a.Synchronized() {
		<-ticker.C
	}
}

// TestProcessThatIsAheadOfControlDoesNotUseItsTime guards against a process that was down while control settled on less, and that then ends messages
// early itself, or as primary makes others do so.
func TestProcessThatIsAheadOfControlDoesNotUseItsTime(t *testing.T) {
	is := is.New(t)
	c := startClock(0, clustertime.Estimate{Certainty: clustertime.Certain, Floor: time.Hour, Time: time.Hour})
	is.True(!c.isAhead(0, aheadTolerance))
	c.sample(0, 0, int64(time.Hour-3*time.Second)) // control has settled on less while this process was down
	is.True(c.isAhead(time.Second, aheadTolerance))
	is.Equal(c.agreed(time.Second), time.Hour-2*time.Second)
	c.set(time.Second, c.agreed(time.Second)-time.Second) // it becomes primary
	is.True(c.isAhead(time.Second, aheadTolerance))
	is.Equal(c.agreed(2*time.Second), time.Hour-time.Second)
	is.True(!c.isAhead(7*time.Second, aheadTolerance))
}

func TestFirstSampleOfAResumedClockIsSlewed(t *testing.T) {
	is := is.New(t)
	c := startClock(0, clustertime.Estimate{Certainty: clustertime.Certain, Floor: time.Hour, Time: time.Hour})
	c.sample(0, 20*time.Millisecond, int64(time.Hour+time.Second)) // a long round trip is no reason to discard the first sample
	is.Equal(c.target, time.Hour+time.Second-10*time.Millisecond)
	is.Equal(time.Duration(c.now(time.Second).UnixNano()).Round(time.Millisecond), time.Hour+time.Second+49*time.Millisecond)
}

// TestAgeOfTheWorkerListIsUnknownUntilTheClusterTimeIs guards against a list that is taken for newer than it is, by a wrong time of day.
func TestAgeOfTheWorkerListIsUnknownUntilTheClusterTimeIs(t *testing.T) {
	is := is.New(t)
	control := startControl(t, uniqueLoopback())
	began := time.Now().Add(-time.Hour)
	var clocks clocktest.Clocks
	clocks.Step(-4 * time.Second)
	a := start(t, Options{
		Settings:    settingsFor(t, "n", control.server.Addr()),
		Clocks:      clocks.Read,
		SteadyClock: func() time.Duration { return time.Since(began) },
	})
	workers := protocol.Workers{ReadAt: time.Now().Add(aheadOfWall - 3*time.Second).UnixNano()}
	a.Publish(protocol.Item{Kind: protocol.ItemWorkers, Version: version(1, 1), Body: workers.Append(nil)})
	a.loop.postAndWait(func() {})
	is.Equal(a.View().WorkersVersion, version(1, 1))
	is.Equal(a.View().WorkersReadAt, time.Duration(0))
	control.tellTime(aheadOfWall)
	awaitSynchronized(a)
	a.loop.postAndWait(func() {})
	age := a.Steady() - a.View().WorkersReadAt
	is.True(age >= 2*time.Second && age < time.Minute)
}

func TestCheckpointsAreWrittenWhenClocksDiffer(t *testing.T) {
	is := is.New(t)
	k := newTimekeeper(newMemoryStorage(), new(clocktest.Clocks).Read, 0, zap.NewNop())
	at := func(passed, cluster, wall time.Duration) clustertime.Checkpoint {
		return clustertime.Checkpoint{Cluster: cluster, Reading: clustertime.Reading{Steady: passed, Wall: wall}}
	}
	is.True(k.isWanted(0, at(0, 0, 0))) // the first one
	k.written, k.last = true, at(0, 0, 0)
	is.True(!k.isWanted(time.Second, at(time.Second, time.Second, time.Second)))
	is.True(k.isWanted(time.Second, at(time.Second, time.Second, 2*time.Second)))                           // the time of day has jumped
	is.True(k.isWanted(time.Second, at(time.Second, time.Second+5*time.Millisecond, time.Second)))          // the cluster time is another one
	is.True(k.isWanted(checkpointInterval, at(checkpointInterval, checkpointInterval, checkpointInterval))) // it is old
}

// slowNetwork is the system's network, on which opening a connection takes dialTime of the test's steady clock.
type slowNetwork struct {
	steady   *atomic.Int64
	dialTime time.Duration
}

// Listen implements network.Network.
func (slowNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// ListenPacket implements network.Network.
func (slowNetwork) ListenPacket(address string) (network.PacketConn, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", resolved)
}

// DialContext implements network.Network.
func (n slowNetwork) DialContext(ctx context.Context, protocol, address string) (net.Conn, error) {
	n.steady.Add(int64(n.dialTime))
	return new(net.Dialer).DialContext(ctx, protocol, address)
}

// TestOpeningOfAConnectionIsNoPartOfASample guards against a cluster time that is ahead by half of the time for opening a connection.
func TestOpeningOfAConnectionIsNoPartOfASample(t *testing.T) {
	is := is.New(t)
	told := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	control := startControl(t, uniqueLoopback())
	control.setAnswer(func(*protocol.Heartbeat) protocol.HeartbeatReply {
		return protocol.HeartbeatReply{Accepted: true, ClusterTime: told.UnixNano()}
	})
	var steady atomic.Int64
	a := start(t, Options{
		Settings:    settingsFor(t, "n", control.server.Addr()),
		SteadyClock: func() time.Duration { return time.Duration(steady.Load()) },
		RPC:         rpc.Options{Network: slowNetwork{steady: &steady, dialTime: 300 * time.Millisecond}},
	})
	awaitSynchronized(a)
	is.True(a.ClusterTime().Equal(told))
}

// TestProcessWithADiskAsksAgainSoonWhileNoTimeIsTold guards against stores that lead nothing for a whole heartbeat interval after control has
// settled the cluster time.
func TestProcessWithADiskAsksAgainSoonWhileNoTimeIsTold(t *testing.T) {
	is := is.New(t)
	control := startControl(t, uniqueLoopback())
	a := start(t, Options{Settings: settingsFor(t, "n", control.server.Addr()), Member: "n/1", HeartbeatInterval: time.Hour})
	var due time.Duration
	for open := false; !open; {
		is.True(a.loop.postAndWait(func() { open, due = a.session.open, a.session.due }))
	}
	is.True(due <= a.Steady()+timeRetry) // not an hour later
	control.tellTime(aheadOfWall)
	awaitSynchronized(a)
	is.True(a.TimeUsable())
}

// TestDamagedCheckpointIsReplaced guards against a process that goes on with a checkpoint that it cannot read.
func TestDamagedCheckpointIsReplaced(t *testing.T) {
	is := is.New(t)
	storage := newMemoryStorage()
	damaged := replication.Record{Key: checkpointKey, Version: 7, Value: []byte{checkpointFormatOfLaterVersion, 1, 2}}
	storage.records[checkpointKey] = damaged
	control := startControl(t, uniqueLoopback())
	a := start(t, Options{Settings: settingsFor(t, "n", control.server.Addr()), Member: "n/1", Storage: storage})
	is.True(!a.Synchronized())
	is.Equal(a.TimeEstimate().Certainty, clustertime.Unknown)
	control.tellTime(aheadOfWall)
	<-storage.written
	record, _, _ := storage.Get(replication.LocalGroup, checkpointKey)
	is.Equal(record.Version, uint64(8))
	is.NoErr(new(clustertime.Checkpoint).Decode(record.Value))
}

const checkpointFormatOfLaterVersion = 200
