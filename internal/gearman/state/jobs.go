// Package state holds the two state machines of the Gearman server: the jobs that clients wait for, and the workers.
// Events are passed in with the time at which they happened, and the actions to take are returned; there is no I/O, no
// clock and no goroutine. Neither is safe for concurrent use.
package state

import (
	"errors"
	"slices"
	"strconv"
	"time"
)

// Conn identifies a connection.
type Conn uint64

// Job is one job of a Gearman client.
type Job struct {
	Handle, Function, Unique string
	Background               bool
	Priority                 int // 0 normal, 1 high, 2 low
	Running                  bool
	Numerator, Denominator   string // of the last WORK_STATUS
	Data                     any    // owned by the caller

	number  uint64
	clients []Conn // one entry for each waiting submission; a connection may have several
}

// Clients returns the connections that wait for the job, one entry for each submission.
func (j *Job) Clients() []Conn { return j.clients }

// EndedJob is a background job that has ended.
type EndedJob struct {
	Handle, Function, Unique string
	Served                   bool
	Numerator, Denominator   string
	At                       time.Duration
}

// Limits bound what is kept.
type Limits struct {
	MaxOpen        int           // open jobs
	MaxPerConn     int           // submissions that one connection waits for
	MaxEnded       int           // ended background jobs
	EndedRetention time.Duration // how long they are kept
}

// Reasons why a job is rejected.
var (
	ErrTooManyOpen    = errors.New("too many open jobs")
	ErrTooManyPerConn = errors.New("too many open jobs on this connection")
	ErrQueueFull      = errors.New("too many jobs wait for this function")
)

// Count is the number of open jobs of a function.
type Count struct {
	Waiting [3]int // by priority
	Running int
}

type key struct{ function, unique string }

// Jobs holds all open jobs, and for a while the background jobs that have ended.
type Jobs struct {
	Limits
	byHandle      map[string]*Job
	byUnique      map[key]*Job
	counts        map[string]*Count
	waitingByConn map[Conn]int
	last          uint64
	ended         []EndedJob // oldest first
}

// NewJobs returns an empty table.
func NewJobs(b Limits) *Jobs {
	return &Jobs{Limits: b, byHandle: map[string]*Job{}, byUnique: map[key]*Job{}, counts: map[string]*Count{}, waitingByConn: map[Conn]int{}}
}

// Len returns the number of open jobs.
func (s *Jobs) Len() int { return len(s.byHandle) }

// Submit adds a job. If a job of the same function and unique id is open, the client is attached to that one, fresh is
// false and the rest of the new job is ignored; an empty unique id matches no other. The handle function is called only
// for a fresh job. No client waits for a background job.
func (s *Jobs) Submit(c Conn, j Job, maxWaiting int, handle func(number uint64) string) (job *Job, fresh bool, err error) {
	if !j.Background && s.waitingByConn[c] >= s.MaxPerConn {
		return nil, false, ErrTooManyPerConn
	}
	if j.Unique != "" {
		if old := s.byUnique[key{j.Function, j.Unique}]; old != nil {
			if !j.Background {
				old.clients = append(old.clients, c)
				s.waitingByConn[c]++
			}
			return old, false, nil
		}
	}
	count := s.count(j.Function)
	switch {
	case len(s.byHandle) >= s.MaxOpen:
		return nil, false, ErrTooManyOpen
	case maxWaiting > 0 && count.Waiting[0]+count.Waiting[1]+count.Waiting[2] >= maxWaiting:
		return nil, false, ErrQueueFull
	}
	s.last++
	job = &j
	job.number, job.clients, job.Running, job.Numerator, job.Denominator = s.last, nil, false, "", ""
	job.Handle = handle(s.last)
	if !j.Background {
		job.clients = append(job.clients, c)
		s.waitingByConn[c]++
	}
	s.byHandle[job.Handle] = job
	if job.Unique != "" {
		s.byUnique[key{job.Function, job.Unique}] = job
	}
	count.Waiting[job.Priority%3]++
	return job, true, nil
}

func (s *Jobs) count(function string) *Count {
	c := s.counts[function]
	if c == nil {
		c = &Count{}
		s.counts[function] = c
	}
	return c
}

// Count returns the number of open jobs of a function.
func (s *Jobs) Count(function string) Count {
	if c := s.counts[function]; c != nil {
		return *c
	}
	return Count{}
}

// Find returns an open job by its handle, or nil.
func (s *Jobs) Find(handle string) *Job { return s.byHandle[handle] }

// open reports whether a job is still open.
func (s *Jobs) open(j *Job) bool { return s.byHandle[j.Handle] == j }

// SetRunning records that a job runs, or that it no longer runs although it has not ended: it may be started again.
func (s *Jobs) SetRunning(j *Job, running bool) {
	if !s.open(j) || j.Running == running {
		return
	}
	d := 1
	if !running {
		d = -1
	}
	j.Running = running
	c := s.count(j.Function)
	c.Running += d
	c.Waiting[j.Priority%3] -= d
}

