package clientlistener

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"liftgauge/internal/budget"
	"liftgauge/internal/http1"
	"liftgauge/internal/serve/engine"
)

// In an upgrade the messages that wait for their answers go over to the successor, each with its connection: a class may be far more
// patient than a planned end, and what is open when this process is killed fails. The record of a message is all that the successor
// needs to go on with it; the client notices nothing.

// record is a message and its past between two processes. Numbers name its members, which are never used for anything else again.
type record struct {
	Key     string       `cbor:"1,keyasint"`
	Method  string       `cbor:"2,keyasint"`
	Target  string       `cbor:"3,keyasint"`
	Fields  http1.Fields `cbor:"4,keyasint"`
	Body    []byte       `cbor:"5,keyasint"`
	Subject uint64       `cbor:"6,keyasint"`
	Past    engine.Past  `cbor:"7,keyasint"`
	Last    bool         `cbor:"8,keyasint"` // the connection ends with the answer
}

// caller is the payload of a message that came over HTTP.
type caller interface{ HTTP() *http1.Call }

// callOf is a message as its client sent it.
func callOf(m *engine.Message) *http1.Call {
	switch p := m.Payload.(type) {
	case *http1.Call:
		return p
	case caller:
		return p.HTTP()
	}
	return nil
}

// left says whether the listener is left to another process.
func (s *Server) left() bool {
	select {
	case <-s.handed:
		return true
	default:
		return false
	}
}

// passes says whether what is open goes over to that process.
func (s *Server) passes() bool { return s.left() && s.Peer != nil && s.Peer.Connected() }

// Pass asks for all messages that wait for answers to go over to the successor. It does not wait for them, and those that cannot go now
// stay: it is to be called again.
func (s *Server) HandOverConnections() {
	if !s.passes() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.idle && !c.closed {
			select {
			case c.pass <- struct{}{}:
			default:
			}
		}
	}
}

// handOn passes the connection and its message on to a successor. The read that is under way must end first: what it took the
// successor would never see. True: the message is another's now.
func (c *conn) handOn(m *engine.Message, gone <-chan error, last bool) bool {
	call := callOf(m)
	if call == nil {
		return false
	}
	c.SetReadDeadline(time.Now())
	err := <-gone
	c.peeked = nil
	c.SetReadDeadline(time.Time{})
	var late net.Error
	if !errors.As(err, &late) || !late.Timeout() {
		c.peeked = make(chan error, 1) // it has left, or more has come: whoever waits sees to that
		c.peeked <- err
		return false
	}
	var past engine.Past
	released := false
	taken, err := c.s.Peer.PassConnection(c.Conn, func() ([]byte, bool) {
		if past, released = c.s.Engine.Release(c.s.run, m); !released {
			return nil, false
		}
		body, err := cbor.Marshal(&record{Key: m.Key, Method: call.Method, Target: call.Target, Fields: call.Fields, Body: call.Body,
			Subject: m.Subject, Past: past, Last: last})
		return body, err == nil
	})
	if !released {
		return false
	}
	c.s.Engine.CompleteRelease(m, past, taken)
	if !taken {
		c.s.Log.Debug("message not handed over", "message", m.Key, "err", err)
		return false
	}
	c.s.Check.Check(c.s.taken.Add(-1) >= 0, "more messages ended than were taken")
	return true
}

var errNoPlace = errors.New("no place for a message of another process")

// Adopt takes over a message of another process and the connection on which its client waits. The connection is closed if it does not.
func (s *Server) Adopt(text []byte, raw net.Conn) (taken bool) {
	err := s.adopt(text, raw)
	if err != nil {
		s.Log.Warn("message of the process before not taken over", "err", err)
	}
	return err == nil
}

func (s *Server) adopt(text []byte, raw net.Conn) (err error) {
	joined := false // the connection's goroutine closes it
	defer func() {
		if !joined {
			raw.Close()
		}
	}()
	var r record
	if err := cbor.Unmarshal(text, &r); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	class := r.Past.Job.Class
	if !validID(r.Key) || class < 0 || class >= len(s.Classes) || len(r.Body) > http1.MaxBody {
		return errors.New("record: no message of these settings")
	}
	hold := s.Budget.Take(len(r.Body), budget.Message+s.result.Load())
	if hold == nil {
		return errNoPlace
	}
	defer hold.Drop()
	call := &http1.Call{ID: r.Key, Method: r.Method, Target: r.Target, Fields: r.Fields, Body: hold.Buffer()[:copy(hold.Buffer(), r.Body)], Hold: hold}
	m := &engine.Message{Key: r.Key, Payload: call, Subject: r.Subject, Job: r.Past.Job}
	if s.WrapPayload != nil {
		m.Payload = s.WrapPayload(class, call)
	}
	select {
	case s.slots <- struct{}{}:
	default:
		return errNoPlace
	}
	c := newConn(s, raw)
	c.idle = false
	reply := c.expect(m, hold)
	adopted := make(chan bool, 1)
	if joined = s.join(func() {
		defer s.reserve()
		defer func() { <-s.slots }()
		defer s.remove(c)
		if !<-adopted {
			return
		}
		again := c.wait(m, reply, r.Last)
		s.open.Add(-1)
		if again && c.mark(true) {
			c.serve(false)
		}
	}, c); !joined {
		hold.Drop()
		<-s.slots
		return net.ErrClosed
	}
	s.open.Add(1)
	s.taken.Add(1)
	ok := s.Engine.Adopt(s.run, m, r.Past)
	if !ok {
		hold.Drop()
		s.open.Add(-1)
		s.taken.Add(-1)
		err = errNoPlace
	}
	adopted <- ok
	return err
}

// join has a connection's goroutine run beside those of the listener. False: the server has ended.
func (s *Server) join(serve func(), c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ended:
		return false
	default:
	}
	s.conns[c] = struct{}{}
	s.group.Go(func() error {
		serve()
		return nil
	})
	return true
}
