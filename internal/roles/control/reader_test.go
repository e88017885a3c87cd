package control

import (
	"fmt"
	"testing"

	"liftgauge/internal/agent"
)

// TestChangeOnAnEarlierPageIsPublished guards against a change on a page before the last of the platform's list that is never published: workers
// that came back with new IDs got no messages, and one that was draining got more of them.
func TestChangeOnAnEarlierPageIsPublished(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(p *platform)
		want   string // the workers after the change: ID and whether it is draining
	}{
		{"restarted", func(p *platform) { p.set("w-4", "w-2", "w-3") }, "[w-2 false w-3 false w-4 false]"},
		{"restarted on the second page", func(p *platform) { p.set("w-1", "w-4", "w-3") }, "[w-1 false w-3 false w-4 false]"},
		{"draining", func(p *platform) { p.drain("w-1") }, "[w-1 true w-2 false w-3 false]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 3)
			list, address := startPlatform(t, "w-1", "w-2", "w-3")
			for _, m := range c.machines {
				m.settings.CloudApi.Address = address
			}
			c.startAll()
			dispatcher := c.startDispatcher(20)
			c.await(dispatcher, "the list", hasWorkers("[w-1 false w-2 false w-3 false]"))
			test.change(list)
			c.await(dispatcher, "the changed list", hasWorkers(test.want))
		})
	}
}

func hasWorkers(want string) func(v *agent.View) bool {
	return func(v *agent.View) bool {
		got := []any{}
		for _, w := range v.Workers.Workers {
			got = append(got, w.ID, w.Draining)
		}
		return fmt.Sprint(got) == want
	}
}
