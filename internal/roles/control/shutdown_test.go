package control

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
)

// runUntilCancelled serves a started process as Run does.
func (c *cluster) runUntilCancelled(m *machine) (end func() error) {
	ctx, cancel := context.WithCancel(c.ctx)
	done := make(chan error, 1)
	p := m.process
	m.process = nil // serve closes the process
	p.grace, p.handOverTimeout = testTimeout, testTimeout
	go func() { done <- p.serve(ctx) }()
	return func() error {
		cancel()
		select {
		case err := <-done:
			return err
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
	}
}

// hasOtherPrimary reports whether the view of any running process has another primary than the given member.
func (c *cluster) hasOtherPrimary(member string) bool {
	known := false
	for _, m := range c.machines {
		if m.process != nil {
			m.onLoop(c, func(d *daemon) { known = known || d.elector.View().Primary != member })
		}
	}
	return known
}

func TestPlannedShutdownOfThePrimary(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.startAll()
	dispatcher := c.startDispatcher(20)
	base := uint64(0)
	for range 3 {
		c.awaitMembers(3)
		old := c.primary()
		member := old.process.self.Member
		end := c.runUntilCancelled(old)
		is.NoErr(end())
		is.True(c.hasOtherPrimary(member)) // it shut down only when there was a successor
		next := c.primary()
		next.onLoop(c, func(d *daemon) { is.True(!d.elector.View().Includes(member)) }) // writes do not wait for the process that shut down
		is.Equal(c.replace(next, base, configurationOf(base+1, "x")), http.StatusOK)
		base++
		c.await(dispatcher, "the end of the session", func(v *agent.View) bool { return len(v.Live(protocol.RoleControl)) == 3 })
		c.start(old)
		c.await(dispatcher, "the session after its restart", func(v *agent.View) bool { return len(v.Live(protocol.RoleControl)) == 4 })
	}
}

func TestOrdersContinueDuringARollingRestart(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.startAll()
	is.Equal(c.replace(c.machine(1), 0, configurationOf(1, "x")), http.StatusOK)
	operator := &cluster{t: t, ctx: c.ctx, machines: make(map[string]*machine)}
	for name, m := range c.machines {
		operator.machines[name] = &machine{settings: m.settings} // addresses only
	}
	stop := make(chan struct{})
	last := make(chan uint64, 1)
	go func() {
		base := uint64(1)
		for {
			select {
			case <-stop:
				last <- base
				return
			default:
			}
			if status := operator.replace(operator.machine(1+int(base)%4), base, configurationOf(base+1, "x")); status != http.StatusOK {
				t.Errorf("order %d: %d", base+1, status)
				last <- base
				return
			}
			base++
		}
	}()
	for host := 1; host <= 4; host++ {
		c.awaitMembers(3)
		m := c.machine(host)
		is.NoErr(c.runUntilCancelled(m)())
		c.start(m)
	}
	close(stop)
	select {
	case acknowledged := <-last:
		revision, _ := c.described(c.machine(2))
		is.Equal(revision, acknowledged)
	case <-c.ctx.Done():
		t.Fatal("the orders did not stop")
	}
}
