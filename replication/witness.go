package replication

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// Register is the persistent state of a witness.
type Register struct {
	Promised  uint64      // no lower epoch is promised or accepted
	Candidate MemberID    // candidate that Promised was promised to
	Installed ControlView // newest view accepted by this witness
	Founder   bool        // this disk was initialised by a seed started with Bootstrap
	Seeds     []string    // seeds at that first start; founders only
}

// Append appends the encoded register to b.
func (g *Register) Append(b []byte) []byte {
	b = binary.AppendUvarint(b, g.Promised)
	b = appendString(b, g.Candidate)
	b = appendNested(b, g.Installed.append)
	b = appendBool(b, g.Founder)
	return appendStrings(b, g.Seeds)
}

// Decode decodes a register.
func (g *Register) Decode(b []byte) error {
	r := reader{b: b}
	*g = Register{Promised: r.epoch(), Candidate: r.string()}
	r.nested(g.Installed.read)
	g.Founder, g.Seeds = r.bool(), r.strings()
	return r.err()
}

const registerKey = "witness/register"

// RegisterRecord returns the record of LocalGroup that stores a register.
func RegisterRecord(g Register) Record {
	return Record{Key: registerKey, Version: g.Promised, Value: g.Append(nil)}
}

// LoadRegister reads the register from storage; found is false if the disk has none.
func LoadRegister(s Storage) (g Register, found bool, err error) {
	record, found, err := s.Get(LocalGroup, registerKey)
	if err != nil || !found {
		return Register{}, false, err
	}
	return g, true, errors.Wrap(g.Decode(record.Value), "record "+registerKey)
}

// Witness is an acceptor: it votes on views according to its register. The owner must write a changed register to disk before it sends
// the answer.
type Witness struct {
	Register Register
}

// Prepare promises an epoch to a candidate: no lower epoch is promised or accepted afterwards. The answer carries the installed view.
// While a group is being founded, only founders promise: a seed that lost its disk may have made a promise that it no longer knows of.
func (w *Witness) Prepare(from MemberID, m *PrepareEpoch) (answer *PrepareAnswer, changed bool) {
	register := &w.Register
	founding := m.Founding && register.Installed.Epoch == 0
	if w.permits(from, m.Epoch) && (!founding || register.Founder) {
		changed = register.Promised != m.Epoch || register.Candidate != from
		register.Promised, register.Candidate = m.Epoch, from
		answer = &PrepareAnswer{Epoch: m.Epoch, Granted: true}
	} else {
		answer = &PrepareAnswer{Epoch: m.Epoch}
	}
	answer.Promised = register.Promised
	answer.Installed = register.Installed.Clone()
	return answer, changed
}

// Install accepts a view unless a higher epoch, or the same one to another candidate, was promised.
func (w *Witness) Install(from MemberID, m *InstallEpoch) (answer *InstallAnswer, changed bool) {
	epoch := m.View.Epoch
	if m.View.Primary != from || !w.permits(from, epoch) {
		return &InstallAnswer{Epoch: epoch, Promised: w.Register.Promised}, false
	}
	return &InstallAnswer{Epoch: epoch, Accepted: true, Promised: epoch}, w.store(m.View)
}

// Learn stores a view that is known to be decided.
func (w *Witness) Learn(v ControlView) (changed bool) {
	return v.Epoch > w.Register.Installed.Epoch && w.permits(v.Primary, v.Epoch) && w.store(v)
}

func (w *Witness) store(v ControlView) (changed bool) {
	register := &w.Register
	if register.Installed.Epoch == v.Epoch {
		return false
	}
	register.Promised, register.Candidate = v.Epoch, v.Primary
	register.Installed = v.Clone()
	return true
}

// permits reports whether the promises made allow the epoch to this candidate.
func (w *Witness) permits(candidate MemberID, epoch uint64) bool {
	register := &w.Register
	return epoch > register.Promised || epoch == register.Promised && epoch > 0 && register.Candidate == candidate
}

// isStillPrimary reports whether, as far as this witness's vote goes, no other primary can have been decided since the epoch.
func (w *Witness) isStillPrimary(primary MemberID, epoch uint64) bool {
	register := &w.Register
	return register.Installed.Epoch <= epoch && (register.Promised <= epoch || register.Candidate == primary)
}
