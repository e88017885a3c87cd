package clientlistener

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/budget"
	"liftgauge/internal/http1"
	"liftgauge/internal/jsonval"
	"liftgauge/internal/serve/engine"
)

const maxIDLength = 128

// parseMessage makes a message from the head of a client's request. A rejected one has not reached the scheduler.
func (s *Server) parseMessage(head *http1.Request) (*engine.Message, *http1.Call, error) {
	first, _, _ := strings.Cut(head.Path[1:], "/")
	class, ok := s.classes[first]
	if !ok {
		return nil, nil, &http1.Error{Status: 404, Reason: "unknown path"}
	}
	if head.Method != "POST" {
		return nil, nil, &http1.Error{Status: 405, Reason: "jobs come by POST"}
	}
	refuse := func(reason string) (*engine.Message, *http1.Call, error) {
		return nil, nil, &http1.Error{Status: 400, Reason: reason}
	}
	if kind, n := head.Fields.Get("Req-Kind"); n > 0 {
		if named, ok := s.classes[kind]; !ok {
			return nil, nil, &http1.Error{Status: 404, Reason: "unknown class"}
		} else if named != class || n > 1 {
			return refuse("Req-Kind and path differ")
		}
	}
	id, n := head.Fields.Get("Req-Id")
	if n != 1 || !validID(id) {
		return refuse("want one Req-Id")
	}
	job := balance.Job{Class: class, Left: s.Limits[class].Limit}
	if text, n := head.Fields.Get("Req-Deadline-Ms"); n > 0 {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil || n > 1 {
			return refuse("bad Req-Deadline-Ms")
		}
		job.Left = min(time.Duration(ms)*time.Millisecond, time.Hour)
	}
	if text, n := head.Fields.Get("Req-Cost"); n > 0 {
		us, err := strconv.ParseFloat(text, 64)
		if err != nil || !(us >= 0 && us < 1e12) {
			return refuse("bad Req-Cost")
		}
		job.Hint = time.Duration(us * float64(time.Microsecond))
	}
	if text, n := head.Fields.Get("Req-Retry"); n > 0 {
		job.Again = text == "1"
	}
	if text, n := head.Fields.Get("Req-Extra"); n > 0 {
		if !parseExtras(text, &job) {
			return refuse("bad Req-Extra")
		}
	}
	call := &http1.Call{ID: id, Method: head.Method, Target: head.Target, Fields: make(http1.Fields, 0, len(head.Fields))}
	for _, f := range head.Fields {
		if isForwardedField(f.Name) {
			call.Fields = append(call.Fields, f)
		}
	}
	m := &engine.Message{Key: id, Job: job, Payload: call}
	if s.HashSubject != nil {
		key, _ := head.Fields.Get("Req-Key")
		if key == "" {
			key, _ = head.Fields.Get("Idempotency-Key")
		}
		m.Subject = s.HashSubject(key)
	}
	return m, call, nil
}

// markArrived sets the arrival time of a message that is completely received.
func (s *Server) markArrived(m *engine.Message) {
	m.Arrived = s.Now()
	if s.ShuttingDown() && !s.canHandOver() { // the process may be killed soon after that time, and an open message would be lost
		m.Job.Left = min(m.Job.Left, max(0, time.Duration(s.answerBy.Load())-m.Arrived))
	}
	m.Job.Left = s.drain.limitTimeLeft(m.Arrived, m.Job.Left)
}

// recordResultSize updates the estimated size of results, which is reserved for every message, and returns by how much this one
// exceeds it.
func (s *Server) recordResultSize(n int) (over int64) {
	for {
		old := s.resultSize.Load()
		next := max(int64(n), old-old/64-1, 0)
		if next == old || s.resultSize.CompareAndSwap(old, next) {
			return int64(n) - old
		}
	}
}

// validID reports whether an id is valid, also as part of a path.
func validID(id string) bool {
	for i := range len(id) {
		c := id[i]
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c == '-' || c == '_' || c == '.' || c == '~') {
			return false
		}
	}
	return id != "" && len(id) <= maxIDLength
}

