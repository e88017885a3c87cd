package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// injectRandomFault injects a random fault that loses no disk, and returns its name. Any number of these faults at any time must not lose
// acknowledged writes, although they may prevent new acknowledgements.
func (c *cluster) injectRandomFault() string {
	p := c.procs[c.random.IntN(len(c.procs))]
	other := c.procs[c.random.IntN(len(c.procs))]
	duration := c.between(5*time.Millisecond, 1500*time.Millisecond)
	switch kind := c.random.IntN(12); {
	case kind < 2 && p.running:
		p.stop(kind == 0)
		c.after(duration, func() { c.restart(p) })
		return "stop " + p.machine
	case kind < 3:
		for _, q := range c.procs {
			if q.running {
				q.stop(true)
				c.after(c.between(0, 600*time.Millisecond), func() { c.restart(q) })
			}
		}
		return "power everywhere"
	case kind < 5:
		p.pausedUntil = c.now + duration
		return fmt.Sprintf("pause %s for %v", p.machine, duration)
	case kind < 8 && p != other:
		c.block(p, other, true)
		c.after(duration, func() { c.block(p, other, false) })
		return fmt.Sprintf("cut %s to %s for %v", p.machine, other.machine, duration)
	case kind < 9:
		c.isolate(p, true, true)
		c.after(duration, func() { c.isolate(p, false, false) })
		return "isolate " + p.machine
	case kind < 10 && p.running:
		p.do(func() { p.act(p.elector.Resign(c.now)) })
		return "resign " + p.machine
	case kind < 11 && p.running:
		p.storage.failing = c.random.IntN(4)
		return "failing disk " + p.machine
	}
	return "nothing"
}

func (c *cluster) restart(p *process) {
	if !p.running {
		p.start()
	}
}

// endFaults restores all links and disks, and restarts stopped and resigned processes.
func (c *cluster) endFaults() {
	for _, p := range c.procs {
		c.isolate(p, false, false)
		p.storage.failing = 0
		if p.running && p.elector.resigned {
			p.stop(false)
		}
		c.restart(p)
	}
}

// In each round, faults are injected at most 200 ms apart, and election messages are delayed or duplicated. After it, one disk is wiped
// while the group is fully replicated.
func TestClusterIsSafeUnderRandomFaults(t *testing.T) {
	t.Parallel()
	acked := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		c := newCluster(seed, rapid.IntRange(3, 4).Draw(rt, "machines"), 3, 1)
		c.lateOneIn = 20
		c.startAll(300 * time.Millisecond)
		for range rapid.IntRange(1, 2).Draw(rt, "storms") {
			for range rapid.IntRange(5, 40).Draw(rt, "troubles") {
				c.injectRandomFault()
				c.run(c.between(0, 200*time.Millisecond))
			}
			c.run(1500 * time.Millisecond)
			c.endFaults()
			c.run(recoveryTime + 3*time.Second)
			if problem := c.checkRecovered(); problem != "" {
				rt.Fatalf("after a series of random faults: %s", problem)
			}
			p := c.procs[c.random.IntN(len(c.procs))]
			p.stop(true)
			p.wipe()
			c.after(c.between(0, 500*time.Millisecond), p.start)
			c.run(recoveryTime)
			if problem := c.checkRecovered(); problem != "" {
				rt.Fatalf("after %s was wiped: %s", p.machine, problem)
			}
		}
		acked += c.ackCount
	})
	t.Logf("%d writes acknowledged", acked)
}

// A primary is paused while it changes its view, and resumes after another primary was decided and has acknowledged writes, which random
// faults rarely produce. It may then become active in the old epoch, but must acknowledge no write and confirm no read there that
// contradicts the new one; the checks of the cluster cover both. The moment at which the pause must begin depends on the random delays, so
// the test tries a range of moments.
func TestPausedPrimaryActivatesAnObsoleteEpoch(t *testing.T) {
	is := is.New(t)
	obsolete := 0
	for moment := range 30 {
		c := newRunningCluster(t, 1, 5, 3)
		c.pauseDuringViewChange(time.Duration(moment) * time.Millisecond)
		is.Equal(c.failure, "")
		is.Equal(c.checkRecovered(), "")
		for i, s := range c.initialStates[1:] {
			if s.epoch < c.initialStates[i].epoch {
				obsolete++
			}
		}
	}
	is.True(obsolete > 0) // some primary became active after one of a later epoch
}

// pauseDuringViewChange isolates a member, which makes the primary change its view, and pauses the primary the given time after it started
// to prepare the new view.
func (c *cluster) pauseDuringViewChange(after time.Duration) {
	primary := c.primary()
	member := c.procs[(slices.Index(c.procs, primary)+1)%len(c.seeds)]
	prepared := false
	c.trace = func(format string, args ...any) {
		if !prepared && format == tracePrepares && args[1] == primary.member() {
			prepared = true
			c.after(after, func() { primary.pausedUntil = c.now + 1500*time.Millisecond })
		}
	}
	c.isolate(member, true, true)
	c.run(4 * time.Second)
	c.isolate(member, false, false)
	c.run(recoveryTime)
}
