package members

import (
	"reflect"
	"testing"
	"time"
)

// Runs every fault at small sizes and checks the protocol's guarantees.
func TestGuaranteesHoldUnderEveryFault(t *testing.T) {
	sizes, seeds := []int{3, 10, 40}, uint64(2)
	if raceEnabled { // a single goroutine: covered by builds without the race detector
		sizes, seeds = []int{3, 10}, 1
	}
	for _, n := range sizes {
		for _, f := range Faults {
			for seed := uint64(1); seed <= seeds; seed++ {
				r, err := Run(Config{Members: n, Seed: seed, Fault: f.Name, Policy: "member", Length: 50 * time.Second})
				if err != nil {
					t.Fatal(err)
				}
				// A member that pauses for longer than the timeout may be removed, and may be rejoining when the run ends.
				mayBeRejoining := f.Name == "long-pauses" || f.Name == "flap" || f.Name == "return"
				if r.False != 0 || r.Disagree != 0 || r.Undetected != 0 || !r.Agreed && !mayBeRejoining {
					t.Errorf("%+v", r)
				}
				if r.NotInTouch != 0 && !mayBeRejoining && !(n == 3 && f.Name == "start") { // two of three seeds are dead: never more than half of the fleet
					t.Errorf("not in touch at the end: %+v", r)
				}
				if r.BytesWorst > 4000 && f.Name != "start" {
					t.Errorf("%.0f bytes a second", r.BytesWorst)
				}
				switch f.Name {
				case "none", "loss", "lossy-tenth", "pauses":
					if r.Views != 0 {
						t.Errorf("%d views though nobody died: %+v", r.Views, r)
					}
				case "crash", "kill-30", "kill-70":
					if r.KnownWorstMS > 5000 || r.Views > 3 {
						t.Errorf("detected after %.0f ms, %d views: %+v", r.KnownWorstMS, r.Views, r)
					}
				case "deaf", "unheard":
					if r.InAndOut > 1 {
						t.Errorf("removed %d times: %+v", r.InAndOut, r)
					}
				case "start":
					if r.FormedMS == 0 && n > 3 {
						t.Errorf("never formed: %+v", r)
					}
				}
			}
		}
	}
}

// A hundred members that start at once with half of the seeds dead form one fleet within half a minute: the few seeds must not be
// overwhelmed by their hellos.
func TestConcurrentStartWithDeadSeedsFormsOneFleet(t *testing.T) {
	seeds := []uint64{1, 17}
	if raceEnabled { // a single goroutine: covered by builds without the race detector
		seeds = nil
	}
	for _, seed := range seeds {
		r, err := Run(Config{Members: 100, Seed: seed, Fault: "start", Policy: "member"})
		if err != nil || !r.Agreed || r.FormedMS == 0 || r.FormedMS > 30_000 || r.Disagree > 0 {
			t.Errorf("%+v, %v", r, err)
		}
	}
}

// A run is determined by its seed.
func TestSameSeedGivesSameResult(t *testing.T) {
	for _, fault := range []string{"start", "loss", "return", "kill-70"} {
		c := Config{Members: 25, Seed: 7, Fault: fault, Policy: "member", Length: 20 * time.Second}
		a, _ := Run(c)
		b, _ := Run(c)
		if a.WallMS, b.WallMS = 0, 0; !reflect.DeepEqual(a, b) {
			t.Errorf("%+v\n%+v", a, b)
		}
	}
}

// Without a protection the faults that it guards against give worse results, which shows that the checks above can fail.
func TestDisabledProtectionsWorsenResults(t *testing.T) {
	if raceEnabled {
		return
	}
	for _, c := range []struct{ policy, fault string }{{"heartbeats", "pauses"}, {"heartbeats", "loss"}, {"no-word", "halves"}, {"no-doubt", "halves"}, {"no-marks", "halves"}} {
		worse := 0
		for seed := uint64(1); seed <= 3; seed++ {
			r, err := Run(Config{Members: 50, Seed: seed, Fault: c.fault, Policy: c.policy})
			if err != nil {
				t.Fatal(err)
			}
			with, _ := Run(Config{Members: 50, Seed: seed, Fault: c.fault, Policy: "member"})
			if r.False > with.False || r.InAndOut > with.InAndOut || r.NotInTouch > with.NotInTouch || r.Views > with.Views {
				worse++
			}
		}
		if worse == 0 {
			t.Errorf("policy %s with fault %s gives no worse results", c.policy, c.fault)
		}
	}
}

func TestInvalidConfigIsRejected(t *testing.T) {
	for _, c := range []Config{{Members: 0, Fault: "none", Policy: "member"}, {Members: 5000, Fault: "none", Policy: "member"}, {Members: 3, Fault: "x", Policy: "member"}, {Members: 3, Fault: "none", Policy: "x"}} {
		if _, err := Run(c); err == nil {
			t.Errorf("%+v was accepted", c)
		}
	}
}
