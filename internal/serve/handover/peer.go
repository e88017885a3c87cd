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
	"liftgauge/internal/serve/owner"
)

const (
	askWithin   = 500 * time.Millisecond  // to reach the other process and have its answer: operators wait 1 s for theirs
	helloWithin = 1500 * time.Millisecond // for a snapshot: a process that hangs must not keep the new one from serving
	readyWithin = 8 * time.Second         // for a successor to take clients: the platform waits 6 s
	maxLine     = 4 << 20
	acceptPause = 10 * time.Millisecond
)

// Snapshot is what a process tells its successor.
type Snapshot struct {
	Ready     bool   // it takes clients
	Discovery string // the address that counts
	List      []byte // the inventory in discovery's form
	Learned   []byte // what the module has learnt, as package node encodes it; may be empty
	State
}

// Handler does for the other process what it asks.
type Handler interface {
	// Snapshot is told to a successor.
	Snapshot(ctx context.Context) (Snapshot, error)
	// Known says whether its message is open here.
	Callback(body []byte) (status int, known bool)
	// Adopt takes over a message and the connection on which its client waits, which is closed if it does not.
	Adopt(record []byte, client net.Conn) (taken bool)
	// Offline carries out an operators' call. Sure says that the other knows the host.
	Offline(ctx context.Context, id string, out, sure bool) (known bool, err error)
	// Share begins or ends the time in which two processes have what one may use.
	Share(on bool)
}

// Peer is this process as the other process of its dispatcher meets it. The one that is called stays the elder.
type Peer struct {
	Handler Handler
	Log     *slog.Logger
	Asks    int // how many questions may be open each way

	askWithin, helloWithin, readyWithin time.Duration

	folder *folder
	socket string
	l      net.Listener
	asks   chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]struct{} // all that are open here, to be closed at the end
	ended bool
	other *link
}

// link is the connection that stands for as long as both processes live.
type link struct {
	net.Conn
	r      *bufio.Reader
	socket string // where to ask the other
	elder  bool   // the other was there first

	// Guarded by the peer's lock; of a successor.
	ready bool // it takes clients
	late  bool // it has not come to that in time, and this process has taken back what it shared
}

// NewPeer binds this process's socket in the folder that all processes of the dispatcher share.
func NewPeer(dir, dispatcher string, asks int, log *slog.Logger) (*Peer, error) {
	f, err := openFolder(dir, dispatcher)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	var id [4]byte
	rand.Read(id[:])
	p := &Peer{Log: log, Asks: max(asks, 1), folder: f, socket: f.prefix + hex.EncodeToString(id[:]) + socketEnd,
		conns: map[net.Conn]struct{}{}, askWithin: askWithin, helloWithin: helloWithin, readyWithin: readyWithin}
	p.asks = make(chan struct{}, p.Asks)
	if p.l, err = net.Listen("unix", f.address(p.socket)); err != nil {
		f.close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return p, nil
}

// keep notes an open connection; false says that the end has come.
func (p *Peer) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		p.conns[c] = struct{}{}
	}
	return !p.ended
}

func (p *Peer) drop(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// Join calls the process that serves, if there is one, and returns what it tells. From then on it has this one for a
// successor. It comes before Run, which must follow soon, and leaves it to the caller to begin the sharing.
func (p *Peer) Join(ctx context.Context) (*Snapshot, error) {
	sockets, err := p.folder.sockets()
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ctx, stop := context.WithTimeout(ctx, p.helloWithin)
	defer stop()
	for _, socket := range sockets {
		if socket == p.socket {
			continue
		}
		c, err := p.dial(ctx, socket)
		if errors.Is(err, syscall.ECONNREFUSED) { // its process is dead
			os.Remove(p.folder.address(socket))
			continue
		}
		if err != nil {
			p.Log.Warn("handover: call", "socket", socket, "err", err)
			continue
		}
		l := &link{Conn: c, r: bufio.NewReader(c), socket: socket, elder: true}
		s, err := p.hello(ctx, l)
		if err != nil || !s.Ready || !p.keep(c) {
			p.Log.Warn("handover: not joined", "socket", socket, "err", err)
			c.Close()
			continue
		}
		p.mu.Lock()
		p.other = l // Run watches it; nobody else is at work yet
		p.mu.Unlock()
		return s, nil
	}
	return nil, nil
}

func (p *Peer) dial(ctx context.Context, socket string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "unix", p.folder.address(socket))
}

