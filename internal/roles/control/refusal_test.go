package control

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
)

// extendSession keeps a session open for an hour without heartbeats.
func (c *cluster) extendSession(key string) {
	c.t.Helper()
	c.primary().onLoop(c, func(d *daemon) {
		node, ok := d.primary.sessions.Get(key)
		if !ok {
			c.t.Errorf("%s has no session", key)
			return
		}
		d.primary.sessions.Renew(d.now()+time.Hour, node)
	})
}

// TestSessionOfAStoreThatRefusesConnectionsEnds stops a store without notification while its session is far from expiring.
func TestSessionOfAStoreThatRefusesConnectionsEnds(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	one, other := c.startStore(30, "disk"), c.startStore(31, "disk")
	c.await(other.Agent, "both stores", func(v *agent.View) bool { return len(v.Live(protocol.RoleStore)) == 2 })
	c.extendSession("storage-30/store")
	one.Close()
	c.await(other.Agent, "the end of the session", func(v *agent.View) bool { return len(v.Live(protocol.RoleStore)) == 1 })
}

// TestStoreLostTogetherWithThePrimaryIsDetected kills a store right after control's primary, so that no connection to the next primary breaks, where
// the session of the store is far from expiring.
func TestStoreLostTogetherWithThePrimaryIsDetected(t *testing.T) {
	c := newCluster(t, 4)
	c.startAll()
	one, other := c.startStore(30, "disk"), c.startStore(31, "disk")
	c.await(other.Agent, "both stores", func(v *agent.View) bool { return len(v.Live(protocol.RoleStore)) == 2 })
	c.eventually("the end of the startup period of all processes", func() bool {
		starting := false
		for _, m := range c.machines {
			m.onLoop(c, func(d *daemon) { starting = starting || d.now()-d.startedAt < startupPeriod })
		}
		return !starting
	})
	c.kill(c.primary())
	one.Close()
	c.primary().onLoop(c, func(d *daemon) {
		if node, ok := d.primary.sessions.Get("storage-30/store"); ok {
			d.primary.sessions.Renew(d.now()+time.Hour, node)
		}
	})
	c.await(other.Agent, "the end of the session", func(v *agent.View) bool { return len(v.Live(protocol.RoleStore)) == 1 })
}

// A store that still listens does not count as refusing connections, so a broken connection alone does not end its session.
func TestStoreThatStillListensDoesNotRefuseConnections(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.startAll()
	store := c.startStore(30, "disk")
	c.await(store.Agent, "the store", func(v *agent.View) bool { return len(v.Live(protocol.RoleStore)) == 1 })
	address := store.Node().Address
	c.primary().onLoop(c, func(d *daemon) { is.True(!d.refusesConnections(address)) })
}

func TestOnlyAnAddressWithoutListenerRefusesConnections(t *testing.T) {
	is := is.New(t)
	d := &daemon{stopped: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.True(!d.refusesConnections(address)) // a listener exists
	is.NoErr(listener.Close())
	is.True(d.refusesConnections(address))
	close(d.stopped)
	is.True(!d.refusesConnections(address)) // this process is shutting down
}
