// Package gossip carries the messages of package member over UDP: one CBOR-encoded message per datagram, for one cluster.
package gossip

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"liftgauge/member"
)

// FormatVersion is the version of the datagram format. Datagrams of a newer version are dropped, as they cannot be interpreted.
const FormatVersion = 1

// Reasons to reject a datagram.
var (
	ErrForeign   = errors.New("datagram of another cluster")
	ErrNewer     = errors.New("datagram of a newer format version")
	ErrTooLong   = errors.New("datagram too long")
	ErrMalformed = errors.New("malformed datagram")
)

// datagram is the envelope of a message.
type datagram struct {
	_       struct{} `cbor:",toarray"`
	Version uint
	Cluster uint64 // hash of the cluster's name
	Proof   []byte // authenticates the sender; empty, as the network is trusted for now
	Message cbor.RawMessage
}

// Codec encodes and decodes the messages of one cluster. It is safe for concurrent use.
type Codec struct {
	cluster uint64
	decMode cbor.DecMode
}

// NewCodec returns the Codec of the cluster with the given name.
func NewCodec(cluster string) (*Codec, error) {
	dec, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1024, MaxMapPairs: 64, DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return &Codec{cluster: xxhash.Sum64String(cluster), decMode: dec}, nil
}

// Encode returns the datagram for a message.
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

// Decode returns the message in a datagram, or one of the errors above. It checks the encoding only; the member validates the
// contents.
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
