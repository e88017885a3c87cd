package control

import (
	"time"

	"liftgauge/internal/protocol"
)

const (
	// expiryMargin is how long before the end of its session a store counts as unresponsive, since the last heartbeats of several stores do not
	// arrive at the same moment.
	expiryMargin = 250 * time.Millisecond
	// takeOverTimeout is how long a primary that receives heartbeats from too few stores holds their sessions open for another member to take over.
	takeOverTimeout = time.Second
	// For takeOverCooldown after that, and for newPrimaryCooldown after becoming primary, it attributes missing heartbeats to the stores and
	// requests no take-over.
	takeOverCooldown   = 10 * time.Second
	newPrimaryCooldown = 3 * time.Second
)

// cutOff is the state of a primary that is more likely to be partitioned from the stores than the stores are to be lost.
type cutOff struct {
	holdUntil   time.Duration // sessions do not expire before this
	nextRequest time.Duration // no further take-over is requested before this
}

// awaitsTakeOver reports whether sessions are held open because most stores, in more than one zone, became unresponsive at once. No tolerated loss
// causes that, but a network partition around this process does, and other members may still receive the stores' heartbeats. One of them is
// requested to become primary; it starts all session deadlines anew.
func (p *primary) awaitsTakeOver(now time.Duration) bool {
	c := &p.cutOff
	if now >= c.holdUntil && (now < c.nextRequest || now-p.since < newPrimaryCooldown || !p.tooFewStoresResponsive(now)) {
		return false
	}
	if now >= c.holdUntil {
		c.holdUntil, c.nextRequest = now+takeOverTimeout, now+takeOverTimeout+takeOverCooldown
		p.daemon.logger.Warn("control: most stores became unresponsive at once; requesting another member to take over")
	}
	p.daemon.execute(p.daemon.elector.HandOver(now))
	return true
}

// tooFewStoresResponsive reports whether the session of a store is due to expire while more than half of all stores, more than the tolerated losses
// and in several zones, are unresponsive.
func (p *primary) tooFewStoresResponsive(now time.Duration) bool {
	role := uint8(protocol.RoleStore)
	if len(p.sessions.ExpiringWithin(now, role, 0)) == 0 {
		return false
	}
	stores := 0
	for _, n := range p.model.nodes {
		if n.Role == protocol.RoleStore {
			stores++
		}
	}
	unresponsive := p.sessions.ExpiringWithin(now, role, expiryMargin)
	zones := make(map[string]bool)
	for _, n := range unresponsive {
		zones[n.Region+"/"+n.Zone] = true
	}
	return len(zones) > 1 && 2*len(unresponsive) > stores && len(unresponsive) >= p.daemon.settings.Copies()
}
