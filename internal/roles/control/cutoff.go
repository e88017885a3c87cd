package control

import (
	"time"

	"liftgauge/internal/protocol"
)

const (
	// overdueWithin is how much sooner than its session's end a store counts as silent: heartbeats of several stores do not end at one moment.
	overdueWithin = 250 * time.Millisecond
	// takeOverPatience is how long a primary that hears too few stores leaves their sessions open for another to take over.
	takeOverPatience = time.Second
	// takeOverPause is how long after that it takes the silence for the stores' own; newPrimaryPause the same after it became primary.
	takeOverPause   = 10 * time.Second
	newPrimaryPause = 3 * time.Second
)

// cutOff is what a primary does when it is more likely cut off from the stores than these are gone.
type cutOff struct {
	until time.Duration // sessions do not expire before
	next  time.Duration // no other member is asked before
}

// awaitsTakeOver tells whether sessions are to stay open, as most stores fell silent at once, in more than one zone: no tolerated loss does that, but
// a cut around this process does, and other members may hear the stores. One of them is asked to become primary; its deadlines begin anew.
func (p *primary) awaitsTakeOver(now time.Duration) bool {
	c := &p.cutOff
	if now >= c.until && (now < c.next || now-p.since < newPrimaryPause || !p.hearsTooFewStores(now)) {
		return false
	}
	if now >= c.until {
		c.until, c.next = now+takeOverPatience, now+takeOverPatience+takeOverPause
		p.daemon.logger.Warn("control: most stores fell silent at once; another member is asked to take over")
	}
	p.daemon.act(p.daemon.elector.HandOver(now))
	return true
}

// hearsTooFewStores tells whether a session of a store is over, and more than half of all stores are silent, more than may be lost, in several zones.
func (p *primary) hearsTooFewStores(now time.Duration) bool {
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
	silent := p.sessions.ExpiringWithin(now, role, overdueWithin)
	zones := make(map[string]bool)
	for _, n := range silent {
		zones[n.Region+"/"+n.Zone] = true
	}
	return len(zones) > 1 && 2*len(silent) > stores && len(silent) >= p.daemon.settings.Copies()
}
