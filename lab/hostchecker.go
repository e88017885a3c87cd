package lab

import (
	"fmt"
	"sync"
	"time"
)

// hostLimits holds the limits that the protocol sets for what all dispatchers together send to a host, and the host's capacity.
type hostLimits struct {
	NotifiedAfter  time.Duration // after discovery lists the drain, a dispatcher counts as notified
	Grace          time.Duration // from then on, for jobs that are in transit
	StartCapacity  float64       // share of its full capacity that a cold host has
	WarmUp         time.Duration // until a host has its full capacity
	OverloadFactor float64       // multiple of its current capacity that, within OverloadWindow, overloads the host
	OverloadWindow time.Duration
	Slots          int
}

// clusterHostLimits returns the limits that follow from the settings of this package's daemons.
func clusterHostLimits(slots int) hostLimits {
	return hostLimits{NotifiedAfter: 6 * time.Second, Grace: 500 * time.Millisecond, StartCapacity: 0.3, WarmUp: 8 * time.Second, OverloadFactor: 2.5, OverloadWindow: 2 * time.Second, Slots: slots}
}

// hostChecker tracks the listed state of one host and the jobs that it accepts, and records violations of the limits. It is safe for
// concurrent use.
type hostChecker struct {
	limits hostLimits

	mu            sync.Mutex
	drainNotified time.Duration // when dispatchers count as notified of its drain; 0: not draining
	restarted     time.Duration // when it was listed again after a drain; 0: never
	accepts       []acceptedJob // since the restart
	late          time.Duration // the longest time from the notification to an accepted job
	highestLoad   float64       // the highest ratio of work in a window to the amount that overloads the host
	violations    []string
}

type acceptedJob struct {
	at       time.Duration
	duration time.Duration
}

// drain records that discovery lists the host as draining. If discovery is reachable, the dispatchers count as notified at once.
func (c *hostChecker) drain(now time.Duration, reachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drainNotified = now; !reachable {
		c.drainNotified += c.limits.NotifiedAfter
	}
}

// restart records that the host is listed again, as a process that has just started.
func (c *hostChecker) restart(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainNotified, c.restarted, c.accepts = 0, now, nil
}

// accepted records that the host has accepted a job, with the duration of the job at full speed.
func (c *hostChecker) accepted(now time.Duration, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drainNotified > 0 && now > c.drainNotified {
		if c.late = max(c.late, now-c.drainNotified); now > c.drainNotified+c.limits.Grace {
			c.violations = append(c.violations, fmt.Sprintf("drain: a job came %v after the dispatcher was told", (now-c.drainNotified).Round(time.Millisecond)))
		}
	}
	if c.restarted == 0 || now-c.restarted > c.limits.WarmUp+c.limits.OverloadWindow {
		return
	}
	c.accepts = append(c.accepts, acceptedJob{now, duration})
	from := max(c.restarted, now-c.limits.OverloadWindow)
	var sum time.Duration
	for _, w := range c.accepts {
		if w.at >= from {
			sum += w.duration
		}
	}
	// The window may end in the future; its whole capacity counts, since more work can still arrive within it.
	capacity := c.limits.OverloadFactor * float64(c.limits.Slots) * c.capacity(from-c.restarted, from-c.restarted+c.limits.OverloadWindow)
	share := sum.Seconds() / capacity
	if c.highestLoad = max(c.highestLoad, share); share > 1 {
		c.violations = append(c.violations, fmt.Sprintf("cold: %v of work within %v of a host that can bear %.3gs, %v after its start", sum, c.limits.OverloadWindow, capacity, (now-c.restarted).Round(time.Millisecond)))
	}
}

// capacity returns the work in seconds that one slot can do between two ages of the host; its speed rises linearly while it warms up.
func (c *hostChecker) capacity(from, to time.Duration) float64 {
	done := func(age time.Duration) float64 {
		x, warm := age.Seconds(), c.limits.WarmUp.Seconds()
		if x >= warm {
			return warm*(1+c.limits.StartCapacity)/2 + x - warm
		}
		return c.limits.StartCapacity*x + (1-c.limits.StartCapacity)*x*x/(2*warm)
	}
	return done(to) - done(from)
}

// results returns the violations, the longest time from the notification of a drain to an accepted job, and the highest ratio of work to the
// amount that overloads a cold host (above 1: it was overloaded).
func (c *hostChecker) results() (violations []string, late time.Duration, highestLoad float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations, c.late, c.highestLoad
}
