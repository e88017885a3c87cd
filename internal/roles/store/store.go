package store

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/configuration"
	"liftgauge/internal/agent"
	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/internal/recordlog"
	"liftgauge/internal/rpc"
	"liftgauge/placement"
	"liftgauge/queue"
)

const (
	// tickInterval is the interval at which leases are renewed and stalled operations are checked.
	tickInterval   = leaseInterval
	pauseThreshold = 2 * tickInterval // a longer gap between steps means that this process was paused
	dialTimeout    = time.Second
)

var errNoBody = errors.New("store: a queued message has no body record; delivery is retried until its retention expires")

// store is the state of the role. Only the event loop may use it, except for parts that are documented as safe for other goroutines.
type store struct {
	settings *nodeconfig.Settings
	logger   *zap.Logger
	loop     *eventLoop
	log      *recordlog.Log
	storage  *watchedStorage
	agent    *agent.Agent
	member   string

	view                 *agent.View
	tableVersion         protocol.ItemVersion // of the installed partition table
	configuration        *configuration.Configuration
	configurationVersion protocol.ItemVersion
	windowsStale         bool
	ownership            placement.Ownership // of rate-limited and static services

	queue        *queue.Queue
	partitions   map[uint32]*partition
	peers        map[string]*peer
	sessions     map[string]*session
	grants       *grants
	bodies       *bodyCache
	pendingBytes int
	diskStalled  bool // the disk does not complete writes, or refuses them
	awaitingTime bool // partitions wait for the cluster time
	nextWake     time.Duration
	nextTick     time.Duration
	lastStep     time.Duration

	report   report
	shutdown shutdown
	losses   lossLog
	repairs  repairWatch

	afterStep func()
}

func (s *store) now() time.Duration { return s.agent.Steady() }

func (s *store) clusterNow() int64 { return s.agent.ClusterTime().UnixNano() }

// wakeAt makes the loop run again at the given time or earlier.
func (s *store) wakeAt(at time.Duration) { s.nextWake = min(s.nextWake, at) }

// handle is called on the read goroutine of a connection and posts the frame to the loop.
func (s *store) handle(c *rpc.Conn, kind rpc.Kind, body []byte, reply func([]byte, error)) {
	s.loop.post(func() { s.receive(c, kind, body, reply) })
}

// receive handles a frame on the loop.
func (s *store) receive(c *rpc.Conn, kind rpc.Kind, body []byte, reply replyFunc) {
	switch kind {
	case protocol.KindReplication:
		s.receiveReplication(c, body)
		return
	case protocol.KindHello:
		s.receiveHello(c, body)
		return
	case protocol.KindPause:
		s.receivePause(c)
		return
	}
	if reply == nil {
		return
	}
	switch kind {
	case protocol.KindAccept:
		s.receiveAccept(body, reply)
	case protocol.KindLookup:
		s.receiveLookup(body, reply)
	case protocol.KindResult:
		s.receiveResult(body, reply)
	case protocol.KindLease:
		s.grantLease(body, reply)
	default:
		reply(nil, rpc.Errorf(protocol.CodeUnknownKind, "kind %d is not for a store", kind))
	}
}

// viewChanged applies a newer version of the shared cluster state.
func (s *store) viewChanged(view *agent.View) {
	nodes := s.view.NodesVersion != view.NodesVersion
	workers := s.view.WorkersVersion != view.WorkersVersion
	s.view = view
	if err := s.applyConfiguration(view); err != nil {
		s.logger.Error("the configuration cannot be read; the previous one stays in use", zap.Error(err))
	}
	s.applyPartitionTable(view)
	if nodes {
		s.syncPeers()
		s.reconcileSessions(s.now(), view)
	}
	s.windowsStale = s.windowsStale || nodes || workers
}

// step does the work that is due after a batch of events and returns the latest time at which it must run again.
func (s *store) step() time.Duration {
	now := s.now()
	s.nextWake = queue.Never
	s.detectPause(now)
	s.checkDisk(now)
	s.leadAwaiting()
	if now >= s.nextTick {
		s.tick(now)
	}
	if s.windowsStale {
		s.updateWindows()
	}
	s.writeEnds(now)
	more := s.sendDeliveries()
	s.losses.write(s.logger)
	if more {
		return now
	}
	return min(s.nextWake, s.queue.NextWake(), s.nextTick)
}

// leadAwaiting begins to lead the partitions that were waiting for the cluster time.
func (s *store) leadAwaiting() {
	if !s.awaitingTime {
		return
	}
	s.awaitingTime = false
	for _, p := range s.sortedPartitions() {
		if p.awaitsTime {
			p.leadOnceTimeIsKnown()
		}
	}
}

// writeEnds starts writing the final states of messages that ended because of their retention or a configuration change.
func (s *store) writeEnds(now time.Duration) {
	for _, t := range s.queue.Advance(now) {
		if p := s.partitions[t.Partition]; p != nil && p.leading {
			p.end(t, "", nil)
		}
	}
}

// detectPause detects that this process was paused and does not count the pause against the time-outs of the disk and of peers.
func (s *store) detectPause(now time.Duration) {
	if gap := now - s.lastStep; s.lastStep > 0 && gap > pauseThreshold {
		s.storage.excludePause(gap)
		for _, peer := range s.peers {
			peer.lastAnswer += gap
		}
	}
	s.lastStep = now
}

// checkDisk stops deliveries and accepts while the disk completes no writes.
func (s *store) checkDisk(now time.Duration) {
	stalled := s.storage.stalled(now)
	if stalled != s.diskStalled {
		s.logger.Warn("disk stall state changed; while stalled, the store delivers and accepts no messages", zap.Bool("stalled", stalled))
	}
	s.diskStalled = stalled
}

// tick renews leases, drives the replicas and retries what is still incomplete.
func (s *store) tick(now time.Duration) {
	s.nextTick = now + tickInterval
	s.renewLeases(now)
	clusterNow := s.clusterNow()
	for _, p := range s.sortedPartitions() {
		p.replica.Tick(now)
		p.logBlockedWrites(now)
		p.expireEnded(clusterNow)
	}
	s.retryDrops()
	s.writeReport()
	s.repairs.check(s)
	s.advanceShutdown(now)
}
