package rpc

import (
	"encoding/binary"
	"io"
)

// Frames are laid out as: length of the body u32, type u8, reserved u8, kind u16, id u64, body; all little-endian. The kind of a
// refusal is its code. Frames of unknown types are ignored, so that later versions can add types.
const (
	headerSize = 16

	frameNotify  = 1
	frameCall    = 2
	frameAnswer  = 3
	frameRefusal = 4
	framePing    = 5
	framePong    = 6
)

type header struct {
	length    int
	frameType uint8
	kind      uint16
	id        uint64
}

func (h *header) put(b []byte) {
	binary.LittleEndian.PutUint32(b[0:], uint32(h.length))
	b[4], b[5] = h.frameType, 0
	binary.LittleEndian.PutUint16(b[6:], h.kind)
	binary.LittleEndian.PutUint64(b[8:], h.id)
}

func parseHeader(b []byte) header {
	return header{
		length:    int(binary.LittleEndian.Uint32(b[0:])),
		frameType: b[4],
		kind:      binary.LittleEndian.Uint16(b[6:]),
		id:        binary.LittleEndian.Uint64(b[8:]),
	}
}

// Each side starts a connection by sending a preamble: magic, version u16, reserved u16.
const (
	magic           = "LGrp"
	protocolVersion = 1
	preambleSize    = 8
)

func preamble() []byte {
	b := make([]byte, preambleSize)
	copy(b, magic)
	binary.LittleEndian.PutUint16(b[4:], protocolVersion)
	return b
}

func readPreamble(r io.Reader) error {
	var b [preambleSize]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return err
	}
	if string(b[:4]) != magic || binary.LittleEndian.Uint16(b[4:]) != protocolVersion {
		return ErrProtocolMismatch
	}
	return nil
}
