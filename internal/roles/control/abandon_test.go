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

// Two of three stores never come back, one more than F: partitions that lie on both rest, and status says for which disks, until the operator gives
// them up. That is refused for a store that is there, changes nothing before it is confirmed, and is kept through a change of the primary.
func TestStoresAreGivenUp(t *testing.T) {
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
	is.Equal(preview.Waiting, waiting) // for the other
	is.True(preview.Kept > 0)
	again, err := client.Abandonment(c.ctx, stores[0].name)
	is.NoErr(err)
	is.Equal(again, preview) // nothing was done

	_, err = client.Abandon(c.ctx, stores[0].name)
	is.NoErr(err)
	c.kill(c.primary())
	preview, err = client.Abandonment(c.ctx, stores[1].name)
	is.NoErr(err)
	is.Equal(preview.Emptied+preview.Incomplete, waiting) // the third may be a learner since the first was gone
	_, err = client.Abandon(c.ctx, stores[1].name)
	is.NoErr(err)
	fourth := c.startStore(33, "disk")
	c.await(watch, "partitions on what is left", func(v *agent.View) bool { return placed(v, stores[2].member, fourth.member) })
	status, err = client.Status(c.ctx)
	is.NoErr(err)
	is.Equal(status.Partitions.Waiting, 0)

	c.startStore(30, "disk") // back all the same
	c.eventually("its disk to count again", func() bool {
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
