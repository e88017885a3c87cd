package gearman

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/budget"
	"liftgauge/internal/gearman/packet"
	"liftgauge/internal/gearman/state"
	"liftgauge/internal/serve/engine"
	"liftgauge/internal/work"
)

// conn is one connection. Its own goroutine reads from it. Output is appended to a buffer, which is written by the first
// caller that finds no write in progress. A peer that does not read fills only its own buffer until it is closed, and
// delays no other connection.
type conn struct {
	net.Conn
	server      *Server
	id          state.Conn
	reader      *packet.Reader
	connectedAt time.Duration
	scratch     []byte // for small bodies that are handled at once

	// Guarded by the server's lock.
	closing       bool   // closed by the server, so that the peer connects to another process
	clientID      string // as sent in SET_CLIENT_ID
	exceptions    bool
	worker        *state.Worker[*engine.Attempt] // nil until the peer announces an ability
	name          string                         // under which the worker is listed as a host; empty until it is ready
	listed        bool
	host          engine.Host                     // as last listed
	grabType      packet.Type                     // the last request for a job
	grabPending   bool                            // GRAB_JOB has not been answered yet
	endReported   bool                            // the worker reported the end of a job, which the engine may not have processed yet
	withdrawStops map[*engine.Attempt]func() bool // stops watching for a withdrawal of the attempt
	assignEnds    map[string]int64                // by handle: offset in the output stream at which its JOB_ASSIGN ends
	partialData   map[string][]byte               // by handle: data received before the end, for clients that get the result in one piece

	outMu          sync.Mutex
	writerIdle     sync.Cond // signalled when no write is in progress
	pending, spare []byte    // output to be written, and an empty buffer to be used next
	queued         int64     // bytes ever appended to the buffer
	sent           int64     // of those, bytes written
	assignMarks    []assignMark
	writing        bool
	broken         bool
	bufferHold     *budget.Reservation // memory accounted for the buffer
}

// assignMark is an attempt and the offset in the output stream at which its JOB_ASSIGN ends.
type assignMark struct {
	end     int64
	attempt *engine.Attempt
}

// writeMode says who writes output that has been appended to the buffer.
type writeMode int

const (
	writeInline   writeMode = iota // by the caller, which may block, unless a write is in progress
	writeAsync                     // by a new goroutine, unless a write is in progress
	writeDeferred                  // by the next call that sends something
)

// send appends packets to the output buffer. With inline set the caller may block: it writes them itself unless a write
// is in progress.
func (c *conn) send(b []byte, inline bool) {
	if inline {
		c.put(b, nil, writeInline)
	} else {
		c.put(b, nil, writeAsync)
	}
}

// put appends packets to the output buffer and returns the offset in the stream at which they end. If they assign an
// attempt, the engine is notified of the assignment once they are written.
func (c *conn) put(b []byte, a *engine.Attempt, mode writeMode) (end int64) {
	limits := c.server.settings.Load().Limits
	c.outMu.Lock()
	defer c.outMu.Unlock()
	if c.broken {
		return c.queued + int64(len(b)) // beyond anything that will be written
	}
	if len(c.pending) > 0 && len(c.pending)+len(b) > limits.Buffer+limits.Packet {
		c.broken = true
		c.server.Log.Info("gearman: connection reads too slowly", "peer", c.RemoteAddr())
		c.server.tasks.Go(func() error {
			c.server.mu.Lock()
			c.server.counts.SlowReaders++
			c.server.mu.Unlock()
			return nil
		})
		c.Close()
		return c.queued + int64(len(b))
	}
	c.pending = append(c.pending, b...)
	c.queued += int64(len(b))
	c.bufferHold.Grow(int64(len(b)))
	if a != nil {
		c.assignMarks = append(c.assignMarks, assignMark{c.queued, a})
	}
	end = c.queued
	switch {
	case c.writing, mode == writeDeferred:
	case mode == writeInline:
		c.write()
	default:
		c.writing = true
		c.server.tasks.Go(func() error {
			c.outMu.Lock()
			defer c.outMu.Unlock()
			c.writing = false
			c.write()
			return nil
		})
	}
	return end
}

