// Package rpc carries calls and notifications over framed TCP connections, and datagrams over UDP.
//
// A connection is symmetric once it is open: both sides may call and notify. Frames of one side arrive in the order in which they
// were queued. A connection whose peer is silent for longer than Options.DeadAfter, or whose queue of unsent bytes grows over
// Options.MaxQueued, is closed; a caller is told whether its call may have been processed (ErrLost) or surely was not (ErrNotSent).
//
// An idle connection holds one goroutine and no buffers. Silence is counted in ticks of one timer for each [Pool] or [Server], so a
// process that was itself stopped for a while does not take its peers for dead when it goes on.
package rpc

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/internal/network"
)

// Kind names the meaning of a frame's body; the numbers are owned by package protocol.
type Kind uint16

// Handler receives the frames of a connection that begin on the other side.
type Handler interface {
	// Handle is called for each incoming frame in order of arrival on the read goroutine of the connection; it must not block.
	// For a call, reply must be called exactly once, from any goroutine; a nil error makes body the answer. For a notification
	// reply is nil. body belongs to the handler.
	Handle(c *Conn, kind Kind, body []byte, reply func(body []byte, err error))
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(c *Conn, kind Kind, body []byte, reply func(body []byte, err error))

// Handle calls f.
func (f HandlerFunc) Handle(c *Conn, kind Kind, body []byte, reply func(body []byte, err error)) {
	f(c, kind, body, reply)
}

// Options are the limits of connections. Zero values mean the defaults named at each field.
type Options struct {
	// DialTimeout bounds the opening of a connection and the exchange of preambles; 1 s by default.
	DialTimeout time.Duration
	// PingEvery is the silence after which a side sends a ping; 1 s by default.
	PingInterval time.Duration
	// DeadAfter is the silence of the other side after which a connection is closed; 2.5 s by default.
	PeerTimeout time.Duration
	// IdleAfter is the time without any frame but pings after which a pool closes a connection on which no call waits; never by
	// default. The other side, not knowing, may lose a frame that it sends at that moment.
	IdleTimeout time.Duration
	// UserTimeout is set as TCP_USER_TIMEOUT where the system has it; 2 s by default.
	UserTimeout time.Duration
	// MaxFrame bounds the body of a frame in bytes; 16 MiB by default.
	MaxFrame int
	// MaxQueued bounds the bytes queued for writing on a connection; 32 MiB by default. A connection that exceeds it is closed.
	MaxQueued int
	// Network opens the sockets; the system's by default.
	Network network.Network
	// Logger receives what an operator should know; none by default.
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
	// ErrNotSent says that no byte of the call was given to the socket: it may be sent elsewhere safely.
	ErrNotSent = errors.New("rpc: not sent: the call may be repeated on another connection")
	// ErrLost says that the call may have been processed: ask the other side again before repeating it elsewhere.
	ErrResponseLost = errors.New("rpc: answer lost: the call may have been processed")
	// ErrClosed is the cause of an end by Close, on this side.
	ErrClosed = errors.New("rpc: closed on this side")
	// ErrReplaced is the cause of an end because another process listens at the address now.
	ErrReplaced = errors.New("rpc: another process listens at this address: connect again")
	// ErrSilent is the cause of an end because the other side sent nothing for Options.DeadAfter.
	ErrPeerUnresponsive = errors.New("rpc: the other side is silent: check that it runs and can be reached")
	// ErrQueueFull is the cause of an end because the other side does not read.
	ErrQueueFull = errors.New("rpc: too many bytes are queued: the other side does not read")
	// ErrMalformed is the cause of an end because what arrived is not a frame.
	ErrMalformed = errors.New("rpc: malformed frame: check that both sides run neighbouring versions")
	// ErrForeign is the cause of a refused connection whose other side does not speak this protocol.
	ErrProtocolMismatch = errors.New("rpc: foreign preamble: check that the address belongs to a process of this system")
	// ErrTooLong refuses a body over Options.MaxFrame, or a datagram over MaxDatagram.
	ErrTooLong = errors.New("rpc: body too long: send it in parts")
	// ErrTimeout is the cause of an ErrLost or ErrNotSent of a call whose time was over.
	ErrTimeout = errors.New("rpc: no answer in time")
)

// failure joins a mark (ErrNotSent or ErrLost) and the cause of it; errors.Is finds both.
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
