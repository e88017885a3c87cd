package delivery

import (
	"time"

	"liftgauge/balance"
	"liftgauge/internal/protocol"
)

const (
	attemptsElsewhere = 4   // workers that a message is offered to before it is given back
	foreignZoneFee    = 0.1 // for balance: any fee makes it prefer the own zone
	usualAim          = time.Second
	// longestOut bounds the pause between two probes of a worker that cannot be reached: a service comes back as one.
	longestOut = time.Second
)

// job is a Job under way. It is owned by the loop.
type job struct {
	Job
	id       balance.JobID
	attempts int // sent so far
	out      bool
	expired  bool // not to be sent again
	ended    bool
	last     Result // why it was not run
	taken    time.Time
	until    time.Duration
}

// service sends the messages of one service. It is owned by the loop, and carries out what its balance.Dispatcher decides.
type service struct {
	Service
	engine     *Engine
	balance    *balance.Dispatcher
	client     *client
	roster     roster
	workers    map[balance.WorkerID]*worker
	numbers    *numbering
	listed     []protocol.Worker
	seen       State // without its slices: what update went by
	strangers  map[string]bool
	jobs       map[balance.JobID]*job
	pacer      *pacer // nil without a rate
	queue      []*job // in wait for a token
	queueTimer bool
	updated    bool
	removed    bool
}

func newService(e *Engine, settings Service) *service {
	s := &service{Service: settings, engine: e, client: newClient(e.options.Dial), workers: map[balance.WorkerID]*worker{},
		numbers: newNumbering(), strangers: map[string]bool{}, jobs: map[balance.JobID]*job{}}
	aim := settings.Aim
	if aim <= 0 {
		aim = usualAim
	}
	s.balance = balance.New(balance.Settings{
		// The aim is for the start of a run; what the run itself takes is added.
		Classes: []balance.Class{{TargetLatency: aim, RuntimeFactor: 1, Value: 1, LateValue: 1, Limit: placeWithin, Effect: balance.Unsafe, Kind: -1}},
		Number:  e.state.Number, Dispatchers: e.state.Dispatchers, Zone: e.zone, Zones: len(e.options.Zones),
		MaxAttempts: attemptsElsewhere, ConnectTimeout: ConnectTimeout, CanProbe: settings.HealthCheckPath != "",
		MaxRetryAfter: time.Second, MaxExclusion: longestOut, CrossZoneFee: foreignZoneFee, FreeSlots: -1, FreeMemory: -1,
	}, e.options.Seed, s)
	s.balance.Start(e.loop.now())
	return s
}

// update follows a new state of the system.
func (s *service) update(settings Service, listed []protocol.Worker, state *State) {
	now := s.engine.loop.now()
	seen := State{ListVersion: state.ListVersion, Number: state.Number, Dispatchers: state.Dispatchers, InZone: state.InZone}
	if s.updated && s.Service == settings && s.seen.same(&seen) {
		return
	}
	if s.seen.ListVersion != seen.ListVersion {
		clear(s.strangers)
	}
	if !s.updated || s.seen.Number != seen.Number || s.seen.Dispatchers != seen.Dispatchers || s.seen.InZone != seen.InZone {
		s.among(now, &seen, settings.Owners)
	}
	s.Service, s.listed, s.seen, s.updated = settings, listed, seen, true
	switch {
	case !s.paced():
		s.pacer = nil
	case s.pacer == nil:
		s.pacer = newPacer(now, s.share())
	case s.pacer.rate != s.share():
		s.pacer.setRate(now, s.share())
	}
	s.client.setLimit(keepLimit(&s.Service, s.client.present(), listed, state.Dispatchers))
	s.refresh()
	s.serveQueue()
}

// among tells balance of the dispatchers that send to the service.
func (s *service) among(now time.Duration, state *State, owners int) {
	number, all, near := state.Number, max(1, state.Dispatchers), max(1, state.InZone)
	if owners > 0 {
		all = min(all, owners)
		number, near = number%all, min(near, all)
	}
	s.balance.SetDispatchers(now, number, all, near)
}

// refresh gives the workers as they are now to balance and to the attempts under way.
func (s *service) refresh() {
	now := s.engine.loop.now()
	f := fleet{service: &s.Service, listed: s.listed, dispatchers: s.engine.state.Dispatchers, ownZone: s.engine.zone,
		zones: s.engine.zones, numbers: s.numbers, strangers: s.strangers}
	if s.removed {
		f.listed, f.service = nil, &Service{}
	}
	s.workers = f.workers()
	s.roster.set(s.workers) // before anything is sent by the new list
	s.balance.List(now, balance.ListFull, entriesOf(s.workers))
}

// take begins a job.
func (s *service) take(j *job) {
	if s.pacer == nil {
		s.offer(j)
		return
	}
	j.until = s.engine.loop.now() + tokenWithin
	s.queue = append(s.queue, j)
	s.serveQueue()
}

// offer has balance find a worker.
func (s *service) offer(j *job) {
	s.engine.lastJob++
	j.id = s.engine.lastJob
	j.last = Result{Outcome: protocol.OutcomeNotRun, Pause: pauseNoRoom}
	s.jobs[j.id] = j
	s.balance.Job(s.engine.loop.now(), balance.Job{ID: j.id, Left: placeWithin, Slots: 1})
}

// release gives back all that waits.
func (s *service) release(pause time.Duration) {
	back := Result{Outcome: protocol.OutcomeNotRun, Pause: pause}
	queue := s.queue
	s.queue = nil
	for _, j := range queue {
		s.finish(j, back)
	}
	for _, j := range s.jobs {
		j.expired = true
		if !j.out {
			s.balance.Release(s.engine.loop.now(), j.id)
			s.finish(j, back)
		}
	}
}

// finish tells the end of a job.
func (s *service) finish(j *job, r Result) {
	if j.ended {
		return
	}
	j.ended = true
	delete(s.jobs, j.id)
	j.Done(r)
}
