package lab

import (
	"fmt"
	"sync"
	"time"
)

// hostRules is what the protocol asks of all dispatchers towards a host, with what the host can do.
type hostRules struct {
	Told     time.Duration // after its drain is listed a dispatcher counts as told
	Grace    time.Duration // from then on, for what is on its way
	Start    float64       // share of its capacity that a cold host has
	Warm     time.Duration // until it has all of it
	Overload float64       // times what it can do at that moment, for Fall, push it over
	Fall     time.Duration
	Slots    int
}

// rulesOfClusters are those of the settings that the laboratory's daemons have.
func rulesOfClusters(slots int) hostRules {
	return hostRules{Told: 6 * time.Second, Grace: 500 * time.Millisecond, Start: 0.3, Warm: 8 * time.Second, Overload: 2.5, Fall: 2 * time.Second, Slots: slots}
}

// hostJudge follows one host: what was said of it, and what came. It is safe for concurrent use.
type hostJudge struct {
	rules hostRules

	mu      sync.Mutex
	drained time.Duration // since when its drain counts as told; 0: it does not drain
	cold    time.Duration // when it came back; 0: never
	came    []work        // since then
	late    time.Duration // the most that a job came after it counted as told
	fullest float64       // the most work in a window, over what pushes it over then
	broken  []string
}

type work struct {
	at    time.Duration
	takes time.Duration
}

// drains says that its drain is listed. Where nothing keeps that from the dispatchers they are told now.
func (j *hostJudge) drains(now time.Duration, open bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.drained = now; !open {
		j.drained += j.rules.Told
	}
}

// returns says that it is listed again, as a process that has just started.
func (j *hostJudge) returns(now time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drained, j.cold, j.came = 0, now, nil
}

// took says that a job has come, and how long it takes at full speed.
func (j *hostJudge) took(now time.Duration, takes time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.drained > 0 && now > j.drained {
		if j.late = max(j.late, now-j.drained); now > j.drained+j.rules.Grace {
			j.broken = append(j.broken, fmt.Sprintf("drain: a job came %v after the dispatcher was told", (now-j.drained).Round(time.Millisecond)))
		}
	}
	if j.cold == 0 || now-j.cold > j.rules.Warm+j.rules.Fall {
		return
	}
	j.came = append(j.came, work{now, takes})
	from := max(j.cold, now-j.rules.Fall)
	var sum time.Duration
	for _, w := range j.came {
		if w.at >= from {
			sum += w.takes
		}
	}
	// What it can do between the beginning of the window and its end, which may not have come: more can only come to it.
	bear := j.rules.Overload * float64(j.rules.Slots) * j.capacity(from-j.cold, from-j.cold+j.rules.Fall)
	share := sum.Seconds() / bear
	if j.fullest = max(j.fullest, share); share > 1 {
		j.broken = append(j.broken, fmt.Sprintf("cold: %v of work within %v of a host that can bear %.3gs, %v after its start", sum, j.rules.Fall, bear, (now-j.cold).Round(time.Millisecond)))
	}
}

// capacity is what one slot can do between two ages, in seconds: it warms evenly.
func (j *hostJudge) capacity(from, to time.Duration) float64 {
	done := func(age time.Duration) float64 {
		x, warm := age.Seconds(), j.rules.Warm.Seconds()
		if x >= warm {
			return warm*(1+j.rules.Start)/2 + x - warm
		}
		return j.rules.Start*x + (1-j.rules.Start)*x*x/(2*warm)
	}
	return done(to) - done(from)
}

// verdict is what was broken, how late the latest job after a drain was, and how near a cold host came to falling over (1: it did).
func (j *hostJudge) verdict() (broken []string, late time.Duration, fullest float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.broken, j.late, j.fullest
}
