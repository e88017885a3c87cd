package control

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/configuration"
	"liftgauge/internal/protocol"
	"liftgauge/replication"
	"liftgauge/session"
)

// primary is what a process knows and does while it is control's active primary.
type primary struct {
	daemon     *daemon
	epoch      uint64
	activation uint64
	since      time.Duration

	// model is the state with all changes that were begun; what is published and acknowledged is what the writer made durable of it.
	model                *model
	writer               *writer
	items                itemPublisher
	orders               *configuration.Orders
	durableConfiguration []byte // configuration on disk at the whole view; nil before the first
	sessions             *session.Table
	cutOff               cutOff
	placement            placementState
	duty                 dutyState
	tolerance            toleranceWatch
	epochs               epochWatch
}

func newPrimary(d *daemon, epoch, activation uint64, m *model) (*primary, error) {
	now := d.now()
	p := &primary{daemon: d, epoch: epoch, activation: activation, since: now, model: m, durableConfiguration: m.configuration}
	if err := p.resetOrders(); err != nil {
		return nil, err
	}
	p.items = newItemPublisher(p)
	p.writer = &writer{write: p.write, onBegin: p.items.snapshot, after: d.loop.after, onRefused: p.handOverForDiskFailure}
	p.sessions = newSessions(now, m)
	p.placement = newPlacementState(now)
	p.duty = newDutyState(p)
	return p, nil
}

// resetOrders builds the state of the operator's orders from the model.
func (p *primary) resetOrders() error {
	var current *configuration.Configuration
	if p.model.configuration != nil {
		var err error
		if current, err = configuration.Parse(p.model.configuration); err != nil {
			return errors.Wrap(err, "the configuration in force")
		}
	}
	p.orders = configuration.NewOrders(current, p.model.acceptedOrders)
	return nil
}

// begin publishes everything as it was found.
func (p *primary) begin() {
	p.daemon.agent.SetClock(time.Duration(p.daemon.agent.ClusterTime().UnixNano()) - p.daemon.agent.Steady())
	p.duty.begin()
	p.items.publishAll()
	p.daemon.probeStores(p)
}

// continueIn goes on in the next epoch of this process, whose writes went on.
func (p *primary) continueIn(epoch uint64) {
	if epoch == p.epoch {
		return
	}
	p.daemon.logger.Info("control: goes on as primary", zap.Uint64("epoch", epoch), zap.Uint64("before", p.epoch))
	p.epoch = epoch
	p.items.publishView()
}

func (p *primary) publishView() { p.items.publishView() }

// put changes the model and puts the record into the next batch.
func (p *primary) put(r replication.Record) {
	if err := p.model.apply(r); err != nil {
		p.daemon.logger.Error("control: own record cannot be read", zap.String("key", r.Key), reason(err))
		return
	}
	p.writer.put(r)
}

// write replicates a batch. An error that leaves its fate open ends acting as primary.
func (p *primary) write(records []replication.Record, done func(error)) {
	d := p.daemon
	d.replica.Write(records, func(err error) {
		if err != nil && !errors.Is(err, replication.ErrStorage) && d.primary == p {
			d.deactivate()
			d.loop.after(storageRetry, func() { d.activate(p.epoch) }) // if it was only a passing refusal
		}
		done(err)
	})
}

// handOverForDiskFailure asks another member to take over from this process, whose own disk refuses what the disks of others may take. It is called from
// within the replica.
func (p *primary) handOverForDiskFailure() {
	d := p.daemon
	d.logger.Warn("control: the own disk refuses to write; another member is asked to take over")
	d.loop.post(func() { d.execute(d.elector.HandOver(d.now())) })
}

func (p *primary) tick(now time.Duration) {
	p.tickSessions(now)
	p.tickPlacement(now)
	p.duty.tick(now)
	p.items.publishDeferred()
	p.watchTolerance(now)
}

// afterEvent begins what the last event made necessary.
func (p *primary) afterEvent(now time.Duration) {
	if p.writer.idle() {
		p.plan(now)
	}
	p.writer.flush()
}

// revision is the version of the configuration in force, 0 before the first.
func (p *primary) revision() uint64 {
	if current := p.orders.Current(); current != nil {
		return current.Revision
	}
	return 0
}

func (p *primary) countNodes(role protocol.Role) int {
	count := 0
	for _, n := range p.model.nodes {
		if n.Role == role {
			count++
		}
	}
	return count
}
