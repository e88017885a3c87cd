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

// tickInterval is how often the loop drives what depends on time.
const tickInterval = 50 * time.Millisecond

// daemon is one control process. Its fields belong to the event loop, apart from those that are safe for any goroutine by themselves.
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
	replyTo map[string]*rpc.Conn // by member: where its requests of replication came from

	primary         *primary // nil while this process is not the active primary
	pendingCalls    []*pendingCall
	orders          orderQueue
	orderLimit      int64 // bytes of an order
	reader          *listReader
	shuttingDown    bool          // a planned end has begun
	witnessDeadline time.Duration // a planned end waits no longer to be left out of the witnesses
	startedAt       time.Duration // when the process began
	stopped         chan struct{} // closed when the loop ends
	founding        bool          // the state of a new generation is being written: this process takes no part in the present one any more
	foundedAnew     chan struct{} // closed when that is on disk
}

// reason is the log field of an error, without the stack that zap.Error would add.
func reason(err error) zap.Field { return zap.String("error", err.Error()) }

func (d *daemon) now() time.Duration { return d.agent.Steady() }

// tick drives everything that depends on time.
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

// afterEvent runs after each event: it begins what the event made necessary.
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

// linkChanged tells the replica that the link to an address came up or broke.
func (d *daemon) linkChanged(address string, up bool) {
	if d.replica == nil {
		return
	}
	if member := d.peers.memberAt(address); member != "" {
		d.replica.SetLinked(member, up)
	}
}

// learnPeer takes what is known of another control process.
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

// primaryAddress returns the internal address and the ControlPlane address of control's primary, as far as they are known.
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

// controlPlaneOf returns where a control process serves the operator. Before it has been heard of, the own port is taken, which is the same
// on all machines.
func (d *daemon) controlPlaneOf(member, address string) string {
	if known := d.peers.controlPlane[address]; known != "" {
		return known
	}
	if known, ok := d.agent.View().Control.AddressOf(member); ok && known.ControlPlane != "" {
		return known.ControlPlane
	}
	return withPortOf(address, d.settings.BindAddresses.ControlPlane)
}

// controlView is the body of the item that tells everybody of control's view.
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
