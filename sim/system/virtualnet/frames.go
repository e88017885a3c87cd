package virtualnet

import "encoding/binary"

// The layout of connections of package rpc. It is deliberately repeated here, so that an incompatible change of that layout is noticed.
const (
	rpcMagic       = "LGrp"
	rpcPreamble    = 8
	rpcHeader      = 16
	rpcLongest     = 64 << 20
	stateNotFrames = -1
)

// frameRewriter finds the frames in the bytes that one end of a connection writes, and rewrites them.
type frameRewriter struct {
	net      *Net
	from, to string
	pending  []byte
	state    int // 0 before the preamble, 1 between frames, stateNotFrames where the bytes are not frames
}

func newFrameRewriter(n *Net, from, to string) *frameRewriter {
	if n.options.RewriteFrame == nil {
		return nil
	}
	return &frameRewriter{net: n, from: from, to: to}
}

// rewrite returns the bytes to send in place of b. An incomplete frame is held back.
func (r *frameRewriter) rewrite(b []byte) []byte {
	if r.state == stateNotFrames {
		return b
	}
	r.pending = append(r.pending, b...)
	var out []byte
	if r.state == 0 {
		if len(r.pending) < rpcPreamble || string(r.pending[:len(rpcMagic)]) != rpcMagic {
			r.state = stateNotFrames
			out, r.pending = r.pending, nil
			return out
		}
		out, r.pending = append(out, r.pending[:rpcPreamble]...), r.pending[rpcPreamble:]
		r.state = 1
	}
	for len(r.pending) >= rpcHeader {
		length := int(binary.LittleEndian.Uint32(r.pending))
		if length > rpcLongest || len(r.pending) < rpcHeader+length {
			break
		}
		frame := r.net.options.RewriteFrame(r.from, r.to, append([]byte(nil), r.pending[:rpcHeader+length]...))
		binary.LittleEndian.PutUint32(frame, uint32(len(frame)-rpcHeader))
		out = append(out, frame...)
		r.pending = r.pending[rpcHeader+length:]
	}
	return out
}