// write writes all pending output. The caller holds outMu, which is released during each write.
func (c *conn) write() {
	c.writing = true
	for len(c.pending) > 0 && !c.broken {
		b := c.pending
		c.pending, c.spare = c.spare[:0], nil
		limit := time.Duration(c.server.settings.Load().Timeouts.Write)
		c.outMu.Unlock()
		c.SetWriteDeadline(time.Now().Add(limit))
		n, err := c.Conn.Write(b)
		c.outMu.Lock()
		c.sent += int64(n)
		c.bufferHold.Grow(-int64(len(b)))
		if cap(b) <= 16<<10 {
			c.spare = b[:0]
		}
		if err != nil {
			c.broken = true
			c.Close()
		}
		completed := 0
		for completed < len(c.assignMarks) && c.assignMarks[completed].end <= c.sent {
			completed++
		}
		if completed > 0 {
			assigned := append([]assignMark(nil), c.assignMarks[:completed]...)
			c.assignMarks = append(c.assignMarks[:0], c.assignMarks[completed:]...)
			c.outMu.Unlock()
			for _, m := range assigned {
				c.server.Engine.AttemptStarted(m.attempt)
			}
			c.outMu.Lock()
		}
	}
	c.bufferHold.Grow(-int64(len(c.pending)))
	c.pending = c.pending[:0]
	c.writing = false
	c.writerIdle.Broadcast()
}

// waitWritten waits until no write is in progress.
func (c *conn) waitWritten() {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	for c.writing {
		c.writerIdle.Wait()
	}
}

// sendError sends an ERROR packet.
func (c *conn) sendError(code, text string) {
	c.send(packet.Append(nil, packet.Error, code, text), true)
}

const smallBody = 1 << 10

// serve reads until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	for {
		text, err := c.reader.IsText()
		if err != nil {
			return
		}
		if text {
			err = c.handleLine()
		} else {
			err = c.handlePacket()
		}
		if err != nil {
			return
		}
	}
}

// setReadTimeout limits the time until the given number of bytes has arrived, unless they are buffered already. The
// returned function lifts the limit.
func (c *conn) setReadTimeout(bytes int) (done func()) {
	if c.reader.HasBuffered(bytes) {
		return func() {}
	}
	c.SetReadDeadline(time.Now().Add(time.Duration(c.server.settings.Load().Timeouts.Packet)))
	return func() { c.SetReadDeadline(time.Time{}) }
}

var errCloseConnection = errors.New("connection closed after a protocol error")

func (c *conn) countMalformed() {
	c.server.mu.Lock()
	c.server.counts.Malformed++
	c.server.mu.Unlock()
}