// End removes a job and returns the clients to notify. It returns false if the job had already ended.
func (s *Jobs) End(now time.Duration, j *Job, served bool) (clients []Conn, ok bool) {
	if !s.open(j) {
		return nil, false
	}
	s.remove(j)
	for _, c := range j.clients {
		s.releaseWait(c)
	}
	clients, j.clients = j.clients, nil
	if j.Background {
		e := EndedJob{j.Handle, j.Function, j.Unique, served, j.Numerator, j.Denominator, now}
		if served && e.Denominator == "" {
			e.Numerator, e.Denominator = "1", "1"
		}
		s.ended = append(s.ended, e)
		s.Expire(now)
	}
	return clients, true
}

func (s *Jobs) remove(j *Job) {
	s.SetRunning(j, false)
	c := s.count(j.Function)
	if c.Waiting[j.Priority%3]--; *c == (Count{}) {
		delete(s.counts, j.Function)
	}
	delete(s.byHandle, j.Handle)
	if k := (key{j.Function, j.Unique}); s.byUnique[k] == j {
		delete(s.byUnique, k)
	}
}

func (s *Jobs) releaseWait(c Conn) {
	if s.waitingByConn[c]--; s.waitingByConn[c] <= 0 {
		delete(s.waitingByConn, c)
	}
}

// Expire removes ended jobs that are past their retention or too many.
func (s *Jobs) Expire(now time.Duration) {
	n := max(0, len(s.ended)-s.MaxEnded)
	for n < len(s.ended) && now-s.ended[n].At > s.EndedRetention {
		n++
	}
	if n > 0 {
		s.ended = slices.Delete(s.ended, 0, n)
	}
}

// Disconnect records that a connection has ended. Jobs without remaining clients are removed and returned; background
// jobs and jobs that other clients wait for continue.
func (s *Jobs) Disconnect(c Conn) (abandoned []*Job) {
	if s.waitingByConn[c] == 0 {
		return nil
	}
	for _, j := range s.byHandle {
		if !slices.Contains(j.clients, c) {
			continue
		}
		j.clients = slices.DeleteFunc(j.clients, func(d Conn) bool { return d == c })
		if len(j.clients) == 0 && !j.Background {
			abandoned = append(abandoned, j)
		}
	}
	delete(s.waitingByConn, c)
	slices.SortFunc(abandoned, byNumber)
	for _, j := range abandoned {
		s.remove(j)
	}
	return abandoned
}

// Status is the status of a job as clients can query it.
type Status struct {
	Known, Running         bool
	Numerator, Denominator string
	Clients                int
}

// Status returns the status of an open or ended job by its handle.
func (s *Jobs) Status(now time.Duration, handle string) Status {
	if j := s.byHandle[handle]; j != nil {
		return status(j)
	}
	s.Expire(now)
	return s.endedStatus(func(e *EndedJob) bool { return e.Handle == handle })
}

// StatusUnique returns the status of a job by its unique id; of the newest if several functions have a job of that id.
func (s *Jobs) StatusUnique(now time.Duration, unique string) Status {
	var found *Job
	for k, j := range s.byUnique {
		if k.unique == unique && (found == nil || found.number < j.number) {
			found = j
		}
	}
	if found != nil {
		return status(found)
	}
	s.Expire(now)
	return s.endedStatus(func(e *EndedJob) bool { return unique != "" && e.Unique == unique })
}

func status(j *Job) Status {
	return Status{Known: true, Running: j.Running, Numerator: orZero(j.Numerator), Denominator: orZero(j.Denominator), Clients: len(j.clients)}
}

func (s *Jobs) endedStatus(match func(*EndedJob) bool) Status {
	for i := len(s.ended) - 1; i >= 0; i-- {
		if e := &s.ended[i]; match(e) {
			return Status{Known: true, Numerator: orZero(e.Numerator), Denominator: orZero(e.Denominator)}
		}
	}
	return Status{Numerator: "0", Denominator: "0"}
}

func orZero(s string) string {
	if s == "" {
		return "0"
	}
	return s
}

// Progress records a WORK_STATUS. A value that is not a number counts as 0.
func (s *Jobs) Progress(j *Job, num, den string) {
	number := func(t string) string {
		if _, err := strconv.ParseFloat(t, 64); err != nil {
			return "0"
		}
		return t
	}
	j.Numerator, j.Denominator = number(num), number(den)
}

// All returns the open jobs, oldest first.
func (s *Jobs) All() []*Job {
	all := make([]*Job, 0, len(s.byHandle))
	for _, j := range s.byHandle {
		all = append(all, j)
	}
	slices.SortFunc(all, byNumber)
	return all
}

func byNumber(a, b *Job) int { return int(int64(a.number) - int64(b.number)) }
