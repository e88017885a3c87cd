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
type httpPayload interface{ HTTP() *http1.Call }

// callOf is a message as its client sent it.
func callOf(m *engine.Message) *http1.Call {
	switch p := m.Payload.(type) {
	case *http1.Call:
		return p
	case httpPayload:
		return p.HTTP()
	}
	return nil
}

// left says whether the listener is left to another process.
func (s *Server) isListenerReleased() bool {
	select {
	case <-s.listenerReleased:
		return true
	default:
		return false
	}
}

// passes says whether what is open goes over to that process.
func (s *Server) canHandOver() bool {
	return s.isListenerReleased() && s.Peer != nil && s.Peer.Connected()
}

// Pass asks for all messages that wait for answers to go over to the successor. It does not wait for them, and those that cannot go now
// stay: it is to be called again.
func (s *Server) HandOverConnections() {
	if !s.canHandOver() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.idle && !c.isShutDown {
			select {
			case c.handOverRequested <- struct{}{}:
			default:
			}
		}
	}
}

// handOn passes the connection and its message on to a successor. The read that is under way must end first: what it took the
// successor would never see. True: the message is another's now.
func (c *conn) handOver(m *engine.Message, clientGone <-chan error, last bool) bool {
	call := callOf(m)
	if call == nil {
		return false
	}
	c.SetReadDeadline(time.Now())
	err := <-clientGone
	c.pendingRead = nil
	c.SetReadDeadline(time.Time{})
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		c.pendingRead = make(chan error, 1) // it has left, or more has come: whoever waits sees to that
		c.pendingRead <- err
		return false
	}
	var past engine.Past
	released := false
	taken, err := c.server.Peer.PassConnection(c.Conn, func() ([]byte, bool) {
		if past, released = c.server.Engine.Release(c.server.runCtx, m); !released {
			return nil, false
		}
		body, err := cbor.Marshal(&record{Key: m.Key, Method: call.Method, Target: call.Target, Fields: call.Fields, Body: call.Body,
			Subject: m.Subject, Past: past, Last: last})
		return body, err == nil
	})
	if !released {
		return false
	}
	c.server.Engine.CompleteRelease(m, past, taken)
	if !taken {
		c.server.Log.Debug("message not handed over", "message", m.Key, "err", err)
		return false
	}
	c.server.Check.Check(c.server.unfinished.Add(-1) >= 0, "more messages ended than were taken")
	return true
}

var errNoCapacity = errors.New("no place for a message of another process")

// Adopt takes over a message of another process and the connection on which its client waits. The connection is closed if it does not.
func (s *Server) Adopt(text []byte, raw net.Conn) (taken bool) {
	err := s.adopt(text, raw)
	if err != nil {
		s.Log.Warn("message of the process before not taken over", "err", err)
	}
	return err == nil
}

func (s *Server) adopt(text []byte, raw net.Conn) (err error) {
	started := false // the connection's goroutine closes it
	defer func() {
		if !started {
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
	hold := s.Budget.Take(len(r.Body), budget.Message+s.resultSize.Load())
	if hold == nil {
		return errNoCapacity
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
		return errNoCapacity
	}
	c := newConn(s, raw)
	c.idle = false
	reply := c.prepareReply(m, hold)
	adopted := make(chan bool, 1)
	if started = s.startConn(func() {
		defer s.reserve()
		defer func() { <-s.slots }()
		defer s.remove(c)
		if !<-adopted {
			return
		}
		keepAlive := c.awaitReply(m, reply, r.Last)
		s.unanswered.Add(-1)
		if keepAlive && c.setIdle(true) {
			c.serve(false)
		}
	}, c); !started {
		hold.Drop()
		<-s.slots
		return net.ErrClosed
	}
	s.unanswered.Add(1)
	s.unfinished.Add(1)
	ok := s.Engine.Adopt(s.runCtx, m, r.Past)
	if !ok {
		hold.Drop()
		s.unanswered.Add(-1)
		s.unfinished.Add(-1)
		err = errNoCapacity
	}
	adopted <- ok
	return err
}

// join has a connection's goroutine run beside those of the listener. False: the server has ended.
func (s *Server) startConn(serve func(), c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
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
