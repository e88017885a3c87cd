package handover

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"liftgauge/internal/jsonval"
	"liftgauge/internal/serve/engine"
)

const (
	requestTimeout  = 500 * time.Millisecond  // to reach the other process and receive its reply: operators wait 1 s for theirs
	snapshotTimeout = 1500 * time.Millisecond // for a snapshot: a process that hangs must not keep the new one from serving
	readyTimeout    = 8 * time.Second         // for a successor to accept clients: the platform waits 6 s
	maxLine         = 4 << 20
	acceptPause     = 10 * time.Millisecond
)

// Snapshot is the state that a process sends to its successor.
type Snapshot struct {
	Ready     bool   // it accepts clients
	Discovery string // the current address
	List      []byte // the inventory in discovery's format
	Learned   []byte // the scheduler's learned estimates, encoded by the caller; may be empty
	State
}

// Handler carries out the other process's requests.
type Handler interface {
	// Snapshot returns the state for a successor.
	Snapshot(ctx context.Context) (Snapshot, error)
	// Callback handles a host's call-back. Known reports whether its message is open here.
	Callback(body []byte) (status int, known bool)
	// Adopt takes over a message and the connection on which its client waits; on failure it closes the connection.
	Adopt(record []byte, client net.Conn) (taken bool)
	// SetOffline carries out an operator's request. Listed means that the other process has listed the host.
	SetOffline(ctx context.Context, id string, offline, listed bool) (known bool, err error)
	// SetSharing begins or ends the period in which two processes share the resources of one.
	SetSharing(on bool)
}

// Peer connects this process to the other process of its dispatcher. The one that accepts the connection is the predecessor.
type Peer struct {
	Handler     Handler
	Log         *slog.Logger
	MaxRequests int // of concurrent requests in each direction

	requestTimeout, snapshotTimeout, readyTimeout time.Duration

	dir          *socketDir
	socket       string
	listener     net.Listener
	requestSlots chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]struct{} // open connections, closed when Run ends
	ended bool
	other *link
}

// link is the connection that stays open while both processes live.
type link struct {
	net.Conn
	reader      *bufio.Reader
	socket      string // the other process's, for requests
	predecessor bool   // the other process is the predecessor

	// Of a successor; guarded by the peer's mu.
	ready   bool // it accepts clients
	overdue bool // it did not become ready in time, and this process has stopped sharing
}

// NewPeer binds this process's socket in the directory that all processes of the dispatcher share.
func NewPeer(dir, dispatcher string, maxRequests int, log *slog.Logger) (*Peer, error) {
	f, err := openSocketDir(dir, dispatcher)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	var id [4]byte
	rand.Read(id[:])
	p := &Peer{Log: log, MaxRequests: max(maxRequests, 1), dir: f, socket: f.prefix + hex.EncodeToString(id[:]) + socketSuffix,
		conns: map[net.Conn]struct{}{}, requestTimeout: requestTimeout, snapshotTimeout: snapshotTimeout, readyTimeout: readyTimeout}
	p.requestSlots = make(chan struct{}, p.MaxRequests)
	if p.listener, err = net.Listen("unix", f.address(p.socket)); err != nil {
		f.close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return p, nil
}

// track registers an open connection. False: the peer has ended.
func (p *Peer) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		p.conns[c] = struct{}{}
	}
	return !p.ended
}

