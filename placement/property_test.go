package placement

import (
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// step draws and applies one event.
func (m *model) step(t *rapid.T) {
	down := func(s *modelStore) bool { return s.DownFor > 0 && !m.superseded(s.Member) }
	live := func(s *modelStore) bool { return s.DownFor == 0 }
	switch rapid.SampledFrom([]string{"plan", "plan", "plan", "serve", "serve", "crash", "return", "return", "leave", "disk", "add", "retire", "time", "full"}).Draw(t, "event") {
	case "plan":
		m.plan(t, rapid.Bool().Draw(t, "noBalance"))
	case "serve":
		m.runPrimary(t, rapid.IntRange(0, len(m.partitions)-1).Draw(t, "partition"), rapid.Bool().Draw(t, "offer"))
	case "crash":
		if name, ok := m.pick(t, live); ok {
			m.stop(name)
		}
	case "return":
		if name, ok := m.pick(t, down); ok {
			m.start(name)
		}
	case "leave":
		if name, ok := m.pick(t, live); ok {
			m.stores[name].Leaving = true
		}
	case "disk":
		if name, ok := m.pick(t, down); ok && len(m.order) < 30 {
			m.addDisk(NodeName(name), m.stores[name].Zone)
		}
	case "add":
		if len(m.order) < 30 {
			m.addStore(rapid.IntRange(0, 3).Draw(t, "zone"))
		}
	case "retire":
		name, ok := m.pick(t, func(s *modelStore) bool { return !s.Retiring })
		if ok && CanRetire(m.input(true).Stores, name, m.copies) {
			m.stores[name].Retiring = true
		}
	case "full":
		if name, ok := m.pick(t, live); ok {
			m.stores[name].Full = !m.stores[name].Full
		}
	case "time":
		m.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
	}
}

func (m *model) superseded(name string) bool {
	return slices.ContainsFunc(m.order, func(other string) bool {
		return other > name && NodeName(other) == NodeName(name)
	})
}

// TestPlanIsSafeAndConverges lets stores crash, return, change their disks, leave, retire and be added, and checks each
// change. Then all stores that can return do, and the plan must reach a fixed point at which no copy is missing.
func TestPlanIsSafeAndConverges(t *testing.T) {
	merges := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 4, 3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
		}
		for _, name := range m.order {
			if m.stores[name].DownFor > 0 && !m.superseded(name) {
				m.start(name)
			}
			m.stores[name].Leaving, m.stores[name].Full = false, false
		}
		m.advance(RebalanceDelay)
		m.converge(t)
		m.checkFixedPoint(t)
		merges += m.merges
	})
	t.Logf("%d merges", merges)
}

// TestAbandonedStoresBlockNoPartition is like TestPlanIsSafeAndConverges with stores that the operator abandons. In the end all stores that have
// not returned are abandoned, and no partition may wait for a disk.
func TestAbandonedStoresBlockNoPartition(t *testing.T) {
	merges := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 3, 2)
		down := func(s *modelStore) bool { return s.DownFor > 0 && !s.Abandoned }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if name, ok := m.pick(t, down); ok && rapid.IntRange(0, 5).Draw(t, "abandon") == 0 {
				m.stores[name].Abandoned = true
				continue
			}
			m.step(t)
		}
		for _, name := range m.order {
			m.stores[name].Abandoned = m.stores[name].DownFor > 0
			m.stores[name].Leaving, m.stores[name].Full = false, false
		}
		m.advance(RebalanceDelay)
		m.converge(t)
		m.checkFixedPoint(t)
		if len(m.waiting()) > 0 && m.permanent() >= m.copies {
			t.Fatalf("partitions %v wait", m.waiting())
		}
		merges += m.merges
	})
	t.Logf("%d merges", merges)
}

