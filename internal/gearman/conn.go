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
	"liftgauge/internal/serve/owner"
	"liftgauge/internal/work"
)

// conn is one connection. Its goroutine reads; what is to be written waits in a buffer, and whoever finds nobody writing
// writes. A peer that does not read fills its own buffer and is closed, and holds up nobody else.
type conn struct {
	net.Conn
	s     *Server
	id    state.Conn
	r     *packet.Reader
	since time.Duration
	small []byte // for bodies that are dealt with at once

	// Guarded by the server's lock.
	shut       bool   // closed from here, to send its peer elsewhere
	client     string // id that it gave
	exceptions bool
	worker     *state.Worker[*owner.Attempt] // nil until it says that it can do something
	name       string                        // as a host; empty until it is ready
	listed     bool
	host       owner.Host // as it was listed last
	asks       packet.Type
	asking     bool // GRAB_JOB waits for its answer
	told       bool // an end was reported that the owner may not have dealt with yet
	stops      map[*owner.Attempt]func() bool
	ends       map[string]int64  // by handle: where in the stream its JOB_ASSIGN ends
	parts      map[string][]byte // by handle: data that came before the end, for clients that take all at once

	out       sync.Mutex
	idle      sync.Cond // nobody writes
	buf, next []byte    // what waits; what the next to wait goes into
	queued    int64     // bytes that were ever put into the buffer
	sent      int64     // and of these, written
	marks     []mark
	writing   bool
	broken    bool
	room      *budget.Hold // what the buffer holds
}

// mark is an attempt whose JOB_ASSIGN ends at a place in the stream.
type mark struct {
	end int64
	a   *owner.Attempt
}

// How what is put into the buffer gets out of it.
type how int

const (
	written how = iota // by the caller, who may wait, if nobody writes already
	spawned            // by a goroutine, if nobody writes already
	kept               // by the next who sends something
)

// send puts packets into the buffer. Inline says that the caller may wait: if nobody else does it writes them itself.
func (c *conn) send(b []byte, inline bool) {
	if inline {
		c.put(b, nil, written)
	} else {
		c.put(b, nil, spawned)
	}
}

// put puts packets into the buffer and returns where in the stream they end. An attempt is told to be assigned once they
// are written.
func (c *conn) put(b []byte, a *owner.Attempt, by how) (end int64) {
	most := c.s.settings.Load().Limits
	c.out.Lock()
	defer c.out.Unlock()
	if c.broken {
		return c.queued + int64(len(b)) // never written
	}
	if len(c.buf) > 0 && len(c.buf)+len(b) > most.Buffer+most.Packet {
		c.broken = true
		c.s.Log.Info("gearman: connection reads too slowly", "peer", c.RemoteAddr())
		c.s.tasks.Go(func() error {
			c.s.mu.Lock()
			c.s.counts.SlowReaders++
			c.s.mu.Unlock()
			return nil
		})
		c.Close()
		return c.queued + int64(len(b))
	}
	c.buf = append(c.buf, b...)
	c.queued += int64(len(b))
	c.room.Grow(int64(len(b)))
	if a != nil {
		c.marks = append(c.marks, mark{c.queued, a})
	}
	end = c.queued
	switch {
	case c.writing, by == kept:
	case by == written:
		c.write()
	default:
		c.writing = true
		c.s.tasks.Go(func() error {
			c.out.Lock()
			defer c.out.Unlock()
			c.writing = false
			c.write()
			return nil
		})
	}
	return end
}

// write writes all that waits. The lock on the buffer is held, but not while it writes.
func (c *conn) write() {
	c.writing = true
	for len(c.buf) > 0 && !c.broken {
		b := c.buf
		c.buf, c.next = c.next[:0], nil
		limit := time.Duration(c.s.settings.Load().Timeouts.Write)
		c.out.Unlock()
		c.SetWriteDeadline(time.Now().Add(limit))
		n, err := c.Conn.Write(b)
		c.out.Lock()
		c.sent += int64(n)
		c.room.Grow(-int64(len(b)))
		if cap(b) <= 16<<10 {
			c.next = b[:0]
		}
		if err != nil {
			c.broken = true
			c.Close()
		}
		done := 0
		for done < len(c.marks) && c.marks[done].end <= c.sent {
			done++
		}
		if done > 0 {
			out := append([]mark(nil), c.marks[:done]...)
			c.marks = append(c.marks[:0], c.marks[done:]...)
			c.out.Unlock()
			for _, m := range out {
				c.s.Engine.Assigned(m.a)
			}
			c.out.Lock()
		}
	}
	c.room.Grow(-int64(len(c.buf)))
	c.buf = c.buf[:0]
	c.writing = false
	c.idle.Broadcast()
}

