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

// primary is the state of a process while it is control's active primary.
type primary struct {
	daemon     *daemon
	epoch      uint64
	activation uint64
	since      time.Duration

	// model includes changes that are not durable yet; only what the writer has made durable is published and acknowledged.
	model                *model
	writer               *writer
	items                itemPublisher
	orders               *configuration.Orders
	durableConfiguration []byte // on disk at all members of the view; nil until the first order
	sessions             *session.Table
	cutOff               cutOff
	placement            placementState
	duty                 dutyState
	tolerance            toleranceWatch
	epochs               epochWatch
	settlement           timeSettlement
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
	p.settlement = newTimeSettlement(now, m)
	return p, nil
}

// resetOrders restores the state of the operator's orders from the model.
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

// begin settles the cluster time, if that needs no reports, and publishes all items from the loaded records.
func (p *primary) begin() {
	p.settleTime(p.since)
	p.duty.begin()
	p.items.publishAll()
	p.daemon.probeStores(p)
}

// continueIn continues in a new epoch in which this process is still the primary, without interrupting its writes.
func (p *primary) continueIn(epoch uint64) {
	if epoch == p.epoch {
		return
	}
	p.daemon.logger.Info("control: continuing as primary", zap.Uint64("epoch", epoch), zap.Uint64("before", p.epoch))
	p.epoch = epoch
	p.items.publishView()
}

func (p *primary) publishView() { p.items.publishView() }

// put applies a record to the model and adds it to the next batch.
func (p *primary) put(r replication.Record) {
	if err := p.model.apply(r); err != nil {
		p.daemon.logger.Error("control: a new record cannot be decoded", zap.String("key", r.Key), reason(err))
		return
	}
	p.writer.put(r)
}

// write replicates a batch. On an error that leaves the outcome unknown this process stops acting as primary.
func (p *primary) write(records []replication.Record, done func(error)) {
	d := p.daemon
	d.replica.Write(records, func(err error) {
		if err != nil && !errors.Is(err, replication.ErrStorage) && d.primary == p {
			d.deactivate()
			d.loop.after(storageRetry, func() { d.activate(p.epoch) }) // in case the error was transient
		}
		done(err)
	})
}

// handOverForDiskFailure requests another member to take over because the local disk rejects writes that the disks of others may accept. It is
// called from within the replica.
func (p *primary) handOverForDiskFailure() {
	d := p.daemon
	d.logger.Warn("control: the local disk rejects writes; requesting another member to take over")
	d.loop.post(func() { d.execute(d.elector.HandOver(d.now())) })
}

func (p *primary) tick(now time.Duration) {
	p.settleTime(now)
	p.tickSessions(now)
	p.tickPlacement(now)
	p.duty.tick(now)
	p.items.publishDeferred()
	p.watchTolerance(now)
}

// afterEvent plans partitions unless a batch is in flight, and writes the next batch.
func (p *primary) afterEvent(now time.Duration) {
	if p.writer.idle() {
		p.plan(now)
	}
	p.writer.flush()
}

// revision returns the revision of the configuration in force, 0 if there is none.
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
