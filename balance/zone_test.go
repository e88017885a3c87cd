package balance_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "liftgauge/balance"
)

// lastSendHost is a host that keeps the worker of the last job.
type lastSendHost struct {
	countingHost
	to WorkerID
}

func (l *lastSendHost) Send(_ JobID, w WorkerID, _ time.Duration) { l.to = w }

// zoneDispatcher is one of many dispatchers, in a zone. Workers with even ids are in zone 1, those with odd ids in zone 0.
type zoneDispatcher struct {
	d    *Dispatcher
	at   *lastSendHost
	zone int
	id   JobID
}

func newZoneDispatcher(n, of, zone int, workers []Worker) *zoneDispatcher {
	s := settings()
	s.Dispatchers, s.Number, s.Zone, s.Zones, s.CrossZoneFee, s.FreeSlots = of, n, zone, 2, 0.02, -1
	z := &zoneDispatcher{at: &lastSendHost{}, zone: zone}
	z.d = New(s, uint64(n)*0x9e3779b97f4a7c15, z.at)
	z.d.List(1000*time.Second, ListCached, workers)
	return z
}

// job plays a job that meets a queue with a probability that depends on the zone, and reports whether it left the own zone.
func (z *zoneDispatcher) job(now time.Duration, waits func(zone int) bool) (left bool) {
	z.id++
	z.d.Job(now, Job{ID: z.id, Left: 5 * time.Second, Slots: 1})
	zone := 1 - int(z.at.to)%2
	if waits(zone) { // its start is due after 17 ms, and a check follows
		z.d.Timer(now+40*ms, uint64(z.id)<<2|2)
		z.d.Started(now+50*ms, z.id, 0)
	} else {
		z.d.Started(now+ms, z.id, 0)
	}
	z.d.Outcome(now+60*ms, Outcome{Job: z.id, Status: OK, Closed: true})
	return zone != z.zone
}

// twoZones returns n workers in each of two zones.
func twoZones(n int) (ws []Worker) {
	for i := range 2 * n {
		ws = append(ws, Worker{ID: WorkerID(i + 1), Weight: 1, Zone: i % 2, Cell: i % 8})
	}
	return ws
}

// TestJobsLeaveCrowdedZone: a dispatcher with one or two jobs a second, which meet queues in its zone and none elsewhere, sends most of
// them elsewhere within ten jobs. It returns within as many once there are no queues, and stays if both zones are full.
func TestJobsLeaveCrowdedZone(t *testing.T) {
	z := newZoneDispatcher(3, 300, 0, twoZones(30))
	now := 1000 * time.Second
	play := func(n int, waits func(int) bool) (left int) {
		for range n {
			now += 600 * ms
			if z.job(now, waits) {
				left++
			}
		}
		return left
	}
	none, here, both := func(int) bool { return false }, func(zone int) bool { return zone == 0 }, func(int) bool { return true }
	if left := play(20, none); left != 0 {
		t.Errorf("%d of 20 left an idle zone", left)
	}
	play(10, here)
	if left := play(20, here); left < 10 || left == 20 {
		t.Errorf("%d of 20 left a crowded zone, want most but not all", left)
	}
	play(10, none)
	if left := play(20, none); left > 3 {
		t.Errorf("%d of 20 still left when there were no queues any more", left)
	}
	play(20, both)
	if left := play(40, both); left > 20 {
		t.Errorf("%d of 40 left though queues are everywhere", left)
	}
}

// TestZoneLoadsConverge: all dispatchers of an overloaded zone decide alike, by the queues that they met some seconds ago. The more jobs
// come to a zone, the more of them meet queues. The share that leaves must converge, with 8 dispatchers as with 300, near the one that
// balances the zones, and must not oscillate.
func TestZoneLoadsConverge(t *testing.T) {
	for _, n := range []int{8, 30, 100, 300} {
		rng := rand.New(rand.NewPCG(uint64(n), 7))
		var all []*zoneDispatcher
		for i := range n {
			all = append(all, newZoneDispatcher(i, max(n, 20), 0, twoZones(30)))
		}
		// The load of zone 0 is 1.2 times its capacity; that of zone 1 is 0.4, from dispatchers that are not simulated.
		const rate, step = 1.4, 100 * time.Millisecond
		load := [2]float64{1.2, 0.4}
		var left, jobs [60]float64
		for now := 1000 * time.Second; now < 1060*time.Second; now += step {
			sent := [2]float64{0, 0}
			for _, z := range all {
				if rng.Float64() > rate*step.Seconds() {
					continue
				}
				second := (now - 1000*time.Second) / time.Second
				jobs[second]++
				crossed := z.job(now, func(zone int) bool { return rng.Float64() < min(1, math.Pow(load[zone], 3)) })
				if crossed {
					left[second]++
					sent[1]++
				} else {
					sent[0]++
				}
			}
			per := 1.2 / (float64(n) * rate * step.Seconds()) // load of one job, as a share of a zone
			for zone, own := range []float64{0, 0.4} {
				load[zone] += (own + sent[zone]*per - load[zone]) * step.Seconds() // queues fill and drain in a second
			}
		}
		share := func(from, to int) float64 {
			l, j := 0.0, 0.0
			for s := from; s < to; s++ {
				l, j = l+left[s], j+jobs[s]
			}
			return l / max(j, 1)
		}
		if got := share(20, 60); got < 0.15 || got > 0.5 { // a third balances the zones
			t.Errorf("%d dispatchers: %.2f of the jobs leave", n, got)
		}
		if n < 100 {
			continue // too few jobs in 5 s to tell an oscillation from chance
		}
		for s := 20; s < 60; s += 5 {
			if got, mean := share(s, s+5), share(20, 60); math.Abs(got-mean) > 0.12 {
				t.Errorf("%d dispatchers: %.2f of the jobs leave at %d s, %.2f in the mean", n, got, s, mean)
			}
		}
	}
}

