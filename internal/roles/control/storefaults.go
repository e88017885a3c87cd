package control

import (
	"slices"
	"strings"
	"time"

	"liftgauge/internal/protocol"
)

const (
	// unreachableConfirmTime is how long a store has to be complained of, more than once, before somebody is left out: by then all who are cut off have said so, and
	// it shows on which side the trouble is.
	unreachableConfirmTime = 250 * time.Millisecond
	// reportLifetime is how long a complaint holds that is not repeated.
	reportLifetime = 600 * time.Millisecond
	// unresponsiveAfter is how long a store may not have been heard of for a complaint about it to count: one that has ended or stands still is
	// complained of as well, and to leave out the complainant would leave its partitions to the one that is gone.
	unresponsiveAfter = 350 * time.Millisecond
	// What was left out is tried again after a pause that doubles each time the same trouble comes back, from firstPause to lastPause.
	// Trouble that stayed away for faultFreeReset begins anew.
	unreachableFirstExclusion = 3 * time.Second
	stalledFirstExclusion     = 500 * time.Millisecond
	maxExclusion              = 30 * time.Second
	faultFreeReset            = time.Minute
)

// exclusion says how long something is left out, with a pause that doubles.
type exclusion struct {
	until time.Duration // in force before it
	pause time.Duration
}

// extend keeps the trouble in force from now on, and reports whether it was not before.
func (t *exclusion) extend(now, first time.Duration) (begun bool) {
	if begun = now >= t.until; begun {
		if t.pause == 0 || now-t.until >= faultFreeReset {
			t.pause = first
		} else {
			t.pause = min(2*t.pause, maxExclusion)
		}
	}
	t.until = now + t.pause
	return begun
}

func (t *exclusion) inForce(now time.Duration) bool { return now < t.until }

// pairFault is that two stores cannot reach each other.
type pairFault struct {
	exclusion
	since, last time.Duration // of the complaints that are repeated now; last 0 for none
}

// storeFaults is what the stores' heartbeats say about each other's links and about their disks.
type storeFaults struct {
	pairs         map[[2]string]*pairFault // by the two members in order
	stalled       map[string]*exclusion    // by member
	lastHeartbeat map[string]time.Duration // by member: its last heartbeat
	active        int                      // troubles in force at the last tick
}

func newStoreFaults() storeFaults {
	return storeFaults{pairs: make(map[[2]string]*pairFault), stalled: make(map[string]*exclusion), lastHeartbeat: make(map[string]time.Duration)}
}

// heartbeat notes what a store says, and reports whether there is something new to plan for.
func (t *storeFaults) heartbeat(now time.Duration, h *protocol.Heartbeat) (changed bool) {
	if before, known := t.lastHeartbeat[h.Node.Member]; known && now-before > unresponsiveAfter {
		t.discardReports(h.Node.Member)
	}
	t.lastHeartbeat[h.Node.Member] = now
	for _, other := range h.UnreachablePeers {
		pair := [2]string{min(h.Node.Member, other), max(h.Node.Member, other)}
		fault := t.pairs[pair]
		if fault == nil {
			fault = &pairFault{}
			t.pairs[pair] = fault
		}
		if fault.last == 0 || now-fault.last > reportLifetime {
			fault.since = now
		}
		fault.last = now
	}
	if !h.DiskStalled {
		return false
	}
	fault := t.stalled[h.Node.Member]
	if fault == nil {
		fault = &exclusion{}
		t.stalled[h.Node.Member] = fault
	}
	return fault.extend(now, stalledFirstExclusion)
}

// discardReports voids the complaints about a store, and its own, that have not led to anything: they were about its silence, which is over, and
// say nothing of its links now.
func (t *storeFaults) discardReports(member string) {
	for pair, fault := range t.pairs {
		if pair[0] == member || pair[1] == member {
			fault.since, fault.last = 0, 0
		}
	}
}

// tick takes complaints that have settled, ends what is over, and reports whether there is something new to plan for.
func (t *storeFaults) tick(now time.Duration) (changed bool) {
	active := 0
	for pair, fault := range t.pairs {
		if fault.last > fault.since && now-fault.last <= reportLifetime && now-fault.since >= unreachableConfirmTime && t.bothResponsive(now, pair) {
			changed = fault.extend(now, unreachableFirstExclusion) || changed
		}
		switch {
		case fault.inForce(now):
			active++
		case now-max(fault.until, fault.last) >= faultFreeReset:
			delete(t.pairs, pair)
		}
	}
	for member, last := range t.lastHeartbeat {
		if now-last >= faultFreeReset {
			delete(t.lastHeartbeat, member)
		}
	}
	for member, fault := range t.stalled {
		switch {
		case fault.inForce(now):
			active++
		case now-fault.until >= faultFreeReset:
			delete(t.stalled, member)
		}
	}
	changed = changed || active != t.active
	t.active = active
	return changed
}

// bothResponsive reports whether both stores of a pair have sent heartbeats lately.
func (t *storeFaults) bothResponsive(now time.Duration, pair [2]string) bool {
	for _, member := range pair {
		if last, known := t.lastHeartbeat[member]; !known || now-last > unresponsiveAfter {
			return false
		}
	}
	return true
}

// blockedPairs returns the pairs that cannot reach each other, in order.
func (t *storeFaults) blockedPairs(now time.Duration) [][2]string {
	var pairs [][2]string
	for pair, fault := range t.pairs {
		if fault.inForce(now) && t.bothResponsive(now, pair) {
			pairs = append(pairs, pair)
		}
	}
	slices.SortFunc(pairs, func(a, b [2]string) int { return strings.Compare(a[0]+"\x00"+a[1], b[0]+"\x00"+b[1]) })
	return pairs
}

// isStalled reports whether a store's disk is not to be counted on.
func (t *storeFaults) isStalled(now time.Duration, member string) bool {
	fault := t.stalled[member]
	return fault != nil && fault.inForce(now)
}
