package rpc

import (
	"sync"
	"time"
)

// ticksPerPing is the number of monitor ticks in Options.PingInterval.
const ticksPerPing = 4

// monitor detects inactivity of a set of connections with one timer. It counts ticks and never reads a clock, so that time during
// which the process itself was stopped does not count.
type monitor struct {
	options      Options
	tickInterval time.Duration

	mutex   sync.Mutex
	conns   map[*Conn]struct{}
	timer   *time.Timer
	stopped bool

	checking []*Conn // connections checked in the current tick; used only by tick
}

// activity is the monitor's state of one connection; used only by tick.
type activity struct {
	receivedFrames uint32
	dataFrames     uint32
	silentTicks    int // ticks since the last received frame
	idleTicks      int // ticks since the last frame other than pings and pongs
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

// schedule starts the timer for the ticks. The caller holds the mutex.
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

// tick checks each connection once. It does not hold the mutex meanwhile, since closing a connection calls its owners.
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

// check counts a tick for the connection, and pings or closes it when due. The side that dialed pings first.
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