// handlePacket reads one packet and processes it. An error ends the connection.
func (c *conn) handlePacket() error {
	limits := c.server.settings.Load().Limits
	done := c.setReadTimeout(packet.HeaderSize)
	h, err := c.reader.Header()
	done()
	if err != nil {
		if errors.Is(err, packet.ErrBadMagic) {
			c.countMalformed()
			c.sendError("bad_magic", "want \\0REQ or a line of text")
		}
		return err
	}
	if h.Size > uint32(limits.Packet) {
		c.countMalformed()
		c.sendError("packet_too_large", "a packet may have "+itoa(limits.Packet)+" bytes")
		return errCloseConnection
	}
	size := int(h.Size)
	if !h.Type.IsRequest() {
		c.countMalformed()
		done := c.setReadTimeout(size)
		_, err := c.reader.Discard(size)
		done()
		c.sendError("unknown_command", h.Type.String()+" is not for a server")
		return err
	}
	var body []byte
	var hold *budget.Reservation // of data that outlive this call; nil once another owner has taken it over
	switch h.Type {
	case packet.SubmitJob, packet.SubmitJobBg, packet.SubmitJobHigh, packet.SubmitJobHighBg, packet.SubmitJobLow, packet.SubmitJobLowBg,
		packet.SubmitJobSched, packet.SubmitJobEpoch, packet.SubmitReduceJob, packet.SubmitReduceJobBg:
		if hold = c.server.Budget.TryReserve(size, budget.JobCost); hold == nil {
			done := c.setReadTimeout(size)
			_, err := c.reader.Discard(size)
			done()
			c.reject("no_memory", "no room for the job: try again later")
			return err
		}
		body = hold.Buffer()
	default:
		if size <= smallBody {
			if c.scratch == nil {
				c.scratch = make([]byte, smallBody)
			}
			body = c.scratch[:size]
			break
		}
		// Blocks until there is memory: results of workers have a budget of their own, which submitted messages cannot exhaust.
		if hold, err = c.server.Budget.ReserveCallback(c.server.ctx, size); err != nil {
			return err
		}
		body = hold.Buffer()
	}
	defer func() { hold.Release() }()
	done = c.setReadTimeout(size)
	_, err = io.ReadFull(c.reader, body)
	done()
	if err != nil {
		return err
	}
	args, err := h.Type.Split(body)
	if err != nil {
		c.countMalformed()
		c.sendError("bad_arguments", h.Type.String()+": "+err.Error())
		return nil
	}
	switch h.Type {
	case packet.CanDo, packet.CanDoTimeout, packet.CantDo, packet.ResetAbilities, packet.SetClientID, packet.PreSleep, packet.AllYours:
		c.handleWorkerSetup(h.Type, args[0], args[1])
	case packet.GrabJob, packet.GrabJobUniq, packet.GrabJobAll:
		c.handleGrab(h.Type)
	case packet.WorkStatus, packet.WorkComplete, packet.WorkFail, packet.WorkException, packet.WorkData, packet.WorkWarning:
		hold = c.handleWorkReport(h.Type, args, hold)
	case packet.EchoReq:
		c.send(packet.Append(nil, packet.EchoRes, args[0]), true)
	case packet.OptionReq:
		if string(args[0]) != "exceptions" {
			c.sendError("unknown_option", "exceptions is the only option")
			return nil
		}
		c.server.mu.Lock()
		c.exceptions = true
		c.server.mu.Unlock()
		c.send(packet.Append(nil, packet.OptionRes, args[0]), true)
	case packet.GetStatus, packet.GetStatusUnique:
		c.status(h.Type, string(args[0]))
	default:
		hold = c.submit(h.Type, args, hold)
	}
	return nil
}

// handleWorkerSetup processes the packets by which a worker announces its abilities, its id and its state.
func (c *conn) handleWorkerSetup(t packet.Type, name, value []byte) {
	s := c.server
	config := s.settings.Load()
	text := string(name)
	switch {
	case t == packet.SetClientID && len(text) > config.Limits.Client:
		c.sendError("id_too_long", "a client id may have "+itoa(config.Limits.Client)+" bytes")
		return
	case (t == packet.CanDo || t == packet.CanDoTimeout) && (len(text) > config.Limits.Function || text == ""):
		c.sendError("bad_function", "a function's name has 1 to "+itoa(config.Limits.Function)+" bytes")
		return
	}
	var timeLimit time.Duration
	if t == packet.CanDoTimeout {
		seconds, ok := atoi(string(value), 1<<31)
		if !ok {
			c.sendError("bad_timeout", "want seconds")
			return
		}
		timeLimit = time.Duration(seconds) * time.Second
	}
	var notRun []*engine.Attempt
	var failed []*state.Run[*engine.Attempt]
	wake, tooMany := false, false
	s.mu.Lock()
	if c.worker == nil && t != packet.SetClientID {
		c.worker = state.NewWorker[*engine.Attempt](time.Duration(config.Timeouts.Grab))
		c.withdrawStops, c.assignEnds, c.partialData = map[*engine.Attempt]func() bool{}, map[string]int64{}, map[string][]byte{}
	}
	switch t {
	case packet.SetClientID:
		if c.name == "" { // once listed, a worker keeps the id that it was listed under
			c.clientID = text
		}
	case packet.CanDo, packet.CanDoTimeout:
		if tooMany = !c.worker.Can(text) && c.worker.FunctionCount() >= config.Limits.FunctionsPerWorker; !tooMany {
			c.worker.CanDo(text, timeLimit)
		}
	case packet.CantDo:
		notRun = c.worker.CantDo(text)
	case packet.ResetAbilities:
		notRun = c.worker.CantDo("")
	case packet.PreSleep:
		wake, failed = c.worker.PreSleep(s.Now())
		c.registerIfReady()
	}
	s.releasePicks(c, notRun)
	s.markChanged(c)
	s.mu.Unlock()
	if tooMany {
		c.sendError("too_many_functions", "a worker may do "+itoa(config.Limits.FunctionsPerWorker))
	}
	if len(notRun) > 0 {
		s.sendChanges()
	}
	for _, a := range notRun {
		s.ended(a, balance.NotSent)
	}
	c.failExcepted(failed)
	if wake {
		c.send(packet.Append[string](nil, packet.Noop), true)
	}
}

