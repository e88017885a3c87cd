package replication

import "encoding/binary"

// ElectionMessage is one message between electors.
type ElectionMessage interface {
	code() byte
	append(b []byte) []byte
	read(r *reader)
}

// ElectionFrame is an ElectionMessage with its sender, as it goes over the wire.
type ElectionFrame struct {
	From    Peer
	Message ElectionMessage
}

// PrepareEpoch asks a witness to promise an epoch to the sender.
type PrepareEpoch struct {
	Epoch    uint64
	Forced   bool // also while the primary is alive
	Founding bool // the sender knows of no view
}

// PrepareAnswer answers PrepareEpoch.
type PrepareAnswer struct {
	Epoch     uint64
	Granted   bool
	Busy      bool // not granted because the primary is alive
	Promised  uint64
	Installed ControlView
	Leaving   bool // the process is about to end
}

// InstallEpoch asks a witness to install a view.
type InstallEpoch struct {
	View ControlView
}

// InstallAnswer answers InstallEpoch.
type InstallAnswer struct {
	Epoch    uint64
	Accepted bool
	Promised uint64
}

// Alive is what a primary tells the others again and again. The view is left out for those that have it.
type Alive struct {
	Epoch uint64
	Round uint64
	View  ControlView
}

// AliveAnswer answers Alive. With Round zero it comes unasked.
type AliveAnswer struct {
	Epoch     uint64
	Round     uint64
	Stands    bool   // no other primary can have been decided here since Epoch
	Promised  uint64 // here, to anybody
	Foreign   bool   // Promised was promised to somebody else
	Installed uint64 // epoch of the view installed here
	Leaving   bool   // the process is about to end
}

// Introduce tells of a process that is no witness.
type Introduce struct {
	Founder bool
}

// Introduced answers Introduce.
type Introduced struct {
	Founder   bool
	Installed ControlView // its epoch is zero where none is known
}

// Campaign asks a member of the epoch's view to become candidate at once: the primary is about to end, or is gone.
type Campaign struct {
	Epoch uint64
}

// The byte that names the kind of an election message. Numbers are never used again for something else.
const (
	codePrepareEpoch byte = iota + 1
	codePrepareAnswer
	codeInstallEpoch
	codeInstallAnswer
	codeAlive
	codeAliveAnswer
	codeIntroduce
	codeIntroduced
	codeCampaign
)

func (m *PrepareEpoch) code() byte  { return codePrepareEpoch }
func (m *PrepareAnswer) code() byte { return codePrepareAnswer }
func (m *InstallEpoch) code() byte  { return codeInstallEpoch }
func (m *InstallAnswer) code() byte { return codeInstallAnswer }
func (m *Alive) code() byte         { return codeAlive }
func (m *AliveAnswer) code() byte   { return codeAliveAnswer }
func (m *Introduce) code() byte     { return codeIntroduce }
func (m *Introduced) code() byte    { return codeIntroduced }
func (m *Campaign) code() byte      { return codeCampaign }

func newElectionMessage(code byte) ElectionMessage {
	switch code {
	case codePrepareEpoch:
		return &PrepareEpoch{}
	case codePrepareAnswer:
		return &PrepareAnswer{}
	case codeInstallEpoch:
		return &InstallEpoch{}
	case codeInstallAnswer:
		return &InstallAnswer{}
	case codeAlive:
		return &Alive{}
	case codeAliveAnswer:
		return &AliveAnswer{}
	case codeIntroduce:
		return &Introduce{}
	case codeIntroduced:
		return &Introduced{}
	case codeCampaign:
		return &Campaign{}
	}
	return nil
}

// Append appends the encoded frame to b.
func (f *ElectionFrame) Append(b []byte) []byte {
	b = append(b, f.Message.code())
	b = appendPeer(b, f.From)
	return f.Message.append(b)
}

// Decode decodes a frame.
func (f *ElectionFrame) Decode(b []byte) error {
	if len(b) == 0 {
		return ErrMalformed
	}
	if f.Message = newElectionMessage(b[0]); f.Message == nil {
		return ErrMalformed
	}
	r := reader{b: b[1:]}
	f.From = readPeer(&r)
	f.Message.read(&r)
	return r.err()
}

func (m *PrepareEpoch) append(b []byte) []byte {
	b = binary.AppendUvarint(b, m.Epoch)
	return appendBool(appendBool(b, m.Forced), m.Founding)
}

func (m *PrepareEpoch) read(r *reader) { m.Epoch, m.Forced, m.Founding = r.epoch(), r.bool(), r.bool() }

func (m *PrepareAnswer) append(b []byte) []byte {
	b = binary.AppendUvarint(b, m.Epoch)
	b = appendBool(appendBool(b, m.Granted), m.Busy)
	b = binary.AppendUvarint(b, m.Promised)
	return appendBool(appendNested(b, m.Installed.append), m.Leaving)
}

func (m *PrepareAnswer) read(r *reader) {
	m.Epoch, m.Granted, m.Busy, m.Promised = r.epoch(), r.bool(), r.bool(), r.epoch()
	r.nested(m.Installed.read)
	m.Leaving = r.bool()
}

func (m *InstallEpoch) append(b []byte) []byte { return appendNested(b, m.View.append) }
func (m *InstallEpoch) read(r *reader)         { r.nested(m.View.read) }

func (m *InstallAnswer) append(b []byte) []byte {
	b = appendBool(binary.AppendUvarint(b, m.Epoch), m.Accepted)
	return binary.AppendUvarint(b, m.Promised)
}

func (m *InstallAnswer) read(r *reader) {
	m.Epoch, m.Accepted, m.Promised = r.epoch(), r.bool(), r.epoch()
}

func (m *Alive) append(b []byte) []byte {
	b = binary.AppendUvarint(binary.AppendUvarint(b, m.Epoch), m.Round)
	return appendNested(b, m.View.append)
}

func (m *Alive) read(r *reader) {
	m.Epoch, m.Round = r.epoch(), r.uint()
	r.nested(m.View.read)
}

func (m *AliveAnswer) append(b []byte) []byte {
	b = binary.AppendUvarint(binary.AppendUvarint(b, m.Epoch), m.Round)
	b = binary.AppendUvarint(appendBool(b, m.Stands), m.Promised)
	b = binary.AppendUvarint(appendBool(b, m.Foreign), m.Installed)
	return appendBool(b, m.Leaving)
}

func (m *AliveAnswer) read(r *reader) {
	m.Epoch, m.Round, m.Stands, m.Promised = r.epoch(), r.uint(), r.bool(), r.epoch()
	m.Foreign, m.Installed, m.Leaving = r.bool(), r.epoch(), r.bool()
}

func (m *Introduce) append(b []byte) []byte { return appendBool(b, m.Founder) }
func (m *Introduce) read(r *reader)         { m.Founder = r.bool() }

func (m *Introduced) append(b []byte) []byte {
	return appendNested(appendBool(b, m.Founder), m.Installed.append)
}

func (m *Introduced) read(r *reader) {
	m.Founder = r.bool()
	r.nested(m.Installed.read)
}

func (m *Campaign) append(b []byte) []byte { return binary.AppendUvarint(b, m.Epoch) }
func (m *Campaign) read(r *reader)         { m.Epoch = r.epoch() }
