package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"liftgauge/balance"
	"liftgauge/internal/budget"
	"liftgauge/internal/config"
	"liftgauge/internal/serve/backend"
	"liftgauge/internal/serve/clientlistener"
	"liftgauge/internal/serve/engine"
	"liftgauge/internal/serve/handover"
	"liftgauge/internal/serve/inventory"
)

// node handles the requests of the other process of an upgrade, and of operators, to this process.
type node struct {
	c              *config.Config
	store          *handover.Store
	peer           *handover.Peer // nil without a directory for the processes' sockets
	engine         *engine.Engine
	clients        *clientlistener.Server
	hosts          *backend.Client
	list           *inventory.Client
	bytes          *budget.Budget
	gearman        *gearmanServer // nil if Gearman is off
	log            *slog.Logger
	hostsInherited bool             // the host list came from the predecessor
	learned        *balance.Learned // estimates learned by the predecessor, or nil
	started        atomic.Bool      // accepts clients, and the predecessor has been notified

	operatorMutex sync.Mutex // serializes operators' requests that change state
}

// joinPredecessor opens the persistent state and connects to a predecessor, if there is one. The predecessor's state takes precedence over
// the configuration, which may be older.
func joinPredecessor(ctx context.Context, c *config.Config, known inventory.List, log *slog.Logger) (*node, inventory.List) {
	n := &node{c: c, log: log}
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		n.store = handover.Open("", log)
		return n, known
	}
	var snapshot *handover.Snapshot
	var err error
	if n.peer, err = handover.NewPeer(dir, c.Name, maxPeerRequests(c), log); err != nil { // this process can still serve
		log.Error("handover unavailable: an upgrade will interrupt service", "err", err)
	} else {
		n.peer.Handler = n
		if snapshot, err = n.peer.Join(ctx); err != nil {
			log.Error("search for a predecessor failed", "err", err)
		}
	}
	n.store = handover.Open(filepath.Join(dir, handover.FileName(c.Name, "state")), log)
	if snapshot == nil {
		return n, known
	}
	n.store.Replace(snapshot.State)
	if snapshot.Discovery != "" {
		c.Discovery = snapshot.Discovery
	}
	decoder := inventory.Decoder{Zones: c.Zones, Kinds: c.Kinds}
	if list, err := decoder.Decode(snapshot.List); err != nil {
		log.Error("host list of the predecessor not taken over", "err", err)
	} else {
		known, n.hostsInherited = list, true
	}
	var learned balance.Learned
	if err := cbor.Unmarshal(snapshot.Learned, &learned); err != nil {
		log.Warn("learned estimates of the predecessor not taken over", "err", err)
	} else {
		n.learned = &learned
	}
	log.Info("following", "discovery", c.Discovery, "hosts", len(known.Hosts), "revision", known.Revision, "offline", len(snapshot.Offline))
	return n, known
}

// Snapshot returns the state of this process for its successor.
func (n *node) Snapshot(ctx context.Context) (handover.Snapshot, error) {
	if !n.started.Load() || n.clients.ShuttingDown() { // a third process must join the successor instead
		return handover.Snapshot{}, errors.New("not serving, or no longer")
	}
	// The revision is read first: the hosts may then be newer than it, and receiving a change twice does no harm.
	address, revision := n.list.Position()
	hosts, err := n.engine.Hosts(ctx)
	if err != nil {
		return handover.Snapshot{}, err
	}
	learned, err := n.engine.Learned(ctx)
	if err != nil {
		return handover.Snapshot{}, err
	}
	encodedLearned, err := cbor.Marshal(learned)
	if err != nil {
		n.log.Warn("learned estimates not passed to the successor", "err", err)
	}
	decoder := inventory.Decoder{Zones: n.c.Zones, Kinds: n.c.Kinds}
	return handover.Snapshot{Ready: true, Learned: encodedLearned, Discovery: address, State: n.store.State(),
		List: decoder.Encode(inventory.List{Revision: revision, Complete: true, Hosts: hosts})}, nil
}

// Callback handles a host's call-back that the other process received.
func (n *node) Callback(body []byte) (status int, known bool) { return n.clients.Callback(body) }

// Adopt takes over a message of the other process, with the connection of its client.
func (n *node) Adopt(record []byte, client net.Conn) bool { return n.clients.Adopt(record, client) }

// SetOffline takes a host out of service or back, as an operator requested here or at the other process.
func (n *node) SetOffline(ctx context.Context, id string, offline, listed bool) (bool, error) {
	known, err := n.engine.SetOffline(ctx, id, offline, listed)
	if known && err == nil { // success guarantees that the change outlives this process
		err = n.store.SetOffline(id, offline)
	}
	return known, err
}

// setOfflineOnBoth carries out an operator's request here and in the other process, if there is one.
func (n *node) setOfflineOnBoth(ctx context.Context, id string, offline bool) (known bool, err error) {
	n.operatorMutex.Lock()
	defer n.operatorMutex.Unlock()
	if known, err = n.SetOffline(ctx, id, offline, false); err != nil || n.peer == nil {
		return known, err
	}
	knownToPeer, err := n.peer.SetOffline(id, offline, known)
	switch {
	case errors.Is(err, engine.ErrNoPeer):
		return known, nil
	case err != nil:
		return known, fmt.Errorf("the other process: %w", err)
	case knownToPeer && !known: // its host list is newer
		return n.SetOffline(ctx, id, offline, true)
	}
	return known, nil
}

// SetSharing begins or ends sharing: while another process runs, each may use half of the memory and sockets.
func (n *node) SetSharing(sharing bool) {
	memory, sockets := n.c.Memory, n.c.Sockets
	if sharing {
		memory, sockets = memory/2, sockets/2
	}
	shares := budget.SplitMemory(memory)
	debug.SetMemoryLimit(shares.Runtime)
	n.bytes.SetLimit(shares.Messages)
	clientConns, hostConns, _ := n.connectionLimits(sockets, memory)
	n.clients.SetLimit(clientConns)
	n.hosts.SetLimit(hostConns)
	if !sharing { // the other process may have written the state last, without what only this one has received
		n.store.AddListed(nil)
	}
}

// announce notifies the predecessor, if there is one, that this process accepts clients.
func (n *node) announce() {
	if n.peer != nil {
		if err := n.peer.Announce(); err != nil && !errors.Is(err, engine.ErrNoPeer) {
			n.log.Warn("predecessor not notified", "err", err)
		}
	}
	n.started.Store(true)
}

// ready reports whether this process accepts clients.
func (n *node) ready() bool { return n.started.Load() && n.clients.Ready() }

// successorReady reports whether a successor has taken over.
func (n *node) successorReady() bool { return n.peer != nil && n.peer.SuccessorReady() }
