package replication

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// Register is what a witness keeps on its disk.
type Register struct {
	Promised  uint64      // no lower epoch is prepared or installed here
	Candidate MemberID    // to whom Promised was promised
	Installed ControlView // the newest view that was installed here
	Founder   bool        // this disk began empty in a seed that was started with Bootstrap
	Seeds     []string    // of a founder: the seeds of that first start
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

// RegisterRecord returns the record of LocalGroup that keeps a register.
func RegisterRecord(g Register) Record {
	return Record{Key: registerKey, Version: g.Promised, Value: g.Append(nil)}
}

// LoadRegister reads the register from storage; found is false on a disk that never had one.
func LoadRegister(s Storage) (g Register, found bool, err error) {
	record, found, err := s.Get(LocalGroup, registerKey)
	if err != nil || !found {
		return Register{}, false, err
	}
	return g, true, errors.Wrap(g.Decode(record.Value), "record "+registerKey)
}

// Witness decides about views by its register. Whoever holds it puts a changed register on disk before an answer is given away.
type Witness struct {
	Register Register
}

// Prepare promises an epoch to a candidate: nothing lower is prepared or installed here afterwards. The answer tells the view that is
// installed. While a group is being founded, only founders promise: a seed that lost its disk may have promised before.
func (w *Witness) Prepare(from MemberID, m *PrepareEpoch) (answer *PrepareAnswer, changed bool) {
	g := &w.Register
	founding := m.Founding && g.Installed.Epoch == 0
	if w.permits(from, m.Epoch) && (!founding || g.Founder) {
		changed = g.Promised != m.Epoch || g.Candidate != from
		g.Promised, g.Candidate = m.Epoch, from
		answer = &PrepareAnswer{Epoch: m.Epoch, Granted: true}
	} else {
		answer = &PrepareAnswer{Epoch: m.Epoch}
	}
	answer.Promised = g.Promised
	answer.Installed = g.Installed.Clone()
	return answer, changed
}

// Install takes a view of an epoch unless a higher one, or this one to somebody else, was promised.
func (w *Witness) Install(from MemberID, m *InstallEpoch) (answer *InstallAnswer, changed bool) {
	epoch := m.View.Epoch
	if m.View.Primary != from || !w.permits(from, epoch) {
		return &InstallAnswer{Epoch: epoch, Promised: w.Register.Promised}, false
	}
	return &InstallAnswer{Epoch: epoch, Accepted: true, Promised: epoch}, w.take(m.View)
}

// Learn takes a view that is known to be decided.
func (w *Witness) Learn(v ControlView) (changed bool) {
	return v.Epoch > w.Register.Installed.Epoch && w.permits(v.Primary, v.Epoch) && w.take(v)
}

func (w *Witness) take(v ControlView) (changed bool) {
	g := &w.Register
	if g.Installed.Epoch == v.Epoch {
		return false
	}
	g.Promised, g.Candidate = v.Epoch, v.Primary
	g.Installed = v.Clone()
	return true
}

// permits tells whether the epoch may still be this candidate's.
func (w *Witness) permits(candidate MemberID, epoch uint64) bool {
	g := &w.Register
	return epoch > g.Promised || epoch == g.Promised && epoch > 0 && g.Candidate == candidate
}

// stands tells whether no primary but this one can have been decided since its epoch, as far as this witness has a say.
func (w *Witness) stands(primary MemberID, epoch uint64) bool {
	g := &w.Register
	return g.Installed.Epoch <= epoch && (g.Promised <= epoch || g.Candidate == primary)
}
