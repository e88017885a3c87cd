package control

import (
	"go.uber.org/zap"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
	"liftgauge/replication"
)

// execute carries out the actions of the elector in order.
func (d *daemon) execute(actions []replication.Action) {
	if d.founding {
		return
	}
	for _, action := range actions {
		switch a := action.(type) {
		case replication.SendElection:
			d.sendElection(a)
		case replication.PersistRegister:
			d.persistRegister(a)
		case replication.PrepareView:
			d.logger.Info("control: preparing to be primary", zap.Uint64("epoch", a.View.Epoch))
			d.preparePeers(a.View)
			d.replica.Prepare(a.View.View, d.prepared)
		case replication.InstallView:
			d.installView(a.View)
		case replication.BecamePrimary:
			d.logger.Info("control: elected primary", zap.Uint64("epoch", a.Epoch))
		case replication.LostPrimary:
			d.logger.Info("control: no longer primary", zap.Uint64("epoch", a.Epoch))
			d.replica.StepDown()
			d.deactivate()
		case replication.JoinedGeneration:
			d.logger.Warn("control: an operator founded the group anew; records of earlier generations on this disk are no longer valid",
				zap.Uint64("generation", a.Generation))
		case replication.ConfirmResult:
			a.Callback(a.Confirmed)
		}
	}
}

// preparePeers dials the members of a view of which this process is to be the primary.
func (d *daemon) preparePeers(view replication.ControlView) {
	for _, p := range view.Peers {
		d.learnPeer(p.Member, p.Address, false)
	}
	d.connectPeers(view)
}

func (d *daemon) sendElection(a replication.SendElection) {
	f := frame{
		kind: frameElection, from: d.self.Member, to: a.To.Member, address: d.self.Address,
		controlPlane: d.settings.BindAddresses.ControlPlane, body: a.Frame.Append(nil),
	}
	d.links.send(a.To.Address, protocol.KindWitness, f.append(nil))
}

func (d *daemon) persistRegister(a replication.PersistRegister) {
	records := []replication.Record{replication.RegisterRecord(a.Register)}
	d.storage.Append(replication.LocalGroup, records, func(err error) {
		d.loop.post(func() { d.execute(d.elector.Persisted(a.Token, err, d.now())) })
	})
}

// prepared is called from within the replica, therefore the elector is notified from the event loop.
func (d *daemon) prepared(epoch uint64) {
	d.loop.post(func() { d.execute(d.elector.Prepared(epoch, d.now())) })
}

func (d *daemon) installView(view replication.ControlView) {
	d.logger.Info("control: view installed", zap.Uint64("epoch", view.Epoch), zap.String("primary", view.Primary),
		zap.Strings("members", view.Members), zap.Strings("learners", view.Learners), zap.Strings("witnesses", view.Witnesses))
	for _, p := range view.Peers {
		d.learnPeer(p.Member, p.Address, false)
	}
	d.replica.SetCopies(view.UsefulCopies(d.settings.Copies()))
	d.replica.Install(view.View)
	if view.Primary != d.self.Member {
		d.deactivate()
	} else if d.primary != nil {
		d.primary.publishView()
	}
	d.retryPendingCalls()
}

// receiveElection processes an election frame of another control process.
func (d *daemon) receiveElection(f frame) {
	if d.elector == nil || d.founding || f.to != "" && f.to != d.self.Member {
		return
	}
	d.peers.controlPlane[f.address] = f.controlPlane
	d.links.reconnect(f.address)
	d.learnPeer(f.from, f.address, true)
	var message replication.ElectionFrame
	if err := message.Decode(f.body); err != nil {
		d.logger.Warn("control: unreadable election message", zap.String("from", f.from), reason(err))
		return
	}
	d.execute(d.elector.Receive(message, d.now()))
}

// sendReplication sends a message of the replica. Requests of a primary use the link that it dialed; replies go back on the connection that
// the request came from, so that both directions fail together.
func (d *daemon) sendReplication(to string, m replication.Message) {
	body := replicationBody(d.self.Member, to, m)
	if !replication.IsReply(m) {
		if address := d.peers.addressOf[to]; address != "" {
			d.links.sendIfUp(address, protocol.KindReplication, body)
		}
		return
	}
	if conn := d.replyTo[to]; conn != nil {
		if err := conn.Notify(protocol.KindReplication, body); err != nil {
			delete(d.replyTo, to)
		}
	}
}

// receiveReplication processes a message of another replica.
func (d *daemon) receiveReplication(conn *rpc.Conn, f protocol.ReplicationFrame) {
	if d.replica == nil || d.founding || f.Group != controlGroup || f.To != d.self.Member {
		return
	}
	m, err := replication.DecodeMessage(f.Body)
	if err != nil {
		d.logger.Warn("control: unreadable replication message", zap.String("from", f.From), reason(err))
		conn.Close()
		return
	}
	if !replication.IsReply(m) {
		d.replyTo[f.From] = conn
	}
	d.replica.Receive(f.From, m)
}

// replicaEvents passes the events of the replica to the daemon. They are raised from within calls of the replica, so anything that calls the replica
// again is posted to the event loop.
type replicaEvents struct{ daemon *daemon }

// Active starts the activation of this process as primary.
func (e replicaEvents) Active(epoch uint64) {
	e.daemon.loop.post(func() { e.daemon.activate(epoch) })
}

// Deposed stops acting as primary at once, and notifies the elector.
func (e replicaEvents) Deposed(epoch uint64) {
	d := e.daemon
	if !d.replica.IsActive() {
		d.deactivate()
	}
	d.loop.post(func() { d.execute(d.elector.Deposed(epoch, d.replica.HighestEpoch(), d.now())) })
}

// Offer notifies the elector of a learner that has caught up.
func (e replicaEvents) Offer(epoch uint64, learner replication.MemberID) {
	d := e.daemon
	d.loop.post(func() { d.execute(d.elector.Offered(epoch, learner, d.now())) })
}

// Applied does nothing: a new primary reads its state from disk when it becomes active.
func (e replicaEvents) Applied([]replication.Record) {}