// quiet waits until all that waits is written.
func (c *conn) quiet() {
	c.out.Lock()
	defer c.out.Unlock()
	for c.writing {
		c.idle.Wait()
	}
}

// err sends an ERROR packet.
func (c *conn) err(code, text string) {
	c.send(packet.Append(nil, packet.Error, code, text), true)
}

const smallBody = 1 << 10

// serve reads until the connection ends.
func (c *conn) serve() {
	defer c.s.remove(c)
	for {
		text, err := c.r.IsText()
		if err != nil {
			return
		}
		if text {
			err = c.line()
		} else {
			err = c.packet()
		}
		if err != nil {
			return
		}
	}
}

// limit bounds the time until the rest of a packet is there, if it isn't.
func (c *conn) limit(bytes int) (done func()) {
	if c.r.HasBuffered(bytes) {
		return func() {}
	}
	c.SetReadDeadline(time.Now().Add(time.Duration(c.s.settings.Load().Timeouts.Packet)))
	return func() { c.SetReadDeadline(time.Time{}) }
}

var errEnd = errors.New("the connection ends")

func (c *conn) malformed() {
	c.s.mu.Lock()
	c.s.counts.Malformed++
	c.s.mu.Unlock()
}

// packet reads a packet and deals with it. An error ends the connection.
func (c *conn) packet() error {
	limits := c.s.settings.Load().Limits
	done := c.limit(packet.HeaderSize)
	h, err := c.r.Header()
	done()
	if err != nil {
		if errors.Is(err, packet.ErrBadMagic) {
			c.malformed()
			c.err("bad_magic", "want \\0REQ or a line of text")
		}
		return err
	}
	if h.Size > uint32(limits.Packet) {
		c.malformed()
		c.err("packet_too_large", "a packet may have "+itoa(limits.Packet)+" bytes")
		return errEnd
	}
	size := int(h.Size)
	if !h.Type.IsRequest() {
		c.malformed()
		done := c.limit(size)
		_, err := c.r.Discard(size)
		done()
		c.err("unknown_command", h.Type.String()+" is not for a server")
		return err
	}
	var body []byte
	var hold *budget.Hold // of data that go on; whoever takes them over sets it to nil
	switch h.Type {
	case packet.SubmitJob, packet.SubmitJobBg, packet.SubmitJobHigh, packet.SubmitJobHighBg, packet.SubmitJobLow, packet.SubmitJobLowBg,
		packet.SubmitJobSched, packet.SubmitJobEpoch, packet.SubmitReduceJob, packet.SubmitReduceJobBg:
		if hold = c.s.Budget.Take(size, budget.Job); hold == nil {
			done := c.limit(size)
			_, err := c.r.Discard(size)
			done()
			c.turn("no_memory", "no room for the job: try again later")
			return err
		}
		body = hold.Buffer()
	default:
		if size <= smallBody {
			if c.small == nil {
				c.small = make([]byte, smallBody)
			}
			body = c.small[:size]
			break
		}
		// Not read on until there is room: what workers bring has an account that messages cannot fill.
		if hold, err = c.s.Budget.Call(c.s.ctx, size); err != nil {
			return err
		}
		body = hold.Buffer()
	}
	defer func() { hold.Drop() }()
	done = c.limit(size)
	_, err = io.ReadFull(c.r, body)
	done()
	if err != nil {
		return err
	}
	args, err := h.Type.Split(body)
	if err != nil {
		c.malformed()
		c.err("bad_arguments", h.Type.String()+": "+err.Error())
		return nil
	}
	switch h.Type {
	case packet.CanDo, packet.CanDoTimeout, packet.CantDo, packet.ResetAbilities, packet.SetClientID, packet.PreSleep, packet.AllYours:
		c.ability(h.Type, args[0], args[1])
	case packet.GrabJob, packet.GrabJobUniq, packet.GrabJobAll:
		c.grab(h.Type)
	case packet.WorkStatus, packet.WorkComplete, packet.WorkFail, packet.WorkException, packet.WorkData, packet.WorkWarning:
		hold = c.word(h.Type, args, hold)
	case packet.EchoReq:
		c.send(packet.Append(nil, packet.EchoRes, args[0]), true)
	case packet.OptionReq:
		if string(args[0]) != "exceptions" {
			c.err("unknown_option", "exceptions is the only option")
			return nil
		}
		c.s.mu.Lock()
		c.exceptions = true
		c.s.mu.Unlock()
		c.send(packet.Append(nil, packet.OptionRes, args[0]), true)
	case packet.GetStatus, packet.GetStatusUnique:
		c.status(h.Type, string(args[0]))
	default:
		hold = c.submit(h.Type, args, hold)
	}
	return nil
}

