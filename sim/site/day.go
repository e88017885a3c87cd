package site

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"liftgauge/sim"
)

// FleetDays are days with many dispatchers: deployments of the site's kind, but of any size.
var FleetDays = []string{"calm", "roll", "herd", "zone", "split", "join", "kill"}

// SiteDays are the site's own days, at its real size.
//
//   - quiet: nothing fails;
//   - trouble: one of the site's troubles happens;
//   - overload: the same, while clients send more work than all boxes can do;
//   - big: the same at the size of the busiest days.
var SiteDays = []string{"quiet", "trouble", "overload", "big"}

// fleetDayLength is the length of a day with many dispatchers.
const fleetDayLength = 25 * time.Second

// The largest numbers of dispatchers and boxes that Day accepts.
const (
	MaxDispatchers = 1000
	MaxBoxes       = 1000
)

// Day draws a day. Without given numbers of dispatchers or boxes, one of the site's SiteDays draws them from the site's ranges.
//
// FleetDays are:
//
//   - calm: nothing fails; traffic shifts between zones, and is 1.5 times as high for some seconds;
//   - roll: half of the boxes are replaced in steps, all dispatchers are restarted as planned, a tenth at a time, and
//     discovery moves, so that all dispatchers request their lists again;
//   - herd: a release restarts boxes in batches, and during it seven in ten dispatchers are killed at once and restart after
//     a second; discovery handles only a third of its usual calls; one box in eight is slow or fails jobs;
//   - zone: the boxes of a zone vanish for 5 s and return cold, another zone is cut off; one box in eight is slow or fails jobs;
//   - split: a zone is cut off for 6 s, or a fifth of the boxes is unresponsive; lists come late, replies are lost and
//     connections are reset during requests;
//   - kill: seven in ten dispatchers are killed at once and do not restart; then a release restarts boxes in batches;
//   - join: six in ten boxes are replaced within 7 s; some clients give up early.
//
// On each of them one of the site's troubles happens as well: on calm days one that is not a fault.
func (s *Site) Day(day string, dispatchers, boxes int, seed uint64) (*sim.World, error) {
	siteDay := slices.Contains(SiteDays, day)
	rng := sim.Stream(seed, "fleet-site")
	span := func(r Range) time.Duration { return time.Duration(r.draw(rng) * 1e9) }
	length := fleetDayLength
	if siteDay {
		sizes := [2]Range{s.Dispatchers, s.Boxes}
		if day == "big" {
			sizes = [2]Range{s.BigDispatchers, s.BigBoxes}
		}
		if n := sizes[0].drawInt(rng); dispatchers == 0 {
			dispatchers = n
		}
		if n := sizes[1].drawInt(rng); boxes == 0 {
			boxes = n
		}
		length = span(s.Length)
	}
	if dispatchers < 1 || dispatchers > MaxDispatchers || boxes < s.Zones || boxes > MaxBoxes {
		return nil, fmt.Errorf("want 1 to %d dispatchers and %d to %d workers, not %d and %d", MaxDispatchers, s.Zones, MaxBoxes, dispatchers, boxes)
	}
	onRequest, discovery := !s.Discovery.Pushed, &s.Discovery
	calls := 0.0
	if onRequest { // calls that discovery handles per second
		calls = max(discovery.Calls.draw(rng), float64(dispatchers)/3)
	}
	w := &sim.World{
		Stations: s.Zones, Jitter: s.Network.Jitter.draw(rng), Lag: span(discovery.Lag), UnresponsiveLag: span(discovery.Silent), ListsPushed: !onRequest,
		ConnectTimeout: seconds(s.Network.Connect), MaxAttempts: s.Rules.Attempts, Window: 5 * time.Second, End: length + 10*time.Second, ValuePerWork: true,
		Handshake: s.Network.Handshake.drawInt(rng), NoStartReports: !s.TellsStart, Progress: seconds(s.Progress), Goal: s.goal(),
		Rules: sim.Rules{DrainGrace: seconds(s.Rules.DrainGrace), StartCapacity: s.Rules.StartCapacity, WarmWithin: seconds(s.Rules.WarmWithin),
			OverloadFactor: s.Rules.OverloadFactor, OverloadTime: seconds(s.Rules.FallTime), RestartAfter: seconds(s.Rules.RestartAfter)},
	}
	if siteDay {
		w.Window, w.End = 10*time.Second, length+30*time.Second
	}
	if onRequest {
		w.ListTimeout = time.Second
		if day == "herd" {
			calls /= 3
		}
		w.ListTime = time.Duration(1e9 / calls)
	}
	w.Settings.Tick, w.Settings.AskWithin = seconds(s.Tick), seconds(discovery.AskWithin)
	w.Settings.ValuePerWork, w.Settings.SecondCopies, w.Settings.MaxRetryAfter = true, true, seconds(s.Retry.AdviceMost)
	w.Settings.CrossZoneFee, w.Settings.ProbeFee, w.Settings.HandshakeFee = s.Goal.Cross, s.Goal.Probe, s.Goal.Connection
	w.Settings.WasteFee, w.Settings.LateFee = s.Goal.Waste, s.Goal.Late
	errorShares := make([]Range, len(s.Kinds))
	ignoresCancel := s.RunsOn && rng.IntN(2) == 0
	for i, k := range s.Kinds {
		errorShares[i] = k.Errors
		w.Kinds = append(w.Kinds, sim.Kind{Name: k.Name, Cores: k.Cores, Slots: k.Slots, Queue: int(float64(k.Cores) * k.Queue.draw(rng)), Speed: k.Speed.draw(rng),
			Spread: k.Spread.draw(rng), Connections: k.Connections, ColdSpeed: k.ColdFrom.draw(rng), WarmUpTime: span(k.ColdFor),
			StallEvery: span(k.StallEvery), StallFor: span(k.StallFor), IgnoresCancel: ignoresCancel})
	}
	for _, c := range s.Classes {
		w.Classes = append(w.Classes, sim.Class{Name: c.Name, Work: sim.Dist{Mean: c.Work.draw(rng), Shape: c.shape(), Spread: c.Spread.draw(rng)},
			HintSpread: c.HintSpread, AttemptSpread: c.Attempts.draw(rng), Class: c.settings()})
	}
	w.Retry = sim.Retry{MaxRetries: s.Retry.Most.drawInt(rng), Pause: span(s.Retry.Pause), HonorsRetryAfter: s.Retry.Advice, MarksRetries: s.Retry.Marks}
	if len(s.Report.Fields) > 0 {
		w.Report = &sim.Report{Fields: s.Report.Fields, Interval: span(s.Report.Every), Delay: span(s.Report.Delay), Noise: s.Report.Noise.draw(rng)}
	}
	local, cross := span(s.Network.Local), span(s.Network.Crossing)
	for i := range s.Zones {
		w.OneWay = append(w.OneWay, make([]time.Duration, s.Zones))
		for j := range s.Zones {
			if w.OneWay[i][j] = cross; i == j {
				w.OneWay[i][j] = local
			}
		}
	}
	// shares draws the shares of the zones, with a skew.
	shares := func(skew float64) []float64 {
		all, sum := make([]float64, s.Zones), 0.0
		for z := range all {
			all[z] = 1 + skew*(2*rng.Float64()-1)
			sum += all[z]
		}
		for z := range all {
			all[z] /= sum
		}
		return all
	}
	kinds := cumulative(rng, len(s.Kinds), func(i int) Range { return s.Kinds[i].Share })
	cell := s.Cell.drawInt(rng)
	speed, zone := 0.0, distribute(shares(s.BoxSkew.draw(rng)), boxes)
	for i := range boxes {
		b := sim.Box{Name: fmt.Sprint("w", i), Station: zone[i], Kind: pick(kinds, math.Mod(float64(i)*math.Phi, 1))}
		n := 0 // boxes in the zone so far
		for _, other := range w.Boxes {
			if other.Station == b.Station {
				n++
			}
		}
		b.Cell, b.ErrorShare = b.Station*MaxBoxes+n/cell, errorShares[b.Kind].draw(rng)
		w.Boxes = append(w.Boxes, b)
		speed += w.Kinds[b.Kind].Speed * float64(w.Kinds[b.Kind].Cores)
	}
	skew := s.ZoneSkew.draw(rng)
	traffic := shares(skew)
	w.Dispatchers = distribute(traffic, dispatchers)
	cv := s.StreamCV.draw(rng)
	for range dispatchers {
		w.Shares = append(w.Shares, sim.Dist{Mean: 1, Shape: sim.Lognormal, Spread: cv}.Draw(rng))
	}
	loadDay := "fleet"
	if siteDay {
		loadDay = day
	}
	l := load{length: length, Work: s.Load[loadDay].draw(rng) * speed, From: traffic, Slow: 1}
	l.Classes = cumulative(rng, len(s.Classes), func(i int) Range { return s.Classes[i].Share })
	if l.To = traffic; !siteDay {
		l.To, l.Shift = shares(skew), span(Range{9, 13})
	}
	if day != "quiet" {
		s.addTrouble(w, rng, &l, day == "calm")
	}
	l.Leaves = s.Leaves.draw(rng)
	if day == "calm" {
		l.Burst, l.BurstAt, l.BurstFor = 1.5, span(Range{6, 9}), span(Range{5, 8})
	}
	if day == "join" {
		l.Early = 0.1
	}
	s.tenants(w, rng, &l, speed)
	s.arrivals(w, sim.Stream(seed, "fleet-arrivals"), l)
	if !siteDay {
		if err := addDayFaults(w, day, sim.Stream(seed, "fleet-faults")); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// cumulative draws the shares of n parts and returns their running sums. The last part gets the remainder.
func cumulative(rng *rand.Rand, n int, share func(int) Range) []float64 {
	all, sum := make([]float64, n), 0.0
	for i := range n - 1 {
		sum += share(i).draw(rng)
		all[i] = sum
	}
	if n > 0 {
		all[n-1] = math.Inf(1)
	}
	return all
}

// pick returns the index of the part that contains x.
func pick(cumulative []float64, x float64) int {
	return slices.IndexFunc(cumulative, func(most float64) bool { return x <= most })
}

// tenants draws the load of each tenant. Shares are relative to the capacity of all boxes.
func (s *Site) tenants(w *sim.World, rng *rand.Rand, l *load, speed float64) {
	if len(s.Tenants) == 0 {
		return
	}
	quota, sum := s.Quota.draw(rng), 0.0
	for _, t := range s.Tenants {
		w.Tenants = append(w.Tenants, sim.Tenant{Name: t.Name, Share: t.Share, Quota: t.Share * quota * speed})
		sum += t.Share * t.Usage.draw(rng)
		l.Tenants = append(l.Tenants, sum)
	}
	for i := range l.Tenants {
		l.Tenants[i] /= sum
	}
	l.Tenants[len(l.Tenants)-1] = math.Inf(1)
}

// distribute assigns n items to the zones in proportion to their shares, evenly interleaved.
func distribute(shares []float64, n int) []int {
	deficit, out := make([]float64, len(shares)), make([]int, n)
	for i := range out {
		best := 0
		for z := range shares {
			if deficit[z] += shares[z]; deficit[z] > deficit[best] {
				best = z
			}
		}
		deficit[best]--
		out[i] = best
	}
	return out
}

// addTrouble adds one of the site's troubles; on a calm day one that is not a fault.
func (s *Site) addTrouble(w *sim.World, rng *rand.Rand, l *load, calm bool) {
	span := func(r Range) time.Duration { return time.Duration(r.draw(rng) * 1e9) }
	var all []Trouble
	for _, t := range s.Troubles {
		if !calm || t.Effect == "burst" || t.Effect == "heavy" {
			all = append(all, t)
		}
	}
	if len(all) == 0 {
		return
	}
	startTime := Range{3, 14}
	// sample draws a random share of n indices.
	sample := func(n int, part Range) []int {
		order := rng.Perm(n)
		return order[:int(part.draw(rng)*float64(n))]
	}
	add := func(at time.Duration, e sim.Effect, target int, factor float64, d time.Duration) {
		w.Faults = append(w.Faults, sim.Fault{At: at, Effect: e, Target: target, For: d, Factor: factor})
	}
	switch t := all[rng.IntN(len(all))]; t.Effect {
	case "burst":
		l.Burst, l.BurstAt, l.BurstFor = t.Size.draw(rng), span(startTime), span(t.Len)
	case "heavy":
		l.Heavy, l.Slow = t.Part.draw(rng), t.Size.draw(rng)
	case "dispatchers":
		for _, n := range sample(len(w.Dispatchers), t.Part) {
			add(15*time.Second, sim.DispatcherCrash, n, 0, span(t.Len))
		}
	case "slow":
		at, factor := span(startTime), 1/t.Size.draw(rng)
		add(at, sim.BoxesSlow, 0, factor, span(t.Len))
	case "crash", "hang":
		at, d, effect := span(startTime), span(t.Len), sim.BoxCrash
		if t.Effect == "hang" {
			effect = sim.BoxStalls
		}
		for _, n := range sample(len(w.Boxes), t.Part) {
			add(at, effect, n, 0, d)
		}
	case "pauses":
		at, d, size, every := span(startTime), span(t.Len), span(t.Size), span(t.Every)
		for _, n := range sample(len(w.Boxes), t.Part) {
			for from := time.Duration(rng.Float64() * float64(every)); from < d; from += every {
				add(at+from, sim.BoxStalls, n, 0, size)
			}
		}
	}
}

// addDayFaults adds the faults that define one of the FleetDays.
func addDayFaults(w *sim.World, day string, rng *rand.Rand) error {
	boxes, zones := len(w.Boxes), w.Stations
	order := rng.Perm(boxes)
	degrade := func(candidates []int) { // one box in eight, from these
		for i, n := range candidates[:min(max(1, boxes/8), len(candidates))] {
			if b := &w.Boxes[n]; i%2 == 0 {
				b.Speed = w.Kinds[b.Kind].Speed / 3
			} else {
				b.ErrorShare = 0.3
			}
		}
	}
	// replace drains boxes one after another from a time on; new boxes take their places.
	replace := func(replaced []int, from, within time.Duration) {
		for i, n := range replaced {
			at := from + time.Duration(i)*within/time.Duration(len(replaced))
			w.Faults = append(w.Faults, sim.Fault{At: at, Effect: sim.BoxDrains, Target: n})
			added := w.Boxes[n]
			added.Name, added.JoinsAt = added.Name+"-new", at+2*time.Second
			w.Boxes = append(w.Boxes, added)
		}
	}
	release := func() { // in batches; each box restarts
		for i := range boxes / 2 {
			at := 6*time.Second + time.Duration(i*10/max(boxes/2, 1))*1200*time.Millisecond
			w.Faults = append(w.Faults, sim.Fault{At: at, Effect: sim.BoxDrains, Target: order[i], For: time.Second})
		}
	}
	switch day {
	case "calm":
	case "roll":
		replace(order[:boxes/2], 4*time.Second, 14*time.Second)
		for i, n := range rng.Perm(len(w.Dispatchers)) {
			at := 3*time.Second + time.Duration(i*10/len(w.Dispatchers))*1800*time.Millisecond
			w.Faults = append(w.Faults, sim.Fault{At: at, Effect: sim.DispatcherShutdown, Target: n, For: time.Second})
		}
		w.Faults = append(w.Faults, sim.Fault{At: 10 * time.Second, Effect: sim.DiscoveryMoves})
	case "herd":
		degrade(order[boxes/2:])
		release()
		for _, n := range rng.Perm(len(w.Dispatchers))[:(7*len(w.Dispatchers)+9)/10] {
			w.Faults = append(w.Faults, sim.Fault{At: 11 * time.Second, Effect: sim.DispatcherCrash, Target: n, For: time.Second})
		}
	case "kill":
		release()
		for _, n := range rng.Perm(len(w.Dispatchers))[:(7*len(w.Dispatchers)+9)/10] {
			w.Faults = append(w.Faults, sim.Fault{At: 2 * time.Second, Effect: sim.DispatcherCrash, Target: n})
		}
	case "zone":
		degrade(order)
		lost := rng.IntN(zones)
		w.Faults = append(w.Faults, sim.Fault{At: 7 * time.Second, Effect: sim.StationBoxes, Target: lost, For: 5 * time.Second},
			sim.Fault{At: 14 * time.Second, Effect: sim.StationPartition, Target: (lost + 1 + rng.IntN(zones-1)) % zones, For: 4 * time.Second})
	case "split":
		if rng.IntN(2) == 0 {
			w.Faults = append(w.Faults, sim.Fault{At: 8 * time.Second, Effect: sim.StationPartition, Target: rng.IntN(zones), For: 6 * time.Second})
		} else {
			for _, n := range order[:boxes/5] {
				w.Faults = append(w.Faults, sim.Fault{At: 8 * time.Second, Effect: sim.BoxPartition, Target: n, For: 6 * time.Second})
			}
		}
		w.Faults = append(w.Faults, sim.Fault{At: 8 * time.Second, Effect: sim.ListsDelayed, Factor: 4, For: 6 * time.Second},
			sim.Fault{At: 8 * time.Second, Effect: sim.ConnectionResets, Factor: 0.02, For: 6 * time.Second},
			sim.Fault{At: 8 * time.Second, Effect: sim.RepliesLost, Factor: 0.02, For: 6 * time.Second})
	case "join":
		replace(order[:6*boxes/10], 6*time.Second, 5*time.Second)
	default:
		return fmt.Errorf("day %q: want one of %v or %v", day, FleetDays, SiteDays)
	}
	return nil
}

// load is the load that the clients of a day offer.
type load struct {
	length   time.Duration
	Work     float64   // seconds at speed 1 offered per second
	Classes  []float64 // running sums of the shares of the jobs
	Tenants  []float64 // the same for tenants; empty: no tenants
	From, To []float64
	Shift    time.Duration // midpoint of the 4 s in which the zones' shares move from From to To
	// From BurstAt on, for BurstFor, there are Burst times as many jobs.
	Burst             float64
	BurstAt, BurstFor time.Duration
	Heavy, Slow       float64 // this share of the last class's jobs takes Slow times as long
	Early             float64 // share of the clients that wait only one second
	Leaves            float64 // share of the clients that disconnect at a random time before their timeout
}

// quotaWindow is the burst that a tenant's quota allows, as time at its share, before further jobs count as over quota.
const quotaWindow = 2 * time.Second

// arrivals generates the arrivals of the day.
func (s *Site) arrivals(w *sim.World, rng *rand.Rand, l load) {
	mean, before := 0.0, 0.0
	for i, c := range w.Classes {
		share := min(l.Classes[i], 1) - before
		mean += share * c.Work.Mean
		before += share
	}
	used, at := make([]float64, len(w.Tenants)), 0.0
	for {
		rate := l.Work / mean
		now := time.Duration(at * 1e9)
		if l.Burst > 0 && now >= l.BurstAt && now < l.BurstAt+l.BurstFor {
			rate *= l.Burst
		}
		gap := rng.ExpFloat64() / rate
		if at += gap; at >= l.length.Seconds() {
			return
		}
		a := sim.Arrival{At: time.Duration(at * 1e9)}
		shifted := min(1, max(0, (a.At-l.Shift).Seconds()/4+0.5))
		for x := rng.Float64(); a.Station < w.Stations-1; a.Station++ {
			if x -= l.From[a.Station] + (l.To[a.Station]-l.From[a.Station])*shifted; x < 0 {
				break
			}
		}
		a.Class = pick(l.Classes, rng.Float64())
		c := &w.Classes[a.Class]
		a.Timeout = c.Limit
		a.Work = c.Work.Draw(rng)
		if x := rng.Float64(); a.Class == len(w.Classes)-1 && x < l.Heavy {
			a.Work *= l.Slow
		}
		if rng.Float64() < l.Early {
			a.Timeout = time.Second
		}
		if c.HintSpread >= 0 {
			a.Hint = time.Duration(a.Work * math.Exp(c.HintSpread*rng.NormFloat64()) * 1e9)
		}
		if l.Leaves > 0 && rng.Float64() < l.Leaves {
			a.Timeout = time.Duration(float64(a.Timeout) * rng.Float64())
		}
		if sizes := s.Classes[a.Class].Slots; len(sizes) > 1 {
			x, n := rng.Float64(), 0
			for ; n < len(sizes)-1 && x >= sizes[n]; n++ {
				x -= sizes[n]
			}
			a.Slots = 1 << n
		}
		if len(l.Tenants) > 0 {
			a.Tenant = pick(l.Tenants, rng.Float64())
			for i, t := range w.Tenants { // usage decays at the rate of the tenant's quota
				used[i] = max(0, used[i]-t.Quota*gap)
			}
			usage, quota := &used[a.Tenant], w.Tenants[a.Tenant].Quota
			if a.OverQuota = *usage+a.Work > quota*quotaWindow.Seconds()+mean; !a.OverQuota {
				*usage += a.Work
			}
		}
		w.Arrivals = append(w.Arrivals, a)
	}
}