func (p *Peer) closeConn(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// Join connects to the serving process, if there is one, and returns its snapshot. From then on this process is its
// successor. Join is called before Run, which must follow soon, and leaves it to the caller to begin sharing.
func (p *Peer) Join(ctx context.Context) (*Snapshot, error) {
	sockets, err := p.dir.sockets()
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ctx, stop := context.WithTimeout(ctx, p.snapshotTimeout)
	defer stop()
	for _, socket := range sockets {
		if socket == p.socket {
			continue
		}
		c, err := p.dial(ctx, socket)
		if errors.Is(err, syscall.ECONNREFUSED) { // its process has ended
			os.Remove(p.dir.address(socket))
			continue
		}
		if err != nil {
			p.Log.Warn("handover: dial", "socket", socket, "err", err)
			continue
		}
		l := &link{Conn: c, reader: bufio.NewReader(c), socket: socket, predecessor: true}
		snapshot, err := p.hello(ctx, l)
		if err != nil || !snapshot.Ready || !p.track(c) {
			p.Log.Warn("handover: not joined", "socket", socket, "err", err)
			c.Close()
			continue
		}
		p.mu.Lock()
		p.other = l // Run watches it; no other goroutine uses it yet
		p.mu.Unlock()
		return snapshot, nil
	}
	return nil, nil
}

func (p *Peer) dial(ctx context.Context, socket string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "unix", p.dir.address(socket))
}

// hello requests the predecessor's snapshot.
func (p *Peer) hello(ctx context.Context, l *link) (*Snapshot, error) {
	if at, ok := ctx.Deadline(); ok {
		l.SetDeadline(at)
	}
	defer l.SetDeadline(time.Time{})
	if err := writeLine(l, jsonval.NewMember("op", "hello"), jsonval.NewMember("socket", p.socket)); err != nil {
		return nil, err
	}
	o, err := readLine(l.reader)
	if err != nil {
		return nil, err
	}
	snapshot := &Snapshot{Ready: o.Bool("ready"), Discovery: o.Text("discovery"), List: o.Raw("list"), Learned: []byte(o.Text("learned")),
		State: State{Offline: o.Texts("offline"), Listed: o.Texts("listed")}}
	return snapshot, o.Err()
}

// Announce notifies the predecessor, if there is one, that this process accepts clients. It returns once that is acknowledged.
func (p *Peer) Announce() error {
	p.mu.Lock()
	l := p.other
	p.mu.Unlock()
	if l == nil || !l.predecessor {
		return nil
	}
	_, err := p.request(jsonval.NewMember("op", "ready"), jsonval.NewMember("socket", p.socket))
	return err
}

// Connected reports whether there is another process.
func (p *Peer) Connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.other != nil
}

// SuccessorReady reports whether a successor accepts clients.
func (p *Peer) SuccessorReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.other != nil && !p.other.predecessor && p.other.ready
}

// Callback forwards a host's call-back to the other process.
func (p *Peer) Callback(body []byte) (status int, known bool, err error) {
	o, err := p.request(jsonval.NewMember("op", "callback"), jsonval.NewMember("body", string(body)))
	if err != nil {
		return 0, false, err
	}
	return int(o.Int64("status")), o.Bool("known"), o.Err()
}

// PassConnection hands a client's connection to the successor, with the record of its waiting message. The record is made once the
// successor is connected: until then nothing has changed. Taken means that the message belongs to the successor. If the successor
// received the record and did not reply, it may have the message: then nobody here may answer, so taken is true and the error nil.
func (p *Peer) PassConnection(client net.Conn, record func() ([]byte, bool)) (taken bool, err error) {
	raw, ok := client.(syscall.Conn)
	if !ok {
		return false, errors.New("handover: connection has no file descriptor")
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false, fmt.Errorf("handover: %w", err)
	}
	c, done, err := p.dialOther()
	if err != nil {
		return false, err
	}
	defer done()
	body, ok := record()
	if !ok {
		return false, errNotReleasable
	}
	c.SetDeadline(time.Now().Add(p.snapshotTimeout)) // the outcome of what follows must be known
	line := append(jsonval.AppendObject(nil, jsonval.NewMember("op", "message"), jsonval.NewMember("record", string(body))), '\n')
	var sent int
	if controlErr := rawConn.Control(func(fd uintptr) {
		sent, _, err = c.(*net.UnixConn).WriteMsgUnix(line, syscall.UnixRights(int(fd)), nil)
	}); controlErr != nil {
		return false, fmt.Errorf("handover: %w", controlErr)
	}
	for err == nil && sent < len(line) { // the descriptor was sent with the first bytes
		var n int
		n, err = c.Write(line[sent:])
		sent += n
	}
	if err != nil { // an incomplete line is not processed
		return false, fmt.Errorf("handover: %w", err)
	}
	o, err := readLine(bufio.NewReader(c))
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return false, fmt.Errorf("handover: %w", err) // the successor has ended: while it lives it replies
	}
	return err != nil || o.Bool("taken"), nil
}