// isForwardedField reports whether a field is forwarded to the host unchanged. The deadline is not: it is written anew with the time left.
func isForwardedField(name string) bool {
	switch strings.ToLower(name) {
	case "req-id", "idempotency-key", "req-kind", "req-key", "req-cost", "req-extra", "req-retry", "content-type":
		return true
	}
	return false
}

// parseExtras reads further properties of a job. Those that the scheduler does not use are skipped.
func parseExtras(text string, job *balance.Job) bool {
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(value, 64)
		known := true
		switch name {
		case "slots", "coresNeeded":
			job.Slots = x
		case "memory", "memNeeded":
			job.Memory = x
		case "tenant", "userGroup":
			job.Tenant = int(max(0, min(x, math.MaxInt32)))
		default:
			known = false
		}
		if known && (!ok || err != nil || !(x >= 0 && x < 1e6)) {
			return false
		}
	}
	return true
}

// handleCallback handles a host's call-back. While another process serves at the same address, the message may be there.
func (s *Server) handleCallback(body []byte, hold *budget.Reservation) (status int, reason []byte) {
	peerConnected := s.Peer != nil && s.Peer.Connected()
	status, known, reason := s.deliverReport(body, peerConnected, hold)
	if status != 204 || known || !peerConnected {
		return status, reason
	}
	switch status, knownByPeer, err := s.Peer.Callback(body); {
	case err == nil && status == 204 && !knownByPeer: // the message may have moved here while the other process checked
		status, _, reason = s.deliverReport(body, false, hold)
		return status, reason
	case err == nil:
		return status, nil
	case errors.Is(err, engine.ErrNoPeer): // that process has ended, with its messages: the report is too late
		return 204, nil
	default:
		s.Log.Warn("call-back not forwarded", "err", err)
		return 503, nil // the host repeats it
	}
}

// Callback handles a host's call-back that another process at the same address has received.
func (s *Server) Callback(body []byte) (status int, known bool) {
	status, known, _ = s.deliverReport(body, true, nil)
	return status, known
}

// deliverReport passes a call-back to the engine, which shares its hold on the memory budget until the report is processed. With
// wait, known is whether the message is open here.
func (s *Server) deliverReport(body []byte, wait bool, hold *budget.Reservation) (status int, known bool, reason []byte) {
	parser, _ := s.parsers.Get().(*jsonval.Parser)
	if parser == nil {
		parser = &jsonval.Parser{}
	}
	report, err := s.parseReport(parser, body)
	s.parsers.Put(parser)
	if err != nil {
		s.Log.Warn("malformed call-back", "err", err)
		return 400, false, []byte(err.Error() + "\n")
	}
	wait = wait || s.isListenerReleased()
	var location chan engine.MessageLocation
	var onLocation func(engine.MessageLocation)
	if wait {
		location = make(chan engine.MessageLocation, 1)
		onLocation = func(found engine.MessageLocation) { location <- found }
	}
	hold.Retain()
	if !s.Engine.HandleReport(report, onLocation, hold.Release) {
		hold.Release()
		return 503, false, nil // the host repeats it
	}
	if !wait {
		return 204, false, nil
	}
	select {
	case found := <-location:
		if found == engine.LocationMoving { // the host repeats it, to the process that has the message then
			return 503, false, nil
		}
		return 204, found == engine.LocationLocal, nil
	case <-s.done:
		return 503, false, nil
	}
}

// parseReport parses a call-back.
func (s *Server) parseReport(p *jsonval.Parser, body []byte) (engine.Report, error) {
	o, err := p.Parse(body)
	if err != nil {
		return engine.Report{}, err
	}
	r := engine.Report{Key: o.Text("id"), From: o.Text("from"), Progress: o.Float("share")}
	for _, key := range []string{"id", "from"} {
		if o.Text(key) == "" {
			o.Fail(key, "a name")
		}
	}
	switch o.Text("state") {
	case "started":
		r.State = engine.Started
	case "running":
		r.State = engine.Progress
	case "done":
		r.State, r.Result = engine.Done, []byte(o.Text("result"))
	case "failed":
		r.State = engine.Errored
	case "returned":
		r.State = engine.Returned
	case "lost":
		r.State = engine.Lost
	default:
		o.Fail("state", "a known state")
	}
	r.Load = s.Loads.ParseMember(r.From, o, "load")
	return r, o.Err()
}
