package sim

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"liftgauge/balance"
)

// perSecond counts events in the current second.
type perSecond struct {
	second time.Duration
	n      int
}

// count counts an event and returns the number of events in this second.
func (p *perSecond) count(now time.Duration) int {
	if s := now / time.Second; s != p.second {
		p.second, p.n = s, 0
	}
	p.n++
	return p.n
}

// End is how a client's job ended, its retries folded into its first try.
type End uint8

// The possible ends of a job.
const (
	Served End = iota
	Refused
	Failed
	Lost // no answer: the dispatcher crashed, or the client timed out first
)

// ClassResult is the outcome of a class's jobs. Latencies are of served jobs and start at the client's first try.
type ClassResult struct {
	Offered, InTime, Late, Refused, Failed, Lost int64
	Worth                                        float64 // earned value over offered value, all jobs counted equally
	Asked, Earned                                float64
	Latency                                      *hdrhistogram.Histogram
}

// BoxResult is the outcome of a box.
type BoxResult struct {
	Name                 string
	Station, Kind        int
	Sent, Served, Turned int64
	Falls, Longest       int
	Wasted               float64 // seconds of work at speed 1 whose result nobody waited for
	Utilisation          float64 // of its cores, over the run
}

// Window is an interval of the run; a job belongs to the window in which it was first sent.
type Window struct {
	From          time.Duration
	Offered       int64
	Asked, Earned float64
	ByStation     []StationWindow
}

// TenantResult is the outcome of the jobs that a tenant sent within its share.
type TenantResult struct {
	Name          string
	Asked, Earned float64
}

// StationWindow is the part of a window that came from a station's clients.
type StationWindow struct{ Asked, Earned float64 }

// ZoneSecond is the activity of a station's boxes and dispatchers in one second.
type ZoneSecond struct {
	Sent    int64   // attempts that arrived at its boxes
	Waited  int64   // those that did not start within 0.2 s
	Left    int64   // attempts that its dispatchers sent to other stations
	Running float64 // mean number of jobs running at its boxes
}

// Result is the result of a run.
type Result struct {
	Classes     []ClassResult
	Boxes       []BoxResult
	Tenants     []TenantResult
	G           float64 // the day's score by World.Goal: its weighted parts less the costs
	Wasted      float64 // work whose result nobody received, over offered work
	Windows     []Window
	Zones       [][]ZoneSecond // by second and station
	Service     float64        // value earned over value offered
	Worst       float64        // the same for the worst window that was offered at least half of the mean
	Tries       int64          // of clients, including first tries
	Attempts    int64          // attempts of dispatchers
	Again       int64          // attempts after a job's first
	Crossings   int64          // attempts sent to another station
	Connections int64
	Probes      int64
	Lists       int64 // calls to discovery
	ListsLate   int64 // calls that failed because they would have waited too long
	// Unlisted is the longest time from a dispatcher's start to its first list, among dispatchers that received one.
	Unlisted time.Duration
	// The maxima in any second of the run: calls to discovery, and probes of and new connections to one box.
	MostLists, MostProbes, MostConnects int
	Falls                               int   // cold boxes that crashed under overload
	Breaches                            int   // falls where two thirds of the work came from dispatchers that had been notified of the start
	Duplicates                          int64 // runs of jobs that must not run twice, beyond the first
	Margin                              float64
	Events                              int64
	Ended                               time.Duration // when the last job ended

	stations             int
	askedWork, lateWorth float64 // offered work in seconds at speed 1; value of jobs that were served late
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

// zoneSecond returns the counts of a station for a second.
func (r *Result) zoneSecond(at time.Duration, station int) *ZoneSecond {
	for len(r.Zones) <= int(at/time.Second) {
		r.Zones = append(r.Zones, make([]ZoneSecond, r.stations))
	}
	return &r.Zones[at/time.Second][station]
}

// value returns the value of a job.
func (w *World) value(a *Arrival) float64 {
	value := w.Classes[a.Class].Value
	if w.ValuePerWork {
		value *= a.Work
	}
	if a.OverQuota {
		value *= w.Goal.OverShare
	}
	return value
}

// span is the time of the last arrival.
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

// arrive sends a client's job for the first time.
func (r *run) arrive(n int) {
	a := &r.Arrivals[n]
	if r.mutedClients[a.Station] > 0 {
		return
	}
	c := &r.result.Classes[a.Class]
	c.Offered++
	w := r.windowOf(a.At)
	w.Offered++
	value := r.value(a)
	w.Asked += value
	w.ByStation[a.Station].Asked += value
	c.Asked += value
	r.result.askedWork += a.Work
	if a.Tenant < len(r.result.Tenants) && !a.OverQuota {
		r.result.Tenants[a.Tenant].Asked += value
	}
	r.openJobs++
	r.send(&job{arrival: n, class: a.Class, work: a.Work, deadline: r.tryDeadline(a)})
}

// tryDeadline returns when a client stops waiting for a try that it sends now.
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

// send sends a client's try to a dispatcher of its station, or to one of another station if its own has none.
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

// pickDispatcher returns the dispatcher for a station's next job: round robin, or at random by World.Shares.
func (r *run) pickDispatcher(station int, candidates []*dispatcher) *dispatcher {
	if r.Shares == nil {
		r.nextDispatcher[station]++
		return candidates[r.nextDispatcher[station]%len(candidates)]
	}
	sum := 0.0
	for _, d := range candidates {
		sum += r.Shares[d.number]
	}
	x := r.frontRand.Float64() * sum
	for _, d := range candidates {
		if x -= r.Shares[d.number]; x < 0 {
			return d
		}
	}
	return candidates[len(candidates)-1]
}

// tryEnded handles the end of a client's try. The client retries within its limits, unless the job is unsafe and may have run.
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
		value := r.value(a)
		if aim := class.TargetLatency + time.Duration(class.RuntimeFactor*a.Work*float64(time.Second)); took <= aim {
			c.InTime++
		} else {
			c.Late++
			value *= class.LateValue
			r.result.lateWorth += r.value(a)
		}
		c.Earned += value
		if a.Tenant < len(r.result.Tenants) && !a.OverQuota {
			r.result.Tenants[a.Tenant].Earned += value
		}
		w := r.windowOf(a.At)
		w.Earned += value
		w.ByStation[a.Station].Earned += value
	case Refused:
		c.Refused++
	case Failed:
		c.Failed++
	case Lost:
		c.Lost++
	}
}

// countRun counts the start of a job and detects duplicate runs.
func (r *run) countRun(a *attempt) {
	n := &r.runCounts[a.job.arrival]
	if *n < math.MaxUint8 {
		*n++
	}
	if *n > 1 && r.Classes[a.job.class].Effect == balance.Unsafe {
		r.result.Duplicates++
	}
}

// finish computes the results that need the whole run.
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

// fault applies a fault.
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
			r.after(time.Duration(r.networkRand.Float64()*float64(time.Second)), func() {
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

// scaleSpeed multiplies the speed of all boxes by a factor.
func (r *run) scaleSpeed(factor float64) {
	for _, b := range r.boxes {
		b.advance()
	}
	r.speedFactor *= factor
	for _, b := range r.boxes {
		b.scheduleCompletion()
	}
}
