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

// In an upgrade, messages that wait for their answers are handed over to the successor, each with its connection: a class may have
// a far longer limit than a planned shutdown, and messages that are open when this process is killed fail. The record of a message
// is all that the successor needs to continue; the client does not notice.

// record is the encoding of a message and its past between two processes. Its fields are encoded by number; numbers are never reused.
type record struct {
	Key     string       `cbor:"1,keyasint"`
	Method  string       `cbor:"2,keyasint"`
	Target  string       `cbor:"3,keyasint"`
	Fields  http1.Fields `cbor:"4,keyasint"`
	Body    []byte       `cbor:"5,keyasint"`
	Subject uint64       `cbor:"6,keyasint"`
	Past    engine.Past  `cbor:"7,keyasint"`
	Last    bool         `cbor:"8,keyasint"` // the connection closes after the answer
}

// httpPayload is a payload that can be expressed as an HTTP call.
type httpPayload interface{ HTTP() *http1.Call }

// callOf returns a message's HTTP call, or nil.
func callOf(m *engine.Message) *http1.Call {
	switch p := m.Payload.(type) {
	case *http1.Call:
		return p
	case httpPayload:
		return p.HTTP()
	}
	return nil
}

// isListenerReleased reports whether the listener is released to another process.
func (s *Server) isListenerReleased() bool {
	select {
	case <-s.listenerReleased:
		return true
	default:
		return false
	}
}

// canHandOver reports whether open messages can be handed over to that process.
func (s *Server) canHandOver() bool {
	return s.isListenerReleased() && s.Peer != nil && s.Peer.Connected()
}

// HandOverConnections requests the handover of all messages that wait for answers. It does not wait for them, and those that cannot be
// handed over now stay: it must be called repeatedly.
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

// handOver passes the connection and its message to a successor. The read in progress must end first: the successor would not see
// the bytes that it takes. True: the message belongs to another process now.
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
		c.pendingRead = make(chan error, 1) // the client has disconnected, or sent more: awaitReply handles that
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

var errNoCapacity = errors.New("no capacity for a message of another process")

// Adopt takes over a message of another process and the connection on which its client waits. On failure the connection is closed.
func (s *Server) Adopt(text []byte, raw net.Conn) (taken bool) {
	err := s.adopt(text, raw)
	if err != nil {
		s.Log.Warn("message of the previous process not taken over", "err", err)
	}
	return err == nil
}

func (s *Server) adopt(text []byte, raw net.Conn) (err error) {
	started := false // then the connection's goroutine closes it
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
	hold := s.Budget.TryReserve(len(r.Body), budget.MessageCost+s.resultSize.Load())
	if hold == nil {
		return errNoCapacity
	}
	defer hold.Release()
	call := &http1.Call{ID: r.Key, Method: r.Method, Target: r.Target, Fields: r.Fields, Body: hold.Buffer()[:copy(hold.Buffer(), r.Body)], Reservation: hold}
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
		hold.Release()
		<-s.slots
		return net.ErrClosed
	}
	s.unanswered.Add(1)
	s.unfinished.Add(1)
	ok := s.Engine.Adopt(s.runCtx, m, r.Past)
	if !ok {
		hold.Release()
		s.unanswered.Add(-1)
		s.unfinished.Add(-1)
		err = errNoCapacity
	}
	adopted <- ok
	return err
}

// startConn registers a connection and starts its goroutine. False: the server has ended.
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