// registerIfReady names and lists a worker that has abilities and is not listed yet. The caller holds the lock.
func (c *conn) registerIfReady() {
	if c.name == "" && c.worker.FunctionCount() > 0 {
		c.server.assignName(c)
		c.server.markChanged(c)
	}
}

// releasePicks stops tracking picks that have ended. The caller holds the lock.
func (s *Server) releasePicks(c *conn, picks []*engine.Attempt) {
	s.timedAttempts -= len(picks)
	for _, a := range picks {
		c.stopWatchingWithdrawal(a)
	}
}

func (c *conn) stopWatchingWithdrawal(a *engine.Attempt) {
	if stop := c.withdrawStops[a]; stop != nil {
		stop()
		delete(c.withdrawStops, a)
	}
}

// failExcepted ends jobs for which the worker sent WORK_EXCEPTION and then requested another job without sending
// WORK_FAIL.
func (c *conn) failExcepted(failed []*state.Run[*engine.Attempt]) {
	for _, r := range failed {
		c.server.mu.Lock()
		c.releaseRun(r)
		c.server.mu.Unlock()
		c.server.ended(r.Attempt, balance.Errored)
	}
}

// handleGrab answers GRAB_JOB with the job that the decision module picked for the worker, or with NO_JOB.
func (c *conn) handleGrab(t packet.Type) {
	s := c.server
	s.mu.Lock()
	if c.worker == nil {
		c.worker = state.NewWorker[*engine.Attempt](time.Duration(s.settings.Load().Timeouts.Grab))
		c.withdrawStops, c.assignEnds, c.partialData = map[*engine.Attempt]func() bool{}, map[string]int64{}, map[string][]byte{}
	}
	c.grabType, c.grabPending = t, true
	c.registerIfReady()
	// The engine may not have processed the end that the worker last reported: the answer waits, since a new pick may follow from it.
	awaitEngine := c.endReported
	c.endReported = false
	s.mu.Unlock()
	if awaitEngine {
		s.Engine.AfterQueued(func() { c.answerGrab(false) })
		return
	}
	c.waitWritten() // otherwise the job could wait in the buffer after it passed the last check
	c.answerGrab(true)
}

