package replication

import "time"

// stallTimeout is how long the local disk may complete no append, or a peer acknowledge none that writes wait for, before it counts as
// stalled and the group continues without it.
const stallTimeout = time.Second

// stallDetector tracks, with regular ticks, since when the local disk has completed none of its outstanding appends.
type stallDetector struct {
	lastTick time.Duration
	finished uint64
	since    time.Duration
}

// tick checks the disk, and returns how long this process itself was paused since the last tick.
func (w *stallDetector) tick(d *disk, now time.Duration) (pause time.Duration) {
	if gap := now - w.lastTick; gap > pauseGap {
		pause = gap
	}
	w.lastTick = now
	w.since += pause
	if d.appends.floor != w.finished || d.appends.floor == d.appends.last {
		w.finished, w.since = d.appends.floor, now
	}
	return pause
}

func (w *stallDetector) isStalled() bool { return w.lastTick-w.since >= stallTimeout }

// StalledMembers returns, as of the last Tick, the members and offered learners that writes wait for and that have acknowledged nothing
// for stallTimeout, or only this member if its own disk is stalled. It is empty unless this replica is primary or candidate.
func (r *Replica) StalledMembers() []MemberID {
	if r.lead == nil {
		return nil
	}
	if r.stall.isStalled() {
		return []MemberID{r.o.Self}
	}
	var stalled []MemberID
	for _, id := range r.lead.order {
		if r.lead.isRequired(id) && r.lead.peers[id].isStalled(r.stall.lastTick) {
			stalled = append(stalled, id)
		}
	}
	return stalled
}

// isStalled reports whether a linked peer with outstanding work has not responded for stallTimeout, or its disk has failed all writes
// for that long.
func (p *outbound) isStalled(now time.Duration) bool {
	if p.diskFailing && now-p.diskFailingSince >= stallTimeout {
		return true
	}
	return p.timerStarted && p.hasOutstandingWork() && now-p.idleSince-p.pausedFor >= stallTimeout
}

// hasOutstandingWork reports whether the peer has not caught up or has unacknowledged batches.
func (p *outbound) hasOutstandingWork() bool { return p.state != peerInSync || p.sent > p.acked }
