package control

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"liftgauge/configuration"
	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
	"liftgauge/replication"
)

func TestOrdersAreAcceptedAtAnyProcess(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.startAll()
	dispatcher := c.startDispatcher(20)
	base := uint64(0)
	for host := 1; host <= 4; host++ {
		next := base + 3
		is.Equal(c.replace(c.machine(host), base, configurationOf(next, "x")), http.StatusOK)
		base = next
		for other := 1; other <= 4; other++ {
			revision, body := c.described(c.machine(other))
			is.Equal(revision, base)
			is.Equal(body, string(configurationOf(next, "x"))) // byte for byte as it was sent
		}
	}
	c.await(dispatcher, "the configuration at a dispatcher", func(v *agent.View) bool {
		return string(v.Configuration) == string(configurationOf(base, "x"))
	})
	is.Equal(c.replace(c.machine(1), base, configurationOf(base, "y")), http.StatusBadRequest)             // not a higher revision
	is.Equal(c.replace(c.machine(2), base-1, configurationOf(base+1, "y")), http.StatusPreconditionFailed) // another version is current
	is.Equal(c.replace(c.machine(3), base, []byte(`{"Revision":`)), http.StatusBadRequest)
}

func TestAnotherProcessTakesOverWhenThePrimaryIsKilled(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.startAll()
	is.Equal(c.replace(c.machine(1), 0, configurationOf(1, "first")), http.StatusOK)
	base := uint64(1)
	for range 3 {
		old := c.primary()
		before := old.epoch(c)
		c.kill(old)
		is.Equal(c.replace(old, base, configurationOf(base+1, "next")), http.StatusOK) // the client tries other processes by itself
		base++
		is.True(c.primary().epoch(c) > before)
		revision, _ := c.described(c.primary())
		is.Equal(revision, base)
		is.Equal(c.replace(c.primary(), 0, configurationOf(1, "first")), http.StatusOK) // accepted before, by another primary
		c.start(old)
		c.awaitMembers(3)
	}
}

// epoch returns the epoch of the view that a process has.
func (m *machine) epoch(c *cluster) (epoch uint64) {
	m.onLoop(c, func(d *daemon) { epoch = d.elector.View().Epoch })
	return epoch
}

// awaitMembers waits until the view has this number of members and none of them blocks writes.
func (c *cluster) awaitMembers(members int) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("a view of %d members", members), func() bool {
		complete := false
		c.primary().onLoop(c, func(d *daemon) {
			complete = d.primary != nil && len(d.elector.View().Members) == members && len(d.replica.BlockingPeers()) == 0
		})
		return complete
	})
}

func TestStateIsRestoredFromDisk(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.startAll()
	for revision := uint64(1); revision <= 5; revision++ {
		is.Equal(c.replace(c.machine(1+int(revision)%4), revision-1, configurationOf(revision, "x")), http.StatusOK)
	}
	for _, m := range c.machines {
		c.kill(m)
	}
	c.noBootstrap()
	c.startAll()
	revision, body := c.described(c.machine(2))
	is.Equal(revision, uint64(5))
	is.Equal(body, string(configurationOf(5, "x")))
	for revision := uint64(1); revision <= 5; revision++ { // each order is recognized by its hash
		is.Equal(c.replace(c.machine(3), revision-1, configurationOf(revision, "x")), http.StatusOK)
		is.Equal(c.replace(c.machine(3), revision-1, configurationOf(revision, "y")), http.StatusPreconditionFailed) // same number, other content
	}
	is.Equal(c.replace(c.machine(4), 5, configurationOf(6, "x")), http.StatusOK)
}

func TestProcessWithEmptyDiskReturnsAsAnotherMember(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.startAll()
	is.Equal(c.replace(c.machine(1), 0, configurationOf(1, "x")), http.StatusOK)
	c.awaitMembers(3)
	wiped := c.primary()
	before := wiped.process.self.Member
	c.kill(wiped)
	c.noBootstrap()
	c.wipe(wiped)
	c.start(wiped)
	member := wiped.process.self.Member
	is.True(member != before)
	is.Equal(c.replace(wiped, 1, configurationOf(2, "x")), http.StatusOK) // redirected
	c.eventually("the new member among the witnesses, without the old one", func() bool {
		var view replication.ControlView
		c.primary().onLoop(c, func(d *daemon) { view = d.elector.View() })
		return view.IsWitness(member) && !view.IsWitness(before)
	})
	c.awaitMembers(3)
	for host := 1; host <= 4; host++ {
		revision, _ := c.described(c.machine(host))
		is.Equal(revision, uint64(2))
	}
	is.Equal(c.replace(wiped, 0, configurationOf(1, "x")), http.StatusOK)
}

func TestDeposedPrimaryDoesNotDescribe(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.startAll()
	is.Equal(c.replace(c.machine(1), 0, configurationOf(1, "old")), http.StatusOK)
	c.awaitMembers(3)
	old := c.primary()
	frozen, thaw := make(chan struct{}), make(chan struct{})
	old.process.loop.post(func() { close(frozen); <-thaw })
	<-frozen
	// Calls of the operator are the first functions in the queue of the frozen process.
	described := make(chan response, 1)
	ordered := make(chan response, 1)
	d := old.process.daemon
	d.loop.post(func() {
		d.withPrimary(func(p *primary) { p.describe(func(a response) { described <- a }) }, func(a response) { described <- a })
	})
	stale := configuration.Order{Verb: configuration.VerbReplace, Base: 2, Body: configurationOf(3, "new")}
	d.loop.post(func() { d.submitOrder(stale, stale.Hash(), func(a response) { ordered <- a }) })

	others := &cluster{t: t, ctx: c.ctx, machines: make(map[string]*machine)}
	for name, m := range c.machines {
		if m != old {
			others.machines[name] = m
		}
	}
	is.Equal(others.replace(others.primary(), 1, configurationOf(2, "new")), http.StatusOK)
	close(thaw)
	is.True((<-described).status != http.StatusOK) // version 1 is outdated
	refused := (<-ordered).status                  // a valid order based on version 2, which the frozen process had not received
	is.True(refused == http.StatusServiceUnavailable || refused == http.StatusTemporaryRedirect)
	revision, _ := c.described(old)
	is.Equal(revision, uint64(2))
	is.Equal(c.replace(old, 2, configurationOf(3, "new")), http.StatusOK)
}

func TestVersionsOfItemsNeverDecrease(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.startAll()
	dispatcher := c.startDispatcher(20)
	type seen struct{ nodes, control, configuration protocol.ItemVersion }
	var last seen
	bodies := make(map[protocol.ItemVersion]string)
	dispatcher.Subscribe(func(v *agent.View, _ []protocol.ItemKind) {
		now := seen{v.NodesVersion, v.ControlVersion, v.ConfigurationVersion}
		if now.nodes.Less(last.nodes) || now.control.Less(last.control) || now.configuration.Less(last.configuration) {
			t.Errorf("versions decreased from %+v to %+v", last, now)
		}
		last = now
		if known, ok := bodies[v.ConfigurationVersion]; ok && known != string(v.Configuration) {
			t.Errorf("two different configurations with version %+v", v.ConfigurationVersion)
		}
		bodies[v.ConfigurationVersion] = string(v.Configuration)
	})
	for revision := uint64(1); revision <= 3; revision++ {
		body := configurationOf(revision, "x")
		is.Equal(c.replace(c.machine(1), revision-1, body), http.StatusOK)
		c.await(dispatcher, "the configuration", func(v *agent.View) bool { return string(v.Configuration) == string(body) })
		old := c.primary()
		c.kill(old)
		c.start(old)
		c.primary()
	}
}
