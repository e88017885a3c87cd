package systemdemo

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	workerChangeInterval = 2 * time.Second
	crashedListedFor     = 3 * time.Second // how long the list shows a worker that has crashed
	workerDowntime       = time.Second
	drainLimit           = 3 * time.Second // DrainMs
)

// changeWorkers drains and restarts a worker, then crashes and restarts another, and moves a third in the list, until the context ends. All
// workers have new IDs after their starts.
func (d *demo) changeWorkers(ctx context.Context) error {
	if !d.options.WorkerChanges {
		return nil
	}
	count := len(d.platform.workers)
	for n := 0; pause(ctx, workerChangeInterval) == nil; n += 3 {
		if err := d.restartWorker(ctx, n%count, true); err != nil {
			return err
		}
		if err := d.restartWorker(ctx, (n+1)%count, false); err != nil {
			return err
		}
		d.platform.move(rand.IntN(count))
	}
	return nil
}

// restartWorker ends a worker, after draining it or without notice, and starts it again.
func (d *demo) restartWorker(ctx context.Context, number int, planned bool) error {
	event := "crashed "
	if planned {
		event = "drained "
		d.platform.drain(number)
		_ = pause(ctx, drainDuration)
	}
	id := d.platform.stop(number)
	if !planned {
		_ = pause(ctx, crashedListedFor)
	}
	d.platform.list.Remove(id)
	d.workerChanges = append(d.workerChanges, event+id)
	_ = pause(ctx, workerDowntime)
	return d.platform.restart(number)
}
