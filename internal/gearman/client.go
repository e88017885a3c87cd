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
	"liftgauge/internal/serve/engine"
	"liftgauge/internal/work"
	"liftgauge/route"

	"liftgauge/balance"
)

func itoa(n int) string { return strconv.Itoa(n) }

// atoi parses a non-negative integer below a bound.
func atoi(s string, bound int64) (int64, bool) {
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil && n >= 0 && n < bound
}

// reject answers a submission with an error: the job was not accepted and will not run.
func (c *conn) reject(code, text string) {
	c.server.mu.Lock()
	c.server.counts.Rejected++
	c.server.mu.Unlock()
	c.sendError(code, text)
}

// submissionKind returns what the type of a submission says about its job.
func submissionKind(t packet.Type) (background bool, p route.Priority) {
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

// submit accepts a job, or attaches the client to an open job of the same function and unique id. It returns the hold if
// the caller still has to release it.
func (c *conn) submit(t packet.Type, args [packet.MaxArguments][]byte, hold *budget.Reservation) *budget.Reservation {
	s := c.server
	config, table := s.settings.Load(), s.table.Load()
	name, unique := string(args[0]), string(args[1])
	background, priority := submissionKind(t)
	data, reducer, runAt := args[2], "", time.Duration(0)
	now := s.Now()
	switch t {
	case packet.SubmitReduceJob, packet.SubmitReduceJobBg:
		reducer, data = string(args[2]), args[3]
	case packet.SubmitJobEpoch:
		seconds, ok := atoi(string(args[2]), 1<<33)
		if !ok {
			c.reject("bad_time", "want seconds since 1970")
			return hold
		}
		runAt, data = time.Duration(seconds)*time.Second, args[3]
	case packet.SubmitJobSched:
		next, ok := nextScheduledTime(time.Unix(0, int64(now)), args[2:7])
		if !ok {
			c.reject("bad_time", "want minute, hour, day of month, month and day of week, or nothing for any")
			return hold
		}
		runAt, data = time.Duration(next.UnixNano()), args[7]
	}
	f, ok := table.Function(name)
	switch {
	case !ok || len(name) > config.Limits.Function:
		c.reject("unknown_function", "no such function here")
		return hold
	case len(unique) > config.Limits.Unique || len(reducer) > config.Limits.Function:
		c.reject("unique_too_long", "a unique id may have "+itoa(config.Limits.Unique)+" bytes")
		return hold
	case f.RunsOnHosts() && len(data) > work.MaxHTTPBytes:
		c.reject("data_too_large", "this function's jobs may run on hosts that take "+itoa(work.MaxHTTPBytes)+" bytes")
		return hold
	case s.currentPhase() >= RejectingJobs:
		c.reject("shutting_down", "the server ends: try another")
		return hold
	case runAt-now > maxScheduleAhead:
		c.reject("bad_time", "more than a year ahead")
		return hold
	}
	if unique == "-" { // the data identify the job
		sum := sha256.Sum256(data)
		unique = "-" + hex.EncodeToString(sum[:])
	}
	w := &work.Work{Class: f.Class, Function: name, Unique: unique, Reducer: reducer, Data: data, Reservation: hold, Streams: true, CostHint: f.Hint(data)}
	d := &job{work: w, conn: c.id, submittedAt: now}
	p := f.Priority(priority)
	s.mu.Lock()
	if c.closing {
		s.mu.Unlock()
		return hold
	}
	maxWaiting, set := s.queueLimits[name]
	if !set {
		maxWaiting = f.MaxQueue
	}
	j, fresh, err := s.jobs.Submit(c.id, state.Job{Function: name, Unique: unique, Background: background, Priority: int(p), Data: d}, maxWaiting,
		func(n uint64) string {
			w.ID = "g" + s.Boot + "-" + strconv.FormatUint(n, 10)
			w.Handle = "H:" + s.Name + ":" + s.Boot + "-" + strconv.FormatUint(n, 10)
			return w.Handle
		})
	if err != nil {
		s.mu.Unlock()
		c.reject("queue_full", err.Error())
		return hold
	}
	if !fresh {
		s.counts.Attached++
		c.sendJobCreated(j)
		s.mu.Unlock()
		c.send(nil, true)
		return hold
	}
	class := f.Foreground
	if background {
		class = f.Background
	}
	w.Keyed = s.Classes[class].Effect == balance.Keyed
	d.message = &engine.Message{Key: w.ID, Payload: w, OnClosed: hold.Release, Job: balance.Job{Class: class, Left: s.Classes[class].Limit,
		Hint: w.CostHint, Weight: p.Weight()}}
	if s.Subject != nil {
		d.message.Subject = s.Subject(unique)
	}
	d.message.Reply = func(a engine.Answer) { s.finish(j, a, false) }
	d.message.OnEvent = func(what any) { s.event(j, what) }
	if d.runAt = runAt; runAt > now {
		s.scheduled = append(s.scheduled, d)
		s.wakeTimer()
	} else if !s.submitToEngine(d) {
		s.jobs.End(now, j, false)
		s.mu.Unlock()
		c.reject("queue_full", "too much at once: try again later")
		return hold
	}
	s.counts.Submitted++
	c.sendJobCreated(j)
	s.mu.Unlock()
	c.send(nil, true)
	return nil
}

// maxScheduleAhead is how far in the future a submitted job may be scheduled.
const maxScheduleAhead = 366 * 24 * time.Hour

// sendJobCreated queues JOB_CREATED. The caller holds the lock, so that no other packet about the job precedes it; it is
// written later.
func (c *conn) sendJobCreated(j *state.Job) {
	c.put(packet.Append(nil, packet.JobCreated, j.Handle), nil, writeDeferred)
}

// submitToEngine passes a job to the engine. The caller holds the lock: an answer waits for it, and so follows
// JOB_CREATED.
func (s *Server) submitToEngine(d *job) bool {
	d.message.Arrived = s.Now()
	if s.shutdownDeadline > 0 {
		d.message.Job.Left = min(d.message.Job.Left, max(0, s.shutdownDeadline-d.message.Arrived))
	}
	d.submitted = s.Engine.Submit(d.message)
	return d.submitted
}

// submitScheduled passes a scheduled job to the engine when its time has come. If the engine has no room, it is tried
// again later.
func (s *Server) submitScheduled(d *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs.Find(d.work.Handle)
	if j == nil || j.Data != d {
		return // cancelled
	}
	if !s.submitToEngine(d) {
		s.scheduled = append(s.scheduled, d)
	}
}

// event notifies a job's clients of its progress. It is called from the engine's goroutine.
func (s *Server) event(j *state.Job, what any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	handle := []byte(j.Handle)
	var b []byte
	exceptions := false
	switch e := what.(type) {
	case engine.RunningEvent:
		j.Data.(*job).begun = true
		s.jobs.SetRunning(j, true)
		return
	case engine.WaitingEvent:
		s.jobs.SetRunning(j, false)
		return
	case engine.ProgressEvent: // progress reported by an HTTP host
		num := strconv.Itoa(int(max(0, min(float64(e), 1))*100 + 0.5))
		s.jobs.Progress(j, num, "100")
		b = packet.Append(nil, packet.WorkStatus, handle, []byte(num), []byte("100"))
	case forwardedPacket:
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
	s.sendToClients(j.Clients(), b, exceptions)
}

// sendToClients sends a packet to the clients of a job; with exceptions set, only to those that enabled the option. The
// caller holds the lock.
func (s *Server) sendToClients(clients []state.Conn, b []byte, exceptions bool) {
	for _, id := range clients {
		if c := s.conns[id]; c != nil && (!exceptions || c.exceptions) {
			c.send(b, false)
		}
	}
}

// finish ends a job and answers its clients. It returns false if the job had already ended. Cut says that the job was
// cut off by a planned shutdown.
func (s *Server) finish(j *state.Job, a engine.Answer, cut bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	clients, ok := s.jobs.End(s.Now(), j, a.Kind == engine.Served)
	if !ok {
		return false
	}
	switch a.Kind {
	case engine.Served:
		s.counts.Served++
		s.sendToClients(clients, packet.Append(nil, packet.WorkComplete, []byte(j.Handle), a.Result), false)
	case engine.BackOff:
		s.counts.BackOffs++
		text := "refused: not done, try again later"
		if a.RetryAfter > 0 {
			text = "refused: not done, try again in " + strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64) + " s"
		}
		s.sendToClients(clients, packet.Append(nil, packet.WorkException, j.Handle, text), true)
		s.sendToClients(clients, packet.Append(nil, packet.WorkFail, j.Handle), false)
	default:
		s.counts.Failed++
		s.sendToClients(clients, packet.Append(nil, packet.WorkFail, j.Handle), false)
	}
	if j.Background {
		if cut {
			s.counts.BackgroundCut++
		} else {
			s.Log.Info("gearman: background job ended", "handle", j.Handle, "function", j.Function, "unique", j.Unique,
				"end", [...]string{engine.Failed: "failed", engine.Served: "served", engine.BackOff: "refused"}[a.Kind],
				"may_have_run", j.Data.(*job).begun, "took", s.Now()-j.Data.(*job).submittedAt)
		}
	}
	return true
}

// status answers GET_STATUS and GET_STATUS_UNIQUE.
func (c *conn) status(t packet.Type, name string) {
	s := c.server
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

// nextScheduledTime returns the next time that matches minute, hour, day of month, month and day of week (0 is Sunday),
// each a number or empty for any. Times are in the time zone of the process.
func nextScheduledTime(from time.Time, fields [][]byte) (time.Time, bool) {
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
	for range 9 * 366 { // 29 February may be eight years ahead
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

// cancel removes a job that has not started, on request of an administrator. It reports whether there was one.
func (s *Server) cancel(handle string) bool {
	s.mu.Lock()
	j := s.jobs.Find(handle)
	ok := j != nil && !j.Data.(*job).begun
	if ok {
		d := j.Data.(*job)
		s.scheduled = slices.DeleteFunc(s.scheduled, func(other *job) bool { return other == d })
	}
	s.mu.Unlock()
	if !ok || !s.finish(j, engine.Answer{Kind: engine.Failed}, false) {
		return false
	}
	s.abandon(j)
	return true
}
