// Package directory holds what a dispatcher knows of the system, in the form in which its parts ask for it.
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

// Self is the dispatcher that asks.
type Self struct {
	Key    string
	Zone   string
	Region string
}

// Partition is where the messages of a partition are kept.
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

// Snapshot is one state of the system. It is never changed after it was handed out.
type Snapshot struct {
	Configuration        *configuration.Configuration // nil before the first
	ConfigurationVersion protocol.ItemVersion
	TableVersion         protocol.ItemVersion
	Partitions           []Partition
	// Near holds the partitions that have a live primary: those in the own zone, then in the own region, then all others.
	ByDistance [3][]uint32
	// Stores are ordered by key.
	Stores []Store
	// Dispatchers are the keys of those that are live and not about to end, in order; InZone counts those of the own zone.
	Dispatchers []string
	InZone      int
	Number      int // of this dispatcher among Dispatchers; where it would stand if it is not among them

	Workers        []protocol.Worker
	WorkersVersion protocol.ItemVersion
	WorkersReadAt  time.Duration // on the agent's steady clock

	view         *agent.View
	localWorkers bool // Workers were read by this process itself
}

// Ready tells whether messages can be taken by this state: there are a configuration, partitions, and primaries of them.
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

// Partition returns a partition; ok is false if there is none of that number.
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

	mu          sync.Mutex // serialises changes
	subscribers []func(before, after *Snapshot)
	changed     atomic.Pointer[chan struct{}]
}

// New returns a Directory that knows nothing.
func New(self Self, logger *zap.Logger) *Directory {
	d := &Directory{self: self, logger: logger}
	d.current.Store(&Snapshot{})
	changed := make(chan struct{})
	d.changed.Store(&changed)
	return d
}

// Changed is closed at the next change; ask for it before Current.
func (d *Directory) Changed() <-chan struct{} { return *d.changed.Load() }

// Current is the newest state; it is never nil.
func (d *Directory) Current() *Snapshot { return d.current.Load() }

// Subscribe has f called after each change, one after the other; f must not block.
func (d *Directory) Subscribe(f func(before, after *Snapshot)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, f)
}

// Follow takes a newer view of the items that everybody knows; one that is older than the last is ignored.
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

// older tells whether a view was made before another.
func isOlder(view, than *agent.View) bool {
	return view.ConfigurationVersion.Less(than.ConfigurationVersion) || view.PartitionsVersion.Less(than.PartitionsVersion) ||
		view.NodesVersion.Less(than.NodesVersion) || view.WorkersVersion.Less(than.WorkersVersion)
}

// ReadWorkers takes the list of workers as this process has read it itself. It holds until a later reading is known.
func (d *Directory) SetWorkers(workers []protocol.Worker, version protocol.ItemVersion, readAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.current.Load()
	if readAt <= before.WorkersReadAt {
		return
	}
	after := *before
	after.localWorkers = true
	after.Workers, after.WorkersVersion, after.WorkersReadAt = workers, version, readAt
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

// takeConfiguration keeps the configuration before if the new one cannot be read.
func (d *Directory) applyConfiguration(s *Snapshot, view *agent.View) {
	if !s.ConfigurationVersion.Less(view.ConfigurationVersion) {
		return
	}
	parsed, err := configuration.ParseAfter(s.Configuration, view.Configuration)
	if err != nil {
		d.logger.Error("configuration cannot be read; the one before stays in force", zap.Error(err))
		return
	}
	s.Configuration, s.ConfigurationVersion = parsed, view.ConfigurationVersion
}

// takeNodes finds the processes and where partitions are.
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

// distance is the place of a node's partitions in Near.
func (d *Directory) distance(node *protocol.Node) int {
	switch {
	case node.Zone == d.self.Zone:
		return 0
	case node.Region == d.self.Region:
		return 1
	}
	return 2
}