// hello asks the elder for its snapshot.
func (p *Peer) hello(ctx context.Context, l *link) (*Snapshot, error) {
	if at, ok := ctx.Deadline(); ok {
		l.SetDeadline(at)
	}
	defer l.SetDeadline(time.Time{})
	if err := writeLine(l, jsonval.NewMember("op", "hello"), jsonval.NewMember("socket", p.socket)); err != nil {
		return nil, err
	}
	o, err := readLine(l.r)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{Ready: o.Bool("ready"), Discovery: o.Text("discovery"), List: o.Raw("list"), Learned: []byte(o.Text("learned")),
		State: State{Offline: o.Texts("offline"), Listed: o.Texts("listed")}}
	return s, o.Err()
}

// Announce tells the elder, if there is one, that this process takes clients. It returns once the elder knows.
func (p *Peer) Announce() error {
	p.mu.Lock()
	l := p.other
	p.mu.Unlock()
	if l == nil || !l.elder {
		return nil
	}
	_, err := p.ask(jsonval.NewMember("op", "ready"), jsonval.NewMember("socket", p.socket))
	return err
}

// Live says whether another process is there.
func (p *Peer) Live() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.other != nil
}

// Succeeded says whether a successor takes clients.
func (p *Peer) Succeeded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.other != nil && !p.other.elder && p.other.ready
}

// Callback hands a host's call to the other process.
func (p *Peer) Callback(body []byte) (status int, known bool, err error) {
	o, err := p.ask(jsonval.NewMember("op", "callback"), jsonval.NewMember("body", string(body)))
	if err != nil {
		return 0, false, err
	}
	return int(o.Int64("status")), o.Bool("known"), o.Err()
}

// Pass hands a client's connection to the successor, with the record of the message that waits there. The record is made once the
// successor listens: until then nothing has changed. Taken says that the message is the successor's. Where it took the record and said
// nothing, it may be: then nobody here may answer, and the error is nil.
func (p *Peer) Pass(client net.Conn, record func() ([]byte, bool)) (taken bool, err error) {
	raw, ok := client.(syscall.Conn)
	if !ok {
		return false, errors.New("handover: no connection that can be passed on")
	}
	rights, err := raw.SyscallConn()
	if err != nil {
		return false, fmt.Errorf("handover: %w", err)
	}
	c, done, err := p.call()
	if err != nil {
		return false, err
	}
	defer done()
	body, ok := record()
	if !ok {
		return false, errNotNow
	}
	c.SetDeadline(time.Now().Add(p.helloWithin)) // from here on it must be known how it ends
	line := append(jsonval.AppendObject(nil, jsonval.NewMember("op", "message"), jsonval.NewMember("record", string(body))), '\n')
	var sent int
	if held := rights.Control(func(fd uintptr) {
		sent, _, err = c.(*net.UnixConn).WriteMsgUnix(line, syscall.UnixRights(int(fd)), nil)
	}); held != nil {
		return false, fmt.Errorf("handover: %w", held)
	}
	for err == nil && sent < len(line) { // the descriptor went with the first bytes
		var n int
		n, err = c.Write(line[sent:])
		sent += n
	}
	if err != nil { // without its end nobody reads the line
		return false, fmt.Errorf("handover: %w", err)
	}
	o, err := readLine(bufio.NewReader(c))
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return false, fmt.Errorf("handover: %w", err) // it answers while it lives
	}
	return err != nil || o.Bool("taken"), nil
}

// errNotNow says that a message could not be let go of at this moment.
var errNotNow = errors.New("handover: not now")

// Offline has the other process carry out an operators' call.
func (p *Peer) Offline(id string, out, sure bool) (known bool, err error) {
	o, err := p.ask(jsonval.NewMember("op", "offline"), jsonval.NewMember("id", id), jsonval.NewMember("out", out), jsonval.NewMember("sure", sure))
	if err != nil {
		return false, err
	}
	if !o.Bool("done") {
		return false, errors.New("handover: the other process did not apply it")
	}
	return o.Bool("known"), o.Err()
}

// call connects to the other process for one question, within askWithin for all of it.
func (p *Peer) call() (c net.Conn, done func(), err error) {
	p.mu.Lock()
	l := p.other
	p.mu.Unlock()
	if l == nil {
		return nil, nil, owner.ErrNobody
	}
	ctx, stop := context.WithTimeout(context.Background(), p.askWithin)
	defer stop()
	select {
	case p.asks <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, fmt.Errorf("handover: %w", ctx.Err())
	}
	c, err = p.dial(ctx, l.socket)
	if err != nil {
		<-p.asks
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) {
			return nil, nil, owner.ErrNobody
		}
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	at, _ := ctx.Deadline()
	c.SetDeadline(at)
	return c, func() {
		c.Close()
		<-p.asks
	}, nil
}

// ask puts one question on a connection of its own.
func (p *Peer) ask(question ...jsonval.Member) (jsonval.Object, error) {
	c, done, err := p.call()
	if err != nil {
		return jsonval.Object{}, err
	}
	defer done()
	if err := writeLine(c, question...); err != nil {
		return jsonval.Object{}, fmt.Errorf("handover: %w", err)
	}
	return readLine(bufio.NewReader(c))
}

