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
	options Options
	every   time.Duration

	mutex sync.Mutex
	conns map[*Conn]struct{}
	timer *time.Timer
	ended bool

	looked []*Conn // of the present tick; only ticks touch it
}

// silence is what the monitor knows of one connection; only ticks touch it.
type silence struct {
	received uint32
	used     uint32
	silent   int // ticks without a frame
	idle     int // ticks without a frame but pings
}

func newMonitor(o Options) *monitor {
	return &monitor{options: o, every: max(o.PingInterval/ticksPerPing, time.Millisecond), conns: make(map[*Conn]struct{})}
}

func (m *monitor) add(c *Conn) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.conns[c] = struct{}{}
	if len(m.conns) == 1 && !m.ended {
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
	m.ended = true
	if m.timer != nil {
		m.timer.Stop()
		m.timer = nil
	}
}

// schedule plans the next tick; the mutex is held.
func (m *monitor) schedule() {
	var timer *time.Timer
	timer = time.AfterFunc(m.every, func() {
		m.tick()
		m.mutex.Lock()
		defer m.mutex.Unlock()
		if m.timer == timer {
			timer.Reset(m.every)
		}
	})
	m.timer = timer
}

// tick looks at each connection once. The mutex is not held meanwhile: the end of a connection calls its owners.
func (m *monitor) tick() {
	m.mutex.Lock()
	for c := range m.conns {
		m.looked = append(m.looked, c)
	}
	m.mutex.Unlock()
	for _, c := range m.looked {
		m.check(c)
	}
	clear(m.looked)
	m.looked = m.looked[:0]
}

// check counts a tick for the connection, and pings or ends it when due. The side that dialed pings first.
func (m *monitor) check(c *Conn) {
	s := &c.silence
	s.idle++
	if used := c.used.Load(); used != s.used {
		s.used, s.idle = used, 0
	}
	if received := c.received.Load(); received != s.received {
		s.received, s.silent = received, 0
	} else {
		s.silent++
	}
	c.silent.Store(int32(s.silent))
	pingAt := ticksPerPing
	if !c.dialed {
		pingAt += ticksPerPing / 2
	}
	switch {
	case s.silent >= m.ticks(m.options.PeerTimeout):
		c.shut(ErrPeerUnresponsive)
	case m.options.IdleTimeout > 0 && s.idle >= m.ticks(m.options.IdleTimeout) && c.callsWaiting() == 0:
		c.Close()
	case s.silent >= pingAt && s.silent%ticksPerPing == pingAt%ticksPerPing:
		_ = c.send(outgoing{header: header{frameType: framePing}})
	}
}

func (m *monitor) ticks(d time.Duration) int { return int((d + m.every - 1) / m.every) }

func (c *Conn) callsWaiting() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.calls)
}
