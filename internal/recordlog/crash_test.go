package recordlog

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"testing"

	"liftgauge/reconcile"
	"liftgauge/replication"

	"pgregory.net/rapid"
)

// modelKey identifies a record in the model.
type modelKey struct {
	group uint32
	key   string
}

type modelValue struct {
	version uint64
	value   string
}

type modelState map[modelKey]modelValue

// modelRequest is an append or the drop of a group.
type modelRequest struct {
	group   uint32
	records []replication.Record
	drop    bool
}

func (s modelState) apply(r modelRequest) {
	for _, record := range r.records {
		if record.Deleted {
			delete(s, modelKey{r.group, record.Key})
		} else {
			s[modelKey{r.group, record.Key}] = modelValue{record.Version, string(record.Value)}
		}
	}
	if r.drop {
		maps.DeleteFunc(s, func(k modelKey, _ modelValue) bool { return k.group == r.group })
	}
}

// crashModel compares a log with a map across power losses, kills and disk faults.
type crashModel struct {
	t       *rapid.T
	dir     string
	disk    *powerLossDisk
	log     *Log
	options Options
	random  *rand.Rand

	durable modelState
	pending []modelRequest
	version uint64
}

const modelGroups = 3

func (m *crashModel) visible() modelState {
	state := maps.Clone(m.durable)
	for _, r := range m.pending {
		state.apply(r)
	}
	return state
}

func (m *crashModel) append() {
	group := uint32(m.random.IntN(modelGroups))
	records := make([]replication.Record, 1+m.random.IntN(3))
	for i := range records {
		m.version++
		key := fmt.Sprint("key", m.random.IntN(12))
		switch m.random.IntN(4) {
		case 0:
			records[i] = replication.Record{Key: key, Deleted: true}
		case 1:
			records[i] = put(key, m.version, repeated(byte(m.version), 20+m.random.IntN(700)))
		default:
			records[i] = put(key, m.version, fmt.Sprint(m.version))
		}
	}
	m.submit(modelRequest{group: group, records: records})
}

func (m *crashModel) drop() {
	m.submit(modelRequest{group: uint32(m.random.IntN(modelGroups)), drop: true})
}

func (m *crashModel) submit(r modelRequest) {
	done := func(err error) {
		if m.disk.powerLost() {
			return
		}
		if err == nil {
			m.durable.apply(m.pending[0])
		}
		m.pending = m.pending[1:]
	}
	m.pending = append(m.pending, r)
	if r.drop {
		m.log.Drop(r.group, done)
	} else {
		m.log.Append(r.group, r.records, done)
	}
}

// fault makes some disk operations fail, runs a few steps, and clears the faults.
func (m *crashModel) fault() {
	names := []string{"WriteBatch", "Sync", "SyncFolder", "CreateJournal", "Remove", "Close"}
	for range 1 + m.random.IntN(2) {
		m.disk.faults[names[m.random.IntN(len(names))]] = errInjected
	}
	for range 1 + m.random.IntN(3) {
		m.log.step()
	}
	clear(m.disk.faults)
}

// restart abandons the log and reopens it, after a power loss or only a kill.
func (m *crashModel) restart(power bool) {
	m.disk.operationsLeft = 0
	_ = m.log.Close()
	for {
		if power {
			m.disk.losePower(m.dir, m.random)
		}
		m.disk.operationsLeft = -1
		if m.random.IntN(3) == 0 {
			m.armPowerLoss(12)
		}
		l, report, err := open(m.dir, m.options, m.disk)
		if err != nil && m.disk.powerLost() {
			power = true
			continue
		}
		if err != nil {
			m.t.Fatalf("open: %+v", err)
		}
		if report.Damaged() {
			m.t.Fatalf("damage reported: %+v", report)
		}
		m.log = l
		break
	}
	if m.disk.powerLost() { // open succeeds without space, but not without power
		m.t.Fatal("opened without power")
	}
	m.disk.operationsLeft = -1
	m.checkRecovered()
}

// checkRecovered checks that the log holds all durable requests, and a prefix of the pending ones.
func (m *crashModel) checkRecovered() {
	found := m.contents()
	state := maps.Clone(m.durable)
	for i := 0; ; i++ {
		if maps.Equal(found, state) {
			m.durable, m.pending = state, nil
			return
		}
		if i == len(m.pending) {
			m.t.Fatalf("recovered %v\n durable %v\n pending %v", found, m.durable, m.pending)
		}
		state.apply(m.pending[i])
	}
}

