// Package directory holds a dispatcher's current view of the system: its configuration, stores, partitions, dispatchers and workers.
package directory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"liftgauge/configuration"
	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
)

// Self identifies the local dispatcher.
type Self struct {
	Key    string
	Zone   string
	Region string
}

// Partition is the location of a partition's messages.
type Partition struct {
	Epoch   uint64
	Primary string // member
	Address string // internal, of the primary; empty while it has no session
}

// Store is a live store process.
type Store struct {
	Key         string
	Member      string
	Address     string
	Incarnation uint64
}

// Snapshot is one state of the system. It is immutable once published.
type Snapshot struct {
	Configuration        *configuration.Configuration // nil before the first
	ConfigurationVersion protocol.ItemVersion
	TableVersion         protocol.ItemVersion
	Partitions           []Partition
	// ByDistance holds the partitions that have a live primary: those in the local zone, then in the local region, then all others.
	ByDistance [3][]uint32
	// Stores are ordered by key.
	Stores []Store
	// Dispatchers are the sorted keys of the dispatchers that are live and not shutting down; InZone counts those of the local zone.
	Dispatchers []string
	InZone      int
	Number      int // index of this dispatcher in Dispatchers, or where it would be inserted

	Workers        []protocol.Worker
	WorkersVersion protocol.ItemVersion
	WorkersReadAt  time.Duration // on the agent's monotonic clock

	view         *agent.View
	localWorkers bool // Workers were read by this process itself
}

// Ready reports whether messages can be accepted: there is a configuration and at least one partition with a live primary.
func (s *Snapshot) Ready() bool {
	if s.Configuration == nil {
		return false
	}
	for _, near := range s.ByDistance {
		if len(near) > 0 {
			return true
		}
	}
	return false
}

// Partition returns a partition; ok is false if there is none with that number.
func (s *Snapshot) Partition(number uint32) (p Partition, ok bool) {
	if int64(number) >= int64(len(s.Partitions)) {
		return Partition{}, false
	}
	return s.Partitions[number], true
}

// Directory keeps the newest Snapshot. Its methods may be called from any goroutine.
type Directory struct {
	self   Self
	logger *zap.Logger

	current atomic.Pointer[Snapshot]

	mu          sync.Mutex // serializes changes
	subscribers []func(before, after *Snapshot)
	changed     atomic.Pointer[chan struct{}]
}

// New returns a Directory with an empty Snapshot.
func New(self Self, logger *zap.Logger) *Directory {
	d := &Directory{self: self, logger: logger}
	d.current.Store(&Snapshot{})
	changed := make(chan struct{})
	d.changed.Store(&changed)
	return d
}

// Changed returns a channel that is closed at the next change. To miss none, call it before Current.
func (d *Directory) Changed() <-chan struct{} { return *d.changed.Load() }

// Current returns the newest state; it is never nil.
func (d *Directory) Current() *Snapshot { return d.current.Load() }

// Subscribe registers f to be called after each change, one call at a time; f must not block.
func (d *Directory) Subscribe(f func(before, after *Snapshot)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, f)
}

// Update applies a newer view of the items that are distributed to all processes; a view that is older than the last one is ignored.
func (d *Directory) Update(view *agent.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.current.Load()
	if before.view != nil && isOlder(view, before.view) {
		return
	}
	after := *before
	after.view = view
	d.applyConfiguration(&after, view)
	if before.view == nil || before.TableVersion != view.PartitionsVersion || before.view.NodesVersion != view.NodesVersion {
		d.applyNodes(&after, view)
	}
	if !before.localWorkers || before.WorkersReadAt < view.WorkersReadAt {
		after.Workers, after.WorkersVersion, after.WorkersReadAt = view.Workers.Workers, view.WorkersVersion, view.WorkersReadAt
		after.localWorkers = false
	}
	d.publish(before, &after)
}

