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
	// tickInterval is the pace of leases and of the care for what hangs.
	tickInterval   = leaseInterval
	pauseThreshold = 2 * tickInterval // a longer gap between steps means that this process stood still
	dialTimeout    = time.Second
)

var errNoBody = errors.New("store: a queued message has no body record; it is waited for until its retention is over")

// store is the state of the role. Apart from what is said to be safe for others, it belongs to the event loop.
type store struct {
	settings *nodeconfig.Settings
	logger   *zap.Logger
	loop     *eventLoop
	log      *recordlog.Log
	storage  *watchedStorage
	agent    *agent.Agent
	member   string

	view                 *agent.View
	tableVersion         protocol.ItemVersion // of the partition table that is installed
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
	diskStalled  bool // the disk does not finish what it was given
	nextWake     time.Duration
	nextTick     time.Duration
	lastStep     time.Duration

	report   report
	shutdown shutdown

	afterStep func()
}

func (s *store) now() time.Duration { return s.agent.Steady() }

func (s *store) clusterNow() int64 { return s.agent.ClusterTime().UnixNano() }

// wakeAt has the loop run again at a time.
func (s *store) wakeAt(at time.Duration) { s.nextWake = min(s.nextWake, at) }

// handle takes a frame on the read goroutine of a connection and posts it.
func (s *store) handle(c *rpc.Conn, kind rpc.Kind, body []byte, reply func([]byte, error)) {
	s.loop.post(func() { s.receive(c, kind, body, reply) })
}

// receive takes a frame on the loop.
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

// viewChanged takes a newer state of what everybody knows.
func (s *store) viewChanged(view *agent.View) {
	nodes := s.view.NodesVersion != view.NodesVersion
	workers := s.view.WorkersVersion != view.WorkersVersion
	s.view = view
	if err := s.applyConfiguration(view); err != nil {
		s.logger.Error("the configuration cannot be read; the one before goes on", zap.Error(err))
	}
	s.applyPartitionTable(view)
	if nodes {
		s.syncPeers()
		s.reconcileSessions(s.now(), view)
	}
	s.windowsStale = s.windowsStale || nodes || workers
}

// step does what is due after a batch of events, and returns when to run again at the latest.
func (s *store) step() time.Duration {
	now := s.now()
	s.nextWake = queue.Never
	s.detectPause(now)
	s.checkDisk(now)
	if now >= s.nextTick {
		s.tick(now)
	}
	if s.windowsStale {
		s.updateWindows()
	}
	s.writeEnds(now)
	if s.sendDeliveries() {
		return now
	}
	return min(s.nextWake, s.queue.NextWake(), s.nextTick)
}

// writeEnds begins to write the ends of messages that have ended by their retention or by the configuration.
func (s *store) writeEnds(now time.Duration) {
	for _, t := range s.queue.Advance(now) {
		if p := s.partitions[t.Partition]; p != nil && p.leading {
			p.end(t, "", nil)
		}
	}
}

// detectPause takes a time in which this process stood still off the patience with others.
func (s *store) detectPause(now time.Duration) {
	if gap := now - s.lastStep; s.lastStep > 0 && gap > pauseThreshold {
		s.storage.excludePause(gap)
		for _, peer := range s.peers {
			peer.lastAnswer += gap
		}
	}
	s.lastStep = now
}

// checkDisk stops hand-outs and accepts while the disk finishes nothing.
func (s *store) checkDisk(now time.Duration) {
	stalled := s.storage.stalled(now)
	if stalled != s.diskStalled {
		s.logger.Warn("the disk stalls, or goes on after it; nothing is handed out or accepted meanwhile", zap.Bool("stalled", stalled))
	}
	s.diskStalled = stalled
}

// tick renews leases and looks after what hangs.
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
	s.advanceShutdown(now)
}