func (m *crashModel) contents() modelState {
	found := make(modelState)
	for _, group := range m.log.Groups() {
		for _, item := range m.log.Items(group, reconcile.All()) {
			record, ok, err := m.log.Get(group, item.Key)
			if err != nil || !ok || record.Version != item.Version {
				m.t.Fatalf("get %d %s: %v %v %v", group, item.Key, record, ok, err)
			}
			found[modelKey{group, item.Key}] = modelValue{record.Version, string(record.Value)}
		}
	}
	return found
}

// check compares all readable records with the model, and the log's counters with a recount.
func (m *crashModel) check() {
	want := m.visible()
	if found := m.contents(); !maps.Equal(found, want) {
		m.t.Fatalf("found %v\n want %v", found, want)
	}
	for group := range uint32(modelGroups) {
		var digest reconcile.Digest
		for k, v := range want {
			if k.group == group {
				digest = digest.Plus(reconcile.DigestOf(reconcile.Item{Key: k.key, Version: v.version}))
			}
		}
		if found := m.log.Digest(group, reconcile.All()); found != digest {
			m.t.Fatalf("group %d: digest %v, want %v", group, found, digest)
		}
	}
	live := 0
	var usage int64
	for _, g := range m.log.generations {
		live += g.liveRecords
		usage += g.bytes
	}
	if live != len(m.durable) {
		m.t.Fatalf("%d live records, %d durable ones", live, len(m.durable))
	}
	if usage != m.log.usage {
		m.t.Fatalf("usage %d, generations have %d", m.log.usage, usage)
	}
	if len(m.pending) == 0 && (len(m.log.index.pending) > 0 || len(m.log.index.replacedBy) > 0 || m.log.queuedBytes != 0) {
		m.t.Fatalf("not released: %d pending values, %d replaced entries, %d queued bytes",
			len(m.log.index.pending), len(m.log.index.replacedBy), m.log.queuedBytes)
	}
}

func (m *crashModel) armPowerLoss(maxOperations int) {
	m.disk.operationsLeft = 1 + m.random.IntN(maxOperations)
	m.disk.applyFailing = m.random.IntN(2) == 0
}

func (m *crashModel) runAction(action int) {
	switch action {
	case 0, 1, 2, 3:
		m.append()
	case 4, 5:
		if m.random.IntN(2) == 0 {
			m.disk.onWrite = m.append
		}
		m.log.step()
		m.disk.onWrite = nil
	case 6:
		stepUntilIdle(m.log)
	case 7:
		m.fault()
	case 8:
		m.armPowerLoss(12)
		for range 6 {
			m.append()
			m.log.step()
		}
		m.restart(m.random.IntN(2) == 0)
	case 9:
		m.restart(m.random.IntN(2) == 0)
	case 10:
		m.drop()
	case 11:
		stepUntilIdle(m.log)
		if err := m.log.Close(); err != nil {
			m.t.Fatal(err)
		}
		m.restart(true)
	case 12:
		for range 20 {
			m.append()
			m.disk.onWrite = m.append
			m.log.step()
			m.disk.onWrite = nil
		}
	}
}

const modelActions = 13

func TestCrashRecoveryKeepsDurableRecordsAndAddsNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "recordlog")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		m := &crashModel{
			t: t, dir: dir, disk: newPowerLossDisk(), durable: make(modelState),
			options: Options{
				SegmentBytes:    int64(rapid.SampledFrom([]int{100, 600, 3000}).Draw(t, "segment")),
				GenerationBytes: int64(rapid.SampledFrom([]int{500, 4000, 20000}).Draw(t, "generation")),
				MaxInlineBytes:  8, CacheBytes: int64(rapid.SampledFrom([]int{-1, 500}).Draw(t, "cache")),
			},
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		}
		if m.log, _, err = open(dir, m.options, m.disk); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = m.log.Close() }()
		for _, action := range rapid.SliceOfN(rapid.IntRange(0, modelActions-1), 1, 60).Draw(t, "actions") {
			m.runAction(action)
			m.check()
		}
	})
}
