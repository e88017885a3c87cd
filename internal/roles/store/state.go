package store

import (
	"encoding/binary"
	"strings"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/protocol"
)

const (
	stateFormat = 1
	bodyPrefix  = "b/"
	statePrefix = "s/"
)

var errState = errors.New("store: malformed state record; run the version that wrote it")

// messageState is the value of a message's state record.
type messageState struct {
	State             protocol.MessageState
	Sequence          uint64 // epoch of the accept << sequenceBits | counter
	AcceptedAt        int64  // times are cluster time, nanoseconds since 1970
	DueAt             int64
	ExpiresAt         int64
	EndedAt           int64
	Attempts          uint64 // failed ones only
	Configuration     protocol.ItemVersion
	Host              string
	URI               string
	Key               string
	Signature         string
	CountedDeliveries []uint32 // attempt numbers of the last maxCountedDeliveries deliveries counted in Attempts
}

// maxCountedDeliveries limits CountedDeliveries. A dispatcher repeats the outcome of a delivery only until it is answered, so the
// most recent ones suffice.
const maxCountedDeliveries = 8

// countFailure adds a failed delivery to CountedDeliveries.
func (s *messageState) countFailure(attempt uint32) {
	s.CountedDeliveries = append(s.CountedDeliveries, attempt)
	s.CountedDeliveries = s.CountedDeliveries[max(0, len(s.CountedDeliveries)-maxCountedDeliveries):]
}

func bodyKey(id string) string  { return bodyPrefix + id }
func stateKey(id string) string { return statePrefix + id }

// stateID returns the message id from the key of a state record; false for other records.
func stateID(key string) (string, bool) { return strings.CutPrefix(key, statePrefix) }

// append appends the encoded state to b. Later versions may add fields at the end.
func (s *messageState) append(b []byte) []byte {
	b = append(b, stateFormat, byte(s.State))
	for _, number := range []uint64{
		s.Sequence, uint64(s.AcceptedAt), uint64(s.DueAt), uint64(s.ExpiresAt), uint64(s.EndedAt), s.Attempts,
		s.Configuration.Term, s.Configuration.Number,
	} {
		b = binary.AppendUvarint(b, number)
	}
	for _, text := range []string{s.Host, s.URI, s.Key, s.Signature} {
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	}
	b = binary.AppendUvarint(b, uint64(len(s.CountedDeliveries)))
	for _, attempt := range s.CountedDeliveries {
		b = binary.AppendUvarint(b, uint64(attempt))
	}
	return b
}

// decode decodes a state; bytes after the last known field are ignored.
func (s *messageState) decode(b []byte) error {
	if len(b) < 2 || b[0] != stateFormat {
		return errState
	}
	*s = messageState{State: protocol.MessageState(b[1])}
	b = b[2:]
	var acceptedAt, dueAt, expiresAt, endedAt uint64
	for _, number := range []*uint64{
		&s.Sequence, &acceptedAt, &dueAt, &expiresAt, &endedAt, &s.Attempts, &s.Configuration.Term, &s.Configuration.Number,
	} {
		value, n := binary.Uvarint(b)
		if n <= 0 {
			return errState
		}
		*number, b = value, b[n:]
	}
	s.AcceptedAt, s.DueAt, s.ExpiresAt, s.EndedAt = int64(acceptedAt), int64(dueAt), int64(expiresAt), int64(endedAt)
	for _, text := range []*string{&s.Host, &s.URI, &s.Key, &s.Signature} {
		length, n := binary.Uvarint(b)
		if n <= 0 || length > uint64(len(b)-n) {
			return errState
		}
		*text, b = string(b[n:n+int(length)]), b[n+int(length):]
	}
	return s.decodeCounted(b)
}

// decodeCounted decodes CountedDeliveries, which records of earlier versions do not have.
func (s *messageState) decodeCounted(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	length, n := binary.Uvarint(b)
	if n <= 0 || length > maxCountedDeliveries {
		return errState
	}
	b = b[n:]
	for range length {
		attempt, n := binary.Uvarint(b)
		if n <= 0 {
			return errState
		}
		s.CountedDeliveries, b = append(s.CountedDeliveries, uint32(attempt)), b[n:]
	}
	return nil
}

func (s *messageState) ended() bool { return s.State != protocol.StateQueued }
