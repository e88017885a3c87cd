package control

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/configuration"
	"liftgauge/internal/protocol"
	"liftgauge/internal/recovery"
	"liftgauge/internal/snapshot"
	"liftgauge/reconcile"
	"liftgauge/replication"
)

// ErrFoundedAnew is returned by a process that has written the state with which control is founded anew; it uses that state at its next start.
var ErrFoundedAnew = errors.New("control is founded anew on this disk: start the process again")

const (
	maxFoundBytes = 64 << 20
	maxJoinBytes  = 64 << 10
	// storeDialTimeout is how long a store may take to accept a connection before it counts as unresponsive.
	storeDialTimeout = 300 * time.Millisecond
	// foundingBatch is the approximate size in bytes of one append.
	foundingBatch = 1 << 20
	persistPoll   = 10 * time.Millisecond
	snapshotType  = "application/octet-stream"
)

// allRecords is the range of every key.
var allRecords = reconcile.Range{}

// routeRecovery adds the routes that liftgauge snapshot and liftgauge recover call.
func (a operatorAPI) routeRecovery(mux *http.ServeMux) {
	mux.HandleFunc("GET /snapshot", a.snapshot)
	mux.HandleFunc("GET /recovery/account", a.recoveryAccount)
	mux.HandleFunc("GET /recovery/records", a.recoveryRecords)
	mux.HandleFunc("POST /recovery/join", a.joinGeneration)
	mux.HandleFunc("POST /recovery/found", a.foundAnew)
}

// snapshot responds with a copy of control's state, which contains everything acknowledged before the call and only durable state.
func (a operatorAPI) snapshot(w http.ResponseWriter, r *http.Request) {
	a.respond(w, r, func(reply func(response)) {
		a.daemon.withPrimary(func(p *primary) {
			p.replyDurably(func() response {
				return response{status: http.StatusOK, contentType: snapshotType, body: a.daemon.snapshotOf(p.model.records(), true)}
			}, reply)
		}, reply)
	})
}

// recoveryRecords responds with the records on the local disk, without confirmation by a majority.
func (a operatorAPI) recoveryRecords(w http.ResponseWriter, r *http.Request) {
	a.respond(w, r, func(reply func(response)) {
		d := a.daemon
		if d.elector == nil {
			reply(errorResponse(http.StatusNotFound, "this process has no disk: ask another"))
			return
		}
		m, err := loadModel(d.storage)
		if err != nil {
			reply(errorResponse(http.StatusConflict, err.Error()))
			return
		}
		reply(response{status: http.StatusOK, contentType: snapshotType, body: d.snapshotOf(m.records(), false)})
	})
}

func (d *daemon) snapshotOf(records []replication.Record, confirmed bool) []byte {
	view := d.elector.View()
	s := snapshot.Snapshot{
		Node: d.agent.Node().Key, TakenAt: d.presentTime(), Epoch: max(view.Epoch, d.replica.JoinedEpoch()), Generation: d.elector.Generation(),
		Confirmed: confirmed, Records: records,
	}
	return s.Encode()
}

// recoveryAccount responds with the state of this process and the stores that it cannot connect to.
func (a operatorAPI) recoveryAccount(w http.ResponseWriter, r *http.Request) {
	var account recovery.Account
	var addresses map[string]string // of stores, by member
	resp, ok := a.await(r, func(reply func(response)) {
		account, addresses = a.daemon.account()
		reply(response{status: http.StatusOK})
	})
	if !ok {
		return
	}
	if resp.status == http.StatusOK {
		account.Silent = a.daemon.unresponsiveStores(r.Context(), account.Stores, addresses)
		resp.body, _ = json.Marshal(account) // all its values can be encoded
	}
	write(w, r, resp)
}

// account returns the state of this process for a recovery, and the addresses of the stores that partitions name.
func (d *daemon) account() (recovery.Account, map[string]string) {
	view, node := d.agent.View(), d.agent.Node()
	a := recovery.Account{
		Node: node.Key, Name: node.Name, Member: d.self.Member, Address: d.self.Address, ControlPlane: d.settings.BindAddresses.ControlPlane,
		Seed: slices.Contains(d.settings.SeedNodes, d.settings.BindAddresses.ControlPlane), Active: d.primary != nil,
		Heard:         recovery.Heard{Epoch: view.Control.Epoch, Members: view.Control.Members, Witnesses: view.Control.Witnesses},
		Configuration: recovery.Known{Version: view.ConfigurationVersion, Count: revisionOf(view.Configuration)},
		Partitions:    recovery.Known{Version: view.PartitionsVersion, Count: uint64(len(view.Partitions.Partitions))},
	}
	if d.elector != nil {
		a.HighestEpoch, a.Installed = max(d.elector.HighestEpoch(), d.replica.HighestEpoch()), d.elector.Installed()
		a.Records = d.recordsOnDisk()
	}
	for _, other := range view.Live(protocol.RoleControl) {
		if other.ControlPlane != "" && other.Key != node.Key {
			a.Others = append(a.Others, other.ControlPlane)
		}
	}
	addresses := make(map[string]string)
	for i := range view.Partitions.Partitions {
		p := &view.Partitions.Partitions[i]
		for _, member := range slices.Concat(p.Members, p.Learners, p.Holders) {
			if _, listed := addresses[member]; !listed {
				store, _ := view.NodeByMember(member)
				addresses[member] = store.Address
				a.Stores = append(a.Stores, member)
			}
		}
	}
	slices.Sort(a.Stores)
	return a, addresses
}

// recordsOnDisk returns a summary of the records of the group, or nil if there are none.
func (d *daemon) recordsOnDisk() *recovery.Records {
	m, err := loadModel(d.storage)
	if err != nil || d.replica.JoinedEpoch() == 0 {
		return nil
	}
	return &recovery.Records{Joined: d.replica.JoinedEpoch(), Revision: revisionOf(m.configuration), Orders: len(m.acceptedOrders)}
}

