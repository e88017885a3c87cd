package replication

import "time"

// stallPatience is how long the own disk may finish nothing, or a member confirm nothing that writes wait for, before the group goes on without.
const stallPatience = time.Second

// stallWatch notes, by regular ticks, since when the own disk has finished nothing of what it was given.
type stallWatch struct {
	ticked   time.Duration
	finished uint64
	since    time.Duration
}

// tick looks at the disk, and returns how long this process itself stood still since the last look.
func (w *stallWatch) tick(d *disk, now time.Duration) (pause time.Duration) {
	if gap := now - w.ticked; gap > pauseGap {
		pause = gap
	}
	w.ticked = now
	w.since += pause
	if d.appends.floor != w.finished || d.appends.floor == d.appends.begun {
		w.finished, w.since = d.appends.floor, now
	}
	return pause
}

func (w *stallWatch) stalled() bool { return w.ticked-w.since >= stallPatience }

// StalledMembers returns, as of the last Tick, the members that writes wait for and that have confirmed nothing for a while, and this member itself where
// its own disk is what finishes nothing. Only a primary tells.
func (r *Replica) StalledMembers() []MemberID {
	if r.lead == nil {
		return nil
	}
	if r.stall.stalled() {
		return []MemberID{r.o.Self}
	}
	var stalled []MemberID
	for _, id := range r.lead.order {
		if r.lead.mustHave(id) && r.lead.peers[id].stalled(r.stall.ticked) {
			stalled = append(stalled, id)
		}
	}
	return stalled
}

// stalled tells whether a linked peer owes something and has not been heard of for a while, or its disk has refused all of it for so long.
func (p *outbound) stalled(now time.Duration) bool {
	if p.refuses && now-p.refusesSince >= stallPatience {
		return true
	}
	return p.timed && p.busy() && now-p.idleSince-p.excused >= stallPatience
}

// busy tells whether the peer has something to do before writes to it are done.
func (p *outbound) busy() bool { return p.state != peerEqual || p.sent > p.acked }
