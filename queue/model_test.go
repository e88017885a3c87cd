package queue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"liftgauge/queue"
)

// model tracks the state that the invariants are checked against: accepted messages, deliveries at dispatchers, and ends.
type model struct {
	t         *rapid.T
	f         *fixture
	accepted  []modelMessage
	pending   map[string]map[uint32]string // id -> attempt -> dispatcher that holds the delivery
	failed    map[string]int
	ended     map[string]queue.State // by a Transition
	confirmed map[string]bool        // ends reported to ConfirmEnd
	due       map[string]time.Duration
	up        map[string]bool
}

type modelMessage struct{ id, host, key string }

var modelDispatchers = []string{"d1", "d2", "d3"}

func newModel(t *rapid.T) *model {
	m := &model{t: t, f: newFixture(), pending: map[string]map[uint32]string{}, failed: map[string]int{}, ended: map[string]queue.State{},
		confirmed: map[string]bool{}, due: map[string]time.Duration{}, up: map[string]bool{}}
	m.f.Pause(dispatcher)
	m.f.SetWindow("service", queue.Window{Total: 4, PerDispatcher: 2})
	for _, d := range modelDispatchers {
		m.up[d] = true
		m.f.Resume(d, "a")
	}
	return m
}

func (m *model) accept() {
	n := len(m.accepted) + 1
	message := modelMessage{id: fmt.Sprint("m", n), host: rapid.SampledFrom([]string{"plain", "fifo"}).Draw(m.t, "host")}
	if message.host == "fifo" {
		message.key = rapid.SampledFrom([]string{"", "k", "l"}).Draw(m.t, "key")
	}
	delay := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 50}).Draw(m.t, "delay")) * ms
	m.accepted = append(m.accepted, message)
	m.due[message.id] = m.f.now + delay
	m.f.add(message.host, message.key, uint64(n), delay)
}

func (m *model) deliver() {
	for _, d := range m.f.deliveries() {
		m.check(d)
		if m.pending[d.ID] == nil {
			m.pending[d.ID] = map[uint32]string{}
		}
		if m.pending[d.ID][d.Attempt] != "" {
			m.t.Fatalf("%s is delivered twice as attempt %d", d.ID, d.Attempt)
		}
		m.pending[d.ID][d.Attempt] = d.Dispatcher
	}
}

func (m *model) check(d queue.Delivery) {
	if _, ended := m.ended[d.ID]; ended {
		m.t.Fatalf("%s is delivered after its end", d.ID)
	}
	if !m.up[d.Dispatcher] {
		m.t.Fatalf("%s is delivered to %s, which is not connected", d.ID, d.Dispatcher)
	}
	if m.f.now < m.due[d.ID] {
		m.t.Fatalf("%s is delivered at %v, before it is due at %v", d.ID, m.f.now, m.due[d.ID])
	}
	for _, message := range m.accepted {
		if message.id == d.ID {
			return
		}
		if message.key != "" && message.key == d.Key && !m.confirmed[message.id] {
			m.t.Fatalf("%s is delivered before %s of the same key has ended", d.ID, message.id)
		}
	}
}

// drawPending draws one delivery that a connected dispatcher holds.
func (m *model) drawPending() (id string, attempt uint32, ok bool) {
	type delivery struct {
		id      string
		attempt uint32
	}
	var all []delivery
	for _, message := range m.accepted {
		for attempt := range uint32(100) {
			if d := m.pending[message.id][attempt]; d != "" && m.up[d] {
				all = append(all, delivery{message.id, attempt})
			}
		}
	}
	if len(all) == 0 {
		return "", 0, false
	}
	one := rapid.SampledFrom(all).Draw(m.t, "delivery")
	return one.id, one.attempt, true
}

