package gearman

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"time"

	"liftgauge/internal/budget"
	"liftgauge/internal/gearman/packet"
	"liftgauge/internal/gearman/state"
	"liftgauge/internal/serve/owner"
	"liftgauge/internal/work"
	"liftgauge/route"

	"liftgauge/balance"
)

func itoa(n int) string { return strconv.Itoa(n) }

// atoi reads a whole number of at least 0 and below a bound.
func atoi(s string, below int64) (int64, bool) {
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil && n >= 0 && n < below
}

// turn refuses a submission: the job was not taken, has not run and will not.
func (c *conn) turn(code, text string) {
	c.s.mu.Lock()
	c.s.counts.Rejected++
	c.s.mu.Unlock()
	c.err(code, text)
}

// kind is what a submission's type says of its job.
func kind(t packet.Type) (background bool, p route.Priority) {
	switch t {
	case packet.SubmitJobBg, packet.SubmitJobSched, packet.SubmitJobEpoch, packet.SubmitReduceJobBg:
		return true, route.Normal
	case packet.SubmitJobHigh:
		return false, route.High
	case packet.SubmitJobHighBg:
		return true, route.High
	case packet.SubmitJobLow:
		return false, route.Low
	case packet.SubmitJobLowBg:
		return true, route.Low
	}
	return false, route.Normal
}

// submit takes a job, or attaches the client to the same one where that is open. It returns the hold if it is still the
// caller's.
func (c *conn) submit(t packet.Type, args [packet.MaxArguments][]byte, hold *budget.Hold) *budget.Hold {
	s := c.s
	g, table := s.settings.Load(), s.table.Load()
	name, unique := string(args[0]), string(args[1])
	background, priority := kind(t)
	data, reducer, at := args[2], "", time.Duration(0)
	now := s.Now()
	switch t {
	case packet.SubmitReduceJob, packet.SubmitReduceJobBg:
		reducer, data = string(args[2]), args[3]
	case packet.SubmitJobEpoch:
		seconds, ok := atoi(string(args[2]), 1<<33)
		if !ok {
			c.turn("bad_time", "want seconds since 1970")
			return hold
		}
		at, data = time.Duration(seconds)*time.Second, args[3]
	case packet.SubmitJobSched:
		next, ok := schedule(time.Unix(0, int64(now)), args[2:7])
		if !ok {
			c.turn("bad_time", "want minute, hour, day of month, month and day of week, or nothing for any")
			return hold
		}
		at, data = time.Duration(next.UnixNano()), args[7]
	}
	f, ok := table.Function(name)
	switch {
	case !ok || len(name) > g.Limits.Function:
		c.turn("unknown_function", "no such function here")
		return hold
	case len(unique) > g.Limits.Unique || len(reducer) > g.Limits.Function:
		c.turn("unique_too_long", "a unique id may have "+itoa(g.Limits.Unique)+" bytes")
		return hold
	case f.RunsOnHosts() && len(data) > work.MaxHTTP:
		c.turn("data_too_large", "this function's jobs may run on hosts that take "+itoa(work.MaxHTTP)+" bytes")
		return hold
	case s.at() >= RejectingJobs:
		c.turn("shutting_down", "the server ends: try another")
		return hold
	case at-now > maxAhead:
		c.turn("bad_time", "more than a year ahead")
		return hold
	}
	if unique == "-" { // the data are the id
		sum := sha256.Sum256(data)
		unique = "-" + hex.EncodeToString(sum[:])
	}
	w := &work.Work{Class: f.Class, Function: name, Unique: unique, Reducer: reducer, Data: data, Hold: hold, Streams: true, Hint: f.Hint(data)}
	d := &job{work: w, conn: c.id, since: now}
	p := f.Priority(priority)
	s.mu.Lock()
	if c.shut {
		s.mu.Unlock()
		return hold
	}
	most, set := s.queues[name]
	if !set {
		most = f.MaxQueue
	}
	j, fresh, err := s.jobs.Submit(c.id, state.Job{Function: name, Unique: unique, Background: background, Priority: int(p), Data: d}, most,
		func(n uint64) string {
			w.ID = "g" + s.Boot + "-" + strconv.FormatUint(n, 10)
			w.Handle = "H:" + s.Name + ":" + s.Boot + "-" + strconv.FormatUint(n, 10)
			return w.Handle
		})
	if err != nil {
		s.mu.Unlock()
		c.turn("queue_full", err.Error())
		return hold
	}
	if !fresh {
		s.counts.Attached++
		c.created(j)
		s.mu.Unlock()
		c.send(nil, true)
		return hold
	}
	class := f.Foreground
	if background {
		class = f.Background
	}
	w.Keyed = s.Classes[class].Effect == balance.Keyed
	d.message = &owner.Message{Key: w.ID, Payload: w, Settled: hold.Drop, Job: balance.Job{Class: class, Left: s.Classes[class].Limit,
		Hint: w.Hint, Weight: p.Weight()}}
	if s.Subject != nil {
		d.message.Subject = s.Subject(unique)
	}
	d.message.Reply = func(a owner.Answer) { s.finish(j, a, false) }
	d.message.Event = func(what any) { s.event(j, what) }
	if d.at = at; at > now {
		s.later = append(s.later, d)
		s.wake()
	} else if !s.hand(d) {
		s.jobs.End(now, j, false)
		s.mu.Unlock()
		c.turn("queue_full", "too much at once: try again later")
		return hold
	}
	s.counts.Submitted++
	c.created(j)
	s.mu.Unlock()
	c.send(nil, true)
	return nil
}

