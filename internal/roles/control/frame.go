package control

import (
	"encoding/binary"

	"liftgauge/internal/protocol"
	"liftgauge/replication"
)

// frameKind is the type of the body of a frame between control processes.
type frameKind uint8

const (
	frameElection frameKind = 1 // an encoded replication.ElectionFrame
	frameDuty     frameKind = 2 // a dutyNotice
)

// frame is the body of a KindWitness notification.
type frame struct {
	kind         frameKind
	from         string // member
	to           string // member; empty while only the address is known
	address      string // internal, of the sender
	controlPlane string // of the sender
	body         []byte
}

func (f *frame) append(b []byte) []byte {
	b = append(b, byte(f.kind))
	for _, text := range []string{f.from, f.to, f.address, f.controlPlane} {
		b = appendText(b, text)
	}
	b = binary.AppendUvarint(b, uint64(len(f.body)))
	return append(b, f.body...)
}

func decodeFrame(b []byte) (frame, error) {
	if len(b) == 0 {
		return frame{}, errMalformedRecord
	}
	r := fieldReader{rest: b[1:]}
	f := frame{kind: frameKind(b[0]), from: r.text(), to: r.text(), address: r.text(), controlPlane: r.text()}
	f.body = r.bytes()
	return f, r.err
}

// dutyNotice notifies a process that it holds a duty for a term.
type dutyNotice struct {
	name        string
	term        uint64
	incarnation uint64
}

func (n dutyNotice) append(b []byte) []byte {
	b = binary.AppendUvarint(appendText(b, n.name), n.term)
	return binary.AppendUvarint(b, n.incarnation)
}

func decodeDutyNotice(b []byte) (dutyNotice, error) {
	r := fieldReader{rest: b}
	n := dutyNotice{name: r.text(), term: r.number(), incarnation: r.number()}
	return n, r.err
}

// replicationBody wraps a message of the replica of controlGroup.
func replicationBody(from, to string, m replication.Message) []byte {
	f := protocol.ReplicationFrame{Group: controlGroup, From: from, To: to, Body: m.Append(nil)}
	return f.Append(nil)
}
