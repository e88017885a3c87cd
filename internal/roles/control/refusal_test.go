package control

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
)

// extendSession lets a session go without heartbeats for an hour.
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

// TestSessionOfAStoreThatRefusesConnectionsEnds has a store that ends without a word, and a session that would not expire.
func TestSessionOfAStoreThatRefusesConnectionsEnds(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	one, other := c.startStore(30, "disk"), c.startStore(31, "disk")
	c.await(other.Agent, "both stores", func(v *agent.View) bool { return len(v.Live(protocol.RoleStore)) == 2 })
	c.extendSession("storage-30/store")
	one.Close()
	c.await(other.Agent, "the end of the session", func(v *agent.View) bool { return len(v.Live(protocol.RoleStore)) == 1 })
}

// TestStoreThatIsLostWithThePrimaryIsNoticed kills a store right after control's primary: no connection to the next one breaks. There its session would not
// expire.
func TestStoreThatIsLostWithThePrimaryIsNoticed(t *testing.T) {
	c := newCluster(t, 4)
	c.startAll()
	one, other := c.startStore(30, "disk"), c.startStore(31, "disk")
	c.await(other.Agent, "both stores", func(v *agent.View) bool { return len(v.Live(protocol.RoleStore)) == 2 })
	c.eventually("all processes to be no newcomers", func() bool {
		newcomers := false
		for _, m := range c.machines {
			m.onLoop(c, func(d *daemon) { newcomers = newcomers || d.now()-d.startedAt < startupPeriod })
		}
		return !newcomers
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

// TestConnectionThatOnlyBreaksEndsNoSession breaks the connections of a store that goes on to listen.
func TestConnectionThatOnlyBreaksEndsNoSession(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.startAll()
	store := c.startStore(30, "disk")
	c.await(store.Agent, "the store", func(v *agent.View) bool { return len(v.Live(protocol.RoleStore)) == 1 })
	address := store.Node().Address
	c.primary().onLoop(c, func(d *daemon) { is.True(!d.refusesConnections(address)) })
}

func TestRefusalIsNotSilence(t *testing.T) {
	is := is.New(t)
	d := &daemon{stopped: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.True(!d.refusesConnections(address)) // somebody listens
	is.NoErr(listener.Close())
	is.True(d.refusesConnections(address))
	close(d.stopped)
	is.True(!d.refusesConnections(address)) // the own process ends meanwhile
}
