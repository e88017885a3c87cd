package sim

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"liftgauge/balance"
)

// perSecond counts what happens in the present second.
type perSecond struct {
	second time.Duration
	n      int
}

// count counts one more, and returns how many there were in this second.
func (p *perSecond) count(now time.Duration) int {
	if s := now / time.Second; s != p.second {
		p.second, p.n = s, 0
	}
	p.n++
	return p.n
}

// End is how a client's job ended, its retries folded into its first try.
type End uint8

// The ends.
const (
	Served End = iota
	Refused
	Failed
	Lost // no answer: the dispatcher died, or the client's patience ended first
)

// ClassResult is what became of a class's jobs. Times are of jobs that were served, from the client's first try on.
type ClassResult struct {
	Offered, InTime, Late, Refused, Failed, Lost int64
	Worth                                        float64 // earned over asked for, each job alike
	Asked, Earned                                float64
	Latency                                      *hdrhistogram.Histogram
}

// BoxResult is what became of a box.
type BoxResult struct {
	Name                 string
	Station, Kind        int
	Sent, Served, Turned int64
	Falls, Longest       int
	Wasted               float64 // seconds of work at speed 1 that nobody waited for
	Utilisation          float64 // of its cores, over the run
}

// Window is a stretch of the run, by when jobs were first sent.
type Window struct {
	From          time.Duration
	Offered       int64
	Asked, Earned float64
	ByStation     []StationWindow
}

// TenantResult is what became of what a tenant asked for within its share.
type TenantResult struct {
	Name          string
	Asked, Earned float64
}

// StationWindow is the part of a window that a station's clients sent.
type StationWindow struct{ Asked, Earned float64 }

// ZoneSecond is what the boxes and dispatchers of a station did in a second.
type ZoneSecond struct {
	Sent    int64   // attempts that came to its boxes
	Waited  int64   // of these, those that did not begin within 0.2 s
	Left    int64   // attempts that its dispatchers sent to other stations
	Running float64 // jobs that ran at its boxes, in the mean over the second
}

// Result is what a run shows.
type Result struct {
	Classes     []ClassResult
	Boxes       []BoxResult
	Tenants     []TenantResult
	G           float64 // the day's figure by World.Goal: its parts, less what is taken off
	Wasted      float64 // work that nobody got an answer of, over that asked for
	Windows     []Window
	Zones       [][]ZoneSecond // by second and station
	Service     float64        // worth answered in time over worth asked for
	Worst       float64        // the same of the worst window that was offered a fair part of the mean
	Tries       int64          // of clients, first ones with them
	Attempts    int64          // of dispatchers
	Again       int64          // of these, beyond a job's first
	Crossings   int64          // of these, to another station
	Connections int64
	Probes      int64
	Lists       int64 // calls at discovery
	ListsLate   int64 // of these, failed as they would have waited too long
	// Unlisted is the longest time from a dispatcher's start to its first list, of those that got one.
	Unlisted time.Duration
	// The most in any second of the run: calls at discovery, and probes and new connections at one box.
	MostLists, MostProbes, MostConnects int
	Falls                               int   // boxes pushed over
	Breaches                            int   // of these, where two thirds of the work came from dispatchers that knew of the start
	Duplicates                          int64 // runs of jobs that must not run twice, beyond the first
	Margin                              float64
	Events                              int64
	Ended                               time.Duration // when the last job ended

	stations             int
	askedWork, lateWorth float64 // asked for, in seconds; worth that ended served and late
}

func newResult(w *World) *Result {
	r := &Result{Margin: 1, stations: w.Stations}
	for range w.Classes {
		r.Classes = append(r.Classes, ClassResult{Latency: hdrhistogram.New(1, 120_000_000, 3)})
	}
	for _, t := range w.Tenants {
		r.Tenants = append(r.Tenants, TenantResult{Name: t.Name})
	}
	return r
}

// zone is a station's count for a second.
func (r *Result) zoneSecond(at time.Duration, station int) *ZoneSecond {
	for len(r.Zones) <= int(at/time.Second) {
		r.Zones = append(r.Zones, make([]ZoneSecond, r.stations))
	}
	return &r.Zones[at/time.Second][station]
}

// worth is what a job is worth.
func (w *World) worth(a *Arrival) float64 {
	worth := w.Classes[a.Class].Value
	if w.ValuePerWork {
		worth *= a.Work
	}
	if a.OverQuota {
		worth *= w.Goal.OverShare
	}
	return worth
}

// span is the time of the arrivals.
func (w *World) span() time.Duration {
	if n := len(w.Arrivals); n > 0 {
		return max(w.Arrivals[n-1].At, time.Second)
	}
	return time.Second
}

