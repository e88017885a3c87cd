package control

import (
	"time"

	"go.uber.org/zap"

	"liftgauge/clustertime"
	"liftgauge/internal/protocol"
)

// settlementTimeout is how long a primary that does not know the cluster time waits for the reports of others.
const settlementTimeout = 500 * time.Millisecond

// timeRetry is the time between attempts of work that waits for the cluster time.
const timeRetry = 20 * time.Millisecond

// timeSettlement determines the cluster time after a start of this process. Until it is settled the primary tells no one the time, and stores
// that do not know it either lead no partition.
type timeSettlement struct {
	settled  bool
	founded  bool // there may be messages whose times count on the cluster time
	deadline time.Duration
	reports  *clustertime.Settlement
}

func newTimeSettlement(now time.Duration, m *model) timeSettlement {
	return timeSettlement{founded: m.founded, deadline: now + settlementTimeout, reports: clustertime.NewSettlement(m.nodesWithDisk())}
}

// nodesWithDisk returns the keys of the processes with a disk that have a session.
func (m *model) nodesWithDisk() (keys []string) {
	for key, node := range m.nodes {
		if node.Member != "" {
			keys = append(keys, key)
		}
	}
	return keys
}

// reportTime records what the sender of a heartbeat knows of the cluster time.
func (p *primary) reportTime(now time.Duration, h *protocol.Heartbeat) {
	if p.settlement.settled || h.Node.Key == p.daemon.agent.Node().Key {
		return
	}
	if e := h.Time.Estimate(); e.Certainty == clustertime.Certain || h.Node.Member != "" {
		p.settlement.reports.Report(now, h.Node.Key, e)
		p.settleTime(now)
	}
}

// settleTime sets the cluster time of this process once it is known. A process that was synchronized before it became primary goes on with its
// own time.
func (p *primary) settleTime(now time.Duration) {
	t, a := &p.settlement, p.daemon.agent
	if t.settled {
		return
	}
	t.reports.Report(now, a.Node().Key, a.TimeEstimate())
	final := !t.founded || now >= t.deadline
	at, known := t.reports.Settle(now, final)
	if !known && !final {
		return
	}
	if !known {
		at = a.TimeOfDay() // no process has ever kept the cluster time
	}
	t.settled = true
	before := a.TimeEstimate()
	a.SetClusterTime(at)
	p.daemon.logger.Info("control: cluster time settled", zap.Time("cluster_time", a.ClusterTime()), zap.Bool("known", known),
		zap.Uint8("own_certainty", uint8(before.Certainty)), zap.Duration("after", now-p.since))
}

// presentTime returns the cluster time, or the time of day while that is not known.
func (d *daemon) presentTime() time.Time {
	if d.agent.Synchronized() {
		return d.agent.ClusterTime()
	}
	return time.Unix(0, int64(d.agent.TimeOfDay()))
}