// setOther begins or ends the sharing.
func (p *Peer) setOther(l *link) {
	p.mu.Lock()
	old := p.other
	p.other = l
	p.mu.Unlock()
	if old != nil && l != nil {
		old.Close() // a later successor takes the place of one that may hang
	}
	if (old == nil) != (l == nil) {
		p.Log.Info("handover: sharing", "on", l != nil)
		p.Handler.Share(l != nil)
	}
}

// overdue takes back what is shared with a successor that does not get ready: a version that cannot serve must not cost the
// one that does. It may still come to it, and the link stays.
func (p *Peer) overdue(l *link) {
	p.mu.Lock()
	l.late = p.other == l && !l.ready
	late := l.late
	p.mu.Unlock()
	if late {
		p.Log.Error("handover: the new process does not get ready")
		p.Handler.Share(false)
	}
}

// taken notes that the successor of that socket takes clients.
func (p *Peer) taken(socket string) bool {
	p.mu.Lock()
	l := p.other
	if l == nil || l.elder || l.socket != socket {
		p.mu.Unlock()
		return false
	}
	again := l.late
	l.ready, l.late = true, false
	p.mu.Unlock()
	if again {
		p.Handler.Share(true)
	}
	return true
}

// watch waits for the end of a link, which is the end of the other process.
func (p *Peer) watch(l *link) {
	io.Copy(io.Discard, l.r)
	p.drop(l)
	p.mu.Lock()
	current := p.other == l
	p.mu.Unlock()
	if current {
		p.setOther(nil)
	}
}

// Run answers the other process until the context ends.
func (p *Peer) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer p.folder.close()
	defer calls.Wait()
	if l := p.other; l != nil {
		calls.Go(func() { p.watch(l) })
	}
	defer context.AfterFunc(ctx, func() {
		p.l.Close() // and unlinks the socket
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ended = true
		for c := range p.conns {
			c.Close()
		}
	})()
	room := make(chan struct{}, p.Asks+1) // and the link
	for {
		c, err := p.l.Accept()
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
		if !p.keep(c) {
			c.Close()
			return nil
		}
		room <- struct{}{}
		calls.Go(func() {
			defer func() { <-room }()
			p.answer(ctx, c)
		})
	}
}

// answer reads one question and answers it. One that is a successor's first becomes the link.
func (p *Peer) answer(ctx context.Context, c net.Conn) {
	c.SetDeadline(time.Now().Add(p.helloWithin))
	came := &descriptors{Conn: c}
	defer came.close()
	r := bufio.NewReader(came)
	o, err := readLine(r)
	if err != nil {
		p.drop(c)
		return
	}
	asking, stop := context.WithTimeout(ctx, p.askWithin)
	defer stop()
	var reply []jsonval.Member
	switch o.Text("op") {
	case "hello":
		l := &link{Conn: c, r: r, socket: o.Text("socket")}
		if o.Err() != nil || l.socket == "" {
			break
		}
		p.setOther(l) // before the snapshot is taken: what changes from here on is asked of the successor as well
		s, err := p.Handler.Snapshot(asking)
		if err != nil || !s.Ready { // nothing to take over here
			c.Close()
			p.watch(l)
			return
		}
		if err := writeLine(c, jsonval.NewMember("ready", true), jsonval.NewMember("discovery", s.Discovery), jsonval.NewMember("list", s.List), jsonval.NewMember("learned", string(s.Learned)),
			jsonval.NewMember("offline", s.Offline), jsonval.NewMember("listed", s.Listed)); err == nil {
			c.SetDeadline(time.Time{})
		}
		defer time.AfterFunc(p.readyWithin, func() { p.overdue(l) }).Stop()
		p.watch(l) // where it was not told the deadline ends the link
		return
	case "ready":
		if p.taken(o.Text("socket")) {
			reply = append(reply, jsonval.NewMember("done", true))
		}
	case "callback":
		status, known := p.Handler.Callback([]byte(o.Text("body")))
		reply = append(reply, jsonval.NewMember("status", status), jsonval.NewMember("known", known))
	case "message":
		taken := false
		if client := came.take(); client != nil {
			taken = p.Handler.Adopt([]byte(o.Text("record")), client)
		}
		reply = append(reply, jsonval.NewMember("taken", taken))
	case "offline":
		known, err := p.Handler.Offline(asking, o.Text("id"), o.Bool("out"), o.Bool("sure"))
		reply = append(reply, jsonval.NewMember("known", known), jsonval.NewMember("done", err == nil))
	}
	writeLine(c, reply...)
	p.drop(c)
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
