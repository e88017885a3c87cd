package system

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"
)

// History is what the operators called and were answered. A configuration is a register that is written by compare-and-set on its revision,
// with one addition: an order that was once taken is acknowledged for good.
type History struct {
	mu    sync.Mutex
	calls []porcupine.Operation
}

// orderCall asks to put a configuration in force; readCall asks for the one in force.
type orderCall struct {
	base, revision int
	body           string
}

type readCall struct{}

// orderResponse is the last word of an order that was sent until it got one; status is 0 where none came.
type orderResponse struct{ status int }

type readResponse struct {
	revision int
	body     string
}

// order notes an order that began at a time and ends now.
func (h *History) order(began time.Time, call orderCall, answer orderResponse) {
	returned := time.Now().UnixNano()
	if answer.status == 0 {
		returned = math.MaxInt64 // it may still come into force
	}
	h.add(porcupine.Operation{Input: call, Call: began.UnixNano(), Output: answer, Return: returned})
}

// read notes an answered question for the configuration.
func (h *History) read(began time.Time, answer readResponse) {
	h.add(porcupine.Operation{Input: readCall{}, Call: began.UnixNano(), Output: answer, Return: time.Now().UnixNano()})
}

func (h *History) add(o porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o.ClientId = len(h.calls)
	h.calls = append(h.calls, o)
}

// Len is the number of calls so far.
func (h *History) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.calls)
}

// Linearizable tells whether all calls can have happened one after another, each between its begin and its end. It must not be called on a
// bubble's clock: the check runs in goroutines of its own.
func (h *History) Linearizable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{registerState{}} },
		Step: func(state, input, output any) []any { return state.(registerState).step(input, output) },
	}
	return porcupine.CheckOperations(model.ToModel(), h.calls)
}

// registerState is the configuration in force, and all that were ever taken.
type registerState struct {
	revision int
	body     string
	applied  string // digests of bodies in order, each ended by digestEnd
}

const digestEnd = " "

// digest stands for a body among those that were taken.
func digest(body string) string { return strconv.FormatUint(xxhash.Sum64String(body), 16) + digestEnd }

func (s registerState) step(input, output any) []any {
	switch call := input.(type) {
	case readCall:
		answer := output.(readResponse)
		if answer.revision == s.revision && answer.body == s.body {
			return []any{s}
		}
	case orderCall:
		return s.order(call, output.(orderResponse).status)
	}
	return nil
}

// order lists the states that an order may lead to, if it was answered so.
func (s registerState) order(call orderCall, status int) []any {
	applied := strings.Contains(digestEnd+s.applied, digestEnd+digest(call.body))
	fits := call.base == s.revision && call.revision > s.revision
	after := registerState{revision: call.revision, body: call.body, applied: s.applied + digest(call.body)}
	switch {
	case status == http.StatusOK && applied:
		return []any{s}
	case status == http.StatusOK && fits:
		return []any{after}
	case status == http.StatusPreconditionFailed && !applied && call.base != s.revision:
		return []any{s}
	case status == http.StatusBadRequest && !applied && call.revision <= s.revision:
		return []any{s}
	case status == 0 && fits && !applied:
		return []any{s, after}
	case status == 0:
		return []any{s}
	}
	return nil
}