func (w *World) window() time.Duration {
	if w.Window > 0 {
		return w.Window
	}
	return 10 * time.Second
}

// arrive has a client send a job for the first time.
func (r *run) arrive(n int) {
	a := &r.Arrivals[n]
	if r.mutedClients[a.Station] > 0 {
		return
	}
	c := &r.result.Classes[a.Class]
	c.Offered++
	w := r.windowOf(a.At)
	w.Offered++
	worth := r.worth(a)
	w.Asked += worth
	w.ByStation[a.Station].Asked += worth
	c.Asked += worth
	r.result.askedWork += a.Work
	if a.Tenant < len(r.result.Tenants) && !a.OverQuota {
		r.result.Tenants[a.Tenant].Asked += worth
	}
	r.openJobs++
	r.send(&job{arrival: n, class: a.Class, work: a.Work, deadline: r.tryDeadline(a)})
}

// patience is until when a client waits for a try that it sends now.
func (r *run) tryDeadline(a *Arrival) time.Duration {
	end := a.At + a.Timeout
	if r.Retry.TryTimeout > 0 {
		end = min(end, r.now+r.Retry.TryTimeout)
	}
	return end
}

func (r *run) windowOf(at time.Duration) *Window {
	i := int(at / r.window())
	for len(r.result.Windows) <= i {
		r.result.Windows = append(r.result.Windows, Window{From: time.Duration(len(r.result.Windows)) * r.window(),
			ByStation: make([]StationWindow, r.Stations)})
	}
	return &r.result.Windows[i]
}

