package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/agent"
	"liftgauge/internal/machineclock/clocktest"
	"liftgauge/replication"
)

// awaitCheckpoints waits until each process of control has kept the cluster time on its disk.
func (c *cluster) awaitCheckpoints() {
	c.t.Helper()
	for _, m := range c.machines {
		c.eventually("a checkpoint of the cluster time", func() bool {
			_, found, err := m.process.storage.Get(replication.LocalGroup, "cluster-time")
			return found && err == nil
		})
	}
}

// TestClusterTimeGoesOnWhenAllOfControlRestarts guards against a cluster time that begins with the time of day of the first primary.
func TestClusterTimeGoesOnWhenAllOfControlRestarts(t *testing.T) {
	tests := map[string]struct {
		power      bool            // the machines lose power
		wallErrors []time.Duration // by which their times of day jump
		stores     bool            // keep running meanwhile
	}{
		"on machines that have been running":               {false, []time.Duration{-4 * time.Second, 4 * time.Second, 4 * time.Second}, false},
		"on machines of which one has the right time":      {true, []time.Duration{4 * time.Second, 4 * time.Second, 0}, false},
		"on machines with wrong times, and stores know it": {true, []time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 3)
			clocks := make([]clocktest.Clocks, 3)
			for i := range clocks {
				clocks[i].Boot("first", time.Hour)
				c.machine(i + 1).clocks = clocks[i].Read
			}
			c.startAll()
			stores := []*fakeStore{c.startStore(30, "d"), c.startStore(31, "d")}
			c.await(stores[0].Agent, "partitions", func(v *agent.View) bool { return placed(v, stores[0].member, stores[1].member) })
			c.awaitCheckpoints()
			if !test.stores {
				for _, s := range stores {
					s.Close()
				}
			}
			before, begin := c.primary().process.agent.ClusterTime(), time.Now()
			c.noBootstrap()
			for i, wallError := range test.wallErrors {
				c.kill(c.machine(i + 1))
				clocks[i].Step(wallError)
				if test.power {
					clocks[i].Boot("second", time.Duration(i+1)*time.Hour)
				}
			}
			c.startAll()
			primary := c.primary()
			c.eventually("a settled cluster time", func() (settled bool) {
				primary.onLoop(c, func(d *daemon) { settled = d.primary != nil && d.primary.clusterTime.settled })
				return settled
			})
			gained := primary.process.agent.ClusterTime().Sub(before) - time.Since(begin)
			is.True(gained < time.Second)  // not ahead of what has passed
			is.True(gained > -time.Second) // nor much behind
		})
	}
}
