package control

import (
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"liftgauge/internal/agent"
	"liftgauge/internal/operator"
	"liftgauge/internal/protocol"
)

// Two of three stores are lost for good, one more than FaultTolerance covers: partitions with members on both wait, and status lists the disks that
// they wait for, until the operator abandons these. Abandoning is rejected for a store that has a session, a preview of it changes nothing, and it
// survives a change of the primary.
func TestLostStoresCanBeAbandoned(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.startAll()
	stores := []*fakeStore{c.startStore(30, "disk"), c.startStore(31, "disk"), c.startStore(32, "disk")}
	watch := c.startDispatcher(21)
	members := []string{stores[0].member, stores[1].member, stores[2].member}
	c.await(watch, "the first table", func(v *agent.View) bool { return placed(v, members...) })
	client := c.client()

	var refused *operator.RefusedError
	_, err := client.Abandonment(c.ctx, "storage-99")
	is.True(errors.As(err, &refused) && refused.Status == http.StatusNotFound)
	_, err = client.Abandon(c.ctx, stores[0].name)
	is.True(errors.As(err, &refused) && refused.Status == http.StatusConflict)

	stores[0].Close()
	stores[1].Close()
	c.await(watch, "the end of two sessions", func(v *agent.View) bool { return len(v.Live(protocol.RoleStore)) == 1 })
	status, err := client.Status(c.ctx)
	is.NoErr(err)
	waiting := status.Partitions.Waiting
	is.True(waiting > 0)
	is.Equal(status.Partitions.WaitsFor, members[:2])

	preview, err := client.Abandonment(c.ctx, stores[0].name)
	is.NoErr(err)
	is.Equal(preview.Stores, members[:1])
	is.Equal(preview.Waiting, waiting) // still for the other store
	is.True(preview.Kept > 0)
	again, err := client.Abandonment(c.ctx, stores[0].name)
	is.NoErr(err)
	is.Equal(again, preview) // the preview changed nothing

	_, err = client.Abandon(c.ctx, stores[0].name)
	is.NoErr(err)
	c.kill(c.primary())
	preview, err = client.Abandonment(c.ctx, stores[1].name)
	is.NoErr(err)
	is.Equal(preview.Emptied+preview.Incomplete, waiting) // the third may have become a learner after the first was lost
	_, err = client.Abandon(c.ctx, stores[1].name)
	is.NoErr(err)
	fourth := c.startStore(33, "disk")
	c.await(watch, "partitions on the remaining stores", func(v *agent.View) bool { return placed(v, stores[2].member, fourth.member) })
	status, err = client.Status(c.ctx)
	is.NoErr(err)
	is.Equal(status.Partitions.Waiting, 0)

	c.startStore(30, "disk") // an abandoned store returns
	c.eventually("its disk not to be abandoned any longer", func() bool {
		status, err := client.Status(c.ctx)
		is.NoErr(err)
		for _, s := range status.Stores {
			if s.Member == members[0] {
				return s.Live && !s.Abandoned
			}
		}
		return false
	})
}
