package gossip

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"liftgauge/member"
)

// FleetPosition is this member's position in the fleet. Where it is not Known, the configured values apply.
type FleetPosition struct {
	Known         bool
	Rank, Members int // this member's rank, and the number of members
	InZone        int // members in this member's zone
}

// Config configures a Node.
type Config struct {
	Member    member.Config
	Codec     *Codec
	Transport Transport
	Seed      uint64
	// OnPositionChange is called at every change of the position. It must not block.
	OnPositionChange func(FleetPosition)
	Log              *slog.Logger
	Now              func() time.Duration
}

// Counts are numbers of datagrams.
type Counts struct{ Sent, Received, Foreign, Newer, Malformed, Refused int64 }

// Node runs one member. One goroutine owns the member; another one reads from the transport.
type Node struct {
	Config
	member   *member.Member
	position FleetPosition
	queries  chan func()
	done     chan struct{}

	published atomic.Pointer[FleetPosition]

	sent, received, foreign, newer, malformed, refused atomic.Int64
}

// leaveTimeout limits how long a departing member waits for the others to agree.
const leaveTimeout = 2500 * time.Millisecond

// New returns a Node, which Run starts.
func New(c Config) *Node {
	return &Node{Config: c, queries: make(chan func()), done: make(chan struct{})}
}

// Counts returns the numbers of datagrams so far.
func (n *Node) Counts() Counts {
	return Counts{n.sent.Load(), n.received.Load(), n.foreign.Load(), n.newer.Load(), n.malformed.Load(), n.refused.Load()}
}

// Position returns the last published position.
func (n *Node) Position() FleetPosition {
	if p := n.published.Load(); p != nil {
		return *p
	}
	return FleetPosition{}
}

type packet struct {
	from    string
	message *member.Message
	refused bool
}

// Run runs the member until the context ends, and then leaves the view.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	n.member = member.New(n.Member, n.Now(), n.Seed)
	packets := make(chan packet, 256)
	readerContext, stopReader := context.WithCancel(context.Background())
	defer stopReader()
	var reader errgroup.Group
	reader.Go(func() error { n.readDatagrams(readerContext, packets); return nil })
	defer reader.Wait()
	defer n.Transport.Close()
	tickInterval := n.Member.WithDefaults(0).TickInterval
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	leaving := ctx.Done()
	var leaveDeadline <-chan time.Time
	for {
		select {
		case p := <-packets:
			if p.refused {
				n.member.ReceiveRefusal(n.Now(), p.from)
			} else {
				n.member.Receive(n.Now(), p.from, p.message)
			}
		case <-ticks.C:
			n.member.Tick(n.Now())
		case query := <-n.queries:
			query()
		case <-leaving:
			leaving, leaveDeadline = nil, time.After(leaveTimeout)
			n.member.Leave(n.Now())
		case <-leaveDeadline:
			return nil
		}
		n.applyOutput()
		if leaving == nil && n.member.State() != member.Leaving && n.member.State() != member.Inside {
			return nil
		}
	}
}

// readDatagrams reads until the transport is closed. Where the member does not keep up, datagrams are dropped, as the network may
// do as well.
func (n *Node) readDatagrams(ctx context.Context, packets chan<- packet) {
	b := make([]byte, member.MaxBytes+1)
	for {
		size, from, refused, err := n.Transport.Receive(b)
		if err != nil {
			return
		}
		p := packet{from: from, refused: refused}
		if refused {
			n.refused.Add(1)
		} else {
			n.received.Add(1)
			switch p.message, err = n.Codec.Decode(b[:size]); {
			case errors.Is(err, ErrForeign):
				n.foreign.Add(1)
				continue
			case errors.Is(err, ErrNewer):
				n.newer.Add(1)
				continue
			case err != nil:
				n.malformed.Add(1)
				continue
			}
		}
		select {
		case packets <- p:
		case <-ctx.Done():
			return
		default:
		}
	}
}

// applyOutput sends the member's messages, logs its events and publishes its position.
func (n *Node) applyOutput() {
	messages, events := n.member.Drain()
	for _, e := range messages {
		b, err := n.Codec.Encode(e.Message)
		if err != nil {
			n.Log.Warn("membership: message not sent", "kind", e.Message.Kind, "err", err)
			continue
		}
		n.sent.Add(1)
		n.Transport.Send(e.To, b)
	}
	for _, e := range events {
		if e.View == nil {
			n.Log.Warn("membership: left the view", "reason", e.Reason, "state", n.member.State())
			continue
		}
		n.Log.Info("membership: view", "lineage", e.View.Lineage, "number", e.View.Number, "members", len(e.View.Members), "reason", e.Reason)
	}
	var p FleetPosition
	if v := n.member.View(); v != nil && n.member.HasQuorum() {
		p.Known = true
		p.Rank, p.Members = v.Rank(n.member.Self().ID)
		_, p.InZone = v.RankInZone(n.member.Self().ID, n.member.Self().Zone)
	}
	if p != n.position {
		if n.position.Known != p.Known {
			n.Log.Info("membership: contact with a quorum changed", "with_most", p.Known, "number", p.Rank, "members", p.Members)
		}
		n.position = p
		n.published.Store(&p)
		n.OnPositionChange(p)
	}
}

// Status is the member's state for operators.
type Status struct {
	State       string         `json:"state"`
	InTouch     bool           `json:"in_touch"`
	Name        string         `json:"name"`
	Incarnation uint64         `json:"incarnation"`
	Lineage     uint64         `json:"lineage,omitempty"`
	View        uint64         `json:"view,omitempty"`
	Number      int            `json:"number"` // -1: not in a view
	Members     []MemberStatus `json:"members"`
}

// MemberStatus is the state of one member of the view.
type MemberStatus struct {
	Name        string   `json:"name"`
	Incarnation uint64   `json:"incarnation"`
	Address     string   `json:"address"`
	Zone        int      `json:"zone"`
	State       string   `json:"state"`              // up, suspected, down or gone
	HeardMS     int64    `json:"heard_ms,omitempty"` // time since the last sign of life, where this member watches it
	Watched     bool     `json:"watched"`            // by this member
	SuspectedBy []string `json:"suspected_by,omitempty"`
}

// Status queries the goroutine that owns the member.
func (n *Node) Status(ctx context.Context) (s Status, err error) {
	answered := make(chan struct{})
	query := func() {
		defer close(answered)
		self := n.member.Self().ID
		s = Status{State: n.member.State().String(), InTouch: n.member.HasQuorum(), Name: self.Name, Incarnation: self.Incarnation, Number: -1}
		if v := n.member.View(); v != nil {
			s.Lineage, s.View = v.Lineage, v.Number
			s.Number, _ = v.Rank(self)
		}
		for _, e := range n.member.Members() {
			m := MemberStatus{Name: e.ID.Name, Incarnation: e.ID.Incarnation, Address: e.Address, Zone: e.Zone, State: "up", SuspectedBy: append(e.TimedOutBy, e.RefusedBy...), Watched: e.SinceHeard >= 0}
			if m.Watched {
				m.HeardMS = e.SinceHeard.Milliseconds()
			}
			switch {
			case e.Failed:
				m.State = "gone"
			case e.Down:
				m.State = "down"
			case len(m.SuspectedBy) > 0:
				m.State = "suspected"
			}
			s.Members = append(s.Members, m)
		}
	}
	select {
	case n.queries <- query:
		<-answered
		return s, nil
	case <-n.done:
		return s, errors.New("membership has stopped")
	case <-ctx.Done():
		return s, ctx.Err()
	}
}
