package standin

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Packet types as clients and workers use them, taken from the public specification and not from the daemon's codec, so
// that an error there is not repeated here.
const (
	gmCanDo       = 1
	gmPreSleep    = 4
	gmNoop        = 6
	gmSubmit      = 7
	gmCreated     = 8
	gmNoJob       = 10
	gmAssign      = 11
	gmComplete    = 13
	gmFail        = 14
	gmError       = 19
	gmSetClientID = 22
	gmGrabUniq    = 30
	gmAssignUniq  = 31
	gmAssignAll   = 40
	gmMostSize    = 64 << 20
	gmHeader      = 12
)

// GearmanPacket is one packet: its type number and its body, including NUL bytes.
type GearmanPacket struct {
	Type int
	Body []byte
}

// Args splits a body into at most n arguments.
func (f GearmanPacket) Args(n int) [][]byte { return bytes.SplitN(f.Body, []byte{0}, n) }

// GearmanConn is a Gearman connection. Concurrent writes do not interleave packets.
type GearmanConn struct {
	net.Conn
	mu sync.Mutex
}

// DialGearman connects to a server.
func DialGearman(address string) (*GearmanConn, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &GearmanConn{Conn: c}, nil
}

// NewGearmanPacket encodes a packet of a client or worker.
func NewGearmanPacket(kind int, args ...string) []byte {
	body := []byte{}
	for i, a := range args {
		if i > 0 {
			body = append(body, 0)
		}
		body = append(body, a...)
	}
	out := make([]byte, gmHeader, gmHeader+len(body))
	copy(out, "\x00REQ")
	binary.BigEndian.PutUint32(out[4:], uint32(kind))
	binary.BigEndian.PutUint32(out[8:], uint32(len(body)))
	return append(out, body...)
}

// Send writes a packet.
func (w *GearmanConn) Send(kind int, args ...string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.Write(NewGearmanPacket(kind, args...))
	return err
}

// Next reads a packet sent by the server.
func (w *GearmanConn) Next() (GearmanPacket, error) {
	var head [gmHeader]byte
	if _, err := io.ReadFull(w.Conn, head[:]); err != nil {
		return GearmanPacket{}, err
	}
	size := binary.BigEndian.Uint32(head[8:])
	if string(head[:4]) != "\x00RES" || size > gmMostSize {
		return GearmanPacket{}, fmt.Errorf("not a packet of a server's: %x", head)
	}
	f := GearmanPacket{int(binary.BigEndian.Uint32(head[4:])), make([]byte, size)}
	_, err := io.ReadFull(w.Conn, f.Body)
	return f, err
}

// GearmanWorkerConfig describes a stand-in worker.
type GearmanWorkerConfig struct {
	Address     string
	Client      string // client id; may be empty
	Functions   []string
	JobDuration time.Duration
	Result      func([]byte) []byte
	Ledger      *Ledger
	// ID returns the name of a job in the ledger, from its data.
	ID func(data []byte) string
	// DropConnection says for each job whether the worker drops its connection while it runs it; may be nil.
	DropConnection func(id string) bool
	GrabType       int // packet type of its job requests; 0 for GRAB_JOB_UNIQ
}

// GearmanWorker runs jobs one after another like the common client libraries: it sends GRAB_JOB, and PRE_SLEEP if there
// is no job. It reconnects until it is closed.
type GearmanWorker struct {
	GearmanWorkerConfig
	mu     sync.Mutex
	wire   *GearmanConn
	closed bool
	done   chan struct{}
}

// StartGearmanWorker starts a worker.
func StartGearmanWorker(c GearmanWorkerConfig) *GearmanWorker {
	if c.GrabType == 0 {
		c.GrabType = gmGrabUniq
	}
	w := &GearmanWorker{GearmanWorkerConfig: c, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for w.connect() {
			w.work()
			w.wire.Close()
		}
	}()
	return w
}

// Close stops the worker and closes its connection.
func (w *GearmanWorker) Close() {
	w.mu.Lock()
	w.closed = true
	if w.wire != nil {
		w.wire.Close()
	}
	w.mu.Unlock()
	<-w.done
}

// connect connects to the server, retrying. It returns false once the worker is closed.
func (w *GearmanWorker) connect() bool {
	for {
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if closed {
			return false
		}
		wire, err := DialGearman(w.Address)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		w.mu.Lock()
		if w.wire = wire; w.closed {
			wire.Close()
		}
		w.mu.Unlock()
		return true
	}
}

