package control

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/replication"
)

// activationKey is the record of replication.LocalGroup that counts how often the process on this disk became active in an epoch.
const activationKey = "control/activation"

// activationBits is the number of low bits of the version of that record that hold the activation number; the epoch is above them.
const activationBits = 20

// activate is called when the replica has become active, which means that all members have its records on disk. This process acts as
// primary only once the records are on enough disks. Until then it may hold an unacknowledged order that would be lost with its disk, so
// publishing or acknowledging that order would not be durable.
func (d *daemon) activate(epoch uint64) {
	if !d.replica.IsActive() || d.replica.View().Epoch != epoch {
		return
	}
	if d.primary != nil {
		d.primary.continueIn(epoch)
		d.retryPendingCalls()
		return
	}
	d.replica.AwaitCommit(func(err error) {
		if err == nil {
			d.loop.post(func() { d.beginActivation(epoch) })
		}
	})
}

// beginActivation writes the next activation number to disk before anything is published.
func (d *daemon) beginActivation(epoch uint64) {
	if !d.replica.IsActive() || d.replica.View().Epoch != epoch || d.primary != nil {
		return
	}
	activation, err := d.nextActivation(epoch)
	if err != nil {
		d.logger.Error("control: cannot read the local records", reason(err))
		d.execute(d.elector.Resign(d.now()))
		return
	}
	d.storage.Append(replication.LocalGroup, []replication.Record{activationRecord(epoch, activation)}, func(err error) {
		d.loop.post(func() { d.activated(epoch, activation, err) })
	})
}

// activated continues once the activation number is on disk, so that no version of an item is ever published twice.
func (d *daemon) activated(epoch, activation uint64, err error) {
	if !d.replica.IsActive() || d.replica.View().Epoch != epoch || d.primary != nil {
		return
	}
	if err != nil {
		d.logger.Warn("control: cannot write the activation; retrying", reason(err))
		d.loop.after(storageRetry, func() { d.activate(epoch) })
		return
	}
	m, err := loadModel(d.storage)
	if err == nil {
		d.primary, err = newPrimary(d, epoch, activation, m)
	}
	if err != nil {
		d.logger.Error("control: cannot read the group's records", reason(err))
		d.execute(d.elector.Resign(d.now()))
		return
	}
	d.logger.Info("control: active primary", zap.Uint64("epoch", epoch), zap.Int("nodes", len(m.nodes)),
		zap.Int("partitions", len(m.partitions)))
	d.primary.begin()
	d.retryPendingCalls()
	d.nextOrder()
}

// deactivate stops acting as primary.
func (d *daemon) deactivate() {
	p := d.primary
	if p == nil {
		return
	}
	d.primary = nil
	d.logger.Info("control: deposed", zap.Uint64("epoch", p.epoch))
	p.writer.close()
	d.retryPendingCalls()
}

func activationRecord(epoch, activation uint64) replication.Record {
	value := binary.AppendUvarint(nil, epoch)
	return replication.Record{Key: activationKey, Version: epoch<<activationBits | activation, Value: binary.AppendUvarint(value, activation)}
}

// nextActivation returns the number of the next activation in the epoch, starting at 1.
func (d *daemon) nextActivation(epoch uint64) (uint64, error) {
	record, found, err := d.storage.Get(replication.LocalGroup, activationKey)
	if err != nil || !found {
		return 1, err
	}
	r := fieldReader{rest: record.Value}
	last, activation := r.number(), r.number()
	if r.err != nil {
		return 0, errors.Wrap(r.err, activationKey)
	}
	if last != epoch {
		return 1, nil
	}
	return activation + 1, nil
}
