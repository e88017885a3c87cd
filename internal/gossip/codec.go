// Package gossip carries what package member says over UDP: one datagram a message, in CBOR, for one cluster.
package gossip

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"liftgauge/member"
)

// Version is that of the format. A datagram of a newer one is dropped: what it means cannot be known here.
const FormatVersion = 1

// What a datagram can be that is not taken.
var (
	ErrForeign   = errors.New("of another cluster")
	ErrNewer     = errors.New("of a newer format")
	ErrTooLong   = errors.New("too long")
	ErrMalformed = errors.New("malformed")
)

// frame is a datagram.
type datagram struct {
	_       struct{} `cbor:",toarray"`
	Version uint
	Cluster uint64 // a hash of its name
	Proof   []byte // of the sender; empty, as the net is trusted for now
	Message cbor.RawMessage
}

// Codec encodes and decodes for one cluster. It may be used by several goroutines.
type Codec struct {
	cluster uint64
	decMode cbor.DecMode
}

// NewCodec returns a Codec of the cluster of that name.
func NewCodec(cluster string) (*Codec, error) {
	dec, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1024, MaxMapPairs: 64, DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return &Codec{cluster: xxhash.Sum64String(cluster), decMode: dec}, nil
}

// Encode returns the datagram of a message.
func (c *Codec) Encode(m *member.Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	b, err := cbor.Marshal(&datagram{Version: FormatVersion, Cluster: c.cluster, Message: body})
	if err == nil && len(b) > member.MaxBytes {
		err = ErrTooLong
	}
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return b, nil
}

// Decode returns the message of a datagram, or one of the errors above. Members look at what a message says; here it is only read.
func (c *Codec) Decode(b []byte) (*member.Message, error) {
	if len(b) > member.MaxBytes {
		return nil, ErrTooLong
	}
	var f datagram
	if err := c.decMode.Unmarshal(b, &f); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	switch {
	case f.Version > FormatVersion:
		return nil, ErrNewer
	case f.Version != FormatVersion:
		return nil, ErrMalformed
	case f.Cluster != c.cluster:
		return nil, ErrForeign
	}
	m := &member.Message{}
	if err := c.decMode.Unmarshal(f.Message, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return m, nil
}