// ability is what a worker says of itself.
func (c *conn) ability(t packet.Type, name, value []byte) {
	s := c.s
	g := s.settings.Load()
	text := string(name)
	switch {
	case t == packet.SetClientID && len(text) > g.Limits.Client:
		c.err("id_too_long", "a client id may have "+itoa(g.Limits.Client)+" bytes")
		return
	case (t == packet.CanDo || t == packet.CanDoTimeout) && (len(text) > g.Limits.Function || text == ""):
		c.err("bad_function", "a function's name has 1 to "+itoa(g.Limits.Function)+" bytes")
		return
	}
	var within time.Duration
	if t == packet.CanDoTimeout {
		seconds, ok := atoi(string(value), 1<<31)
		if !ok {
			c.err("bad_timeout", "want seconds")
			return
		}
		within = time.Duration(seconds) * time.Second
	}
	var never []*owner.Attempt
	var failed []*state.Run[*owner.Attempt]
	wake, many := false, false
	s.mu.Lock()
	if c.worker == nil && t != packet.SetClientID {
		c.worker = state.NewWorker[*owner.Attempt](time.Duration(g.Timeouts.Grab))
		c.stops, c.ends, c.parts = map[*owner.Attempt]func() bool{}, map[string]int64{}, map[string][]byte{}
	}
	switch t {
	case packet.SetClientID:
		if c.name == "" { // it is listed under its first one
			c.client = text
		}
	case packet.CanDo, packet.CanDoTimeout:
		if many = !c.worker.Can(text) && c.worker.FunctionCount() >= g.Limits.FunctionsPerWorker; !many {
			c.worker.CanDo(text, within)
		}
	case packet.CantDo:
		never = c.worker.CantDo(text)
	case packet.ResetAbilities:
		never = c.worker.CantDo("")
	case packet.PreSleep:
		wake, failed = c.worker.PreSleep(s.Now())
		c.ready()
	}
	s.retire(c, never)
	s.touch(c)
	s.mu.Unlock()
	if many {
		c.err("too_many_functions", "a worker may do "+itoa(g.Limits.FunctionsPerWorker))
	}
	if len(never) > 0 {
		s.list()
	}
	for _, a := range never {
		s.ended(a, balance.NotSent)
	}
	c.unsaid(failed)
	if wake {
		c.send(packet.Append[string](nil, packet.Noop), true)
	}
}

// ready gives a worker that has said that it is there its name. The lock is held.
func (c *conn) ready() {
	if c.name == "" && c.worker.FunctionCount() > 0 {
		c.s.christen(c)
		c.s.touch(c)
	}
}

// retire forgets picks that have ended. The lock is held.
func (s *Server) retire(c *conn, picks []*owner.Attempt) {
	s.active -= len(picks)
	for _, a := range picks {
		c.forgetStop(a)
	}
}

func (c *conn) forgetStop(a *owner.Attempt) {
	if stop := c.stops[a]; stop != nil {
		stop()
		delete(c.stops, a)
	}
}

// unsaid ends jobs whose worker told of an exception and went on without another word.
func (c *conn) unsaid(failed []*state.Run[*owner.Attempt]) {
	for _, r := range failed {
		c.s.mu.Lock()
		c.end(r)
		c.s.mu.Unlock()
		c.s.ended(r.Attempt, balance.Errored)
	}
}

// grab answers a worker that asks for a job: with the one that the module picked for it, if there is one.
func (c *conn) grab(t packet.Type) {
	s := c.s
	s.mu.Lock()
	if c.worker == nil {
		c.worker = state.NewWorker[*owner.Attempt](time.Duration(s.settings.Load().Timeouts.Grab))
		c.stops, c.ends, c.parts = map[*owner.Attempt]func() bool{}, map[string]int64{}, map[string][]byte{}
	}
	c.asks, c.asking = t, true
	c.ready()
	// The owner may not have dealt with the end that the worker told last: the answer waits for what comes of it.
	told := c.told
	c.told = false
	s.mu.Unlock()
	if told {
		s.Engine.After(func() { c.answer(false) })
		return
	}
	c.quiet() // else the job would wait here after it was clear to be sent
	c.answer(true)
}

