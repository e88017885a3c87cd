package state

import (
	"slices"
	"time"
)

// Worker is the state of one worker's connection. A identifies an attempt.
//
// A worker pulls: it sleeps (PRE_SLEEP) until it is woken (NOOP), and then requests a job (GRAB_JOB). The decision
// module pushes: it picks a worker. The two are combined here: a pick waits until the worker requests a job, and a
// worker that requests one gets what was picked for it or nothing. Until a job is assigned, it is certain that the pick
// has never run.
//
//	         PRE_SLEEP                  pick: wake
//	awake ──────────────────▶ asleep ───────────────▶ awake, a pick waits
//	  ▲   NO_JOB ◀── GRAB_JOB, no pick                    │ GRAB_JOB: assign
//	  └──────────── WORK_COMPLETE, WORK_FAIL ◀── runs ◀───┘
//
// A worker that is picked while it runs a job is not woken: it requests the next job when it is done. A free worker that
// does not request its job in time is unresponsive: it is not picked again until it sends something.
type Worker[A comparable] struct {
	GrabTimeout time.Duration // how long a free worker may take to request a job that was picked for it

	functions    map[string]time.Duration // functions it can run, with their time limits; 0: no limit
	ready        bool                     // it has sent PRE_SLEEP or GRAB_JOB
	asleep       bool
	unresponsive bool
	picks        []pick[A]
	runs         map[string]*Run[A] // by handle
	freeAt       time.Duration      // when the last run ended, or the last GRAB_JOB got nothing
}

type pick[A comparable] struct {
	attempt  A
	function string
	pickedAt time.Duration
}

// Run is a job that was assigned.
type Run[A comparable] struct {
	Attempt           A
	Handle            string
	Function          string
	Deadline          time.Duration // from CAN_DO_TIMEOUT; 0: none
	Abandoned         bool          // nobody waits for its end any more, but the worker still runs it
	ExceptionReported bool          // the worker sent WORK_EXCEPTION; WORK_FAIL is expected
}

// NewWorker returns a worker that has not sent anything yet.
func NewWorker[A comparable](grab time.Duration) *Worker[A] {
	return &Worker[A]{GrabTimeout: grab, functions: map[string]time.Duration{}, runs: map[string]*Run[A]{}}
}

// Can reports whether the worker can run a function, and FunctionCount how many it can run.
func (w *Worker[A]) Can(function string) bool { _, ok := w.functions[function]; return ok }
func (w *Worker[A]) FunctionCount() int       { return len(w.functions) }

// FunctionNames returns the functions that the worker can run, sorted.
func (w *Worker[A]) FunctionNames() []string {
	names := make([]string, 0, len(w.functions))
	for f := range w.functions {
		names = append(names, f)
	}
	slices.Sort(names)
	return names
}

// Running returns the number of jobs that the worker runs.
func (w *Worker[A]) Running() int { return len(w.runs) }

// Available reports whether the worker may be picked: it is ready, can run something, is not unresponsive, and does not
// run a job that has been abandoned.
func (w *Worker[A]) Available() bool {
	if !w.ready || w.unresponsive || len(w.functions) == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.Abandoned {
			return false
		}
	}
	return true
}

// CanDo adds a function, or changes its time limit.
func (w *Worker[A]) CanDo(function string, limit time.Duration) { w.functions[function] = limit }

// CantDo removes a function, or all of them for "". It returns the picks for it, which have never run. Running jobs
// continue.
func (w *Worker[A]) CantDo(function string) (notRun []A) {
	if function == "" {
		clear(w.functions)
	} else {
		delete(w.functions, function)
	}
	w.picks = slices.DeleteFunc(w.picks, func(p pick[A]) bool {
		if w.Can(p.function) {
			return false
		}
		notRun = append(notRun, p.attempt)
		return true
	})
	return notRun
}

