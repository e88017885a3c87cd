package recovery

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
	"liftgauge/internal/snapshot"
	"liftgauge/replication"
)

// viewOf returns a view of the disks machine/1 as witnesses, of which the given number from the first on are members.
func viewOf(epoch uint64, members int, machines ...string) replication.ControlView {
	v := replication.ControlView{View: replication.View{Epoch: epoch}}
	for i, m := range machines {
		id := m + "/1"
		if i < members {
			v.Members = append(v.Members, id)
		}
		v.Witnesses = append(v.Witnesses, id)
		v.Peers = append(v.Peers, replication.Peer{Member: id, Address: m})
	}
	v.Primary = v.Members[0]
	return v
}

// account returns the account of a process whose disk belongs to a view.
func account(machine, disk string, v replication.ControlView) Account {
	a := Account{Node: machine + "/control", Name: machine, Member: machine + "/" + disk, Address: machine, ControlPlane: machine + ":1",
		HighestEpoch: v.Epoch, Installed: v, Configuration: Known{Version: protocol.ItemVersion{Term: 3}, Count: 12}, Partitions: Known{Count: 64}}
	if v.IsMember(a.Member) {
		a.Records = &Records{Joined: v.Epoch, Revision: 12, Orders: 5}
	}
	return a
}

// empty returns the account of a process with an empty disk that has received a view.
func empty(machine string, v replication.ControlView) Account {
	a := account(machine, "2", replication.ControlView{})
	a.HighestEpoch = 0
	a.Heard = Heard{Epoch: v.Epoch, Members: v.Members, Witnesses: v.Witnesses}
	return a
}

func TestPlanAfterLossOfMajorityOfDisks(t *testing.T) {
	is := is.New(t)
	v := viewOf(7, 3, "a", "b", "c", "d", "e")
	p, err := NewPlan([]Account{empty("a", v), account("b", "1", v), empty("d", v), empty("e", v)}, Options{})
	is.NoErr(err)
	is.Equal(p.Founder.Name, "b")
	is.Equal(p.Source.Name, "b")
	is.Equal(len(p.Join), 3)
	is.Equal(p.View, replication.FirstViewOfGeneration(replication.Peer{Member: "b/1", Address: "b"}, 7+replication.RecoveryEpochGap, 1))
	text := strings.Join(p.Findings, "\n")
	is.True(strings.Contains(text, "all that was acknowledged, from b/control (revision 12, 5 orders taken)"))
	is.True(strings.Contains(text, "witness c/1 does not answer"))
	is.True(strings.Contains(text, "witness a/1: its disk is lost"))
}

// The only survivor is a member of an earlier view, but not of the newest one: later records may be missing from it.
func TestRecordsOfEarlierView(t *testing.T) {
	is := is.New(t)
	before, v := viewOf(7, 3, "a", "b", "c"), viewOf(9, 2, "a", "b", "c")
	p, err := NewPlan([]Account{empty("a", v), empty("b", v), account("c", "1", before)}, Options{})
	is.NoErr(err)
	is.Equal(p.Source.Name, "c")
	is.True(strings.Contains(strings.Join(p.Findings, "\n"), "up to epoch 7 of 9"))
}

// All members are lost and a majority of the witnesses remains: no process can take over without recovery.
func TestPlanAfterLossOfAllMembers(t *testing.T) {
	is := is.New(t)
	v := viewOf(7, 2, "a", "b", "c", "d", "e")
	remaining := []Account{account("c", "1", v), account("d", "1", v), account("e", "1", v)}
	_, err := NewPlan(append(remaining, empty("a", v)), Options{})
	is.True(errors.Is(err, ErrControlMayBeAvailable)) // b may come back with all records
	p, err := NewPlan(append(remaining, empty("a", v), empty("b", v)), Options{})
	is.NoErr(err)
	is.True(p.Source == nil)
	_, err = NewPlan(append(remaining, empty("a", v)), Options{Lost: []string{"b"}})
	is.NoErr(err)
}

func TestPlanRejections(t *testing.T) {
	is := is.New(t)
	v := viewOf(7, 2, "a", "b", "c")
	a, b, c := account("a", "1", v), account("b", "1", v), account("c", "1", v)
	for _, accounts := range [][]Account{{a, b, c}, {a, c}, {a, b}} {
		_, err := NewPlan(accounts, Options{Lost: []string{"b"}})
		is.True(errors.Is(err, ErrControlAvailable))
	}
	_, err := NewPlan([]Account{a}, Options{Lost: []string{"b"}})
	is.NoErr(err) // c alone is no majority
	_, err = NewPlan([]Account{a}, Options{})
	is.True(errors.Is(err, ErrControlMayBeAvailable))
	is.True(strings.Contains(err.Error(), "b/1, c/1"))

	diskless := Account{Node: "x/control", Name: "x"}
	_, err = NewPlan([]Account{diskless}, Options{})
	is.True(errors.Is(err, ErrNoCandidate))
	_, err = NewPlan(nil, Options{})
	is.True(errors.Is(err, ErrNoCandidate))

	_, err = NewPlan([]Account{a, empty("b", v), empty("c", v)}, Options{At: "nowhere"})
	is.True(errors.Is(err, ErrNoSuchNode))
	newer := empty("b", v)
	newer.Configuration.Version.Term++
	_, err = NewPlan([]Account{a, newer, empty("c", v)}, Options{})
	is.True(errors.Is(err, ErrStaleFounder))

	uninformed := Account{Node: "a/control", Name: "a", Member: "a/2", Address: "a"}
	_, err = NewPlan([]Account{uninformed}, Options{})
	is.True(errors.Is(err, ErrNoState))
	from := &snapshot.Snapshot{Node: "old/control", TakenAt: time.Unix(0, 0), Epoch: 50, Generation: 4}
	p, err := NewPlan([]Account{uninformed}, Options{From: from})
	is.NoErr(err)
	is.Equal(p.View.Generation, uint64(5))
	is.Equal(p.View.Epoch, uint64(50+replication.RecoveryEpochGap))
	is.True(strings.Contains(strings.Join(p.Findings, "\n"), "not confirmed by a majority"))
}

// A view of a later generation takes precedence over one of a higher epoch.
func TestGenerationTakesPrecedenceOverEpoch(t *testing.T) {
	is := is.New(t)
	old, v := viewOf(3000, 3, "a", "b", "c"), viewOf(1031, 3, "a", "b", "c")
	v.Generation = 1
	p, err := NewPlan([]Account{account("a", "1", old), account("b", "1", v)}, Options{Lost: []string{"c", "a"}})
	is.True(errors.Is(err, ErrControlAvailable)) // a answers: with b it is a majority of the newest view
	is.True(p == nil)
	p, err = NewPlan([]Account{account("b", "1", v)}, Options{Lost: []string{"c", "a"}})
	is.NoErr(err)
	is.Equal(p.View.Generation, uint64(2))
}

// The findings name a store that does not respond: it may have applied a partition table that no account contains.
func TestFindingsNameUnresponsiveStores(t *testing.T) {
	is := is.New(t)
	v := viewOf(7, 3, "a", "b", "c")
	a := account("a", "1", v)
	a.Stores, a.Silent = []string{"s1/1", "s2/1"}, []string{"s2/1"}
	p, err := NewPlan([]Account{a, empty("b", v), empty("c", v)}, Options{})
	is.NoErr(err)
	is.True(strings.Contains(strings.Join(p.Findings, "\n"), "store s2/1 does not answer"))
}
