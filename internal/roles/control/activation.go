package control

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/replication"
)

// activationKey is the record of replication.LocalGroup that counts how often this disk's process became active in an epoch.
const activationKey = "control/activation"

// activationBits hold the number of the activation in the version of that record.
const activationBits = 20

// activate is called when the replica has become active: its records are what all members have on disk. This process acts as primary once
// they are on enough disks. Until then it may hold an order that was never acknowledged and that the loss of its disk would take away:
// to publish or to acknowledge that one would be a promise that one loss can break.
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

// beginActivation counts the activation on disk before anything is published.
func (d *daemon) beginActivation(epoch uint64) {
	if !d.replica.IsActive() || d.replica.View().Epoch != epoch || d.primary != nil {
		return
	}
	activation, err := d.nextActivation(epoch)
	if err != nil {
		d.logger.Error("control: cannot read the own records", reason(err))
		d.execute(d.elector.Resign(d.now()))
		return
	}
	d.storage.Append(replication.LocalGroup, []replication.Record{activationRecord(epoch, activation)}, func(err error) {
		d.loop.post(func() { d.activated(epoch, activation, err) })
	})
}

// activated goes on when the number of the activation is on disk, so that no version of an item is ever published twice.
func (d *daemon) activated(epoch, activation uint64, err error) {
	if !d.replica.IsActive() || d.replica.View().Epoch != epoch || d.primary != nil {
		return
	}
	if err != nil {
		d.logger.Warn("control: cannot write; trying again", reason(err))
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

// deactivate ends acting as primary.
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

// nextActivation returns the number of the coming activation in the epoch, from 1.
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
