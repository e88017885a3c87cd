package control

import (
	"context"
	"time"

	"liftgauge/internal/rpc"
)

const (
	linkDialTimeout = time.Second
	linkRetryDelay  = 200 * time.Millisecond // after a failed dial
	maxQueuedFrames = 16                     // election frames kept while a link is being dialed
)

// links maintains one dialed connection to each other control process. It belongs to the event loop.
type links struct {
	dial func(ctx context.Context, address string) (*rpc.Conn, error)
	// resetBackoff ends the pause after failed dials to an address.
	resetBackoff func(address string)
	post         func(func())
	after        func(time.Duration, func())
	// changed is called when the link to an address is established or lost.
	changed func(address string, isUp bool)

	byAddress map[string]*link
}

type link struct {
	address    string
	conn       *rpc.Conn // nil while it is down
	dialing    bool
	backingOff bool // after a failed dial
	queued     []queuedFrame
}

type queuedFrame struct {
	kind rpc.Kind
	body []byte
}

func newLinks(pool *rpc.Pool, loop *eventLoop, changed func(string, bool)) *links {
	resetBackoff := func(address string) {
		if pool.Peek(address) == nil {
			pool.Drop(address)
		}
	}
	return &links{
		dial: pool.Get, resetBackoff: resetBackoff, post: loop.post, after: loop.after, changed: changed, byAddress: make(map[string]*link),
	}
}

// isUp reports whether the link to an address is open.
func (l *links) isUp(address string) bool {
	k := l.byAddress[address]
	return k != nil && k.conn != nil
}

// connect dials the link to an address if it is down.
func (l *links) connect(address string) *link {
	k := l.byAddress[address]
	if k == nil {
		k = &link{address: address}
		l.byAddress[address] = k
	}
	if k.conn == nil && !k.dialing && !k.backingOff {
		k.dialing = true
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), linkDialTimeout)
			defer cancel()
			conn, err := l.dial(ctx, address)
			l.post(func() { l.dialed(k, conn, err) })
		}()
	}
	return k
}

// reconnect dials the link to an address at once, because a message from the process there has just arrived.
func (l *links) reconnect(address string) {
	if k := l.byAddress[address]; k != nil && k.conn == nil && !k.dialing {
		k.backingOff = false
		l.resetBackoff(address)
	}
	l.connect(address)
}

func (l *links) dialed(k *link, conn *rpc.Conn, err error) {
	k.dialing = false
	waiting := k.queued
	k.queued = nil
	if err != nil {
		k.backingOff = true
		l.after(linkRetryDelay, func() { k.backingOff = false })
		return
	}
	k.conn = conn
	go func() {
		<-conn.Done()
		l.post(func() { l.disconnected(k, conn) })
	}()
	l.changed(k.address, true)
	for _, f := range waiting {
		l.notify(k, f.kind, f.body)
	}
}

func (l *links) disconnected(k *link, conn *rpc.Conn) {
	if k.conn == conn {
		k.conn = nil
		l.changed(k.address, false)
	}
}

// send sends a frame over the link, which is dialed if it is down. The frame is queued meanwhile and dropped if the dial fails.
func (l *links) send(address string, kind rpc.Kind, body []byte) {
	k := l.connect(address)
	if k.conn != nil {
		l.notify(k, kind, body)
		return
	}
	if k.dialing && len(k.queued) < maxQueuedFrames {
		k.queued = append(k.queued, queuedFrame{kind: kind, body: body})
	}
}

// sendIfUp sends a frame over the link unless it is down.
func (l *links) sendIfUp(address string, kind rpc.Kind, body []byte) {
	if k := l.byAddress[address]; k != nil && k.conn != nil {
		l.notify(k, kind, body)
	}
}

// notify sends a frame on an open link. A failure is reported by a later event: the caller may be the replica, which changed calls back.
func (l *links) notify(k *link, kind rpc.Kind, body []byte) {
	conn := k.conn
	if err := conn.Notify(kind, body); err != nil {
		l.post(func() { l.disconnected(k, conn) })
	}
}