// errNotReleasable means that a message cannot be released at present.
var errNotReleasable = errors.New("handover: message cannot be released now")

// SetOffline has the other process carry out an operator's request.
func (p *Peer) SetOffline(id string, offline, listed bool) (known bool, err error) {
	o, err := p.request(jsonval.NewMember("op", "offline"), jsonval.NewMember("id", id), jsonval.NewMember("out", offline), jsonval.NewMember("sure", listed))
	if err != nil {
		return false, err
	}
	if !o.Bool("done") {
		return false, errors.New("handover: the other process did not apply it")
	}
	return o.Bool("known"), o.Err()
}

// dialOther connects to the other process for one request, which must complete within requestTimeout.
func (p *Peer) dialOther() (c net.Conn, done func(), err error) {
	p.mu.Lock()
	l := p.other
	p.mu.Unlock()
	if l == nil {
		return nil, nil, engine.ErrNoPeer
	}
	ctx, stop := context.WithTimeout(context.Background(), p.requestTimeout)
	defer stop()
	select {
	case p.requestSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, fmt.Errorf("handover: %w", ctx.Err())
	}
	c, err = p.dial(ctx, l.socket)
	if err != nil {
		<-p.requestSlots
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) {
			return nil, nil, engine.ErrNoPeer
		}
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	at, _ := ctx.Deadline()
	c.SetDeadline(at)
	return c, func() {
		c.Close()
		<-p.requestSlots
	}, nil
}

// request sends one request on a connection of its own.
func (p *Peer) request(question ...jsonval.Member) (jsonval.Object, error) {
	c, done, err := p.dialOther()
	if err != nil {
		return jsonval.Object{}, err
	}
	defer done()
	if err := writeLine(c, question...); err != nil {
		return jsonval.Object{}, fmt.Errorf("handover: %w", err)
	}
	return readLine(bufio.NewReader(c))
}

// setOther sets the link to the other process, and begins or ends sharing.
func (p *Peer) setOther(l *link) {
	p.mu.Lock()
	old := p.other
	p.other = l
	p.mu.Unlock()
	if old != nil && l != nil {
		old.Close() // a new successor replaces one that may hang
	}
	if (old == nil) != (l == nil) {
		p.Log.Info("handover: sharing", "on", l != nil)
		p.Handler.SetSharing(l != nil)
	}
}

// handleOverdue ends sharing with a successor that does not become ready: a version that cannot serve must not take resources
// from the one that does. It may still become ready, and the link stays.
func (p *Peer) handleOverdue(l *link) {
	p.mu.Lock()
	l.overdue = p.other == l && !l.ready
	overdue := l.overdue
	p.mu.Unlock()
	if overdue {
		p.Log.Error("handover: the new process is not ready in time")
		p.Handler.SetSharing(false)
	}
}

// markReady notes that the successor with a socket accepts clients.
func (p *Peer) markReady(socket string) bool {
	p.mu.Lock()
	l := p.other
	if l == nil || l.predecessor || l.socket != socket {
		p.mu.Unlock()
		return false
	}
	wasOverdue := l.overdue
	l.ready, l.overdue = true, false
	p.mu.Unlock()
	if wasOverdue {
		p.Handler.SetSharing(true)
	}
	return true
}

// watch waits for the end of a link, which means the end of the other process.
func (p *Peer) watch(l *link) {
	io.Copy(io.Discard, l.reader)
	p.closeConn(l)
	p.mu.Lock()
	current := p.other == l
	p.mu.Unlock()
	if current {
		p.setOther(nil)
	}
}