// send has a client send a try to a dispatcher of its station, or of any where its own has none.
func (r *run) send(j *job) {
	station := r.Arrivals[j.arrival].Station
	r.result.Tries++
	j.sent = r.now
	var near, far []*dispatcher
	for _, d := range r.dispatchers {
		switch {
		case d.dead, d.shuttingDown:
		case d.station == station:
			near = append(near, d)
		default:
			far = append(far, d)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		r.after(0, func() { r.tryEnded(j, Lost, 0) })
		return
	}
	d := r.pickDispatcher(station, near)
	delay, ok := r.delay(station, d.station)
	if !ok {
		r.at(j.deadline, func() { r.tryEnded(j, Lost, 0) })
		return
	}
	r.after(delay, func() { d.receive(j) })
}

// deal picks the dispatcher for a station's next job: in turn, or by their shares.
func (r *run) pickDispatcher(station int, candidates []*dispatcher) *dispatcher {
	if r.Shares == nil {
		r.nextDispatcher[station]++
		return candidates[r.nextDispatcher[station]%len(candidates)]
	}
	sum := 0.0
	for _, d := range candidates {
		sum += r.Shares[d.number]
	}
	x := r.front.Float64() * sum
	for _, d := range candidates {
		if x -= r.Shares[d.number]; x < 0 {
			return d
		}
	}
	return candidates[len(candidates)-1]
}

// ended is the end of a try. The client tries again if that may help and do no harm.
func (r *run) tryEnded(j *job, end End, wait time.Duration) {
	a := &r.Arrivals[j.arrival]
	class := &r.Classes[j.class]
	if end != Served && j.previousTries < r.Retry.MaxRetries && (end == Refused || class.Effect != balance.Unsafe) {
		pause := r.Retry.Pause << j.previousTries
		if r.Retry.HonorsRetryAfter && end == Refused {
			pause = max(pause, wait)
		}
		if r.now+pause < a.At+a.Timeout {
			next := &job{arrival: j.arrival, class: j.class, work: j.work, previousTries: j.previousTries + 1}
			r.after(pause, func() {
				next.deadline = r.tryDeadline(a)
				r.send(next)
			})
			return
		}
	}
	r.openJobs--
	r.result.Ended = r.now
	if r.OnJobEnd != nil {
		r.OnJobEnd(j.arrival, r.now, end)
	}
	c := &r.result.Classes[j.class]
	switch took := r.now - a.At; end {
	case Served:
		c.Latency.RecordValue(max(1, took.Microseconds()))
		worth := r.worth(a)
		if aim := class.TargetLatency + time.Duration(class.RuntimeFactor*a.Work*float64(time.Second)); took <= aim {
			c.InTime++
		} else {
			c.Late++
			worth *= class.LateValue
			r.result.lateWorth += r.worth(a)
		}
		c.Earned += worth
		if a.Tenant < len(r.result.Tenants) && !a.OverQuota {
			r.result.Tenants[a.Tenant].Earned += worth
		}
		w := r.windowOf(a.At)
		w.Earned += worth
		w.ByStation[a.Station].Earned += worth
	case Refused:
		c.Refused++
	case Failed:
		c.Failed++
	case Lost:
		c.Lost++
	}
}

// began counts a run of a job.
func (r *run) countRun(a *attempt) {
	n := &r.runCounts[a.job.arrival]
	if *n < math.MaxUint8 {
		*n++
	}
	if *n > 1 && r.Classes[a.job.class].Effect == balance.Unsafe {
		r.result.Duplicates++
	}
}

// finish works out what needs the whole run.
func (r *run) finish() {
	res := r.result
	asked, earned := 0.0, 0.0
	for _, w := range res.Windows {
		asked += w.Asked
		earned += w.Earned
	}
	res.Service, res.Worst = 1, 1
	if asked > 0 {
		res.Service = earned / asked
	}
	fair := asked / float64(max(len(res.Windows), 1)) / 2
	for _, w := range res.Windows {
		if w.Asked > 0 && w.Asked >= fair {
			res.Worst = min(res.Worst, w.Earned/w.Asked)
		}
	}
	share := func(earned, asked float64) float64 {
		if asked <= 0 {
			return 1
		}
		return earned / asked
	}
	class, tenant, waste := 1.0, 1.0, 0.0
	for _, c := range res.Classes {
		class = min(class, share(c.Earned, c.Asked))
	}
	for _, t := range res.Tenants {
		tenant = min(tenant, share(t.Earned, t.Asked))
	}
	for _, b := range res.Boxes {
		waste += b.Wasted
	}
	g, first := &r.Goal, float64(max(r.arrived, 1))
	res.Wasted = waste / max(res.askedWork, 1e-9)
	res.G = g.Whole*res.Service + g.Window*res.Worst + g.Class*class + g.Tenant*tenant -
		g.Cross*float64(res.Crossings)/first - g.Waste*res.Wasted - g.Late*res.lateWorth/max(asked, 1e-9) -
		g.Probe*float64(res.Probes)/first - g.Connection*float64(res.Connections)/first
	for i := range res.Classes {
		c := &res.Classes[i]
		if c.Worth = 1; c.Offered > 0 {
			c.Worth = (float64(c.InTime) + r.Classes[i].LateValue*float64(c.Late)) / float64(c.Offered)
		}
	}
	for i, b := range r.boxes {
		b.advance()
		out := &res.Boxes[i]
		out.Utilisation = b.busy / float64(b.kind.Cores) / max(r.now, r.span()).Seconds()
	}
}

// fault has something go wrong.
func (r *run) fault(f Fault) {
	each := func(station int, do func(b *box)) {
		for _, b := range r.boxes {
			if b.Station == station {
				do(b)
			}
		}
	}
	switch f.Effect {
	case BoxCrash:
		r.boxes[f.Target].terminate(false, f.For)
	case BoxVanishes:
		r.boxes[f.Target].terminate(true, f.For)
	case BoxDrains:
		r.boxes[f.Target].drain(f.For)
	case BoxesSlow:
		r.scaleSpeed(f.Factor)
		r.after(f.For, func() { r.scaleSpeed(1 / f.Factor) })
	case StationBoxes:
		each(f.Target, func(b *box) { b.terminate(true, f.For) })
	case StationClients:
		r.mutedClients[f.Target]++
		r.after(f.For, func() { r.mutedClients[f.Target]-- })
	case StationPartition:
		r.partitioned[f.Target]++
		r.after(f.For, func() { r.partitioned[f.Target]-- })
	case DispatcherCrash:
		r.dispatchers[f.Target].crash(f.For)
	case DispatcherShutdown:
		r.dispatchers[f.Target].shutDown(f.For)
	case BoxStalls:
		r.boxes[f.Target].stall(f.For)
	case BoxPartition:
		r.boxes[f.Target].partition(f.For)
	case DiscoveryMoves:
		for _, d := range r.dispatchers {
			incarnation := d.incarnation
			r.after(time.Duration(r.network.Float64()*float64(time.Second)), func() {
				if !d.dead && d.incarnation == incarnation {
					d.Watch()
				}
			})
		}
	case ListsDelayed:
		r.lagFactor *= f.Factor
		r.after(f.For, func() { r.lagFactor /= f.Factor })
	case ConnectionResets:
		r.resetShare += f.Factor
		r.after(f.For, func() { r.resetShare = max(0, r.resetShare-f.Factor) })
	case RepliesLost:
		r.lostReplyShare += f.Factor
		r.after(f.For, func() { r.lostReplyShare = max(0, r.lostReplyShare-f.Factor) })
	}
}

// pace changes the speed of all boxes.
func (r *run) scaleSpeed(factor float64) {
	for _, b := range r.boxes {
		b.advance()
	}
	r.speedFactor *= factor
	for _, b := range r.boxes {
		b.scheduleCompletion()
	}
}
