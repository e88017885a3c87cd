package delivery

import (
	"net/http"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/protocol"
)

// Header fields between dispatchers and workers.
const (
	headerRequestID   = "X-Request-Id"
	headerOrderingKey = "X-Ordering-Key"
	headerDeadline    = "X-Deadline-Ms"
	headerInstance    = "X-Expect-Instance"
	headerSignature   = "X-Response-Signature"
	headerNotExecuted = "X-Not-Executed"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	Result
	status balance.Status
	// retryElsewhere says that another worker may be used at once, because this one certainly did not run the message.
	retryElsewhere bool
	// wrongInstance says that another worker now has the address.
	wrongInstance bool

	cause          unclearCause  // of an unknown outcome
	foreignID      string        // of the request that a foreign response names
	sinceFirstByte time.Duration // 0 if nothing was sent
}

func notRun(status balance.Status) attemptResult {
	return attemptResult{Result: Result{Outcome: protocol.OutcomeNotRun, Pause: pauseFull}, status: status, retryElsewhere: true}
}

func unknown(status balance.Status, cause unclearCause) attemptResult {
	return attemptResult{Result: Result{Outcome: protocol.OutcomeUnknown}, status: status, cause: cause}
}

// classify derives the result from a complete response that belongs to the request.
func classify(code int, header http.Header) attemptResult {
	e := attemptResult{Result: Result{Status: uint16(code)}}
	signature := header.Get(headerSignature)
	_, notExecuted := header[headerNotExecuted]
	success := code >= http.StatusOK && code < http.StatusMultipleChoices
	switch {
	case success && signature != "":
		e.Outcome, e.Signature, e.status = protocol.OutcomeSucceeded, signature, balance.OK
	case code == http.StatusMisdirectedRequest:
		e.Outcome, e.status, e.retryElsewhere, e.wrongInstance = protocol.OutcomeNotRun, balance.Full, true, true
		e.Pause = pauseFull
	case notExecuted && code == http.StatusConflict:
		e.Outcome, e.status, e.Pause = protocol.OutcomeNotRun, balance.Rejected, pauseRunning
	case notExecuted && (code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests):
		e.Outcome, e.status, e.retryElsewhere, e.Pause = protocol.OutcomeNotRun, balance.Full, true, pauseFull
	case notExecuted:
		e.Outcome, e.status, e.Pause = protocol.OutcomeNotRun, balance.Rejected, pauseFull
	case code == http.StatusInternalServerError: // attributed to the message rather than the worker: some messages fail everywhere
		e.Outcome, e.status = protocol.OutcomeFailed, balance.Rejected
	case code == http.StatusUnprocessableEntity:
		e.Outcome, e.status = protocol.OutcomeRefused, balance.Rejected
	case code == http.StatusGatewayTimeout:
		e.Outcome, e.status, e.cause = protocol.OutcomeUnknown, balance.TimedOut, causeStatus
	default:
		e.Outcome, e.status, e.cause = protocol.OutcomeUnknown, balance.Errored, causeStatus
	}
	return e
}
