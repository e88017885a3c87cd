package ingress

import (
	"sync"
	"time"
)

const (
	unresponsiveAfter = 150 * time.Millisecond // a store that answers nothing for so long, though it was asked, is passed by
	unreachableFor    = 300 * time.Millisecond // a store that could not be connected to is passed by for so long
)

// storeHealth is what the calls to one store have shown.
type storeHealth struct {
	pending          int       // calls that wait for an answer
	waitingSince     time.Time // of the last answer, or of the first of those calls if that is later
	unreachableUntil time.Time // until when it is taken to be
}

// health tells which stores messages without a key should rather not go to.
type health struct {
	mu     sync.Mutex
	stores map[string]*storeHealth // by address
}

func newHealth() *health { return &health{stores: map[string]*storeHealth{}} }

func (h *health) entry(address string) *storeHealth {
	store := h.stores[address]
	if store == nil {
		store = &storeHealth{}
		h.stores[address] = store
	}
	return store
}

// failed notes that no connection could be had.
func (h *health) connectFailed(address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entry(address).unreachableUntil = now.Add(unreachableFor)
}

// ask notes that a call begins.
func (h *health) callBegan(address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	store := h.entry(address)
	if store.unreachableUntil = (time.Time{}); store.pending == 0 {
		store.waitingSince = now
	}
	store.pending++
}

// end notes that a call is over.
func (h *health) callEnded(address string, answered bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	store := h.entry(address)
	if store.pending--; answered {
		store.waitingSince = now
	}
	if store.pending > 0 || !store.unreachableUntil.IsZero() {
		return
	}
	if !answered && now.Sub(store.waitingSince) > unresponsiveAfter {
		store.unreachableUntil = now.Add(unreachableFor)
		return
	}
	delete(h.stores, address)
}

// reachable is false for a short time after the store could not be connected to.
func (h *health) reachable(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	store := h.stores[address]
	return store == nil || !now.Before(store.unreachableUntil)
}

// silent tells whether the store has been asked and does not answer.
func (h *health) unresponsive(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	store := h.stores[address]
	return store != nil && store.pending > 0 && now.Sub(store.waitingSince) > unresponsiveAfter
}
