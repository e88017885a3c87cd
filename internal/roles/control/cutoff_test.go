package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/replication"
)

// heartbeatInterval is the interval at which the stores of these tests send heartbeats.
const heartbeatInterval = 100 * time.Millisecond

// newPrimaryOfStores returns a primary with a session of each store, two in each of the zones a, b and c, at time 0.
func newPrimaryOfStores(tolerance nodeconfig.FaultTolerance) *primary {
	d := &daemon{logger: zap.NewNop(), settings: &nodeconfig.Settings{FaultTolerance: tolerance}}
	d.elector = replication.NewElector(replication.ElectorOptions{Self: replication.Peer{Member: "control"}})
	m := newModel()
	for i, zone := range []string{"a", "a", "b", "b", "c", "c"} {
		key := fmt.Sprint("store", i)
		m.nodes[key] = protocol.Node{Key: key, Member: key, Role: protocol.RoleStore, Zone: zone, Incarnation: 1}
	}
	return &primary{daemon: d, model: m, sessions: newSessions(0, m), placement: newPlacementState(0)}
}

// simulateHeartbeats advances the time from one value to another while the stores for which responsive is true send heartbeats. It returns how long
// after the beginning sessions were first held open for another member to take over, or -1, and for how long they were held open.
func simulateHeartbeats(p *primary, from, to time.Duration, responsive func(protocol.Node) bool) (first, heldOpen time.Duration) {
	first = -1
	for now := from; now < to; now += heartbeatInterval {
		for _, n := range p.model.nodes {
			if responsive(n) {
				p.sessions.Renew(now, sessionNode(n))
			}
		}
		if p.awaitsTakeOver(now) {
			if first < 0 {
				first = now - from
			}
			heldOpen += heartbeatInterval
		}
	}
	return first, heldOpen
}

func TestPrimaryWithTooFewResponsiveStoresAwaitsTakeOver(t *testing.T) {
	all := func(protocol.Node) bool { return true }
	inZones := func(zones string) func(protocol.Node) bool {
		return func(n protocol.Node) bool { return strings.Contains(zones, n.Zone) }
	}
	for name, c := range map[string]struct {
		responsive func(protocol.Node) bool
		waits      bool
	}{
		"all stores are responsive":              {all, false},
		"one zone is lost":                       {inZones("ac"), false},
		"one store in each of two zones is lost": {func(n protocol.Node) bool { return n.Key != "store0" && n.Key != "store2" }, false},
		"two zones are lost":                     {inZones("a"), true},
		"all stores are lost":                    {inZones(""), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPrimaryOfStores(nodeconfig.FaultTolerance{Machines: 2})
			first, _ := simulateHeartbeats(p, 0, newPrimaryCooldown, all)
			is.Equal(first, time.Duration(-1))
			first, heldOpen := simulateHeartbeats(p, newPrimaryCooldown, newPrimaryCooldown+5*time.Second, c.responsive)
			if !c.waits {
				is.Equal(first, time.Duration(-1))
				return
			}
			is.True(first >= storeExpiry-heartbeatInterval && first <= storeExpiry+heartbeatInterval)
			is.True(heldOpen >= takeOverTimeout && heldOpen <= takeOverTimeout+heartbeatInterval) // after that the stores count as lost
		})
	}
}

// A new primary may be the member that was requested to take over, so it does not hand over in turn.
func TestNewPrimaryDoesNotHandOver(t *testing.T) {
	is := is.New(t)
	p := newPrimaryOfStores(nodeconfig.FaultTolerance{Machines: 2})
	first, _ := simulateHeartbeats(p, 0, newPrimaryCooldown-heartbeatInterval, func(protocol.Node) bool { return false })
	is.Equal(first, time.Duration(-1))
}
