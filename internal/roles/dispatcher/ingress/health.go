package ingress

import (
	"sync"
	"time"
)

const (
	unresponsiveAfter = 150 * time.Millisecond // a store that answers no pending call for this long is avoided
	unreachableFor    = 300 * time.Millisecond // a store that could not be connected to is avoided for this long
)

// storeHealth is the state of one store as seen by the calls to it.
type storeHealth struct {
	pending          int       // calls that wait for a reply
	waitingSince     time.Time // time of the last reply, or of the first pending call if that is later
	unreachableUntil time.Time // until when the store is considered unreachable
}

// health tracks which stores should be avoided for messages without a key.
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

// connectFailed records that no connection could be opened.
func (h *health) connectFailed(address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entry(address).unreachableUntil = now.Add(unreachableFor)
}

// callBegan records that a call begins.
func (h *health) callBegan(address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	store := h.entry(address)
	if store.unreachableUntil = (time.Time{}); store.pending == 0 {
		store.waitingSince = now
	}
	store.pending++
}

// callEnded records that a call has ended.
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

// reachable returns false for a short time after the store could not be connected to.
func (h *health) reachable(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	store := h.stores[address]
	return store == nil || !now.Before(store.unreachableUntil)
}

// unresponsive reports whether the store has pending calls and does not answer.
func (h *health) unresponsive(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	store := h.stores[address]
	return store != nil && store.pending > 0 && now.Sub(store.waitingSince) > unresponsiveAfter
}
