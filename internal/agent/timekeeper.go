package agent

import (
	"time"

	"go.uber.org/zap"

	"liftgauge/clustertime"
	"liftgauge/replication"
)

const (
	// checkpointKey is the record of replication.LocalGroup that holds the last checkpoint of the cluster time.
	checkpointKey = "cluster-time"
	// checkpointCheck is the interval at which the clocks are compared with the last checkpoint.
	checkpointCheck = time.Second
	// checkpointInterval is the longest time between checkpoints: after a loss of power the cluster time may go on from the last one.
	checkpointInterval = 10 * time.Second
	// checkpointError is the error of the cluster time, resumed from the last checkpoint, from which on another one is written.
	checkpointError = 2 * time.Millisecond
	// wallStep is the change of the time of day against the steady clock from which on another checkpoint is written.
	wallStep = 50 * time.Millisecond
)

// timekeeper keeps checkpoints of the cluster time on disk, if the process has one. It belongs to the agent's loop.
type timekeeper struct {
	storage replication.Storage // nil without a disk
	clocks  func() clustertime.Reading

	resumed   clustertime.Estimate // from the checkpoint found at the start, for the moment resumedAt
	resumedAt time.Duration

	due     time.Duration
	writing bool
	written bool // last is on disk
	last    clustertime.Checkpoint
	lastAt  time.Duration
	version uint64 // of the last record
}

// newTimekeeper reads the checkpoint in storage. Without one, nothing is known of the cluster time.
func newTimekeeper(storage replication.Storage, clocks func() clustertime.Reading, now time.Duration, logger *zap.Logger) *timekeeper {
	k := &timekeeper{storage: storage, clocks: clocks, resumedAt: now}
	if storage == nil {
		return k
	}
	record, found, err := storage.Get(replication.LocalGroup, checkpointKey)
	if err == nil && found {
		k.version = record.Version
		err = k.last.Decode(record.Value)
	}
	switch {
	case err != nil:
		logger.Warn("agent: the checkpoint of the cluster time cannot be read; control tells the time", zap.Error(err))
	case found:
		k.resumed = k.last.Resume(clocks())
	}
	return k
}

// isWanted reports whether another checkpoint is needed at a reading of the clocks.
func (k *timekeeper) isWanted(now time.Duration, next clustertime.Checkpoint) bool {
	if !k.written || now-k.lastAt >= checkpointInterval {
		return true
	}
	steady := next.Reading.Steady - k.last.Reading.Steady
	return (k.last.Cluster+steady-next.Cluster).Abs() > checkpointError ||
		(next.Reading.Wall-k.last.Reading.Wall-steady).Abs() > wallStep
}

// tickCheckpoint writes a checkpoint if one is needed; it runs on the loop.
func (a *Agent) tickCheckpoint(now time.Duration) {
	k := a.timekeeper
	if k.storage == nil || now < k.due {
		return
	}
	k.due = now + checkpointCheck
	if k.writing || !a.clock.isSynchronized() {
		return
	}
	next := clustertime.Checkpoint{Cluster: a.clock.agreed(a.Steady()), Reading: k.clocks()}
	if !k.isWanted(now, next) {
		return
	}
	k.writing = true
	k.version++
	record := replication.Record{Key: checkpointKey, Version: k.version, Value: next.Append(nil)}
	k.storage.Append(replication.LocalGroup, []replication.Record{record}, func(err error) {
		a.loop.post(func() {
			k.writing = false
			if err == nil { // otherwise the next check tries again
				k.written, k.last, k.lastAt = true, next, now
			}
		})
	})
}

// timeBecameKnown does what was waiting for the cluster time; it runs on the loop.
func (a *Agent) timeBecameKnown() {
	a.timekeeper.due = 0 // write a checkpoint now
	a.updateWorkersReadAt(a.View().WorkersFresh)
}

// TimeEstimate returns what this process knows of the cluster time. Unlike ClusterTime it is not ahead of what control told.
func (a *Agent) TimeEstimate() clustertime.Estimate {
	now := a.Steady()
	if a.clock.isSynchronized() {
		at := a.clock.agreed(now)
		return clustertime.Estimate{Certainty: clustertime.Certain, Floor: at, Time: at}
	}
	return a.timekeeper.resumed.After(now - a.timekeeper.resumedAt)
}

// TimeOfDay returns this machine's time of day, since 1970. It may be wrong, and may jump.
func (a *Agent) TimeOfDay() time.Duration { return a.timekeeper.clocks().Wall }
