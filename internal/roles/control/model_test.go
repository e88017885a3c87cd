package control

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"liftgauge/election"
	"liftgauge/internal/protocol"
	"liftgauge/replication"
)

// applyAll builds a model from records in the given order.
func applyAll(t interface{ Fatal(...any) }, records ...replication.Record) *model {
	m := newModel()
	for _, r := range records {
		if err := m.apply(r); err != nil {
			t.Fatal(r.Key, err)
		}
	}
	return m
}

func TestModelRoundTrip(t *testing.T) {
	is := is.New(t)
	node := protocol.Node{Key: "s1/store", Name: "s1", Role: protocol.RoleStore, Incarnation: 5, Member: "s1/d", Zone: "z", Region: "r",
		Address: "127.0.0.1:7242", Leaving: true, CountsForQuorum: true}
	store := storeRecord{Member: "s1/d", Name: "s1", Zone: "z", Region: "r", Retiring: true}
	award := election.Award{Term: 3, Holder: election.Holder{Key: "c1/control", Incarnation: 9}}
	version := protocol.ItemVersion{Term: 4, Number: 1<<40 | 2}
	view := protocol.PartitionView{Partition: 2, Epoch: 7, Primary: "s1/d", Members: []string{"s1/d", "s2/d"}, Learners: []string{"s3/d"}}
	m := applyAll(t, nodeRecord(node), store.record(), dutyRecord(dutyReader, award), versionRecord(version), partitionRecord(view),
		configurationRecord([]byte(`{"Revision":1}`)), acceptedRecord("abc", 12), foundedRecord(64), replication.Record{Key: "of/a/newer/version"})
	is.Equal(m.nodes[node.Key], node)
	is.Equal(m.stores[store.Member], store)
	is.Equal(m.duties[dutyReader], award)
	is.Equal(m.configurationVersion, version)
	is.Equal(len(m.partitions), 3)
	is.Equal(m.partitions[2], view)
	is.Equal(m.partitions[0].Partition, uint32(0))
	is.Equal(m.acceptedOrders["abc"], uint64(12))
	is.Equal(string(m.configuration), `{"Revision":1}`)
	is.True(m.founded)
	is.True(m.references("s3/d"))
	is.True(!m.references("s4/d"))
	is.NoErr(m.apply(deletion(prefixNode + node.Key)))
	is.NoErr(m.apply(deletion(prefixStore + store.Member)))
	is.Equal(len(m.nodes)+len(m.stores), 0)
}

func TestModelRejectsMalformedRecords(t *testing.T) {
	is := is.New(t)
	for _, key := range []string{prefixPartition + "x", prefixPartition + "99999", prefixStore + "a", prefixDuty + "a", prefixAccepted + "a", keyConfigurationVersion} {
		is.True(newModel().apply(replication.Record{Key: key, Value: []byte{0xff}}) != nil)
	}
}

func TestStoreRecordsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := storeRecord{
			Member: rapid.String().Draw(t, "member"), Name: rapid.String().Draw(t, "name"), Zone: rapid.String().Draw(t, "zone"),
			Region: rapid.String().Draw(t, "region"), Retiring: rapid.Bool().Draw(t, "retiring"), Emptied: rapid.Bool().Draw(t, "emptied"),
			Abandoned: rapid.Bool().Draw(t, "abandoned"),
		}
		if m := applyAll(t, s.record()); m.stores[s.Member] != s {
			t.Fatalf("%+v became %+v", s, m.stores[s.Member])
		}
	})
}