// Run serves the other process until the context ends.
func (p *Peer) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer p.dir.close()
	defer calls.Wait()
	if l := p.other; l != nil {
		calls.Go(func() { p.watch(l) })
	}
	defer context.AfterFunc(ctx, func() {
		p.listener.Close() // and unlinks the socket
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ended = true
		for c := range p.conns {
			c.Close()
		}
	})()
	slots := make(chan struct{}, p.MaxRequests+1) // plus the link
	for {
		c, err := p.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			p.Log.Warn("handover: accept", "err", err)
			select {
			case <-time.After(acceptPause):
			case <-ctx.Done():
			}
			continue
		}
		if !p.track(c) {
			c.Close()
			return nil
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			p.serveConn(ctx, c)
		})
	}
}

// serveConn reads a request and replies to it. A successor's hello turns the connection into the link.
func (p *Peer) serveConn(ctx context.Context, c net.Conn) {
	c.SetDeadline(time.Now().Add(p.snapshotTimeout))
	received := &fdConn{Conn: c}
	defer received.close()
	r := bufio.NewReader(received)
	o, err := readLine(r)
	if err != nil {
		p.closeConn(c)
		return
	}
	requestCtx, stop := context.WithTimeout(ctx, p.requestTimeout)
	defer stop()
	var reply []jsonval.Member
	switch o.Text("op") {
	case "hello":
		l := &link{Conn: c, reader: r, socket: o.Text("socket")}
		if o.Err() != nil || l.socket == "" {
			break
		}
		p.setOther(l) // before the snapshot is taken: later changes are sent to the successor as well
		snapshot, err := p.Handler.Snapshot(requestCtx)
		if err != nil || !snapshot.Ready { // nothing to take over
			c.Close()
			p.watch(l)
			return
		}
		if err := writeLine(c, jsonval.NewMember("ready", true), jsonval.NewMember("discovery", snapshot.Discovery), jsonval.NewMember("list", snapshot.List), jsonval.NewMember("learned", string(snapshot.Learned)),
			jsonval.NewMember("offline", snapshot.Offline), jsonval.NewMember("listed", snapshot.Listed)); err == nil {
			c.SetDeadline(time.Time{})
		}
		defer time.AfterFunc(p.readyTimeout, func() { p.handleOverdue(l) }).Stop()
		p.watch(l) // if the snapshot was not sent, the deadline ends the link
		return
	case "ready":
		if p.markReady(o.Text("socket")) {
			reply = append(reply, jsonval.NewMember("done", true))
		}
	case "callback":
		status, known := p.Handler.Callback([]byte(o.Text("body")))
		reply = append(reply, jsonval.NewMember("status", status), jsonval.NewMember("known", known))
	case "message":
		taken := false
		if client := received.take(); client != nil {
			taken = p.Handler.Adopt([]byte(o.Text("record")), client)
		}
		reply = append(reply, jsonval.NewMember("taken", taken))
	case "offline":
		known, err := p.Handler.SetOffline(requestCtx, o.Text("id"), o.Bool("out"), o.Bool("sure"))
		reply = append(reply, jsonval.NewMember("known", known), jsonval.NewMember("done", err == nil))
	}
	writeLine(c, reply...)
	p.closeConn(c)
}

// writeLine writes an object as one line.
func writeLine(w io.Writer, members ...jsonval.Member) error {
	_, err := w.Write(append(jsonval.AppendObject(nil, members...), '\n'))
	return err
}

// readLine reads one object.
func readLine(r *bufio.Reader) (jsonval.Object, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if line = append(line, part...); len(line) > maxLine {
			return jsonval.Object{}, errors.New("handover: line too long")
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return jsonval.Object{}, fmt.Errorf("handover: %w", err)
		}
		return new(jsonval.Parser).Parse(line)
	}
}