func (w *GearmanWorker) work() {
	if w.Client != "" {
		w.wire.Send(gmSetClientID, w.Client)
	}
	for _, f := range w.Functions {
		w.wire.Send(gmCanDo, f)
	}
	for w.wire.Send(w.GrabType) == nil {
		f, err := w.wire.Next()
		if err != nil {
			return
		}
		switch f.Type {
		case gmNoJob:
			if w.wire.Send(gmPreSleep) != nil {
				return
			}
			for {
				if f, err := w.wire.Next(); err != nil {
					return
				} else if f.Type == gmNoop {
					break
				}
			}
		case gmAssign, gmAssignUniq, gmAssignAll:
			n := map[int]int{gmAssign: 3, gmAssignUniq: 4, gmAssignAll: 5}[f.Type]
			args := f.Args(n)
			handle, data := string(args[0]), args[n-1]
			id := ""
			if w.ID != nil {
				id = w.ID(data)
			}
			if w.Ledger != nil {
				w.Ledger.Record(id, Run{Host: w.Client, Cell: -1})
			}
			if w.JobDuration > 0 {
				time.Sleep(w.JobDuration)
			}
			if w.DropConnection != nil && w.DropConnection(id) {
				return
			}
			result := data
			if w.Result != nil {
				result = w.Result(data)
			}
			if w.wire.Send(gmComplete, handle, string(result)) != nil {
				return
			}
		}
	}
}

// GearmanClient submits jobs over one connection and waits for them in any order. It is safe for concurrent use.
type GearmanClient struct {
	wire           *GearmanConn
	mu             sync.Mutex
	unacknowledged []chan Outcome // jobs that wait for JOB_CREATED, in order
	waiting        map[string][]chan Outcome
	err            error
}

// Outcome is the outcome of a job for its client.
type Outcome struct {
	Status int // 200 served, 502 failed, 503 rejected, 0 connection closed
	Result []byte
	Handle string
}

// StartGearmanClient connects a client.
func StartGearmanClient(address string) (*GearmanClient, error) {
	wire, err := DialGearman(address)
	if err != nil {
		return nil, err
	}
	c := &GearmanClient{wire: wire, waiting: map[string][]chan Outcome{}}
	go c.read()
	return c, nil
}

// Close closes the connection; waiting jobs end with status 0.
func (c *GearmanClient) Close() { c.wire.Close() }

// Do submits a job and waits for its outcome.
func (c *GearmanClient) Do(function, unique string, data []byte) Outcome {
	end := make(chan Outcome, 1)
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return Outcome{}
	}
	c.unacknowledged = append(c.unacknowledged, end)
	_, err := c.wire.Write(NewGearmanPacket(gmSubmit, function, unique, string(data)))
	c.mu.Unlock()
	if err != nil {
		c.wire.Close()
	}
	return <-end
}

func (c *GearmanClient) read() {
	for {
		f, err := c.wire.Next()
		c.mu.Lock()
		if err != nil {
			c.err = err
			for _, end := range c.unacknowledged {
				end <- Outcome{}
			}
			for _, all := range c.waiting {
				for _, end := range all {
					end <- Outcome{}
				}
			}
			c.mu.Unlock()
			return
		}
		switch f.Type {
		case gmCreated:
			handle := string(f.Body)
			c.waiting[handle] = append(c.waiting[handle], c.unacknowledged[0])
			c.unacknowledged = c.unacknowledged[1:]
		case gmError:
			if len(c.unacknowledged) > 0 {
				c.unacknowledged[0] <- Outcome{Status: 503, Result: f.Body}
				c.unacknowledged = c.unacknowledged[1:]
			}
		case gmComplete, gmFail:
			args := f.Args(2)
			handle := string(args[0])
			out := Outcome{Status: 502, Handle: handle}
			if f.Type == gmComplete {
				out.Status, out.Result = 200, args[1]
			}
			if all := c.waiting[handle]; len(all) > 0 {
				all[0] <- out
				if c.waiting[handle] = all[1:]; len(all) == 1 {
					delete(c.waiting, handle)
				}
			}
		}
		c.mu.Unlock()
	}
}