// revisionOf returns the revision of a configuration, 0 without one.
func revisionOf(raw []byte) uint64 {
	if len(raw) == 0 {
		return 0
	}
	parsed, err := configuration.Parse(raw)
	if err != nil {
		return 0
	}
	return parsed.Revision
}

// unresponsiveStores returns the stores that do not accept a connection.
func (d *daemon) unresponsiveStores(ctx context.Context, members []string, addresses map[string]string) []string {
	ctx, cancel := context.WithTimeout(ctx, storeDialTimeout)
	defer cancel()
	dial := (&net.Dialer{}).DialContext
	if n := d.environment.Network; n != nil {
		dial = n.DialContext
	}
	unresponsive := make([]bool, len(members))
	var dials sync.WaitGroup
	for i, member := range members {
		dials.Go(func() {
			conn, err := dial(ctx, "tcp", addresses[member])
			if unresponsive[i] = addresses[member] == "" || err != nil; err == nil {
				_ = conn.Close()
			}
		})
	}
	dials.Wait()
	var names []string
	for i, member := range members {
		if unresponsive[i] {
			names = append(names, member)
		}
	}
	return names
}

// joinGeneration makes this process join a generation, and responds once that is on disk.
func (a operatorAPI) joinGeneration(w http.ResponseWriter, r *http.Request) {
	var request recovery.JoinRequest
	if !readJSON(w, r, maxJoinBytes, &request) {
		return
	}
	a.respond(w, r, func(reply func(response)) {
		d := a.daemon
		if d.elector == nil {
			reply(errorResponse(http.StatusConflict, "this process has no disk, and no vote"))
			return
		}
		joined, actions := d.elector.JoinGeneration(request.View, d.now())
		d.execute(actions)
		if !joined {
			reply(errorResponse(http.StatusConflict, "this process belongs to another generation: ask all processes again"))
			return
		}
		d.awaitPersisted(d.now()+orderTimeout, reply)
	})
}

// awaitPersisted responds once the register is on disk.
func (d *daemon) awaitPersisted(deadline time.Duration, reply func(response)) {
	switch {
	case d.elector.IsPersisted():
		reply(response{status: http.StatusOK})
	case d.now() >= deadline:
		reply(unavailable("the disk has not taken it yet: send the same call again"))
	default:
		d.loop.after(persistPoll, func() { d.awaitPersisted(deadline, reply) })
	}
}

// foundAnew writes the state with which control is founded anew, responds, and ends the process.
func (a operatorAPI) foundAnew(w http.ResponseWriter, r *http.Request) {
	var request recovery.FoundRequest
	if !readJSON(w, r, maxFoundBytes, &request) {
		return
	}
	var records []replication.Record
	if len(request.Snapshot) > 0 {
		s, err := snapshot.Decode(request.Snapshot)
		if err != nil {
			write(w, r, errorResponse(http.StatusBadRequest, err.Error()))
			return
		}
		records = s.Records
	}
	a.respond(w, r, func(reply func(response)) { a.daemon.foundGeneration(&request, records, reply) })
}

// foundGeneration checks a request and writes the requested state. From then on this process no longer takes part in the current group.
func (d *daemon) foundGeneration(request *recovery.FoundRequest, records []replication.Record, reply func(response)) {
	view := request.View
	switch {
	case d.elector == nil:
		reply(errorResponse(http.StatusConflict, "this process has no disk: found control on another"))
		return
	case d.founding || !d.elector.MayFound(view):
		reply(errorResponse(http.StatusConflict, "this process has another disk, or has gone on since it was asked: ask all processes again"))
		return
	}
	m, err := recoverModel(records, request.Survivor, d.agent.View(), view.Epoch)
	if err != nil {
		reply(errorResponse(http.StatusBadRequest, err.Error()))
		return
	}
	d.founding = true
	d.deactivate()
	d.replica.Close()
	d.logger.Warn("control: founding the group anew", zap.Uint64("epoch", view.Epoch), zap.Uint64("generation", view.Generation),
		zap.Int("partitions", len(m.partitions)), zap.Int("orders", len(m.acceptedOrders)))
	d.appendAll(foundingRecords(m, d.storage, view.Epoch), func(err error) {
		if err != nil {
			reply(unavailable("the disk has not taken the state: " + err.Error() + "; start the process again, then send the same call"))
			return
		}
		d.storage.Append(replication.LocalGroup, replication.FoundingRecords(controlGroup, view), func(err error) {
			if err != nil {
				reply(unavailable("the disk has not taken the view: " + err.Error() + "; start the process again, then send the same call"))
				return
			}
			reply(response{status: http.StatusOK})
			close(d.foundedAnew)
		})
	})
}

// appendAll appends records of the group in batches, one after the other, and calls done on the loop.
func (d *daemon) appendAll(records []replication.Record, done func(error)) {
	size, count := 0, 0
	for count < len(records) && (count == 0 || size < foundingBatch) {
		size += len(records[count].Key) + len(records[count].Value)
		count++
	}
	if count == 0 {
		done(nil)
		return
	}
	d.storage.Append(controlGroup, records[:count], func(err error) {
		d.loop.post(func() {
			if err != nil {
				done(err)
				return
			}
			d.appendAll(records[count:], done)
		})
	})
}

// readJSON decodes a JSON body into a value, or responds with 400.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, into any) bool {
	body, ok := readBody(w, r, limit)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, into); err != nil {
		write(w, r, errorResponse(http.StatusBadRequest, "the body is no request of liftgauge recover: "+err.Error()))
		return false
	}
	return true
}
