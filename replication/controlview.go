package replication

import (
	"encoding/binary"
	"slices"
)

// Peer is a process of the control group and its address.
type Peer struct {
	Member  MemberID
	Address string
}

// ControlView is a view of the control group, which decides its own views.
type ControlView struct {
	View
	Witnesses  []MemberID // a majority of them decides the next view
	Peers      []Peer     // addresses of members, learners and witnesses
	Generation uint64     // number of times that an operator has founded the group anew, see FirstViewOfGeneration
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

// IsWitness reports whether id is a witness.
func (v ControlView) IsWitness(id MemberID) bool { return slices.Contains(v.Witnesses, id) }

// Clone returns a deep copy of v.
func (v ControlView) Clone() ControlView {
	v.View = v.View.Clone()
	v.Witnesses = slices.Clone(v.Witnesses)
	v.Peers = slices.Clone(v.Peers)
	return v
}

// UsefulCopies returns the number of copies to wait for when wanted copies are configured. No number of copies survives the loss of a
// majority of the witnesses, and waiting for more copies than that majority would block all writes whenever a process is down. At
// least two are waited for, if wanted: the witness set may be small only temporarily, until a process that returned with an empty disk
// is a witness again.
func (v ControlView) UsefulCopies(wanted int) int {
	return min(wanted, max(2, majority(len(v.Witnesses))))
}

// ToleratedLosses returns the number of witnesses that may be lost at once so that the remaining ones are still a majority.
func (v ControlView) ToleratedLosses() int { return max(0, spare(len(v.Witnesses), 0)) }

// WitnessesFor returns the number of witnesses needed to tolerate the given number of simultaneous losses.
func WitnessesFor(losses int) int { return 2*losses + 1 }

// majority returns the size of the smallest majority of n.
func majority(n int) int { return n/2 + 1 }

// hasMajority reports whether more than half of the witnesses satisfy f. An empty set has no majority.
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
	v.Generation = r.uint() // absent in views written before 2026-12
}
