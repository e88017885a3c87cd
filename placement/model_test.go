package placement

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// This file models stores and replica groups to which plans are applied. Records are bits of a mask; a write is acknowledged when
// every member and every offered learner has it, and it is on at least as many disks as the number of copies.

type modelStore struct {
	Store
	records []uint64 // by partition
}

type modelPartition struct {
	view         View
	written      int
	acknowledged uint64
	offered      []string
	// active is set once the primary of the current view has synchronized every member with itself.
	active bool
}

type model struct {
	copies     int
	limit      int
	regions    bool
	shared     bool // SharedZones
	nodes      int
	disks      int
	stores     map[string]*modelStore
	order      []string
	partitions []modelPartition
	changes    int
	handovers  int
	attached   int
	merges     int
}

func newModel(t *rapid.T, maxZones, maxPerZone int) *model {
	m := &model{copies: rapid.IntRange(2, 3).Draw(t, "copies"), limit: rapid.IntRange(1, 8).Draw(t, "limit"),
		shared: rapid.Bool().Draw(t, "shared"), stores: map[string]*modelStore{}}
	zones := rapid.IntRange(1, maxZones).Draw(t, "zones")
	for z := range zones {
		for range rapid.IntRange(1, maxPerZone).Draw(t, "storesOfZone") {
			m.addStore(z)
		}
	}
	for len(m.order) < m.copies {
		m.addStore(len(m.order) % zones)
	}
	partitions := rapid.IntRange(1, 48).Draw(t, "partitions")
	for _, v := range InitialViewsFor(m.input(true), partitions) {
		m.partitions = append(m.partitions, modelPartition{view: v})
	}
	for _, s := range m.stores {
		s.records = make([]uint64, partitions)
	}
	return m
}

func (m *model) addStore(zone int) string {
	m.nodes++
	return m.addDisk(fmt.Sprintf("storage-%02d", m.nodes), fmt.Sprintf("zone-%d", zone))
}

func (m *model) addDisk(node, zone string) string {
	m.disks++
	name := fmt.Sprintf("%s/d%02d", node, m.disks)
	m.stores[name] = &modelStore{Store: Store{Member: name, Zone: zone, Region: "r"}, records: make([]uint64, len(m.partitions))}
	m.order = append(m.order, name)
	return name
}

func (m *model) live(name string) bool { s := m.stores[name]; return s != nil && s.DownFor == 0 }

func (m *model) input(noBalance bool) Input {
	in := Input{Copies: m.copies, MoveLimit: m.limit, SpreadRegions: m.regions, SharedZones: m.shared, NoBalance: noBalance, Offers: map[int][]string{}}
	for _, name := range m.order {
		in.Stores = append(in.Stores, m.stores[name].Store)
	}
	for p := range m.partitions {
		in.Partitions = append(in.Partitions, m.partitions[p].view)
		if len(m.partitions[p].offered) > 0 {
			in.Offers[p] = slices.Clone(m.partitions[p].offered)
		}
	}
	return in
}

// plan applies a plan and checks that it is safe.
func (m *model) plan(t *rapid.T, noBalance bool) int {
	changes := Plan(m.input(noBalance))
	for n, c := range changes {
		if n > 0 && changes[n-1].Partition >= c.Partition {
			t.Fatalf("changes out of order: %v", changes)
		}
		m.checkChange(t, c)
		p := &m.partitions[c.Partition]
		if c.View.Primary != p.view.Primary {
			m.handovers++
		}
		for _, l := range c.View.Learners {
			if !contains(p.view.Learners, l) && m.live(l) {
				m.attached++
			}
		}
		p.view, p.offered, p.active = c.View, nil, false
	}
	m.changes += len(changes)
	return len(changes)
}

func (m *model) checkChange(t *rapid.T, c Change) {
	p := &m.partitions[c.Partition]
	old, v := p.view, c.View
	for _, name := range v.Learners {
		if m.stores[name].Full && m.live(name) && !contains(old.Members, name) && !contains(old.Learners, name) && !contains(v.Sources, name) {
			t.Fatalf("partition %d gets a copy on %s, which is full: %+v -> %+v", c.Partition, name, old, v)
		}
	}
	fail := func(why string) {
		t.Fatalf("partition %d: %s: %+v (offers %v) -> %+v", c.Partition, why, old, p.offered, v)
	}
	if v.Epoch != old.Epoch+1 {
		fail("epoch is not the successor")
	}
	if len(v.Members) == 0 || !contains(v.Members, v.Primary) {
		fail("primary is not a member")
	}
	if !m.live(v.Primary) {
		fail("primary is not live")
	}
	if len(v.Members) > m.copies {
		fail("too many members")
	}
	if len(v.Members) < m.copies {
		for _, name := range slices.Concat(old.Members, old.Learners, old.Holders) {
			if !contains(v.Members, name) && !contains(v.Learners, name) && !contains(v.Holders, name) {
				fail("holder " + name + " is no longer listed")
			}
		}
	}
	hasAllRecords := func(name string) bool { return contains(old.Members, name) || contains(p.offered, name) }
	if !slices.ContainsFunc(v.Members, hasAllRecords) {
		m.checkMerge(c, fail)
		return
	}
	for _, name := range v.Members {
		if !contains(old.Members, name) && !(contains(p.offered, name) && contains(old.Learners, name)) {
			fail("member " + name + " was neither member nor offered")
		}
		if contains(v.Learners, name) {
			fail("member is also a learner")
		}
		if !m.live(name) {
			fail("member is unavailable although the view could change")
		}
		missing := p.acknowledged &^ m.held(c.Partition, name, v.Sources)
		if missing != 0 && !m.allLostAbandoned(old) {
			fail("member " + name + " lacks acknowledged records")
		}
		p.acknowledged &^= missing
	}
	lost := 0
	for _, name := range old.Members {
		if m.live(name) && !contains(v.Members, name) {
			lost++
		}
	}
	if lost > 0 && len(v.Members) < m.copies {
		fail("a live member was dropped below the number of copies")
	}
}

