package control

import (
	"time"

	"go.uber.org/zap"

	"liftgauge/internal/agent"
	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/internal/roles"
	"liftgauge/internal/rpc"
	"liftgauge/replication"
)

// tickInterval is the interval of the event loop's time-driven work.
const tickInterval = 50 * time.Millisecond

// daemon is one control process. Its fields belong to the event loop, except those that are safe for concurrent use.
type daemon struct {
	settings    *nodeconfig.Settings
	logger      *zap.Logger
	environment roles.Environment
	loop        *eventLoop
	agent       *agent.Agent
	links       *links
	storage     replication.Storage
	self        replication.Peer

	elector *replication.Elector // nil without a disk, as the replica
	replica *replication.Replica
	peers   peerDirectory
	replyTo map[string]*rpc.Conn // by member: the connection that its replication requests came from

	primary         *primary // nil while this process is not the active primary
	pendingCalls    []*pendingCall
	orders          orderQueue
	orderLimit      int64 // maximum size of an order in bytes
	reader          *listReader
	shuttingDown    bool          // a planned shutdown has begun
	witnessDeadline time.Duration // until when a planned shutdown waits to be removed from the witnesses
	startedAt       time.Duration // when the process started
	stopped         chan struct{} // closed when the loop ends
	founding        bool          // the state of a new generation is being written; this process no longer takes part in the current one
	foundedAnew     chan struct{} // closed when that state is on disk
}

// reason returns the log field of an error, without the stack that zap.Error would add.
func reason(err error) zap.Field { return zap.String("error", err.Error()) }

func (d *daemon) now() time.Duration { return d.agent.Steady() }

// tick runs all time-driven work.
func (d *daemon) tick() {
	now := d.now()
	if d.elector != nil && !d.founding {
		d.execute(d.elector.Tick(now))
		d.replica.Tick(now)
		d.connectPeers(d.elector.View())
	}
	if d.primary != nil {
		d.primary.tick(now)
	}
	d.expirePendingCalls(now)
	d.expireOrders(now)
}

// afterEvent runs after each event and starts the work that the event made necessary.
func (d *daemon) afterEvent() {
	if d.primary != nil {
		d.primary.afterEvent(d.now())
	}
}

// connectPeers dials the other processes of a view.
func (d *daemon) connectPeers(view replication.ControlView) {
	for _, p := range view.Peers {
		if p.Address != d.self.Address && p.Address != "" {
			d.links.connect(p.Address)
		}
	}
}

// linkChanged notifies the replica that the link to an address was established or lost.
func (d *daemon) linkChanged(address string, up bool) {
	if d.replica == nil {
		return
	}
	if member := d.peers.memberAt(address); member != "" {
		d.replica.SetLinked(member, up)
	}
}

// learnPeer records the address of another control process.
func (d *daemon) learnPeer(member, address string, direct bool) {
	if d.replica == nil || member == d.self.Member {
		return
	}
	before, changed := d.peers.learn(member, address, direct)
	if !changed {
		return
	}
	if before != "" {
		d.replica.SetLinked(before, false)
	}
	if d.links.isUp(address) {
		d.replica.SetLinked(member, true)
	}
}

// primaryAddress returns the internal address and the ControlPlane address of control's primary, or empty strings where unknown.
func (d *daemon) primaryAddress() (address, controlPlane string) {
	if d.elector != nil {
		if view := d.elector.View(); view.Primary != "" {
			if view.Primary == d.self.Member {
				return d.self.Address, d.settings.BindAddresses.ControlPlane
			}
			address = view.Address(view.Primary)
			return address, d.controlPlaneOf(view.Primary, address)
		}
	}
	view := d.agent.View()
	if known, ok := view.Control.AddressOf(view.Control.Primary); ok {
		return known.Address, known.ControlPlane
	}
	return "", ""
}

// controlPlaneOf returns the address at which a control process serves the operator. Until the process has reported it, the port of this
// process is assumed, which is the same on all machines.
func (d *daemon) controlPlaneOf(member, address string) string {
	if known := d.peers.controlPlane[address]; known != "" {
		return known
	}
	if known, ok := d.agent.View().Control.AddressOf(member); ok && known.ControlPlane != "" {
		return known.ControlPlane
	}
	return withPortOf(address, d.settings.BindAddresses.ControlPlane)
}

// controlView returns the body of the item that publishes the view of control's group to all processes.
func (d *daemon) controlView() []byte {
	view := d.elector.View()
	item := protocol.ControlView{
		Epoch: view.Epoch, Primary: view.Primary, Members: view.Members, Learners: view.Learners, Witnesses: view.Witnesses,
	}
	for _, p := range view.Peers {
		known := protocol.MemberAddress{Member: p.Member, Address: p.Address}
		if p.Member == d.self.Member {
			known.ControlPlane = d.settings.BindAddresses.ControlPlane
		} else {
			known.ControlPlane = d.controlPlaneOf(p.Member, p.Address)
		}
		item.Addresses = append(item.Addresses, known)
	}
	return item.Append(nil)
}
