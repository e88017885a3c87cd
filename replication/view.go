package replication

import "slices"

// MemberID names what outlives a process: a disk. A process that returns with an empty disk is another member.
type MemberID = string

// View says who holds the records of a group in an epoch.
//
// Every member holds everything that was acknowledged. Learners are on their way there.
//
// Where the last member's disk is lost before a learner was equal, no single disk holds everything, but those of the learners do together. A
// view with Sources puts it together: its primary takes the newest version of each record from all of them before it is active.
type View struct {
	Epoch    uint64
	Primary  MemberID // one of Members
	Members  []MemberID
	Learners []MemberID
	Sources  []MemberID // of Learners; the primary holds everything only with what these hold
}

// IsMember tells whether id is among the members.
func (v View) IsMember(id MemberID) bool { return slices.Contains(v.Members, id) }

// IsLearner tells whether id is among the learners.
func (v View) IsLearner(id MemberID) bool { return slices.Contains(v.Learners, id) }

// Includes tells whether id is a member or a learner.
func (v View) Includes(id MemberID) bool { return v.IsMember(id) || v.IsLearner(id) }

// Clone returns a copy that shares nothing with v.
func (v View) Clone() View {
	v.Members = slices.Clone(v.Members)
	v.Learners = slices.Clone(v.Learners)
	v.Sources = slices.Clone(v.Sources)
	return v
}
