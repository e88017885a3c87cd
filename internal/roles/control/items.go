package control

import (
	"liftgauge/internal/protocol"
)

// activationShift is the number of low bits of a version number that count the items published in one activation.
const activationShift = 40

// itemPublisher publishes the items of control's primary. Their versions consist of the epoch and a number that no other activation of the
// epoch uses; the version of the configuration is assigned when it is written and stored with it.
type itemPublisher struct {
	primary *primary
	last    uint64
	// changed holds the items that the records of the next batch change; true means that publishing must not wait for the next tick.
	changed  map[protocol.ItemKind]bool
	deferred map[protocol.ItemKind][]byte
}

func newItemPublisher(p *primary) itemPublisher {
	return itemPublisher{
		primary:  p,
		changed:  make(map[protocol.ItemKind]bool),
		deferred: make(map[protocol.ItemKind][]byte),
	}
}

// nextVersion returns a version that has not been used before.
func (i *itemPublisher) nextVersion() protocol.ItemVersion {
	i.last++
	return protocol.ItemVersion{Term: i.primary.epoch, Number: i.primary.activation<<activationShift | i.last}
}

// mark records that the next batch changes an item.
func (i *itemPublisher) mark(kind protocol.ItemKind, urgent bool) {
	i.changed[kind] = i.changed[kind] || urgent
}

// snapshot encodes the changed items as they are after the batch that begins now, and returns the function that publishes them.
func (i *itemPublisher) snapshot() (durable func()) {
	if len(i.changed) == 0 {
		return func() {}
	}
	changed := i.changed
	i.changed = make(map[protocol.ItemKind]bool)
	bodies := make(map[protocol.ItemKind][]byte, len(changed))
	for kind := range changed {
		bodies[kind] = i.body(kind)
	}
	version := i.primary.model.configurationVersion
	return func() {
		var items []protocol.Item
		for kind, urgent := range changed {
			switch {
			case kind == protocol.ItemConfiguration:
				items = append(items, protocol.Item{Kind: kind, Version: version, Body: bodies[kind]})
			case urgent:
				delete(i.deferred, kind)
				items = append(items, protocol.Item{Kind: kind, Version: i.nextVersion(), Body: bodies[kind]})
			default:
				i.deferred[kind] = bodies[kind]
			}
		}
		i.publish(items...)
	}
}

func (i *itemPublisher) body(kind protocol.ItemKind) []byte {
	switch kind {
	case protocol.ItemControl:
		return i.primary.daemon.controlView()
	case protocol.ItemConfiguration:
		return i.primary.model.configuration
	case protocol.ItemNodes:
		return i.primary.model.nodeTable()
	case protocol.ItemPartitions:
		return i.primary.model.partitionTable()
	}
	return nil
}

func (i *itemPublisher) publish(items ...protocol.Item) {
	if len(items) > 0 {
		i.primary.daemon.agent.Publish(items...)
	}
}

// publishDeferred publishes the items that were not urgent.
func (i *itemPublisher) publishDeferred() {
	for kind, body := range i.deferred {
		i.publish(protocol.Item{Kind: kind, Version: i.nextVersion(), Body: body})
	}
	clear(i.deferred)
}

// publishAll publishes every item from the model, which must be durable as a whole.
func (i *itemPublisher) publishAll() {
	items := []protocol.Item{i.item(protocol.ItemControl), i.item(protocol.ItemNodes)}
	if len(i.primary.model.partitions) > 0 {
		items = append(items, i.item(protocol.ItemPartitions))
	}
	if m := i.primary.model; m.configuration != nil {
		items = append(items, protocol.Item{Kind: protocol.ItemConfiguration, Version: m.configurationVersion, Body: m.configuration})
	}
	i.publish(items...)
}

// publishView publishes the view of control's own group.
func (i *itemPublisher) publishView() { i.publish(i.item(protocol.ItemControl)) }

func (i *itemPublisher) item(kind protocol.ItemKind) protocol.Item {
	return protocol.Item{Kind: kind, Version: i.nextVersion(), Body: i.body(kind)}
}