// isOlder reports whether a view is older than another in any item.
func isOlder(view, than *agent.View) bool {
	return view.ConfigurationVersion.Less(than.ConfigurationVersion) || view.PartitionsVersion.Less(than.PartitionsVersion) ||
		view.NodesVersion.Less(than.NodesVersion) || view.WorkersVersion.Less(than.WorkersVersion)
}

// LocalWorkers is a list of workers that this process has read itself.
type LocalWorkers struct {
	Workers []protocol.Worker
	Version protocol.ItemVersion
	ReadAt  time.Duration // when it was last read completely
	// Basis is the version of the list that some of Workers may come from, if not all pages were read since.
	Basis protocol.ItemVersion
}

// SetWorkers puts a list into use that is not older than the current one. One of the same time must be based on the current one. The list stays
// in use until one that was read later arrives.
func (d *Directory) SetWorkers(list LocalWorkers) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.current.Load()
	if list.ReadAt < before.WorkersReadAt || list.ReadAt == before.WorkersReadAt && list.Basis != before.WorkersVersion {
		return
	}
	after := *before
	after.localWorkers = true
	after.Workers, after.WorkersVersion, after.WorkersReadAt = list.Workers, list.Version, list.ReadAt
	d.publish(before, &after)
}

func (d *Directory) publish(before, after *Snapshot) {
	d.current.Store(after)
	changed := make(chan struct{})
	close(*d.changed.Swap(&changed))
	for _, f := range d.subscribers {
		f(before, after)
	}
}

// applyConfiguration keeps the previous configuration if the new one cannot be parsed.
func (d *Directory) applyConfiguration(s *Snapshot, view *agent.View) {
	if !s.ConfigurationVersion.Less(view.ConfigurationVersion) {
		return
	}
	parsed, err := configuration.ParseAfter(s.Configuration, view.Configuration)
	if err != nil {
		d.logger.Error("configuration cannot be parsed; the previous one stays in force", zap.Error(err))
		return
	}
	s.Configuration, s.ConfigurationVersion = parsed, view.ConfigurationVersion
}

// applyNodes sets the stores, the dispatchers and the locations of the partitions.
func (d *Directory) applyNodes(s *Snapshot, view *agent.View) {
	byMember := map[string]*protocol.Node{}
	s.Stores, s.Dispatchers, s.InZone = nil, nil, 0
	for i := range view.Nodes {
		switch node := &view.Nodes[i]; node.Role {
		case protocol.RoleStore:
			byMember[node.Member] = node
			s.Stores = append(s.Stores, Store{Key: node.Key, Member: node.Member, Address: node.Address, Incarnation: node.Incarnation})
		case protocol.RoleDispatcher:
			if node.Leaving {
				continue
			}
			s.Dispatchers = append(s.Dispatchers, node.Key)
			if node.Zone == d.self.Zone {
				s.InZone++
			}
		}
	}
	slices.SortFunc(s.Stores, func(a, b Store) int { return cmp.Compare(a.Key, b.Key) })
	slices.Sort(s.Dispatchers)
	s.Number, _ = slices.BinarySearch(s.Dispatchers, d.self.Key)
	d.applyTable(s, view, byMember)
}

func (d *Directory) applyTable(s *Snapshot, view *agent.View, byMember map[string]*protocol.Node) {
	s.TableVersion = view.PartitionsVersion
	s.Partitions = make([]Partition, len(view.Partitions.Partitions))
	s.ByDistance = [3][]uint32{}
	for i := range view.Partitions.Partitions {
		entry := &view.Partitions.Partitions[i]
		p := Partition{Epoch: entry.Epoch, Primary: entry.Primary}
		if node := byMember[entry.Primary]; node != nil {
			p.Address = node.Address
			distance := d.distance(node)
			s.ByDistance[distance] = append(s.ByDistance[distance], uint32(i))
		}
		s.Partitions[i] = p
	}
}

// distance returns the index in ByDistance for a node's partitions.
func (d *Directory) distance(node *protocol.Node) int {
	switch {
	case node.Zone == d.self.Zone:
		return 0
	case node.Region == d.self.Region:
		return 1
	}
	return 2
}