// waiting lists the partitions without a live member, and those whose primary waits for a source.
func (m *model) waiting() (numbers []int) {
	for n := range m.partitions {
		v := &m.partitions[n].view
		if !slices.ContainsFunc(v.Members, m.live) || slices.ContainsFunc(v.Sources, m.lost) {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// permanent counts the stores that are live and not retiring.
func (m *model) permanent() (count int) {
	for _, s := range m.stores {
		if s.DownFor == 0 && !s.Retiring {
			count++
		}
	}
	return count
}

func (m *model) checkFixedPoint(t *rapid.T) {
	nodes := map[string]bool{}
	for _, s := range m.stores {
		if s.DownFor == 0 && !s.Retiring {
			nodes[NodeName(s.Member)] = true
		}
	}
	if m.permanent() < m.copies {
		return
	}
	primaries := map[string]int{}
	waiting := m.waiting()
	for n := range m.partitions {
		p := &m.partitions[n]
		if slices.Contains(waiting, n) { // for lost or unavailable disks
			continue
		}
		if len(p.view.Members) != m.copies || len(p.view.Learners) > 0 {
			t.Fatalf("partition %d is not fully replicated: %+v", n, p.view)
		}
		m.checkSeparation(t, n, len(nodes))
		primaries[p.view.Primary]++
		for _, name := range p.view.Members {
			if s := m.stores[name]; s.DownFor > 0 || s.Retiring {
				t.Fatalf("partition %d keeps %s: %+v", n, name, p.view)
			}
		}
	}
	if len(waiting) == 0 {
		m.checkSpread(t, primaries)
	}
}

func (m *model) checkSeparation(t *rapid.T, n, nodes int) {
	zones, used, all := map[string]bool{}, map[string]bool{}, map[string]int{}
	for _, s := range m.stores {
		if s.DownFor == 0 && !s.Retiring {
			all[s.Zone]++
		}
	}
	members := m.partitions[n].view.Members
	for _, name := range members {
		zones[m.stores[name].Zone] = true
		used[NodeName(name)] = true
	}
	least, most := min(len(all), m.copies), min(len(all), m.copies)
	if m.shared {
		least = zonesNeeded(slices.Sorted(maps.Values(all)), m.copies)
		m.checkNoZoneToSave(t, n, len(zones))
	}
	if len(zones) < least || len(zones) > most {
		t.Fatalf("partition %d lies in %d zones of %d: %v", n, len(zones), len(all), members)
	}
	if len(used) != min(nodes, m.copies) {
		t.Fatalf("partition %d lies on %d machines of %d: %v", n, len(used), nodes, members)
	}
}

// checkNoZoneToSave checks that no copy of a partition could move to a store with room for it such that the partition is in fewer zones and on no
// fewer machines.
func (m *model) checkNoZoneToSave(t *rapid.T, n, zones int) {
	members := m.partitions[n].view.Members
	nodes := m.nodesOf(members)
	for at, from := range members {
		for name, s := range m.stores {
			if s.DownFor > 0 || s.Retiring || slices.Contains(members, name) || m.load(name) >= m.loadLimit() {
				continue
			}
			changed := slices.Clone(members)
			changed[at] = name
			if m.nodesOf(changed) >= nodes && m.zonesOf(changed) < zones {
				t.Fatalf("partition %d lies in %d zones: %v; %s has room for the copy of %s", n, zones, members, name, from)
			}
		}
	}
}

func (m *model) nodesOf(members []string) int {
	nodes := map[string]bool{}
	for _, name := range members {
		nodes[NodeName(name)] = true
	}
	return len(nodes)
}

func (m *model) zonesOf(members []string) int {
	zones := map[string]bool{}
	for _, name := range members {
		zones[m.stores[name].Zone] = true
	}
	return len(zones)
}

// load counts the copies that a store has or will receive.
func (m *model) load(store string) (copies int) {
	for n := range m.partitions {
		v := &m.partitions[n].view
		if slices.Contains(v.Members, store) || slices.Contains(v.Learners, store) {
			copies++
		}
	}
	return copies
}

// loadLimit is the number of copies up to which a store may receive more to keep partitions in fewer zones: 1.5 times its even share.
func (m *model) loadLimit() int {
	permanent := 0
	for _, s := range m.stores {
		if s.DownFor == 0 && !s.Retiring {
			permanent++
		}
	}
	copies := m.copies * len(m.partitions)
	return (3*copies + 2*permanent - 1) / (2 * permanent)
}

// zonesNeeded returns the minimum number of zones that have room for all copies, given the number of stores per zone in ascending order.
func zonesNeeded(stores []int, copies int) (zones int) {
	for _, count := range slices.Backward(stores) {
		if copies <= 0 {
			break
		}
		zones++
		copies -= count
	}
	return zones
}

func (m *model) checkSpread(t *rapid.T, primaries map[string]int) {
	least, most := len(m.partitions), 0
	for _, name := range m.order {
		if s := m.stores[name]; s.DownFor == 0 && !s.Retiring {
			least, most = min(least, primaries[name]), max(most, primaries[name])
		}
	}
	if most-least > 1 && !m.shared { // TestSharedZones checks a bound for primaries that are placed near their copies
		t.Fatalf("primaries are uneven: %v", primaries)
	}
}

// TestInitialViewsAreAFixedPoint checks that initial views are balanced and that a plan does not change them.
func TestInitialViewsAreAFixedPoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 5, 6)
		if len(m.partitions) == 0 {
			t.Fatalf("no initial views for stores %v", m.order)
		}
		m.checkFixedPoint(t)
		if changes := Plan(m.input(false)); len(changes) > 0 {
			t.Fatalf("initial views are changed: %+v", changes)
		}
	})
}

// TestPlanIsDeterministic checks that the plan depends neither on the order of the stores nor on that of the offers, and that
// the input is not modified.
func TestPlanIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 3, 3)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			m.step(t)
		}
		in, other := m.input(false), m.input(false)
		other.Stores = rapid.Permutation(other.Stores).Draw(t, "stores")
		for p := range other.Offers {
			slices.Reverse(other.Offers[p])
		}
		if a, b := Plan(in), Plan(other); !reflect.DeepEqual(a, b) {
			t.Fatalf("plans differ: %+v and %+v", a, b)
		}
		if !reflect.DeepEqual(in, m.input(false)) {
			t.Fatalf("the input was modified")
		}
	})
}

// TestSingleLossChangesOnlyItsPartitions checks that the loss and quick return of a store changes only the partitions that it
// has a copy of, and each of them twice, not counting later moves of primaries for balance.
func TestSingleLossChangesOnlyItsPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 4, 3)
		m.runPrimaries(t, false)
		lost, _ := m.pick(t, func(*modelStore) bool { return true })
		held := 0
		for _, p := range m.partitions {
			if contains(p.view.Members, lost) {
				held++
			}
		}
		m.stop(lost)
		if n := m.plan(t, true); n != held {
			t.Fatalf("%d changes for %d partitions", n, held)
		}
		if n := m.plan(t, true); n != 0 {
			t.Fatalf("%d changes without an event", n)
		}
		m.start(lost)
		if n := m.plan(t, true); n != 0 {
			t.Fatalf("%d changes for a return before an offer", n)
		}
		m.runPrimaries(t, true)
		if n := m.plan(t, true); n != held {
			t.Fatalf("%d changes for the offers of %d partitions", n, held)
		}
		m.changes, m.attached = 0, 0
		m.converge(t)
		m.checkFixedPoint(t)
	})
}
