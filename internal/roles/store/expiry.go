package store

import (
	"cmp"
	"slices"
	"time"

	"liftgauge/replication"
)

const (
	// statusSlack is added to the configured time for which the states of ended messages are kept.
	statusSlack = 5 * time.Second
	// expiryBatch limits the messages whose records one write deletes.
	expiryBatch = 256
)

// endedMessage is an ended message whose state is still kept.
type endedMessage struct {
	id      string
	endedAt int64
}

func (p *partition) addEnded(id string, endedAt int64) {
	if _, known := p.ended[id]; known {
		return
	}
	p.ended[id] = endedAt
	p.endedOrder = append(p.endedOrder, endedMessage{id, endedAt})
}

func (p *partition) sortEnded() {
	slices.SortFunc(p.endedOrder, func(a, b endedMessage) int {
		return cmp.Or(cmp.Compare(a.endedAt, b.endedAt), cmp.Compare(a.id, b.id))
	})
}

// expireEnded deletes the records of messages whose status retention has passed.
func (p *partition) expireEnded(clusterNow int64) {
	if !p.leading {
		return
	}
	cutoff := clusterNow - int64(p.store.settings.Bounds.Status()+statusSlack)
	var records []replication.Record
	var expired []endedMessage
	for len(p.endedOrder) > 0 && len(expired) < expiryBatch && p.endedOrder[0].endedAt < cutoff {
		message := p.endedOrder[0]
		p.endedOrder = p.endedOrder[1:]
		expired = append(expired, message)
		records = append(records, replication.Record{Key: stateKey(message.id), Deleted: true},
			replication.Record{Key: bodyKey(message.id), Deleted: true})
	}
	if len(expired) == 0 {
		return
	}
	p.write(records, func(err error) {
		if !p.leading {
			return
		}
		if err != nil {
			p.endedOrder = slices.Concat(expired, p.endedOrder)
			return
		}
		for _, message := range expired {
			delete(p.ended, message.id)
		}
	})
}
