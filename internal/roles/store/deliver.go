package store

import (
	"time"

	"go.uber.org/zap"

	"liftgauge/internal/protocol"
	"liftgauge/queue"
)

// deliveryBatch limits the deliveries between two batches of events.
const deliveryBatch = 64

// updateOpenPartitions opens the queue for the partitions that this store may deliver from, and returns until when that is certain.
func (s *store) updateOpenPartitions(now time.Duration) time.Duration {
	validUntil := queue.Never
	for _, p := range s.partitions {
		if !p.leading {
			continue
		}
		open := p.mayDeliver(now)
		s.queue.SetOpen(now, p.number, open)
		if open {
			validUntil = min(validUntil, p.leasesUntil())
			continue
		}
		if until := p.earlierLeasesUntil(now); until > 0 {
			s.wakeAt(until)
		}
		if !p.hellosComplete && now < p.helloDeadline {
			s.wakeAt(p.helloDeadline)
		}
	}
	return validUntil
}

// sendDeliveries sends up to deliveryBatch deliveries and reports whether more may be ready.
func (s *store) sendDeliveries() bool {
	validUntil := time.Duration(0)
	for range deliveryBatch {
		now := s.now()
		if now >= validUntil {
			validUntil = s.updateOpenPartitions(now)
		}
		d, found := s.queue.Next(now)
		if !found {
			return false
		}
		s.deliver(now, &d)
	}
	return true
}

// deliver sends one delivery. If sending fails, the connection is closed, and the close returns the message to the queue.
func (s *store) deliver(now time.Duration, d *queue.Delivery) {
	p, sess := s.partitions[d.Partition], s.sessions[d.Dispatcher]
	if sess == nil || sess.conn == nil {
		s.queue.DispatcherDisconnected(now, d.Dispatcher, false)
		return
	}
	request, err := s.takeBody(p, d.ID)
	if err != nil {
		s.logger.Error("the body of a message cannot be read", zap.String("id", d.ID), zap.Error(err))
		s.queue.Outcome(now, d.Partition, d.ID, d.Attempt, queue.Unclear, 0)
		return
	}
	m := protocol.Deliver{
		Partition: d.Partition, Epoch: d.Epoch, ID: d.ID, Attempt: d.Attempt, RequestID: request.RequestID, Method: request.Method,
		Host: d.Host, URI: d.URI, Key: d.Key, Headers: request.Headers, Configuration: s.requiredConfiguration(d.Revision),
		DueFor: d.DueFor, ExpiresIn: d.ExpiresIn, FailedAttempts: uint32(d.Failed), Body: request.Body,
	}
	if err := sess.conn.Notify(protocol.KindDeliver, m.Append(nil)); err != nil {
		sess.conn.Close()
	}
}

// takeBody returns the request of a message from the cache, which it leaves, or else from disk.
func (s *store) takeBody(p *partition, id string) (request protocol.Accept, err error) {
	if record, found := s.bodies.take(messageKey{p.number, id}); found {
		return request, request.Decode(record)
	}
	request, found, err := p.body(id)
	if err == nil && !found {
		err = errNoBody
	}
	return request, err
}

// requiredConfiguration returns the oldest configuration that a dispatcher may use to deliver a message.
func (s *store) requiredConfiguration(accepted queue.Revision) protocol.ItemVersion {
	version := protocol.ItemVersion{Term: accepted.Term, Number: accepted.Number}
	if version.Less(s.configurationVersion) {
		return s.configurationVersion
	}
	return version
}
