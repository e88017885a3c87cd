package control

import (
	"slices"
	"strings"
	"time"

	"liftgauge/internal/protocol"
)

const (
	// unreachableConfirmTime is how long a store has to be reported as unreachable, more than once, before a store is excluded. By then all affected
	// stores have sent reports, which shows on which side the fault is.
	unreachableConfirmTime = 250 * time.Millisecond
	// reportLifetime is how long a report that is not repeated stays valid.
	reportLifetime = 600 * time.Millisecond
	// unresponsiveAfter is the maximum age of the last heartbeat of a store for reports about it to count. A store that has stopped or is paused is
	// reported as unreachable as well, and excluding the reporting store would leave its partitions to the one that is lost.
	unresponsiveAfter = 350 * time.Millisecond
	// An excluded store or pair is used again after a time that doubles with each recurrence of the fault, from unreachableFirstExclusion or
	// stalledFirstExclusion up to maxExclusion. It starts anew when the fault has not recurred for faultFreeReset.
	unreachableFirstExclusion = 3 * time.Second
	stalledFirstExclusion     = 500 * time.Millisecond
	maxExclusion              = 30 * time.Second
	// fullLinger is how long a store counts as full after its last report that it is: it is at its limit, and copies begun there would be given up.
	fullLinger     = 2 * time.Second
	faultFreeReset = time.Minute
)

// exclusion is the time for which a store or a pair of stores is excluded; it doubles with each recurrence.
type exclusion struct {
	until time.Duration // in force until then
	pause time.Duration
}

// extend keeps the exclusion in force from now on, and reports whether it was not in force before.
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

// pairFault is the fault that two stores cannot reach each other.
type pairFault struct {
	exclusion
	since, last time.Duration // of the current series of reports; last is 0 if there is none
}

// storeFaults collects the faults of links between stores and of disks that the stores report in their heartbeats.
type storeFaults struct {
	pairs         map[[2]string]*pairFault // by the two members in sorted order
	stalled       map[string]*exclusion    // by member
	lastFull      map[string]time.Duration // by member: when it last reported that it is full
	lastHeartbeat map[string]time.Duration // by member: when its last heartbeat arrived
	active        int                      // exclusions in force at the last tick
}

func newStoreFaults() storeFaults {
	return storeFaults{pairs: make(map[[2]string]*pairFault), stalled: make(map[string]*exclusion),
		lastFull: make(map[string]time.Duration), lastHeartbeat: make(map[string]time.Duration)}
}

// heartbeat records the faults that a store reports, and reports whether partitions have to be planned anew.
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
	if h.DiskFull {
		changed = !t.isFull(now, h.Node.Member)
		t.lastFull[h.Node.Member] = now
	}
	if !h.DiskStalled {
		return changed
	}
	fault := t.stalled[h.Node.Member]
	if fault == nil {
		fault = &exclusion{}
		t.stalled[h.Node.Member] = fault
	}
	return fault.extend(now, stalledFirstExclusion) || changed
}

// discardReports discards the reports about a store, and its own, that have not led to an exclusion: they were caused by a time in which it was
// unresponsive, which is over, and are no evidence about its links now.
func (t *storeFaults) discardReports(member string) {
	for pair, fault := range t.pairs {
		if pair[0] == member || pair[1] == member {
			fault.since, fault.last = 0, 0
		}
	}
}

// tick excludes pairs whose reports are confirmed, removes expired entries, and reports whether partitions have to be planned anew.
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
	for member := range t.lastFull {
		if !t.isFull(now, member) {
			delete(t.lastFull, member)
			changed = true
		}
	}
	changed = changed || active != t.active
	t.active = active
	return changed
}

// bothResponsive reports whether both stores of a pair have sent heartbeats recently.
func (t *storeFaults) bothResponsive(now time.Duration, pair [2]string) bool {
	for _, member := range pair {
		if last, known := t.lastHeartbeat[member]; !known || now-last > unresponsiveAfter {
			return false
		}
	}
	return true
}

// blockedPairs returns the pairs that cannot reach each other, in sorted order.
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

// isStalled reports whether a store is excluded because its disk stalls.
func (t *storeFaults) isStalled(now time.Duration, member string) bool {
	fault := t.stalled[member]
	return fault != nil && fault.inForce(now)
}

// isFull reports whether a store has no room for further copies.
func (t *storeFaults) isFull(now time.Duration, member string) bool {
	last, known := t.lastFull[member]
	return known && now-last < fullLinger
}
