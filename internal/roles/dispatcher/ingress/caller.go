package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/roles/dispatcher/directory"
	"liftgauge/internal/rpc"
)

// connectTimeout limits the wait for a connection to a store; nothing was sent when it expires.
const connectTimeout = 150 * time.Millisecond

// caller calls the primaries of partitions. A call is cancelled when its partition gets another primary.
type caller struct {
	connections Connections
	health      *health

	mu    sync.Mutex
	calls map[uint32]map[*context.CancelFunc]string // in progress: address called, by partition
}

func newCaller(c Connections) *caller {
	return &caller{connections: c, health: newHealth(), calls: map[uint32]map[*context.CancelFunc]string{}}
}

// cancelOutdated cancels the calls to stores that are no longer the primary.
func (c *caller) cancelOutdated(before, after *directory.Snapshot) {
	if before.TableVersion == after.TableVersion && len(before.Stores) == len(after.Stores) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, calls := range c.calls {
		p, _ := after.Partition(number)
		for cancel, address := range calls {
			if p.Address != address {
				(*cancel)()
			}
		}
	}
}

// call sends a request to the primary of a partition. The error wraps rpc.ErrNotSent if nothing was sent.
func (c *caller) call(ctx context.Context, number uint32, p directory.Partition, kind rpc.Kind, body []byte) ([]byte, error) {
	if p.Address == "" {
		return nil, errors.Mark(errNoPrimary, rpc.ErrNotSent)
	}
	connecting, stop := context.WithTimeout(ctx, connectTimeout)
	defer stop()
	conn, err := c.connections.Get(connecting, p.Address)
	if err != nil {
		c.health.connectFailed(p.Address, time.Now())
		return nil, errors.Mark(err, rpc.ErrNotSent)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.register(number, p.Address, &cancel)()
	c.health.callBegan(p.Address, time.Now())
	reply, err := conn.Call(ctx, kind, body)
	var refused *rpc.RemoteError
	c.health.callEnded(p.Address, err == nil || errors.As(err, &refused), time.Now())
	return reply, err
}

// register records a call in progress, and returns the function that removes it.
func (c *caller) register(number uint32, address string, cancel *context.CancelFunc) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[number] == nil {
		c.calls[number] = map[*context.CancelFunc]string{}
	}
	c.calls[number][cancel] = address
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if delete(c.calls[number], cancel); len(c.calls[number]) == 0 {
			delete(c.calls, number)
		}
	}
}