// maxAhead is how long before its time a job may be handed in.
const maxAhead = 366 * 24 * time.Hour

// created tells of a handle. The lock is held, so that nothing else of the job is told before; it is written later.
func (c *conn) created(j *state.Job) {
	c.put(packet.Append(nil, packet.JobCreated, j.Handle), nil, kept)
}

// hand gives a job to the owner. The lock is held: an answer waits for it, and so comes after JOB_CREATED.
func (s *Server) hand(d *job) bool {
	d.message.Arrived = s.Now()
	if s.until > 0 {
		d.message.Job.Left = min(d.message.Job.Left, max(0, s.until-d.message.Arrived))
	}
	d.handed = s.Engine.Submit(d.message)
	return d.handed
}

// due hands on a job whose time has come. Where the owner has no room it is tried again.
func (s *Server) due(d *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs.Find(d.work.Handle)
	if j == nil || j.Data != d {
		return // cancelled
	}
	if !s.hand(d) {
		s.later = append(s.later, d)
	}
}

// event tells a job's clients what becomes of it. It is called from the owner's goroutine.
func (s *Server) event(j *state.Job, what any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	handle := []byte(j.Handle)
	var b []byte
	exceptions := false
	switch e := what.(type) {
	case owner.Begun:
		j.Data.(*job).begun = true
		s.jobs.SetRunning(j, true)
		return
	case owner.Waits:
		s.jobs.SetRunning(j, false)
		return
	case owner.Share: // of a host that speaks HTTP
		num := strconv.Itoa(int(max(0, min(float64(e), 1))*100 + 0.5))
		s.jobs.Progress(j, num, "100")
		b = packet.Append(nil, packet.WorkStatus, handle, []byte(num), []byte("100"))
	case passed:
		switch e.t {
		case packet.WorkStatus:
			s.jobs.Progress(j, string(e.args[1]), string(e.args[2]))
			b = packet.Append(nil, e.t, handle, e.args[1], e.args[2])
		case packet.WorkException:
			exceptions = true
			fallthrough
		default:
			b = packet.Append(nil, e.t, handle, e.args[1])
		}
	default:
		return
	}
	s.tell(j.Clients(), b, exceptions)
}

// tell sends a packet to the clients of a job. The lock is held.
func (s *Server) tell(clients []state.Conn, b []byte, exceptions bool) {
	for _, id := range clients {
		if c := s.conns[id]; c != nil && (!exceptions || c.exceptions) {
			c.send(b, false)
		}
	}
}