// held returns the union of the records of a store and the sources.
func (m *model) held(partition int, name string, sources []string) uint64 {
	records := m.stores[name].records[partition]
	for _, source := range sources {
		records |= m.stores[source].records[partition]
	}
	return records
}

// lost reports whether a disk is lost according to the input of a plan.
func (m *model) lost(name string) bool {
	return m.superseded(name) || m.stores[name].Abandoned && m.stores[name].DownFor > 0
}

// allLostAbandoned reports whether at least as many disks of a partition as copies are lost, and the operator has abandoned each of them.
func (m *model) allLostAbandoned(old View) bool {
	lost := 0
	for _, name := range slices.Concat(old.Members, old.Learners, old.Holders) {
		if m.lost(name) {
			lost++
			if !m.stores[name].Abandoned {
				return false
			}
		}
	}
	return lost >= m.copies
}

// checkMerge checks a view that merges the records of learners and holders.
func (m *model) checkMerge(c Change, fail func(string)) {
	old, v := m.partitions[c.Partition].view, c.View
	for _, name := range old.Members {
		if !m.lost(name) {
			fail("merged although the disk of " + name + " is not lost")
		}
	}
	for _, name := range v.Sources {
		if !contains(v.Learners, name) || !m.live(name) {
			fail("source " + name + " is not a live learner")
		}
	}
	p := &m.partitions[c.Partition]
	missing := p.acknowledged &^ m.held(c.Partition, v.Primary, v.Sources)
	if missing != 0 && !m.allLostAbandoned(old) {
		fail("the sources lack acknowledged records")
	}
	p.acknowledged &^= missing
	m.merges++
}

// runPrimary runs the primary of a partition: it synchronizes the members, accepts a write and offers learners.
func (m *model) runPrimary(t *rapid.T, n int, offer bool) {
	p := &m.partitions[n]
	v := &p.view
	if !m.live(v.Primary) {
		return
	}
	primary := m.stores[v.Primary]
	if !p.active {
		if slices.ContainsFunc(v.Members, func(name string) bool { return !m.live(name) }) {
			return
		}
		if slices.ContainsFunc(v.Sources, func(name string) bool { return !m.live(name) }) {
			return
		}
		primary.records[n] = m.held(n, v.Primary, v.Sources)
		if lost := p.acknowledged &^ primary.records[n]; lost != 0 {
			t.Fatalf("partition %d: primary %s lacks acknowledged records %b", n, v.Primary, lost)
		}
		for _, name := range v.Members {
			m.stores[name].records[n] = primary.records[n]
		}
		p.active = true
	}
	m.write(n)
	if offer {
		for _, name := range v.Learners {
			if m.live(name) && !contains(p.offered, name) {
				m.stores[name].records[n] = primary.records[n]
				p.offered = append(p.offered, name)
			}
		}
	}
}

// write writes one record. Some disks may store it even if it is not acknowledged.
func (m *model) write(n int) {
	p := &m.partitions[n]
	if p.written >= 64 {
		return
	}
	bit := uint64(1) << p.written
	p.written++
	disks, all := 0, true
	for _, name := range slices.Concat(p.view.Members, p.view.Learners) {
		if m.live(name) {
			m.stores[name].records[n] |= bit
			disks++
		} else if !contains(p.view.Learners, name) || contains(p.offered, name) {
			all = false
		}
	}
	if all && disks >= m.copies {
		p.acknowledged |= bit
	}
}

func (m *model) runPrimaries(t *rapid.T, offer bool) {
	for n := range m.partitions {
		m.runPrimary(t, n, offer)
	}
}

// converge runs primaries and plans until nothing changes.
func (m *model) converge(t *rapid.T) {
	for round := 0; ; round++ {
		m.runPrimaries(t, true)
		if m.plan(t, false) == 0 {
			return
		}
		if round > 40*(len(m.partitions)+len(m.order)) {
			t.Fatalf("no fixed point: %+v", Plan(m.input(false)))
		}
	}
}

// advance adds to the time for which stores have been unavailable.
func (m *model) advance(d time.Duration) {
	for _, s := range m.stores {
		if s.DownFor > 0 {
			s.DownFor += d
		}
	}
}

func (m *model) stop(name string) {
	s := m.stores[name]
	s.DownFor, s.Leaving = time.Millisecond, false
}

func (m *model) start(name string) { m.stores[name].DownFor, m.stores[name].Abandoned = 0, false }

// pick returns one of the stores that match; the result is false if there is none.
func (m *model) pick(t *rapid.T, matches func(s *modelStore) bool) (string, bool) {
	var list []string
	for _, name := range m.order {
		if matches(m.stores[name]) {
			list = append(list, name)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return rapid.SampledFrom(list).Draw(t, "store"), true
}
