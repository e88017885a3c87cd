package site

import (
	"errors"
	"strings"
	"testing"
	"time"

	"liftgauge/internal/settings/cuefile"
	"liftgauge/sim"
)

// loadSite loads an embedded site.
func loadSite(t *testing.T, name string) *Site {
	t.Helper()
	s, err := Load(name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestFleetKeepsItsLimits: on fleet days with fixed seeds no unsafe job runs twice, workers get few probes and connections in any
// second, and each dispatcher makes only a few calls to discovery, however many dispatchers there are.
func TestFleetKeepsItsLimits(t *testing.T) {
	trinidad := loadSite(t, "trinidad")
	for _, day := range FleetDays {
		for _, n := range []int{20, 120} {
			w, err := trinidad.Day(day, n, 60, 1)
			if err != nil {
				t.Fatal(err)
			}
			r := sim.Run(w, 1)
			starts, moves := n, 0
			for _, f := range w.Faults {
				switch f.Effect {
				case sim.DispatcherCrash, sim.DispatcherShutdown:
					starts++
				case sim.DiscoveryMoves:
					moves += n // all dispatchers request the list again within a second, as the operators require
				}
			}
			// A dispatcher makes one call that succeeds, and up to two that time out. Dispatchers that start together call within 2 s,
			// and those whose calls fail call again within a second: the list counts as delivered 6 s after discovery became reachable.
			if r.Duplicates > 0 || int(r.Lists) > 3*(starts+moves) || r.MostLists > 2*n/3+10+moves {
				t.Errorf("%s, %d dispatchers: %d duplicates, %d calls to discovery, %d in a second", day, n, r.Duplicates, r.Lists, r.MostLists)
			}
			// A worker can handle about ten probes per second in all, and hundreds of connections.
			if r.MostConnects > 40 || r.MostProbes > 10 {
				t.Errorf("%s, %d dispatchers: %d new connections and %d probes to a worker in a second", day, n, r.MostConnects, r.MostProbes)
			}
			if r.Breaches > 1 {
				t.Errorf("%s, %d dispatchers: %d cold workers overloaded by dispatchers that had received their start, margin %.2f", day, n, r.Breaches, r.Margin)
			}
			var offered, ends int64
			for _, c := range r.Classes {
				offered, ends = offered+c.Offered, ends+c.InTime+c.Late+c.Refused+c.Failed+c.Lost
			}
			if offered != ends || offered == 0 {
				t.Errorf("%s, %d dispatchers: %d jobs offered, %d ended", day, n, offered, ends)
			}
		}
	}
	for _, bad := range []struct {
		day                string
		dispatchers, boxes int
	}{{"feast", 80, 60}, {"zone", 0, 60}, {"zone", 80, 4}, {"zone", MaxDispatchers + 1, 60}, {"zone", 80, MaxBoxes + 1}} {
		if _, err := trinidad.Day(bad.day, bad.dispatchers, bad.boxes, 1); err == nil {
			t.Errorf("%v is accepted", bad)
		}
	}
}

// TestFleetDaysHaveTheirFaults: each fleet day has the faults that define it, and uneven traffic over its dispatchers.
func TestFleetDaysHaveTheirFaults(t *testing.T) {
	trinidad := loadSite(t, "trinidad")
	const n, boxes = 60, 40
	count := func(w *sim.World) map[sim.Effect]int {
		m := map[sim.Effect]int{}
		for _, f := range w.Faults {
			m[f.Effect]++
		}
		return m
	}
	for day, want := range map[string]map[sim.Effect]int{
		"calm": {}, "roll": {sim.BoxDrains: boxes / 2, sim.DispatcherShutdown: n, sim.DiscoveryMoves: 1}, "herd": {sim.BoxDrains: boxes / 2},
		"zone": {sim.StationBoxes: 1, sim.StationPartition: 1}, "kill": {sim.BoxDrains: boxes / 2, sim.DispatcherCrash: 42}, "split": {sim.ListsDelayed: 1, sim.ConnectionResets: 1, sim.RepliesLost: 1}, "join": {sim.BoxDrains: 6 * boxes / 10},
	} {
		for seed := range uint64(6) {
			w, err := trinidad.Day(day, n, boxes, seed)
			if err != nil {
				t.Fatal(err)
			}
			got := count(w)
			for e, c := range want {
				if got[e] != c {
					t.Errorf("%s, seed %d: effect %d occurs %d times, want %d", day, seed, e, got[e], c)
				}
			}
			if day == "herd" && got[sim.DispatcherCrash] < 42 || day == "split" && got[sim.StationPartition] == 0 && got[sim.BoxPartition] != boxes/5 || day == "calm" && len(got) > 0 {
				t.Errorf("%s, seed %d: %v", day, seed, got)
			}
			least, most, sum := 1e9, 0.0, 0.0
			for _, s := range w.Shares {
				least, most, sum = min(least, s), max(most, s), sum+s
			}
			if most < 2*sum/n || least > sum/n/2 {
				t.Errorf("%s, seed %d: dispatchers' traffic is %.2f to %.2f of %.2f in the mean: too even", day, seed, least, most, sum/n)
			}
		}
	}
}

// TestOverloadedZoneSpillsOver guards against dispatchers that keep the jobs of an overloaded zone waiting there while other zones are
// idle: within 2 s of the overload they must send jobs to other zones, and keep doing so.
func TestOverloadedZoneSpillsOver(t *testing.T) {
	w, err := loadSite(t, "trinidad").Day("calm", 150, 100, 5)
	if err != nil {
		t.Fatal(err)
	}
	for i := range w.Arrivals { // from second 10 on six in ten jobs come to zone 2; the other jobs are spread evenly
		if w.Arrivals[i].Station = i % w.Stations; w.Arrivals[i].At > 10*time.Second && i%10 < 5 {
			w.Arrivals[i].Station = 2
		}
	}
	for i := range w.Boxes {
		w.Boxes[i].Station = i % w.Stations
	}
	r := sim.Run(w, 5)
	left := func(from, to int) (share float64) {
		l, s := int64(0), int64(0)
		for _, row := range r.Zones[from:to] {
			l += row[2].Left
			for _, z := range row {
				s += z.Sent
			}
		}
		return float64(l) / float64(s)
	}
	if before, soon, later := left(5, 10), left(12, 14), left(14, 24); before > 0.12 || soon < 0.2 || later < 0.25 {
		t.Errorf("of all attempts %.2f left zone 2 before, %.2f in the third and fourth second, %.2f later", before, soon, later)
	}
}

// TestModuleBeatsTextbookPolicies: on a calm day with many dispatchers the decision module beats the textbook policies, and the oracle
// beats random choice.
func TestModuleBeatsTextbookPolicies(t *testing.T) {
	service := map[string]float64{}
	for _, name := range sim.PolicyNames {
		w, err := loadSite(t, "trinidad").Day("calm", 120, 80, 3)
		if err != nil {
			t.Fatal(err)
		}
		w.Policy = sim.PolicyByName(name)
		service[name] = sim.Run(w, 3).Service
	}
	for _, name := range []string{"random", "rounds", "two-choices"} {
		if service["module"] < service[name]+0.05 {
			t.Errorf("service %.3f, %s %.3f", service["module"], name, service[name])
		}
	}
	if service["late-truth"] < service["random"] {
		t.Errorf("service of late-truth %.3f, of random choice %.3f", service["late-truth"], service["random"])
	}
	if sim.PolicyByName("best") != nil {
		t.Error("an unknown policy name is accepted")
	}
}

// TestEmbeddedSites: days of the embedded sites can be drawn and simulated, each job gets one end, and the site's properties take effect:
// load reports, pushed lists, missing start reports, tenants over their shares.
func TestEmbeddedSites(t *testing.T) {
	for _, name := range Names {
		s := loadSite(t, name)
		for _, day := range SiteDays {
			w, err := s.Day(day, 0, 0, 3)
			if err != nil {
				t.Fatal(err)
			}
			r := sim.Run(w, 3)
			var offered, ends int64
			for _, c := range r.Classes {
				offered, ends = offered+c.Offered, ends+c.InTime+c.Late+c.Refused+c.Failed+c.Lost
			}
			if offered != ends || offered < 500 || r.Duplicates > 0 || r.Breaches > 0 || r.G > r.Service+1e-9 && r.G > 1 {
				t.Errorf("%s, %s: %d jobs offered, %d ended, %d duplicates, %d breaches, G %.3f", name, day, offered, ends, r.Duplicates, r.Breaches, r.G)
			}
			if s.Discovery.Pushed != (r.Lists == 0) || w.NoStartReports == s.TellsStart || (w.Report == nil) != (len(s.Report.Fields) == 0) {
				t.Errorf("%s, %s: %d calls to discovery, no start reports %v, reports %v", name, day, r.Lists, w.NoStartReports, w.Report)
			}
			over := 0
			for _, a := range w.Arrivals {
				if a.OverQuota {
					over++
				}
			}
			if len(s.Tenants) == 0 && over > 0 || len(s.Tenants) > 0 && day == "overload" && over == 0 {
				t.Errorf("%s, %s: %d jobs over their tenants' shares", name, day, over)
			}
		}
	}
}

// TestTroublesTakeEffect: each of a site's troubles adds its faults, and the faults change the service.
func TestTroublesTakeEffect(t *testing.T) {
	s := loadSite(t, "lensbrug")
	for _, c := range []struct {
		effect string
		want   sim.Effect
		least  int
	}{{"crash", sim.BoxCrash, 1}, {"hang", sim.BoxStalls, 1}, {"pauses", sim.BoxStalls, 10}, {"slow", sim.BoxesSlow, 1}} {
		one := *s
		one.Troubles = nil
		for _, x := range s.Troubles {
			if x.Effect == c.effect {
				one.Troubles = append(one.Troubles, x)
			}
		}
		w, err := one.Day("big", 4, 12, 5)
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		for _, f := range w.Faults {
			if f.Effect == c.want {
				n++
			}
		}
		with := sim.Run(w, 5)
		if w.Faults = nil; n < c.least || sim.Run(w, 5).Service == with.Service {
			t.Errorf("%s: %d faults, too few or without an effect on service", c.effect, n)
		}
	}
}

// TestMistakesAreReportedByLineAndField: each mistake in a site file gives one line with the line of the file and the field.
func TestMistakesAreReportedByLineAndField(t *testing.T) {
	good, err := files.ReadFile("lensbrug.cue")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"zones:          2", "zones: 0", "x.cue:3: zones"},
		{"boxes:          [7, 9]", "boxes: [9, 7]", "x.cue:4: boxes"},
		{`shape: "lognormal"`, `shape: "bell"`, "shape"},
		{"speed: [1.1, 1.5]", "speed: [0, 1.5]", "kinds.0.speed"},
		{`fields: ["latency_ms"`, `fields: ["mood"`, "report.fields"},
		{"overload: [1, 1.3]", "overload: [-1, 1.3]", "load.overload"},
	} {
		text := strings.Replace(string(good), c.old, c.new, 1)
		var wrong cuefile.Error
		if _, err := Parse("x.cue", []byte(text)); !errors.As(err, &wrong) || !strings.Contains(wrong[0], c.want) || strings.Contains(wrong[0], "\n") {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	if _, err := Load("nowhere"); err == nil || !strings.Contains(err.Error(), "trinidad") {
		t.Error(err)
	}
}
