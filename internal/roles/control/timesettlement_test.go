package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"liftgauge/internal/agent"
	"liftgauge/internal/machineclock/clocktest"
	"liftgauge/internal/protocol"
	"liftgauge/replication"
	"liftgauge/workerlist"
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
				primary.onLoop(c, func(d *daemon) { settled = d.primary != nil && d.primary.settlement.settled })
				return settled
			})
			gained := primary.process.agent.ClusterTime().Sub(before) - time.Since(begin)
			is.True(gained < time.Second)  // not ahead of what has passed
			is.True(gained > -time.Second) // nor much behind
		})
	}
}

// TestReadingOfTheWorkerListWaitsForTheClusterTime guards against a list whose age other processes compute from a time that is not settled.
func TestReadingOfTheWorkerListWaitsForTheClusterTime(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1) // not started, so that no one tells the time
	a, err := agent.Start(agent.Options{Settings: c.settings(20, "control-20"), Role: protocol.RoleControl, Handle: refuseFrames})
	is.NoErr(err)
	t.Cleanup(a.Close)
	d := &daemon{agent: a, loop: newEventLoop(), settings: c.settings(20, "control-20"), logger: zap.NewNop()}
	go d.loop.run(c.ctx, tickInterval, func() {}, func() {})
	r := newListReader(d)
	r.term, r.reader = 1, workerlist.NewReader(workerlist.Options{RatePerS: 100})
	m := &machine{process: &process{daemon: d}}
	m.onLoop(c, func(*daemon) { r.publish() })
	var published protocol.ItemVersion
	m.onLoop(c, func(*daemon) { published = r.published.version })
	is.Equal(published, protocol.ItemVersion{})

	settled := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	a.SetClusterTime(time.Duration(settled.UnixNano()))
	c.await(a, "the list", func(v *agent.View) bool { return v.WorkersVersion.Term == 1 })
	is.True(a.View().Workers.ReadAt >= settled.Add(-testTimeout).UnixNano())
}