// finish gives a job its one end. False: it had it. Cut says that the planned end leaves no time for it.
func (s *Server) finish(j *state.Job, a owner.Answer, cut bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	clients, ok := s.jobs.End(s.Now(), j, a.Kind == owner.Served)
	if !ok {
		return false
	}
	switch a.Kind {
	case owner.Served:
		s.counts.Served++
		s.tell(clients, packet.Append(nil, packet.WorkComplete, []byte(j.Handle), a.Result), false)
	case owner.BackOff:
		s.counts.BackOffs++
		text := "refused: not done, try again later"
		if a.Wait > 0 {
			text = "refused: not done, try again in " + strconv.FormatFloat(a.Wait.Seconds(), 'f', 3, 64) + " s"
		}
		s.tell(clients, packet.Append(nil, packet.WorkException, j.Handle, text), true)
		s.tell(clients, packet.Append(nil, packet.WorkFail, j.Handle), false)
	default:
		s.counts.Failed++
		s.tell(clients, packet.Append(nil, packet.WorkFail, j.Handle), false)
	}
	if j.Background {
		if cut {
			s.counts.BackgroundCut++
		} else {
			s.Log.Info("gearman: background job ended", "handle", j.Handle, "function", j.Function, "unique", j.Unique,
				"end", [...]string{owner.Failed: "failed", owner.Served: "served", owner.BackOff: "refused"}[a.Kind],
				"may_have_run", j.Data.(*job).begun, "took", s.Now()-j.Data.(*job).since)
		}
	}
	return true
}

// status answers GET_STATUS and GET_STATUS_UNIQUE.
func (c *conn) status(t packet.Type, name string) {
	s := c.s
	bit := map[bool]string{true: "1", false: "0"}
	s.mu.Lock()
	if t == packet.GetStatus {
		st := s.jobs.Status(s.Now(), name)
		s.mu.Unlock()
		c.send(packet.Append(nil, packet.StatusRes, name, bit[st.Known], bit[st.Running], st.Numerator, st.Denominator), true)
		return
	}
	st := s.jobs.StatusUnique(s.Now(), name)
	s.mu.Unlock()
	c.send(packet.Append(nil, packet.StatusResUnique, name, bit[st.Known], bit[st.Running], st.Numerator, st.Denominator, itoa(st.Clients)), true)
}

// schedule is the next time that fits minute, hour, day of month, month and day of week (0 is Sunday), each a number or
// empty for any. The time zone is the program's.
func schedule(from time.Time, fields [][]byte) (time.Time, bool) {
	var want [5]int64
	bounds := [5][2]int64{{0, 60}, {0, 24}, {1, 32}, {1, 13}, {0, 8}}
	for i, f := range fields {
		if want[i] = -1; len(f) == 0 || string(f) == "*" {
			continue
		}
		n, ok := atoi(string(f), bounds[i][1])
		if !ok || n < bounds[i][0] {
			return from, false
		}
		want[i] = n
	}
	if want[4] == 7 {
		want[4] = 0
	}
	fits := func(have ...int) bool {
		for i, h := range have {
			if want[i] >= 0 && want[i] != int64(h) {
				return false
			}
		}
		return true
	}
	day := time.Date(from.Year(), from.Month(), from.Day(), 0, 0, 0, 0, from.Location())
	for range 9 * 366 { // the 29th of February may be eight years off
		if want[2] >= 0 && want[2] != int64(day.Day()) || want[3] >= 0 && want[3] != int64(day.Month()) || want[4] >= 0 && want[4] != int64(day.Weekday()) {
			day = day.AddDate(0, 0, 1)
			continue
		}
		for m := range 24 * 60 {
			at := time.Date(day.Year(), day.Month(), day.Day(), m/60, m%60, 0, 0, day.Location())
			if at.After(from) && fits(at.Minute(), at.Hour()) {
				return at, true
			}
		}
		day = day.AddDate(0, 0, 1)
	}
	return from, false
}

// cancel takes out a job that has not run, by an admin's word.
func (s *Server) cancel(handle string) bool {
	s.mu.Lock()
	j := s.jobs.Find(handle)
	ok := j != nil && !j.Data.(*job).begun
	if ok {
		d := j.Data.(*job)
		s.later = slices.DeleteFunc(s.later, func(o *job) bool { return o == d })
	}
	s.mu.Unlock()
	if !ok || !s.finish(j, owner.Answer{Kind: owner.Failed}, false) {
		return false
	}
	s.leave(j)
	return true
}