// answer is the answer to GRAB_JOB.
func (c *conn) answer(inline bool) {
	s := c.s
	var moot []*owner.Attempt
	s.mu.Lock()
	if !c.asking || s.conns[c.id] != c {
		s.mu.Unlock()
		return
	}
	c.asking = false
	now := s.Now()
	a, ok, failed := c.worker.Grab(now)
	// Right before the first byte: since the decision the worker may have been left out, or the attempt withdrawn.
	for ok && !a.Clear() {
		moot = append(moot, a)
		a, ok, _ = c.worker.Grab(now)
	}
	s.retire(c, moot)
	if !ok {
		s.counts.NoJobs++
		s.mu.Unlock()
		c.send(packet.Append[string](nil, packet.NoJob), inline)
	} else {
		w := work.Of(a.Message)
		c.worker.Assign(now, a, w.Handle, w.Function)
		s.counts.Assigned++
		handle, function, unique, data := []byte(w.Handle), []byte(w.Function), []byte(w.Unique), w.Bytes()
		b := make([]byte, 0, packet.HeaderSize+len(handle)+len(function)+len(unique)+len(w.Reducer)+len(data)+4)
		switch c.asks {
		case packet.GrabJobUniq:
			b = packet.Append(b, packet.JobAssignUniq, handle, function, unique, data)
		case packet.GrabJobAll:
			b = packet.Append(b, packet.JobAssignAll, handle, function, unique, []byte(w.Reducer), data)
		default:
			b = packet.Append(b, packet.JobAssign, handle, function, data)
		}
		// The place is noted before the lock is free again, so that an end of the connection finds it.
		c.ends[w.Handle] = c.put(b, a, kept)
		s.touchIfLate(c)
		s.mu.Unlock()
		c.send(nil, inline)
	}
	if len(moot)+len(failed) == 0 {
		return
	}
	tell := func() error {
		for _, a := range moot {
			s.ended(a, balance.NotSent)
		}
		c.unsaid(failed)
		return nil
	}
	if inline {
		tell()
	} else { // the owner must not wait for itself
		s.tasks.Go(tell)
	}
}

// touchIfLate has a worker listed that was silent and speaks again. The lock is held.
func (s *Server) touchIfLate(c *conn) {
	if c.listed != c.worker.Available() {
		s.touch(c)
	}
}

// end notes that a worker is done with a job. The lock is held.
func (c *conn) end(r *state.Run[*owner.Attempt]) {
	c.s.active--
	c.forgetStop(r.Attempt)
	delete(c.ends, r.Handle)
	delete(c.parts, r.Handle)
	c.s.touchIfLate(c)
}

// Passed on by owner.Owner.Passed: a packet of a worker's for the clients of a job.
type passed struct {
	t    packet.Type
	args [3][]byte
}

// word is what a worker says of a job that it is at. It returns the hold if it is still the caller's.
func (c *conn) word(t packet.Type, args [packet.MaxArguments][]byte, hold *budget.Hold) *budget.Hold {
	s := c.s
	handle := string(args[0])
	s.mu.Lock()
	var r *state.Run[*owner.Attempt]
	if c.worker != nil {
		r = c.worker.Run(handle)
	}
	if r == nil { // it never had it, or has ended it
		s.counts.LateReports++
		s.mu.Unlock()
		s.Log.Debug("gearman: late word", "packet", t, "handle", handle, "worker", c.name)
		return hold
	}
	a, w := r.Attempt, work.Of(r.Attempt.Message)
	parts := c.parts[handle]
	switch t {
	case packet.WorkComplete, packet.WorkFail:
		c.worker.End(s.Now(), handle)
		c.end(r)
		c.told = true
	case packet.WorkException:
		r.ExceptionReported = true
	case packet.WorkData:
		if !w.Streams && len(parts) <= work.MaxHTTP { // more than that no client of this kind can be given
			c.parts[handle] = append(parts, args[1]...)
		}
	}
	s.mu.Unlock()
	switch {
	case t == packet.WorkFail:
		s.ended(a, balance.Errored)
	case t == packet.WorkComplete:
		result := args[1]
		if !w.Streams || hold == nil { // else it is copied again before the hold ends
			result = append(parts, result...)
		}
		s.Engine.Served(a, result, hold.Drop)
		w.Held().Drop()
		return nil
	case w.Streams:
		p := passed{t: t}
		for i := range p.args {
			if p.args[i] = args[i]; hold == nil {
				p.args[i] = append([]byte(nil), args[i]...)
			}
		}
		s.Engine.Passed(a, p, hold.Drop)
		return nil
	}
	return hold
}
