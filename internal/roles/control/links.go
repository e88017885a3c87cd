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

// links keeps one dialed connection to each other control process. It belongs to the event loop.
type links struct {
	dial func(ctx context.Context, address string) (*rpc.Conn, error)
	// forget ends the pause after failed dials to an address.
	forget func(address string)
	post   func(func())
	after  func(time.Duration, func())
	// changed is told when the link to an address came up or broke.
	changed func(address string, up bool)

	byAddress map[string]*link
}

type link struct {
	address string
	conn    *rpc.Conn // nil while it is down
	dialing bool
	pausing bool // after a failed dial
	waiting []queuedFrame
}

type queuedFrame struct {
	kind rpc.Kind
	body []byte
}

func newLinks(pool *rpc.Pool, loop *eventLoop, changed func(string, bool)) *links {
	forget := func(address string) {
		if pool.Peek(address) == nil {
			pool.Drop(address)
		}
	}
	return &links{
		dial: pool.Get, forget: forget, post: loop.post, after: loop.after, changed: changed, byAddress: make(map[string]*link),
	}
}

// up tells whether the link to an address is open.
func (l *links) up(address string) bool {
	k := l.byAddress[address]
	return k != nil && k.conn != nil
}

// keep dials the link to an address if it is down.
func (l *links) keep(address string) *link {
	k := l.byAddress[address]
	if k == nil {
		k = &link{address: address}
		l.byAddress[address] = k
	}
	if k.conn == nil && !k.dialing && !k.pausing {
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

// heard dials the link to an address at once, since the process there was just heard of.
func (l *links) heard(address string) {
	if k := l.byAddress[address]; k != nil && k.conn == nil && !k.dialing {
		k.pausing = false
		l.forget(address)
	}
	l.keep(address)
}

func (l *links) dialed(k *link, conn *rpc.Conn, err error) {
	k.dialing = false
	waiting := k.waiting
	k.waiting = nil
	if err != nil {
		k.pausing = true
		l.after(linkRetryDelay, func() { k.pausing = false })
		return
	}
	k.conn = conn
	go func() {
		<-conn.Done()
		l.post(func() { l.broken(k, conn) })
	}()
	l.changed(k.address, true)
	for _, f := range waiting {
		l.notify(k, f.kind, f.body)
	}
}

func (l *links) broken(k *link, conn *rpc.Conn) {
	if k.conn == conn {
		k.conn = nil
		l.changed(k.address, false)
	}
}

// send gives a frame to the link, which is dialed if it is down; the frame then waits, or is lost with the attempt.
func (l *links) send(address string, kind rpc.Kind, body []byte) {
	k := l.keep(address)
	if k.conn != nil {
		l.notify(k, kind, body)
		return
	}
	if k.dialing && len(k.waiting) < maxQueuedFrames {
		k.waiting = append(k.waiting, queuedFrame{kind: kind, body: body})
	}
}

// sendIfUp gives a frame to the link unless it is down.
func (l *links) sendIfUp(address string, kind rpc.Kind, body []byte) {
	if k := l.byAddress[address]; k != nil && k.conn != nil {
		l.notify(k, kind, body)
	}
}

func (l *links) notify(k *link, kind rpc.Kind, body []byte) {
	if err := k.conn.Notify(kind, body); err != nil {
		l.broken(k, k.conn)
	}
}
