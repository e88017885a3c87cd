package control

import (
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"liftgauge/configuration"
	"liftgauge/internal/protocol"
)

// An order, and the resulting configuration, has at most maxOrderBytes, so that it fits into a frame, and at most 1/orderDiskShare of the disk
// space, so that most of it stays free.
const (
	maxOrderBytes  = 15 << 20
	orderDiskShare = 8
)

// orderLimit returns the maximum size of an order for a log limited to diskBytes; 0 means that the log has no limit.
func orderLimit(diskBytes int64) int64 {
	if diskBytes <= 0 {
		return maxOrderBytes
	}
	return min(maxOrderBytes, diskBytes/orderDiskShare)
}

// order is one order of the operator. All calls that send the same order share it.
type order struct {
	configuration.Order
	hash    string
	callers []orderCaller
}

// orderCaller is one call that waits for the outcome of an order.
type orderCaller struct {
	deadline time.Duration
	reply    func(response)
}

// orderQueue holds the orders that have no outcome yet. They are decided one after the other, each against the state that the previous one
// left on disk. The queue survives changes of the primary, so that an order whose outcome is unknown is decided again if this process
// becomes primary again.
type orderQueue struct {
	queue  []*order
	active *order // the order that is being decided or written
}

func (q *orderQueue) find(hash string) *order {
	for _, o := range q.queue {
		if o.hash == hash {
			return o
		}
	}
	return nil
}

func (q *orderQueue) remove(o *order) {
	if q.active == o {
		q.active = nil
	}
	q.queue = slices.DeleteFunc(q.queue, func(other *order) bool { return other == o })
}

// submitOrder queues an order, or adds the caller to the same order if it is already queued.
func (d *daemon) submitOrder(o configuration.Order, hash string, reply func(response)) {
	caller := orderCaller{deadline: d.now() + orderTimeout, reply: reply}
	if known := d.orders.find(hash); known != nil {
		known.callers = append(known.callers, caller)
		return
	}
	d.orders.queue = append(d.orders.queue, &order{Order: o, hash: hash, callers: []orderCaller{caller}})
	d.nextOrder()
}

// nextOrder decides the first order of the queue if none is in progress.
func (d *daemon) nextOrder() {
	for d.primary != nil && d.orders.active == nil && len(d.orders.queue) > 0 {
		o := d.orders.queue[0]
		d.orders.active = o
		d.primary.decide(o)
	}
}

// finishOrder removes an order and responds to all its callers.
func (d *daemon) finishOrder(o *order, resp response) {
	d.orders.remove(o)
	for _, c := range o.callers {
		c.reply(resp)
	}
	o.callers = nil
}

// reopenOrder keeps an order whose outcome is unknown in the queue: it is decided again, or redirected if another process is the primary.
func (d *daemon) reopenOrder(o *order) {
	if d.orders.active == o {
		d.orders.active = nil
	}
	d.redirectOrders()
}

// redirectOrders redirects the callers of all orders when another process is primary.
func (d *daemon) redirectOrders() {
	if d.primary != nil {
		return
	}
	d.orders.active = nil
	other := d.otherPrimary()
	if other == "" {
		return
	}
	for _, o := range slices.Clone(d.orders.queue) {
		d.finishOrder(o, redirect(other))
	}
}

// expireOrders responds that the outcome is unknown to callers that have waited too long. An order in progress continues without them.
func (d *daemon) expireOrders(now time.Duration) {
	for _, o := range slices.Clone(d.orders.queue) {
		late := func(c orderCaller) bool { return now >= c.deadline }
		for _, c := range o.callers {
			if late(c) {
				c.reply(unavailable("the outcome is not known yet: send the same order again"))
			}
		}
		o.callers = slices.DeleteFunc(o.callers, late)
		if len(o.callers) == 0 && d.orders.active != o {
			d.orders.remove(o)
		}
	}
}

// decide checks an order against the durable state, and carries it out.
func (p *primary) decide(o *order) {
	decision := p.orders.Decide(o.Order)
	switch {
	case decision.Action == configuration.ActionWrite && int64(len(decision.Configuration.Raw)) > p.daemon.orderLimit:
		p.orders.Abort(o.hash)
		p.refuse(o, http.StatusRequestEntityTooLarge, "the configuration is too large: remove routes")
	case decision.Action == configuration.ActionWrite:
		p.writeOrder(o, decision.Configuration)
	case decision.Status == http.StatusOK:
		p.daemon.finishOrder(o, response{status: http.StatusOK})
	case decision.Action == configuration.ActionWait:
		p.daemon.finishOrder(o, unavailable("another order is under way: send the same order again"))
	default:
		p.refuse(o, decision.Status, decision.Err.Error())
	}
}

// refuse rejects an order once a majority confirms that this process is the primary, so that the state it was checked against is current.
func (p *primary) refuse(o *order, status int, text string) {
	d := p.daemon
	d.confirm(func(confirmed bool) {
		if d.orders.active != o || d.primary != p {
			return
		}
		if confirmed {
			d.finishOrder(o, errorResponse(status, text))
		} else {
			d.finishOrder(o, unavailable("this process could not confirm that it is the primary: send the same order again"))
		}
		d.nextOrder()
	})
}

// writeOrder writes the configuration that an order results in.
func (p *primary) writeOrder(o *order, next *configuration.Configuration) {
	d := p.daemon
	p.put(configurationRecord(next.Raw))
	p.put(versionRecord(p.items.nextVersion()))
	p.put(acceptedRecord(o.hash, next.Revision))
	p.items.mark(protocol.ItemConfiguration, true)
	p.writer.onDurable(func(err error) {
		if err != nil {
			d.logger.Warn("control: the outcome of an order is unknown", zap.Uint64("revision", next.Revision), reason(err))
			d.reopenOrder(o)
			return
		}
		p.orders.Commit(o.hash)
		p.durableConfiguration = next.Raw
		d.logger.Info("control: configuration in force", zap.Uint64("revision", next.Revision))
		d.finishOrder(o, response{status: http.StatusOK})
		d.nextOrder()
	})
}

// describe responds with the newest configuration once a majority confirms that this process is the primary.
func (p *primary) describe(reply func(response)) {
	d := p.daemon
	d.confirm(func(confirmed bool) {
		switch {
		case !confirmed || d.primary != p:
			reply(unavailable("this process could not confirm that it is the primary: try again"))
		case p.durableConfiguration == nil:
			reply(unavailable("no configuration has been taken yet: POST /config/replace first"))
		default:
			reply(response{status: http.StatusOK, body: p.durableConfiguration})
		}
	})
}
