package replication

import "time"

// registerWriter sees to it that no answer leaves before the register that it speaks for is on disk.
type registerWriter struct {
	issued  uint64 // token of the newest register handed out to be written
	written uint64 // token of the newest register on disk
	stale   bool   // the register has to be handed out again
	held    []heldAnswer

	issuedAt time.Duration // when the oldest register that is not on disk was handed out
	syncTime time.Duration // how long it takes until one is on disk: the longest of late
}

// heldAnswer waits for a register to be written.
type heldAnswer struct {
	token   uint64
	to      Peer
	message ElectionMessage
}

// changed hands out the register of the elector's witness to be written, if it has changed.
func (w *registerWriter) changed(e *Elector, changed bool) {
	if changed {
		w.stale = true
		w.persistIfStale(e)
	}
}

func (w *registerWriter) persistIfStale(e *Elector) {
	if !w.stale {
		return
	}
	w.stale = false
	if w.issued == w.written {
		w.issuedAt = e.now
	}
	w.issued++
	register := e.witness.Register
	register.Installed = register.Installed.Clone()
	e.do(PersistRegister{Register: register, Token: w.issued})
}

// answer sends once everything that changed before is on disk.
func (w *registerWriter) answer(e *Elector, to Peer, m ElectionMessage) {
	w.persistIfStale(e)
	if w.written >= w.issued {
		e.send(to, m)
		return
	}
	w.held = append(w.held, heldAnswer{token: w.issued, to: to, message: m})
}

// persisted notes the outcome of a write. After an error the register is handed out again with the next tick.
func (w *registerWriter) persisted(e *Elector, token uint64, err error) {
	if err != nil {
		if token == w.issued {
			w.stale = true
		}
		return
	}
	if token > w.written {
		w.syncTime = max(e.now-w.issuedAt, w.syncTime/2)
		w.issuedAt = e.now
	}
	w.written = max(w.written, token)
	for len(w.held) > 0 && w.held[0].token <= w.written {
		first := w.held[0]
		w.held = w.held[1:]
		e.send(first.to, first.message)
	}
}
