package control

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/clustertime"
	"liftgauge/internal/agent"
	"liftgauge/replication"
)

// testClocks are the clocks of a machine, whose time of day is off.
type testClocks struct {
	mutex     sync.Mutex
	boot      string
	begin     time.Time // of the steady clock
	wallError time.Duration
}

func (t *testClocks) read() clustertime.Reading {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return clustertime.Reading{Boot: t.boot, Steady: time.Since(t.begin), Wall: time.Duration(time.Now().UnixNano()) + t.wallError}
}

// set changes the clocks; a boot of another name begins another steady clock.
func (t *testClocks) set(boot string, wallError time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if boot != t.boot {
		t.boot, t.begin = boot, time.Now().Add(-time.Duration(rand.Int64N(int64(time.Hour))))
	}
	t.wallError = wallError
}

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
		boot       string          // of the restarted machines
		wallErrors []time.Duration // of the restarted machines
		stores     bool            // keep running meanwhile
	}{
		"on machines that have been running":               {"boot", []time.Duration{-4 * time.Second, 4 * time.Second, 4 * time.Second}, false},
		"on machines of which one has the right time":      {"another", []time.Duration{4 * time.Second, 4 * time.Second, 0}, false},
		"on machines with wrong times, and stores know it": {"another", []time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 3)
			clocks := make([]testClocks, 3)
			for i := range clocks {
				clocks[i].set("boot", 0)
				c.machine(i + 1).clocks = clocks[i].read
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
				clocks[i].set(test.boot, wallError)
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