// Pick records that an attempt is meant for this worker, and returns whether the worker has to be woken. It returns ok
// false if the worker cannot run the function.
func (w *Worker[A]) Pick(now time.Duration, a A, function string) (wake, ok bool) {
	if !w.Can(function) {
		return false, false
	}
	w.picks = append(w.picks, pick[A]{a, function, now})
	wake, w.asleep = w.asleep, false
	return wake, true
}

// Unpick takes a pick back. It returns false if the attempt was assigned or was never picked.
func (w *Worker[A]) Unpick(a A) bool {
	i := slices.IndexFunc(w.picks, func(p pick[A]) bool { return p.attempt == a })
	if i >= 0 {
		w.picks = slices.Delete(w.picks, i, i+1)
	}
	return i >= 0
}

// PreSleep processes PRE_SLEEP. Wake says that the worker has to be woken at once, since a pick waits for it.
func (w *Worker[A]) PreSleep(now time.Duration) (wake bool, failed []*Run[A]) {
	failed = w.markActive(now)
	if len(w.picks) > 0 {
		return true, failed
	}
	w.asleep = true
	return false, failed
}

// Grab processes GRAB_JOB: it removes and returns the next pick, with ok false if there is none.
func (w *Worker[A]) Grab(now time.Duration) (a A, ok bool, failed []*Run[A]) {
	failed = w.markActive(now)
	w.asleep = false
	if len(w.picks) == 0 {
		w.freeAt = now
		return a, false, failed
	}
	a = w.picks[0].attempt
	w.picks = slices.Delete(w.picks, 0, 1)
	return a, true, failed
}

// markActive records that the worker responds, and ends the runs for which it reported an exception: it has moved on,
// and no WORK_FAIL is going to come.
func (w *Worker[A]) markActive(now time.Duration) (failed []*Run[A]) {
	w.ready, w.unresponsive = true, false
	for h, r := range w.runs {
		if r.ExceptionReported {
			failed = append(failed, r)
			w.end(now, h)
		}
	}
	return failed
}

// Assign records that a job is sent to the worker.
func (w *Worker[A]) Assign(now time.Duration, a A, handle, function string) *Run[A] {
	r := &Run[A]{Attempt: a, Handle: handle, Function: function}
	if limit := w.functions[function]; limit > 0 {
		r.Deadline = now + limit
	}
	w.runs[handle] = r
	return r
}

// Run returns the running job of a handle, or nil if the worker never had it or has ended it.
func (w *Worker[A]) Run(handle string) *Run[A] { return w.runs[handle] }

// End processes WORK_COMPLETE or WORK_FAIL.
func (w *Worker[A]) End(now time.Duration, handle string) { w.end(now, handle) }

func (w *Worker[A]) end(now time.Duration, handle string) {
	delete(w.runs, handle)
	w.freeAt = now
}

// Tick checks the time-outs. Late are picks that the worker did not request although it is free: they have never run,
// and the worker is unresponsive. Overdue are jobs past their deadline, which the worker still runs.
func (w *Worker[A]) Tick(now time.Duration) (late []A, overdue []*Run[A]) {
	for _, r := range w.runs {
		if r.Deadline > 0 && now >= r.Deadline && !r.Abandoned {
			r.Abandoned = true
			overdue = append(overdue, r)
		}
	}
	if len(w.runs) > 0 || len(w.picks) == 0 || now-max(w.picks[0].pickedAt, w.freeAt) < w.GrabTimeout {
		return nil, overdue
	}
	for _, p := range w.picks {
		late = append(late, p.attempt)
	}
	w.picks, w.unresponsive = nil, true
	return late, overdue
}

// Close records that the connection has ended: picks have never run, and running jobs, including abandoned ones, may
// have run.
func (w *Worker[A]) Close() (notRun []A, running []*Run[A]) {
	for _, p := range w.picks {
		notRun = append(notRun, p.attempt)
	}
	for _, r := range w.runs {
		running = append(running, r)
	}
	w.picks = nil
	clear(w.runs)
	clear(w.functions)
	return notRun, running
}