func (m *model) outcome(outcomes []queue.Outcome) {
	id, attempt, ok := m.drawPending()
	if !ok {
		return
	}
	o := rapid.SampledFrom(outcomes).Draw(m.t, "outcome")
	if rapid.IntRange(0, 9).Draw(m.t, "acknowledged") > 0 {
		delete(m.pending[id], attempt) // otherwise the dispatcher reports it again
	}
	m.apply(m.f.outcome(id, attempt, o))
}

func (m *model) apply(t queue.Transition) {
	switch t.Action {
	case queue.Record:
		m.failed[t.ID]++
		if m.failed[t.ID] != t.Attempts {
			m.t.Fatalf("%s has failed %d times, but %d failures are recorded", t.ID, m.failed[t.ID], t.Attempts)
		}
	case queue.End:
		if _, ended := m.ended[t.ID]; ended {
			m.t.Fatalf("%s ends twice", t.ID)
		}
		m.ended[t.ID] = t.State
	}
}

func (m *model) confirmEnd() {
	for _, message := range m.accepted {
		if _, ended := m.ended[message.id]; ended && !m.confirmed[message.id] {
			m.confirmed[message.id] = true
			m.f.ConfirmEnd(m.f.now, 1, message.id)
			return
		}
	}
}

func (m *model) advance() {
	m.f.now = max(m.f.now, min(m.f.NextWake(), m.f.now+time.Second))
	for _, t := range m.f.Advance(m.f.now) {
		m.apply(t)
	}
}

// disconnect drops a connection; the dispatcher either keeps its deliveries or has ended.
func (m *model) disconnect() {
	d := rapid.SampledFrom(modelDispatchers).Draw(m.t, "dispatcher")
	if !m.up[d] {
		return
	}
	m.up[d] = false
	ended := rapid.Bool().Draw(m.t, "ended")
	if ended {
		for _, attempts := range m.pending {
			for attempt, at := range attempts {
				if at == d {
					delete(attempts, attempt)
				}
			}
		}
	}
	m.f.DispatcherDisconnected(m.f.now, d, ended)
}

// connect opens a new connection; some deliveries sent on the old one never arrived.
func (m *model) connect() {
	for _, d := range modelDispatchers {
		if m.up[d] {
			continue
		}
		m.up[d] = true
		var held []queue.HeldDelivery
		for _, message := range m.accepted {
			for attempt := range uint32(100) {
				if m.pending[message.id][attempt] != d {
					continue
				}
				if rapid.Bool().Draw(m.t, "arrived") {
					held = append(held, queue.HeldDelivery{Partition: 1, ID: message.id, Attempt: attempt})
				} else {
					delete(m.pending[message.id], attempt)
				}
			}
		}
		m.f.Hello(m.f.now, d, "a", held)
	}
}

// drain runs until the queue is empty: every message must end and every window must be free.
func (m *model) drain() {
	m.connect()
	for range 10000 {
		m.deliver()
		m.outcome([]queue.Outcome{queue.Succeeded, queue.Refused})
		m.confirmEnd()
		m.advance()
		if m.f.Total() == 0 {
			break
		}
	}
	if m.f.Total() != 0 {
		m.t.Fatalf("%d messages have not ended", m.f.Total())
	}
	if stats := m.f.Stats(); len(stats) != 0 {
		m.t.Fatalf("windows are not free after the last message: %+v", stats)
	}
}

func TestRandomOperationsKeepTheOrderAndEndEveryMessage(t *testing.T) {
	all := []queue.Outcome{queue.Succeeded, queue.Refused, queue.Failed, queue.NotRun, queue.Unclear, queue.ServiceDown}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"accept":     func(*rapid.T) { m.accept() },
			"hand out":   func(*rapid.T) { m.deliver() },
			"outcome":    func(*rapid.T) { m.outcome(all) },
			"settle":     func(*rapid.T) { m.confirmEnd() },
			"advance":    func(*rapid.T) { m.deliver(); m.advance() },
			"disconnect": func(*rapid.T) { m.disconnect() },
			"connect":    func(*rapid.T) { m.connect() },
		})
		m.drain()
	})
}
