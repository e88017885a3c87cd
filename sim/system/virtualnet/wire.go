package virtualnet

import "encoding/binary"

// The layout of package rpc's connections, restated here on purpose: a change there that older processes would not understand shows.
const (
	rpcMagic       = "LGrp"
	rpcPreamble    = 8
	rpcHeader      = 16
	rpcLongest     = 64 << 20
	stateNotFrames = -1
)

// wire finds the frames in what one end of a connection writes and has them changed.
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

// change returns what goes on instead of b. The end of a frame that is not whole yet is kept back.
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
