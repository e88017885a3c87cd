// Package rpc carries calls and notifications over framed TCP connections, and datagrams over UDP.
//
// A connection is symmetric once it is open: both sides may call and notify. Frames of one side arrive in the order in which they
// were queued. A connection is closed when nothing is received from its peer for Options.PeerTimeout, or when its queue of unsent bytes
// exceeds Options.MaxQueued. The error of a call states whether the call may have been processed (ErrResponseLost) or certainly was not
// (ErrNotSent).
//
// An idle connection holds one goroutine and no buffers. Inactivity is counted in ticks of one timer per [Pool] or [Server], so that a
// process that was itself stopped for a while does not consider its peers dead when it resumes.
package rpc

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/internal/network"
)

// Kind identifies the content of a frame's body; the numbers are defined by package protocol.
type Kind uint16

// Handler receives the calls and notifications that the peer sends on a connection.
type Handler interface {
	// Handle is called for each incoming frame in order of arrival on the read goroutine of the connection; it must not block.
	// For a call, reply must be called exactly once, from any goroutine; if its error is nil, its body is sent as the answer. For a
	// notification reply is nil. The handler owns body.
	Handle(c *Conn, kind Kind, body []byte, reply func(body []byte, err error))
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(c *Conn, kind Kind, body []byte, reply func(body []byte, err error))

// Handle calls f.
func (f HandlerFunc) Handle(c *Conn, kind Kind, body []byte, reply func(body []byte, err error)) {
	f(c, kind, body, reply)
}

// Options are the limits of connections. Zero values select the default given at each field.
type Options struct {
	// DialTimeout limits the time to open a connection and exchange preambles; 1 s by default.
	DialTimeout time.Duration
	// PingInterval is the time without a received frame after which a side sends a ping; 1 s by default.
	PingInterval time.Duration
	// PeerTimeout is the time without a received frame after which a connection is closed; 2.5 s by default.
	PeerTimeout time.Duration
	// IdleTimeout is the time without any frames other than pings and pongs after which a pool closes a connection that has no pending
	// calls; never by default. A frame that the peer sends at that moment may be lost.
	IdleTimeout time.Duration
	// UserTimeout is set as TCP_USER_TIMEOUT where the system has it; 2 s by default.
	UserTimeout time.Duration
	// MaxFrame limits the body of a frame in bytes; 16 MiB by default.
	MaxFrame int
	// MaxQueued limits the bytes queued for writing on a connection; 32 MiB by default. A connection that exceeds it is closed.
	MaxQueued int
	// Network opens the sockets; the system's by default.
	Network network.Network
	// Logger receives warnings for the operator; no logging by default.
	Logger *zap.Logger
	// OnClose is called once for each connection that was open, after its last frame was handled.
	OnClose func(c *Conn, err error)
}

const (
	defaultDialTimeout = time.Second
	defaultPingEvery   = time.Second
	defaultDeadAfter   = 2500 * time.Millisecond
	defaultUserTimeout = 2 * time.Second
	defaultMaxFrame    = 16 << 20
	defaultMaxQueued   = 32 << 20
)

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.PingInterval, defaultPingEvery)
	setDefault(&o.PeerTimeout, defaultDeadAfter)
	setDefault(&o.UserTimeout, defaultUserTimeout)
	setDefault(&o.MaxFrame, defaultMaxFrame)
	setDefault(&o.MaxQueued, defaultMaxQueued)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

var (
	// ErrNotSent means that no byte of the call was written to the socket: it can safely be sent on another connection.
	ErrNotSent = errors.New("rpc: not sent: the call may be repeated on another connection")
	// ErrResponseLost means that the call may have been processed: query the peer before repeating the call elsewhere.
	ErrResponseLost = errors.New("rpc: response lost: the call may have been processed")
	// ErrClosed is the cause when this side called Close.
	ErrClosed = errors.New("rpc: closed on this side")
	// ErrReplaced is the cause when another process now listens on the address.
	ErrReplaced = errors.New("rpc: another process now listens on this address: reconnect")
	// ErrPeerUnresponsive is the cause when nothing was received from the peer for Options.PeerTimeout.
	ErrPeerUnresponsive = errors.New("rpc: peer is unresponsive: check that it runs and can be reached")
	// ErrQueueFull is the cause when the write queue exceeds Options.MaxQueued because the peer does not read.
	ErrQueueFull = errors.New("rpc: write queue is full: the peer does not read")
	// ErrMalformed is the cause when the received bytes are not a valid frame.
	ErrMalformed = errors.New("rpc: malformed frame: check that both sides run adjacent versions")
	// ErrProtocolMismatch is the cause when the peer does not speak this protocol.
	ErrProtocolMismatch = errors.New("rpc: unknown preamble: check that the address belongs to a process of this system")
	// ErrTooLong is returned for a body longer than Options.MaxFrame, or a datagram longer than MaxDatagram.
	ErrTooLong = errors.New("rpc: body too long: send it in parts")
	// ErrTimeout is the cause of an ErrResponseLost or ErrNotSent when a call has timed out.
	ErrTimeout = errors.New("rpc: call timed out")
)

// failure combines a kind (ErrNotSent or ErrResponseLost) with its cause; errors.Is matches both.
type failure struct{ kind, cause error }

func (f *failure) Error() string   { return f.kind.Error() + ": " + f.cause.Error() }
func (f *failure) Unwrap() []error { return []error{f.kind, f.cause} }

func notSent(cause error) error {
	if errors.Is(cause, ErrNotSent) {
		return cause
	}
	return &failure{kind: ErrNotSent, cause: cause}
}

func responseLost(cause error) error { return &failure{kind: ErrResponseLost, cause: cause} }
