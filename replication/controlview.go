package replication

import (
	"encoding/binary"
	"slices"
)

// Peer is a process of the group that decides for itself, and where to reach it.
type Peer struct {
	Member  MemberID
	Address string
}

// ControlView is a view of the group that decides for itself.
type ControlView struct {
	View
	Witnesses  []MemberID // a majority of them decides the next view
	Peers      []Peer     // addresses of members, learners and witnesses
	Generation uint64     // how often an operator has founded the group anew, see FoundAnew
}

// Address returns the address of a member, learner or witness, or "".
func (v ControlView) Address(id MemberID) string {
	for _, p := range v.Peers {
		if p.Member == id {
			return p.Address
		}
	}
	return ""
}

// IsWitness tells whether id is among the witnesses.
func (v ControlView) IsWitness(id MemberID) bool { return slices.Contains(v.Witnesses, id) }

// Clone returns a copy that shares nothing with v.
func (v ControlView) Clone() ControlView {
	v.View = v.View.Clone()
	v.Witnesses = slices.Clone(v.Witnesses)
	v.Peers = slices.Clone(v.Peers)
	return v
}

// UsefulCopies returns how many copies of the group's records are worth waiting for where so many are wanted: a loss of more disks than leaves a
// majority of the witnesses cannot be survived by any number of copies, and to wait for more would stop all changes with each process that is
// away. Two are always waited for: a set may be small for a moment only, until an empty disk that came back is a witness.
func (v ControlView) UsefulCopies(wanted int) int {
	return min(wanted, max(2, majority(len(v.Witnesses))))
}

// ToleratedLosses returns how many of the witnesses may be lost at once: those that are left are still a majority.
func (v ControlView) ToleratedLosses() int { return max(0, spare(len(v.Witnesses), 0)) }

// WitnessesFor returns how many witnesses bear so many losses at once.
func WitnessesFor(losses int) int { return 2*losses + 1 }

// majority returns how many of n are more than half of them.
func majority(n int) int { return n/2 + 1 }

// hasMajority tells whether more than half of the witnesses satisfy f. Nobody is a majority of none.
func hasMajority(witnesses []MemberID, f func(MemberID) bool) bool {
	count := 0
	for _, id := range witnesses {
		if f(id) {
			count++
		}
	}
	return count >= majority(len(witnesses))
}

func appendPeer(b []byte, p Peer) []byte { return appendString(appendString(b, p.Member), p.Address) }

func readPeer(r *reader) Peer { return Peer{Member: r.string(), Address: r.string()} }

func (v *ControlView) append(b []byte) []byte {
	b = appendNested(b, v.View.append)
	b = appendStrings(b, v.Witnesses)
	b = binary.AppendUvarint(b, uint64(len(v.Peers)))
	for _, p := range v.Peers {
		b = appendPeer(b, p)
	}
	return binary.AppendUvarint(b, v.Generation)
}

func (v *ControlView) read(r *reader) {
	r.nested(v.View.read)
	v.Witnesses = r.strings()
	for range r.count() {
		v.Peers = append(v.Peers, readPeer(r))
	}
	v.Generation = r.uint() // versions before 2026-12 write none
}
