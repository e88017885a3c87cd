package replication

import "slices"

// MemberID identifies a disk, which outlives the process that uses it. A process that restarts with an empty disk is another member.
type MemberID = string

// View is the configuration of a group in one epoch.
//
// Every member holds all acknowledged writes. Learners are catching up.
//
// When the last member's disk is lost before a learner has caught up, no single disk holds all acknowledged writes, but the disks of
// the learners together do. A view with Sources merges them: before it becomes active, its primary takes the newest version of each
// record from all sources.
type View struct {
	Epoch    uint64
	Primary  MemberID // one of Members
	Members  []MemberID
	Learners []MemberID
	Sources  []MemberID // subset of Learners; the primary has all acknowledged writes only after merging theirs
}

// IsMember reports whether id is a member.
func (v View) IsMember(id MemberID) bool { return slices.Contains(v.Members, id) }

// IsLearner reports whether id is a learner.
func (v View) IsLearner(id MemberID) bool { return slices.Contains(v.Learners, id) }

// Includes reports whether id is a member or a learner.
func (v View) Includes(id MemberID) bool { return v.IsMember(id) || v.IsLearner(id) }

// Clone returns a deep copy of v.
func (v View) Clone() View {
	v.Members = slices.Clone(v.Members)
	v.Learners = slices.Clone(v.Learners)
	v.Sources = slices.Clone(v.Sources)
	return v
}
