package delivery

import (
	"time"

	"go.uber.org/zap"
)

// unclearCause is the reason for which the outcome of an attempt is unknown.
type unclearCause uint8

const (
	causeNone       unclearCause = iota
	causeNoResponse              // the wait for the response was over
	causeTruncated               // the wait was over, or the connection ended, within a response
	causeConnection              // the connection ended before a response
	causeForeign                 // the response names another request
	causeStatus                  // the response does not say what became of the message
)

func (c unclearCause) String() string {
	switch c {
	case causeNoResponse:
		return "no response in time"
	case causeTruncated:
		return "incomplete response"
	case causeConnection:
		return "connection ended without a response"
	case causeForeign:
		return "response to another request"
	case causeStatus:
		return "response without an outcome"
	}
	return "none"
}

// logUnclear logs an attempt whose outcome is unknown: its message is delivered again, and runs twice if the worker has run it.
func (s *service) logUnclear(j *job, worker string, end attemptResult) {
	s.engine.options.Logger.Info("the outcome of an attempt is unknown", zap.String("service", s.Name), zap.String("message", j.Message.ID),
		zap.String("request", j.Message.RequestID), zap.String("worker", worker), zap.Stringer("cause", end.cause), zap.Uint16("status", end.Status),
		zap.String("response_to", end.foreignID), zap.Duration("since_first_byte", end.sinceFirstByte.Round(time.Millisecond/10)),
		zap.Duration("timeout", j.Timeout))
}
