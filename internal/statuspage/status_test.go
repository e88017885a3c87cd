package statuspage

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestPrint(t *testing.T) {
	is := is.New(t)
	s := Page{
		Node: "edge-1/control", Active: true, Epoch: 513, Primary: "edge-1/d1", PrimaryPlane: "10.1.0.30:8046",
		Members: []string{"edge-1/d1", "edge-2/d2"}, Witnesses: []string{"edge-1/d1", "edge-2/d2", "edge-3/d3"}, Blocked: []string{"edge-2/d2"},
		LossesBorne: 1, LossesAsked: 1,
		Orders: 1, Workers: 32,
		Nodes: []Node{
			{Key: "edge-1/control", Zone: "a", Address: "10.1.0.30:7240", Member: "edge-1/d1"},
			{Key: "edge-1/dispatcher", Zone: "a", Address: "10.1.0.30:7241", Leaving: true},
		},
		Partitions: Partitions{Count: 64, Primary: map[string]int{"s1/x": 40, "s2/y": 24}, Learners: 3, Short: 2, Waiting: 2, WaitsFor: []string{"s3/z", "s4/w"}},
		Stores:     []Store{{Member: "s1/x", Live: true}, {Member: "s2/y", Live: true, Retiring: true}, {Member: "s3/z", Emptied: true}, {Member: "s4/w", Abandoned: true}},
	}
	var out bytes.Buffer
	is.NoErr(s.Print(&out))
	is.Equal(out.String(), `as seen by edge-1/control (primary)
control: epoch 513, primary edge-1/d1 at 10.1.0.30:8046
  members edge-1/d1, edge-2/d2; learners none; witnesses edge-1/d1, edge-2/d2, edge-3/d3
  writes wait for edge-2/d2
orders under way: 1; workers on the list: 32
partitions: 64, of these 3 with learners, 2 short of copies

2 partitions rest until these disks are back, or given up by liftgauge abandon: s3/z, s4/w

process            zone  address         member     state
edge-1/control     a     10.1.0.30:7240  edge-1/d1  live
edge-1/dispatcher  a     10.1.0.30:7241  -          leaving

store  partitions led  state
s1/x   40              live
s2/y   24              live, being emptied
s3/z   0               gone, empty
s4/w   0               gone, given up
`)
}

func TestPrintWarnsOfTooFewToleratedLosses(t *testing.T) {
	is := is.New(t)
	const warned = "  control bears the loss of 1 of its witnesses, FaultTolerance asks for 2: run control on 5 machines with a disk\n"
	for _, c := range []struct {
		epoch               uint64
		tolerated, required int
		warned              bool
	}{
		{513, 1, 2, true}, {513, 2, 2, false}, {513, 3, 2, false},
		{0, 0, 2, false}, // no view is known yet
	} {
		var out bytes.Buffer
		s := Page{Epoch: c.epoch, LossesBorne: c.tolerated, LossesAsked: c.required}
		is.NoErr(s.Print(&out))
		is.Equal(bytes.Contains(out.Bytes(), []byte(warned)), c.warned)
	}
}
