package delivery

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"liftgauge/balance"
	"liftgauge/internal/protocol"
)

// Send implements balance.Actions.
func (s *service) Send(id balance.JobID, to balance.WorkerID, _ time.Duration) {
	j, w := s.jobs[id], s.workers[to]
	number := j.attempts
	j.attempts++
	j.inFlight = true
	if w == nil { // balance chose it from an older list
		s.engine.loop.post(func() { s.attemptEnded(j, number, to, notRun(balance.NotSent)) })
		return
	}
	a := &attempt{message: j.Message, address: w.address, instance: w.instance, timeout: j.Timeout, permit: s.permit(j, w)}
	s.engine.attempts.Add(1)
	go func() {
		defer s.engine.attempts.Done()
		end := s.client.send(context.Background(), a)
		s.engine.loop.post(func() { s.attemptEnded(j, number, to, end) })
	}()
}

// permit returns the check that is made right before the first byte is sent to a worker.
func (s *service) permit(j *job, w *worker) func() error {
	rateLimited, began, received := s.pacer != nil, time.Now(), j.received
	return func() error {
		if time.Since(received) > maxJobAge {
			return errJobTooOld
		}
		if rateLimited && time.Since(began) > maxTokenAge {
			return errTokenExpired
		}
		return s.allowed.check(w)
	}
}

// attemptEnded handles the end of an attempt.
func (s *service) attemptEnded(j *job, number int, to balance.WorkerID, end attemptResult) {
	now := s.engine.loop.now()
	j.inFlight = false
	if end.wrongInstance {
		if w := s.workers[to]; w != nil && w.instance != "" {
			s.wrongInstances[w.instance] = true
			s.refreshWorkers()
		}
	}
	if end.Outcome == protocol.OutcomeUnknown {
		s.logUnclear(j, s.nameOf(to), end)
	}
	if s.Static != "" && unreachable(end.status) {
		// There is no other worker, and the stores limit further attempts: excluding it here would only delay its use once it has recovered.
		end.status = balance.NotSent
	}
	if end.Outcome != protocol.OutcomeNotRun || !end.retryElsewhere || s.pacer != nil || j.expired {
		s.balance.Outcome(now, balance.Outcome{Job: j.id, Attempt: number, Worker: to, Status: end.status, Closed: true})
		s.finish(j, end.Result)
		return
	}
	j.lastResult = end.Result
	s.balance.Outcome(now, balance.Outcome{Job: j.id, Attempt: number, Worker: to, Status: end.status})
	if j.expired && !j.inFlight {
		s.finish(j, j.lastResult)
	}
}

// nameOf returns the instance or address of a worker; empty if it is not listed any more.
func (s *service) nameOf(id balance.WorkerID) string {
	if w := s.workers[id]; w != nil {
		return cmp.Or(w.instance, w.address)
	}
	return ""
}

// unreachable reports whether an attempt got no usable response from its worker.
func unreachable(status balance.Status) bool {
	return status == balance.ConnectFailed || status == balance.Reset || status == balance.TimedOut || status == balance.Errored
}

// Refuse implements balance.Actions.
func (s *service) Refuse(id balance.JobID, _ time.Duration) { s.Fail(id) }

// Fail implements balance.Actions: no worker was found for the job. An attempt that is in flight continues to its end.
func (s *service) Fail(id balance.JobID) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	if j.expired = true; !j.inFlight {
		s.finish(j, j.lastResult)
	}
}

// Cancel implements balance.Actions; an attempt in flight is never cancelled.
func (s *service) Cancel(balance.JobID, int) {}

// Probe implements balance.Actions.
func (s *service) Probe(id balance.WorkerID) {
	w := s.workers[id]
	if w == nil {
		return
	}
	path := s.HealthCheckPath
	go func() {
		status := s.client.probe(context.Background(), w.address, path, w.instance)
		s.engine.loop.post(func() { s.balance.Probed(s.engine.loop.now(), id, status, nil) })
	}()
}

// Timer implements balance.Actions.
func (s *service) Timer(after time.Duration, token uint64) {
	var needed func() bool
	if id, ok := balance.JobOf(token); ok {
		needed = func() bool { return s.jobs[id] != nil }
	}
	s.engine.loop.after(after, func() { s.balance.Timer(s.engine.loop.now(), token) }, needed)
}

// Watch implements balance.Actions; it does nothing, because each new list is pushed to balance.
func (s *service) Watch() {}

// Log implements balance.Actions.
func (s *service) Log(line string) {
	s.engine.options.Logger.Debug("balance", zap.String("service", s.Name), zap.String("line", line))
}