// answerGrab sends the response to GRAB_JOB.
func (c *conn) answerGrab(inline bool) {
	s := c.server
	var stale []*engine.Attempt
	s.mu.Lock()
	if !c.grabPending || s.conns[c.id] != c {
		s.mu.Unlock()
		return
	}
	c.grabPending = false
	now := s.Now()
	a, ok, failed := c.worker.Grab(now)
	// Checked just before the first byte is sent: since the pick the worker may have been excluded or the attempt withdrawn.
	for ok && !a.MaySend() {
		stale = append(stale, a)
		a, ok, _ = c.worker.Grab(now)
	}
	s.releasePicks(c, stale)
	if !ok {
		s.counts.NoJobs++
		s.mu.Unlock()
		c.send(packet.Append[string](nil, packet.NoJob), inline)
	} else {
		w := work.FromMessage(a.Message)
		c.worker.Assign(now, a, w.Handle, w.Function)
		s.counts.Assigned++
		handle, function, unique, data := []byte(w.Handle), []byte(w.Function), []byte(w.Unique), w.Body()
		b := make([]byte, 0, packet.HeaderSize+len(handle)+len(function)+len(unique)+len(w.Reducer)+len(data)+4)
		switch c.grabType {
		case packet.GrabJobUniq:
			b = packet.Append(b, packet.JobAssignUniq, handle, function, unique, data)
		case packet.GrabJobAll:
			b = packet.Append(b, packet.JobAssignAll, handle, function, unique, []byte(w.Reducer), data)
		default:
			b = packet.Append(b, packet.JobAssign, handle, function, data)
		}
		// The offset is recorded under the lock, so that remove finds it if the connection ends.
		c.assignEnds[w.Handle] = c.put(b, a, writeDeferred)
		s.markIfAvailabilityChanged(c)
		s.mu.Unlock()
		c.send(nil, inline)
	}
	if len(stale)+len(failed) == 0 {
		return
	}
	report := func() error {
		for _, a := range stale {
			s.ended(a, balance.NotSent)
		}
		c.failExcepted(failed)
		return nil
	}
	if inline {
		report()
	} else { // runs in the engine's goroutine, which must not wait for itself
		s.tasks.Go(report)
	}
}

// markIfAvailabilityChanged has a worker listed again after it became available or unavailable. The caller holds the
// lock.
func (s *Server) markIfAvailabilityChanged(c *conn) {
	if c.listed != c.worker.Available() {
		s.markChanged(c)
	}
}

// releaseRun stops tracking a job that the worker has ended. The caller holds the lock.
func (c *conn) releaseRun(r *state.Run[*engine.Attempt]) {
	c.server.timedAttempts--
	c.stopWatchingWithdrawal(r.Attempt)
	delete(c.assignEnds, r.Handle)
	delete(c.partialData, r.Handle)
	c.server.markIfAvailabilityChanged(c)
}

// forwardedPacket is a packet of a worker for the clients of a job, which the engine forwards to them.
type forwardedPacket struct {
	t    packet.Type
	args [3][]byte
}

// handleWorkReport processes a packet of a worker about a job that it runs. It returns the hold if the caller still has
// to release it.
func (c *conn) handleWorkReport(t packet.Type, args [packet.MaxArguments][]byte, hold *budget.Reservation) *budget.Reservation {
	s := c.server
	handle := string(args[0])
	s.mu.Lock()
	var r *state.Run[*engine.Attempt]
	if c.worker != nil {
		r = c.worker.Run(handle)
	}
	if r == nil { // never assigned to this worker, or already ended
		s.counts.LateReports++
		s.mu.Unlock()
		s.Log.Debug("gearman: report on a job that the worker does not run", "packet", t, "handle", handle, "worker", c.name)
		return hold
	}
	a, w := r.Attempt, work.FromMessage(r.Attempt.Message)
	parts := c.partialData[handle]
	switch t {
	case packet.WorkComplete, packet.WorkFail:
		c.worker.End(s.Now(), handle)
		c.releaseRun(r)
		c.endReported = true
	case packet.WorkException:
		r.ExceptionReported = true
	case packet.WorkData:
		if !w.Streams && len(parts) <= work.MaxHTTPBytes { // a larger result cannot be returned to an HTTP client
			c.partialData[handle] = append(parts, args[1]...)
		}
	}
	s.mu.Unlock()
	switch {
	case t == packet.WorkFail:
		s.ended(a, balance.Errored)
	case t == packet.WorkComplete:
		result := args[1]
		if !w.Streams || hold == nil { // otherwise the receiver copies it before the hold is released
			result = append(parts, result...)
		}
		s.Engine.AttemptServed(a, result, hold.Release)
		w.BodyReservation().Release()
		return nil
	case w.Streams:
		p := forwardedPacket{t: t}
		for i := range p.args {
			if p.args[i] = args[i]; hold == nil {
				p.args[i] = append([]byte(nil), args[i]...)
			}
		}
		s.Engine.AttemptEvent(a, p, hold.Release)
		return nil
	}
	return hold
}
