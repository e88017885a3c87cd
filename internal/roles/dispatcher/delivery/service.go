package delivery

import (
	"time"

	"liftgauge/balance"
	"liftgauge/internal/protocol"
)

const (
	maxWorkersPerJob   = 4   // workers that a message is offered to before it is returned to its store
	crossZoneFee       = 0.1 // for balance: any fee makes it prefer the local zone
	defaultTargetStart = time.Second
	// maxProbeInterval limits the pause between two probes of an unreachable worker: the workers of a service tend to recover together.
	maxProbeInterval = time.Second
)

// job is a Job in progress. It is owned by the loop.
type job struct {
	Job
	id            balance.JobID
	attempts      int // sent so far
	inFlight      bool
	expired       bool // not to be sent again
	ended         bool
	lastResult    Result // to report if no worker runs it
	received      time.Time
	tokenDeadline time.Duration
}

// service sends the messages of one service. It is owned by the loop, and carries out what its balance.Dispatcher decides.
type service struct {
	Service
	engine         *Engine
	balance        *balance.Dispatcher
	client         *client
	allowed        allowlist
	workers        map[balance.WorkerID]*worker
	workerIDs      *workerIDs
	listed         []protocol.Worker
	applied        State // the state of the last update, without its slices
	wrongInstances map[string]bool
	jobs           map[balance.JobID]*job
	pacer          *pacer // nil without a rate
	queue          []*job // waiting for a token
	queueTimer     bool
	updated        bool
	removed        bool
}

func newService(e *Engine, settings Service) *service {
	s := &service{Service: settings, engine: e, client: newClient(e.options.Dial, e.options.Logger), workers: map[balance.WorkerID]*worker{},
		workerIDs: newWorkerIDs(), wrongInstances: map[string]bool{}, jobs: map[balance.JobID]*job{}}
	targetStart := settings.TargetStart
	if targetStart <= 0 {
		targetStart = defaultTargetStart
	}
	s.balance = balance.New(balance.Settings{
		// The target is for the start of a run; the duration of the run itself is added.
		Classes: []balance.Class{{TargetLatency: targetStart, RuntimeFactor: 1, Value: 1, LateValue: 1, Limit: placementTimeout, Effect: balance.Unsafe, Kind: -1}},
		Number:  e.state.Number, Dispatchers: e.state.Dispatchers, Zone: e.zone, Zones: len(e.options.Zones),
		MaxAttempts: maxWorkersPerJob, ConnectTimeout: ConnectTimeout, CanProbe: settings.HealthCheckPath != "",
		MaxRetryAfter: time.Second, MaxExclusion: maxProbeInterval, CrossZoneFee: crossZoneFee, FreeSlots: -1, FreeMemory: -1,
	}, e.options.Seed, s)
	s.balance.Start(e.loop.now())
	return s
}

// update applies a new state of the system.
func (s *service) update(settings Service, listed []protocol.Worker, state *State) {
	now := s.engine.loop.now()
	next := State{ListVersion: state.ListVersion, Number: state.Number, Dispatchers: state.Dispatchers, InZone: state.InZone}
	if s.updated && s.Service == settings && s.applied.sameExceptSlices(&next) {
		return
	}
	if s.applied.ListVersion != next.ListVersion {
		clear(s.wrongInstances)
	}
	if !s.updated || s.applied.Number != next.Number || s.applied.Dispatchers != next.Dispatchers || s.applied.InZone != next.InZone {
		s.setDispatchers(now, &next, settings.Owners)
	}
	s.Service, s.listed, s.applied, s.updated = settings, listed, next, true
	switch {
	case !s.rateLimited():
		s.pacer = nil
	case s.pacer == nil:
		s.pacer = newPacer(now, s.rateShare())
	case s.pacer.rate != s.rateShare():
		s.pacer.setRate(now, s.rateShare())
	}
	s.client.setLimit(adjustLimit(&s.Service, s.client.currentLimit(), listed, state.Dispatchers))
	s.refreshWorkers()
	s.serveQueue()
}

// setDispatchers passes the dispatchers that send to the service to balance.
func (s *service) setDispatchers(now time.Duration, state *State, owners int) {
	number, all, inZone := state.Number, max(1, state.Dispatchers), max(1, state.InZone)
	if owners > 0 {
		all = min(all, owners)
		number, inZone = number%all, min(inZone, all)
	}
	s.balance.SetDispatchers(now, number, all, inZone)
}

// refreshWorkers passes the current workers to balance and to the attempts in progress.
func (s *service) refreshWorkers() {
	now := s.engine.loop.now()
	b := workerBuilder{service: &s.Service, listed: s.listed, dispatchers: s.engine.state.Dispatchers, localZone: s.engine.zone,
		zones: s.engine.zones, ids: s.workerIDs, wrongInstances: s.wrongInstances}
	if s.removed {
		b.listed, b.service = nil, &Service{}
	}
	s.workers = b.build()
	s.allowed.set(s.workers) // before anything is sent according to the new list
	s.balance.List(now, balance.ListFull, entriesOf(s.workers))
}

// start starts a job.
func (s *service) start(j *job) {
	if s.pacer == nil {
		s.offer(j)
		return
	}
	j.tokenDeadline = s.engine.loop.now() + tokenTimeout
	s.queue = append(s.queue, j)
	s.serveQueue()
}

// offer passes the job to balance, which finds a worker.
func (s *service) offer(j *job) {
	s.engine.lastJob++
	j.id = s.engine.lastJob
	j.lastResult = Result{Outcome: protocol.OutcomeNotRun, Pause: pauseFull}
	s.jobs[j.id] = j
	s.balance.Job(s.engine.loop.now(), balance.Job{ID: j.id, Left: placementTimeout, Slots: 1})
}

// returnWaiting returns all waiting messages to their stores.
func (s *service) returnWaiting(pause time.Duration) {
	result := Result{Outcome: protocol.OutcomeNotRun, Pause: pause}
	queue := s.queue
	s.queue = nil
	for _, j := range queue {
		s.finish(j, result)
	}
	for _, j := range s.jobs {
		j.expired = true
		if !j.inFlight {
			s.balance.Release(s.engine.loop.now(), j.id)
			s.finish(j, result)
		}
	}
}

// finish reports the end of a job.
func (s *service) finish(j *job, r Result) {
	if j.ended {
		return
	}
	j.ended = true
	delete(s.jobs, j.id)
	j.Done(r)
}
