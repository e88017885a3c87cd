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

// History records the operators' calls and their responses. The configuration is modelled as a register that is written by compare-and-set on its
// revision, with one addition: an order that was applied once is acknowledged whenever it is sent again.
type History struct {
	mu    sync.Mutex
	calls []porcupine.Operation
}

// orderCall is a request to replace the configuration; readCall is a request for the one in force.
type orderCall struct {
	base, revision int
	body           string
}

type readCall struct{}

// orderResponse is the final response to an order, which is resent until it gets one; status is 0 if none arrived.
type orderResponse struct{ status int }

type readResponse struct {
	revision int
	body     string
}

// order records an order that was first sent at began and ends now.
func (h *History) order(began time.Time, call orderCall, answer orderResponse) {
	returned := time.Now().UnixNano()
	if answer.status == 0 {
		returned = math.MaxInt64 // it may still come into force
	}
	h.add(porcupine.Operation{Input: call, Call: began.UnixNano(), Output: answer, Return: returned})
}

// read records an answered read of the configuration.
func (h *History) read(began time.Time, answer readResponse) {
	h.add(porcupine.Operation{Input: readCall{}, Call: began.UnixNano(), Output: answer, Return: time.Now().UnixNano()})
}

func (h *History) add(o porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o.ClientId = len(h.calls)
	h.calls = append(h.calls, o)
}

// Len returns the number of calls so far.
func (h *History) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.calls)
}

// Linearizable reports whether the history is linearizable. It must not be called in a synctest bubble, as the check runs in goroutines of its
// own.
func (h *History) Linearizable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{registerState{}} },
		Step: func(state, input, output any) []any { return state.(registerState).step(input, output) },
	}
	return porcupine.CheckOperations(model.ToModel(), h.calls)
}

// registerState is the configuration in force, and the digests of all that were ever applied.
type registerState struct {
	revision int
	body     string
	applied  string // digests of the bodies in order, each followed by digestEnd
}

const digestEnd = " "

// digest returns the entry of a body in applied.
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

// order returns the possible states after an order that got the given status; none if that status is not allowed.
func (s registerState) order(call orderCall, status int) []any {
	applied := strings.Contains(digestEnd+s.applied, digestEnd+digest(call.body))
	valid := call.base == s.revision && call.revision > s.revision
	after := registerState{revision: call.revision, body: call.body, applied: s.applied + digest(call.body)}
	switch {
	case status == http.StatusOK && applied:
		return []any{s}
	case status == http.StatusOK && valid:
		return []any{after}
	case status == http.StatusPreconditionFailed && !applied && call.base != s.revision:
		return []any{s}
	case status == http.StatusBadRequest && !applied && call.revision <= s.revision:
		return []any{s}
	case status == 0 && valid && !applied:
		return []any{s, after}
	case status == 0:
		return []any{s}
	}
	return nil
}
