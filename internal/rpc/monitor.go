package rpc

import (
	"sync"
	"time"
)

// ticksPerPing is how many ticks a monitor makes in Options.PingEvery.
const ticksPerPing = 4

// monitor watches the silence of a set of connections with one timer. It counts ticks and never looks at a clock: a process that
// stood still has made no ticks.
type monitor struct {
	options      Options
	tickInterval time.Duration

	mutex   sync.Mutex
	conns   map[*Conn]struct{}
	timer   *time.Timer
	stopped bool

	checking []*Conn // of the present tick; only ticks touch it
}

// silence is what the monitor knows of one connection; only ticks touch it.
type activity struct {
	receivedFrames uint32
	dataFrames     uint32
	silentTicks    int // ticks without a frame
	idleTicks      int // ticks without a frame but pings
}

func newMonitor(o Options) *monitor {
	return &monitor{options: o, tickInterval: max(o.PingInterval/ticksPerPing, time.Millisecond), conns: make(map[*Conn]struct{})}
}

func (m *monitor) add(c *Conn) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.conns[c] = struct{}{}
	if len(m.conns) == 1 && !m.stopped {
		m.schedule()
	}
}

func (m *monitor) remove(c *Conn) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.conns, c)
	if len(m.conns) == 0 && m.timer != nil {
		m.timer.Stop()
		m.timer = nil
	}
}

func (m *monitor) stop() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stopped = true
	if m.timer != nil {
		m.timer.Stop()
		m.timer = nil
	}
}

// schedule plans the next tick; the mutex is held.
func (m *monitor) schedule() {
	var timer *time.Timer
	timer = time.AfterFunc(m.tickInterval, func() {
		m.tick()
		m.mutex.Lock()
		defer m.mutex.Unlock()
		if m.timer == timer {
			timer.Reset(m.tickInterval)
		}
	})
	m.timer = timer
}

// tick looks at each connection once. The mutex is not held meanwhile: the end of a connection calls its owners.
func (m *monitor) tick() {
	m.mutex.Lock()
	for c := range m.conns {
		m.checking = append(m.checking, c)
	}
	m.mutex.Unlock()
	for _, c := range m.checking {
		m.check(c)
	}
	clear(m.checking)
	m.checking = m.checking[:0]
}

// check counts a tick for the connection, and pings or ends it when due. The side that dialed pings first.
func (m *monitor) check(c *Conn) {
	s := &c.activity
	s.idleTicks++
	if used := c.dataFrames.Load(); used != s.dataFrames {
		s.dataFrames, s.idleTicks = used, 0
	}
	if received := c.receivedFrames.Load(); received != s.receivedFrames {
		s.receivedFrames, s.silentTicks = received, 0
	} else {
		s.silentTicks++
	}
	c.silentTicks.Store(int32(s.silentTicks))
	pingAt := ticksPerPing
	if !c.dialed {
		pingAt += ticksPerPing / 2
	}
	switch {
	case s.silentTicks >= m.ticks(m.options.PeerTimeout):
		c.closeWithCause(ErrPeerUnresponsive)
	case m.options.IdleTimeout > 0 && s.idleTicks >= m.ticks(m.options.IdleTimeout) && c.callsWaiting() == 0:
		c.Close()
	case s.silentTicks >= pingAt && s.silentTicks%ticksPerPing == pingAt%ticksPerPing:
		_ = c.send(outgoingFrame{header: header{frameType: framePing}})
	}
}

func (m *monitor) ticks(d time.Duration) int { return int((d + m.tickInterval - 1) / m.tickInterval) }

func (c *Conn) callsWaiting() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.calls)
}