// TestReturnedColdZoneIsNotOverloaded: jobs that leave a crowded zone for one that has just returned cold follow the ramp as all others do.
// The jobs that a cold worker gets from both zones stay below what the overload rule allows.
func TestReturnedColdZoneIsNotOverloaded(t *testing.T) {
	const dispatchers, workers = 200, 20
	now := 1000 * time.Second
	cold := twoZones(workers)
	for i := range cold {
		if cold[i].Zone == 1 {
			cold[i].Up = now
		}
	}
	count := func(ws []Worker) (there float64) {
		for n := range dispatchers {
			z := newZoneDispatcher(n, dispatchers, n%2, twoZones(workers))
			at := now - 20*time.Second
			for range 20 {
				at += 600 * ms
				z.job(at, func(zone int) bool { return zone == 0 })
			}
			z.d.List(now, ListChanges, ws)
			for i := range 10 {
				z.d.Job(now+time.Duration(i)*ms, Job{ID: JobID(1000 + i), Left: 5 * time.Second, Slots: 1})
				if z.at.to%2 == 0 {
					there++
				}
				z.d.Outcome(now+time.Duration(i)*ms, Outcome{Job: JobID(1000 + i), Status: OK, Closed: true})
			}
		}
		return there
	}
	s := settings()
	warm, got := count(nil), count(cold)
	if most := 0.7 * s.OverloadFactor * s.StartCapacity * warm; got > most || got == 0 {
		t.Errorf("%.0f jobs went to the cold zone, %.0f to the warm one; %.0f fit the ramp", got, warm, most)
	}
}

// TestLastColdWorkerOfAZoneIsNotOverloaded: if a zone has lost all workers but one, which returns cold, that one has every turn of the
// period of the zone. It must get no more jobs of its zone than if the zone had an even share of all workers.
func TestLastColdWorkerOfAZoneIsNotOverloaded(t *testing.T) {
	const dispatchers, workers, jobs = 200, 20, 10
	now := 1000 * time.Second
	var left []Worker
	for _, w := range twoZones(workers) {
		if w.Zone == 1 {
			left = append(left, w)
		} else if len(left) == 0 {
			w.Up = now
			left = append(left, w)
		}
	}
	got := 0
	for n := range dispatchers {
		z := newZoneDispatcher(n, dispatchers, n%2, twoZones(workers))
		z.d.List(now, ListFull, left)
		for i := range jobs {
			z.d.Job(now+time.Duration(i)*ms, Job{ID: JobID(1000 + i), Left: 5 * time.Second, Slots: 1})
			if z.at.to == left[0].ID {
				got++
			}
			z.d.Outcome(now+time.Duration(i)*ms, Outcome{Job: JobID(1000 + i), Status: OK, Closed: true})
		}
	}
	s := settings()
	warm := float64(dispatchers*jobs) / float64(len(left)) // its share of all jobs if warm
	if most := 0.7 * s.OverloadFactor * s.StartCapacity * warm; float64(got) > most || got == 0 {
		t.Errorf("%d jobs went to the cold worker, %.0f fit the ramp", got, most)
	}
}

// TestUnreachableZoneGetsNoOverflow checks that jobs stop leaving for a zone to which no connection can be made.
func TestUnreachableZoneGetsNoOverflow(t *testing.T) {
	z := newZoneDispatcher(3, 300, 0, twoZones(30))
	now, there := 1000*time.Second, 0
	for i := range 60 {
		now += 600 * ms
		z.id++
		z.d.Job(now, Job{ID: z.id, Class: 4, Left: 5 * time.Second, Slots: 1})
		if z.at.to%2 == 0 {
			if i >= 20 {
				there++
			}
			z.d.Outcome(now+100*ms, Outcome{Job: z.id, Status: ConnectFailed})
			z.d.Started(now+101*ms, z.id, 1)
			z.d.Outcome(now+200*ms, Outcome{Job: z.id, Attempt: 1, Status: OK, Closed: true})
			continue
		}
		z.d.Timer(now+40*ms, uint64(z.id)<<2|2)
		z.d.Outcome(now+100*ms, Outcome{Job: z.id, Status: OK, Closed: true})
	}
	if there > 10 {
		t.Errorf("%d of 40 jobs were sent first to an unreachable zone", there)
	}
}
