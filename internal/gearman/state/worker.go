package state

import (
	"slices"
	"time"
)

// Worker is what is known of one worker's connection. A names an attempt.
//
// A worker pulls: it sleeps (PRE_SLEEP) until it is woken (NOOP), and then asks for a job (GRAB_JOB). The decision module
// pushes: it picks a worker. They meet here: a pick waits until the worker asks, and a worker that asks gets what was picked
// for it or nothing. Until the job is assigned, the pick has provably never run.
//
//	         PRE_SLEEP                  pick: wake
//	awake ──────────────────▶ asleep ───────────────▶ awake, a pick waits
//	  ▲   NO_JOB ◀── GRAB_JOB, no pick                    │ GRAB_JOB: assign
//	  └──────────── WORK_COMPLETE, WORK_FAIL ◀── runs ◀───┘
//
// A worker that is picked while it runs something is not woken: it asks when it is done. One that is free and does not ask
// in time is silent: nobody is to send it anything until it says a word.
type Worker[A comparable] struct {
	GrabTimeout time.Duration // how long a free worker may take to ask for what is picked for it

	functions map[string]time.Duration // what it can do, and within what time; 0 for any
	ready     bool                     // it has slept or asked
	asleep    bool
	silent    bool
	picks     []pick[A]
	runs      map[string]*Run[A] // by handle
	freeAt    time.Duration      // when the last run ended, or it was last awake for nothing
}

type pick[A comparable] struct {
	a        A
	function string
	at       time.Duration
}

// Run is a job that was assigned.
type Run[A comparable] struct {
	Attempt           A
	Handle            string
	Function          string
	Deadline          time.Duration // of CAN_DO_TIMEOUT; 0: none
	Abandoned         bool          // nobody waits for its end any more, but the worker is still at it
	ExceptionReported bool          // it has told of an exception, and a WORK_FAIL is to come
}

// NewWorker returns a worker that has said nothing yet.
func NewWorker[A comparable](grab time.Duration) *Worker[A] {
	return &Worker[A]{GrabTimeout: grab, functions: map[string]time.Duration{}, runs: map[string]*Run[A]{}}
}

// Can says whether the worker can do a function, and Functions how many it can.
func (w *Worker[A]) Can(function string) bool { _, ok := w.functions[function]; return ok }
func (w *Worker[A]) FunctionCount() int       { return len(w.functions) }

// FunctionNames are its functions in order.
func (w *Worker[A]) FunctionNames() []string {
	names := make([]string, 0, len(w.functions))
	for f := range w.functions {
		names = append(names, f)
	}
	slices.Sort(names)
	return names
}

// Running is how many jobs it is at.
func (w *Worker[A]) Running() int { return len(w.runs) }

// Available says whether the worker may be picked: it has said that it is there, can do something, is not silent, and is not
// still at a job that everybody else has given up.
func (w *Worker[A]) Available() bool {
	if !w.ready || w.silent || len(w.functions) == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.Abandoned {
			return false
		}
	}
	return true
}

// CanDo adds a function, or changes its time.
func (w *Worker[A]) CanDo(function string, within time.Duration) { w.functions[function] = within }

// CantDo takes a function away, or all of them where it is "". Picks for it have never run. Jobs that it is at go on.
func (w *Worker[A]) CantDo(function string) (never []A) {
	if function == "" {
		clear(w.functions)
	} else {
		delete(w.functions, function)
	}
	w.picks = slices.DeleteFunc(w.picks, func(p pick[A]) bool {
		if w.Can(p.function) {
			return false
		}
		never = append(never, p.a)
		return true
	})
	return never
}

// Pick notes that an attempt is for this worker, and says whether it is to be woken. False: it can't do that.
func (w *Worker[A]) Pick(now time.Duration, a A, function string) (wake, ok bool) {
	if !w.Can(function) {
		return false, false
	}
	w.picks = append(w.picks, pick[A]{a, function, now})
	wake, w.asleep = w.asleep, false
	return wake, true
}

// Unpick takes a pick back. False: it was assigned, or was never picked.
func (w *Worker[A]) Unpick(a A) bool {
	i := slices.IndexFunc(w.picks, func(p pick[A]) bool { return p.a == a })
	if i >= 0 {
		w.picks = slices.Delete(w.picks, i, i+1)
	}
	return i >= 0
}

// PreSleep is PRE_SLEEP. Wake says that it is to be woken at once, as something is picked for it.
func (w *Worker[A]) PreSleep(now time.Duration) (wake bool, failed []*Run[A]) {
	failed = w.said(now)
	if len(w.picks) > 0 {
		return true, failed
	}
	w.asleep = true
	return false, failed
}

// Grab is GRAB_JOB: it takes out the next pick. False: there is none.
func (w *Worker[A]) Grab(now time.Duration) (a A, ok bool, failed []*Run[A]) {
	failed = w.said(now)
	w.asleep = false
	if len(w.picks) == 0 {
		w.freeAt = now
		return a, false, failed
	}
	a = w.picks[0].a
	w.picks = slices.Delete(w.picks, 0, 1)
	return a, true, failed
}

// said notes that the worker is there and done with what it has told an exception of: a WORK_FAIL is not to come then.
func (w *Worker[A]) said(now time.Duration) (failed []*Run[A]) {
	w.ready, w.silent = true, false
	for h, r := range w.runs {
		if r.ExceptionReported {
			failed = append(failed, r)
			w.end(now, h)
		}
	}
	return failed
}

// Assign notes that a job is written to the worker.
func (w *Worker[A]) Assign(now time.Duration, a A, handle, function string) *Run[A] {
	r := &Run[A]{Attempt: a, Handle: handle, Function: function}
	if within := w.functions[function]; within > 0 {
		r.Deadline = now + within
	}
	w.runs[handle] = r
	return r
}

// Run is the job of a handle that the worker is at, or nil: it never had it, or has ended it.
func (w *Worker[A]) Run(handle string) *Run[A] { return w.runs[handle] }

// End is WORK_COMPLETE or WORK_FAIL.
func (w *Worker[A]) End(now time.Duration, handle string) { w.end(now, handle) }

func (w *Worker[A]) end(now time.Duration, handle string) {
	delete(w.runs, handle)
	w.freeAt = now
}

// Tick looks at the time. Late are picks that the worker, though free, has not asked for: they have never run, and it is
// silent. Overdue are jobs that are over their time; the worker is at them still.
func (w *Worker[A]) Tick(now time.Duration) (late []A, overdue []*Run[A]) {
	for _, r := range w.runs {
		if r.Deadline > 0 && now >= r.Deadline && !r.Abandoned {
			r.Abandoned = true
			overdue = append(overdue, r)
		}
	}
	if len(w.runs) > 0 || len(w.picks) == 0 || now-max(w.picks[0].at, w.freeAt) < w.GrabTimeout {
		return nil, overdue
	}
	for _, p := range w.picks {
		late = append(late, p.a)
	}
	w.picks, w.silent = nil, true
	return late, overdue
}

// Close notes that the connection has ended: what was picked has never run, what it was at may have. Lost holds what is
// over as well.
func (w *Worker[A]) Close() (never []A, lost []*Run[A]) {
	for _, p := range w.picks {
		never = append(never, p.a)
	}
	for _, r := range w.runs {
		lost = append(lost, r)
	}
	w.picks = nil
	clear(w.runs)
	clear(w.functions)
	return never, lost
}
