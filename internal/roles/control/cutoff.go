package control

import (
	"time"

	"liftgauge/internal/protocol"
)

const (
	// expiryMargin is how much sooner than its session's end a store counts as silent: heartbeats of several stores do not end at one moment.
	expiryMargin = 250 * time.Millisecond
	// takeOverTimeout is how long a primary that hears too few stores leaves their sessions open for another to take over.
	takeOverTimeout = time.Second
	// takeOverCooldown is how long after that it takes the silence for the stores' own; newPrimaryCooldown the same after it became primary.
	takeOverCooldown   = 10 * time.Second
	newPrimaryCooldown = 3 * time.Second
)

// cutOff is what a primary does when it is more likely cut off from the stores than these are gone.
type cutOff struct {
	holdUntil   time.Duration // sessions do not expire before
	nextRequest time.Duration // no other member is asked before
}

// awaitsTakeOver tells whether sessions are to stay open, as most stores fell silent at once, in more than one zone: no tolerated loss does that, but
// a cut around this process does, and other members may hear the stores. One of them is asked to become primary; its deadlines begin anew.
func (p *primary) awaitsTakeOver(now time.Duration) bool {
	c := &p.cutOff
	if now >= c.holdUntil && (now < c.nextRequest || now-p.since < newPrimaryCooldown || !p.tooFewStoresResponsive(now)) {
		return false
	}
	if now >= c.holdUntil {
		c.holdUntil, c.nextRequest = now+takeOverTimeout, now+takeOverTimeout+takeOverCooldown
		p.daemon.logger.Warn("control: most stores fell silent at once; another member is asked to take over")
	}
	p.daemon.execute(p.daemon.elector.HandOver(now))
	return true
}

// tooFewStoresResponsive tells whether a session of a store is over, and more than half of all stores are silent, more than may be lost, in several zones.
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
