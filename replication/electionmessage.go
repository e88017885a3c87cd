package replication

import "encoding/binary"

// ElectionMessage is a message between electors.
type ElectionMessage interface {
	code() byte
	append(b []byte) []byte
	read(r *reader)
}

// ElectionFrame is an ElectionMessage with its sender, as sent over the wire.
type ElectionFrame struct {
	From    Peer
	Message ElectionMessage
}

// PrepareEpoch requests a witness to promise an epoch to the sender.
type PrepareEpoch struct {
	Epoch    uint64
	Forced   bool // also while the primary is live
	Founding bool // the sender knows no view
}

// PrepareAnswer answers PrepareEpoch.
type PrepareAnswer struct {
	Epoch     uint64
	Granted   bool
	Busy      bool // not granted because the primary is live
	Promised  uint64
	Installed ControlView
	Leaving   bool // the process is shutting down
}

// InstallEpoch requests a witness to accept a view.
type InstallEpoch struct {
	View ControlView
}

// InstallAnswer answers InstallEpoch.
type InstallAnswer struct {
	Epoch    uint64
	Accepted bool
	Promised uint64
}

// Heartbeat is sent by the primary to its peers periodically. The view is omitted for peers that have it.
type Heartbeat struct {
	Epoch uint64
	Round uint64
	View  ControlView
}

// HeartbeatAnswer answers Heartbeat. One with Round zero is unsolicited.
type HeartbeatAnswer struct {
	Epoch             uint64
	Round             uint64
	StillPrimary      bool   // no other primary can have been decided with this witness's vote since Epoch
	Promised          uint64 // highest epoch promised by this witness
	PromisedElsewhere bool   // Promised was promised to another candidate
	Installed         uint64 // epoch of the view installed at this process
	Leaving           bool   // the process is shutting down
}

// Introduce announces a process that is not a witness.
type Introduce struct {
	Founder bool
}

// IntroduceAnswer answers Introduce.
type IntroduceAnswer struct {
	Founder   bool
	Installed ControlView // its epoch is zero if none is known
}

// Campaign requests a member of the epoch's view to become candidate immediately: the primary is shutting down, or is lost.
type Campaign struct {
	Epoch uint64
}

// The byte that identifies the type of an election message. Numbers must not be reused.
const (
	codePrepareEpoch byte = iota + 1
	codePrepareAnswer
	codeInstallEpoch
	codeInstallAnswer
	codeHeartbeat
	codeHeartbeatAnswer
	codeIntroduce
	codeIntroduceAnswer
	codeCampaign
)

func (m *PrepareEpoch) code() byte    { return codePrepareEpoch }
func (m *PrepareAnswer) code() byte   { return codePrepareAnswer }
func (m *InstallEpoch) code() byte    { return codeInstallEpoch }
func (m *InstallAnswer) code() byte   { return codeInstallAnswer }
func (m *Heartbeat) code() byte       { return codeHeartbeat }
func (m *HeartbeatAnswer) code() byte { return codeHeartbeatAnswer }
func (m *Introduce) code() byte       { return codeIntroduce }
func (m *IntroduceAnswer) code() byte { return codeIntroduceAnswer }
func (m *Campaign) code() byte        { return codeCampaign }

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
	case codeHeartbeat:
		return &Heartbeat{}
	case codeHeartbeatAnswer:
		return &HeartbeatAnswer{}
	case codeIntroduce:
		return &Introduce{}
	case codeIntroduceAnswer:
		return &IntroduceAnswer{}
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

func (m *Heartbeat) append(b []byte) []byte {
	b = binary.AppendUvarint(binary.AppendUvarint(b, m.Epoch), m.Round)
	return appendNested(b, m.View.append)
}

func (m *Heartbeat) read(r *reader) {
	m.Epoch, m.Round = r.epoch(), r.uint()
	r.nested(m.View.read)
}

func (m *HeartbeatAnswer) append(b []byte) []byte {
	b = binary.AppendUvarint(binary.AppendUvarint(b, m.Epoch), m.Round)
	b = binary.AppendUvarint(appendBool(b, m.StillPrimary), m.Promised)
	b = binary.AppendUvarint(appendBool(b, m.PromisedElsewhere), m.Installed)
	return appendBool(b, m.Leaving)
}

func (m *HeartbeatAnswer) read(r *reader) {
	m.Epoch, m.Round, m.StillPrimary, m.Promised = r.epoch(), r.uint(), r.bool(), r.epoch()
	m.PromisedElsewhere, m.Installed, m.Leaving = r.bool(), r.epoch(), r.bool()
}

func (m *Introduce) append(b []byte) []byte { return appendBool(b, m.Founder) }
func (m *Introduce) read(r *reader)         { m.Founder = r.bool() }

func (m *IntroduceAnswer) append(b []byte) []byte {
	return appendNested(appendBool(b, m.Founder), m.Installed.append)
}

func (m *IntroduceAnswer) read(r *reader) {
	m.Founder = r.bool()
	r.nested(m.Installed.read)
}

func (m *Campaign) append(b []byte) []byte { return binary.AppendUvarint(b, m.Epoch) }
func (m *Campaign) read(r *reader)         { m.Epoch = r.epoch() }
