package replication

import "time"

// registerWriter holds back each answer until the register that it depends on is on disk.
type registerWriter struct {
	issued  uint64 // token of the newest register issued for writing
	written uint64 // token of the newest register on disk
	dirty   bool   // the register has to be issued again
	held    []heldAnswer

	issuedAt time.Duration // when the oldest register that is not on disk was issued
	syncTime time.Duration // decaying maximum of the time to write a register to disk
}

// heldAnswer is an answer that waits for a register to be written.
type heldAnswer struct {
	token   uint64
	to      Peer
	message ElectionMessage
}

// changed issues the register of the elector's witness for writing if it has changed.
func (w *registerWriter) changed(e *Elector, changed bool) {
	if changed {
		w.dirty = true
		w.persistIfDirty(e)
	}
}

func (w *registerWriter) persistIfDirty(e *Elector) {
	if !w.dirty {
		return
	}
	w.dirty = false
	if w.issued == w.written {
		w.issuedAt = e.now
	}
	w.issued++
	register := e.witness.Register
	register.Installed = register.Installed.Clone()
	e.emit(PersistRegister{Register: register, Token: w.issued})
}

// answer sends m once all earlier changes of the register are on disk.
func (w *registerWriter) answer(e *Elector, to Peer, m ElectionMessage) {
	w.persistIfDirty(e)
	if w.written >= w.issued {
		e.send(to, m)
		return
	}
	w.held = append(w.held, heldAnswer{token: w.issued, to: to, message: m})
}

// persisted handles the result of a write. After an error the register is issued again with the next tick.
func (w *registerWriter) persisted(e *Elector, token uint64, err error) {
	if err != nil {
		if token == w.issued {
			w.dirty = true
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
