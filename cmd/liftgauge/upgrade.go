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

// node is this process as the other process of an upgrade, and the operators, meet it.
type node struct {
	c       *config.Config
	store   *handover.Store
	peer    *handover.Peer // nil where there is no folder to meet in
	owner   *engine.Engine
	clients *clientlistener.Server
	hosts   *backend.Client
	list    *inventory.Client
	bytes   *budget.Budget
	pulls   *pulls // nil where Gearman is off
	log     *slog.Logger
	follows bool             // its list is that of a process before it
	learned *balance.Learned // what that one had learnt, or nil
	started atomic.Bool      // it takes clients, and the process before knows

	calls sync.Mutex // operators' calls that change something go one after another
}

// meet opens what outlives a process and looks for one that is to be followed. What that one knows goes before the
// configuration, which may be older.
func meet(ctx context.Context, c *config.Config, known inventory.List, log *slog.Logger) (*node, inventory.List) {
	n := &node{c: c, log: log}
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		n.store = handover.Open("", log)
		return n, known
	}
	var told *handover.Snapshot
	var err error
	if n.peer, err = handover.NewPeer(dir, c.Name, askers(c), log); err != nil { // it can serve all the same
		log.Error("no upgrade without an interruption", "err", err)
	} else {
		n.peer.Handler = n
		if told, err = n.peer.Join(ctx); err != nil {
			log.Error("no process found to follow", "err", err)
		}
	}
	n.store = handover.Open(filepath.Join(dir, handover.FileName(c.Name, "state")), log)
	if told == nil {
		return n, known
	}
	n.store.Replace(told.State)
	if told.Discovery != "" {
		c.Discovery = told.Discovery
	}
	decoder := inventory.Decoder{Zones: c.Zones, Kinds: c.Kinds}
	if list, err := decoder.Decode(told.List); err != nil {
		log.Error("list of the process before not taken", "err", err)
	} else {
		known, n.follows = list, true
	}
	var learned balance.Learned
	if err := cbor.Unmarshal(told.Learned, &learned); err != nil {
		log.Warn("what the process before had learnt is not taken", "err", err)
	} else {
		n.learned = &learned
	}
	log.Info("following", "discovery", c.Discovery, "hosts", len(known.Hosts), "revision", known.Revision, "offline", len(told.Offline))
	return n, known
}

// Snapshot tells a successor what this process knows.
func (n *node) Snapshot(ctx context.Context) (handover.Snapshot, error) {
	if !n.started.Load() || n.clients.ShuttingDown() { // a third process is to follow the one that stays
		return handover.Snapshot{}, errors.New("not serving, or no longer")
	}
	// The version first: the hosts may then be newer than it says, and changes told twice do no harm.
	address, revision := n.list.Position()
	hosts, err := n.owner.Hosts(ctx)
	if err != nil {
		return handover.Snapshot{}, err
	}
	learned, err := n.owner.Learned(ctx)
	if err != nil {
		return handover.Snapshot{}, err
	}
	lessons, err := cbor.Marshal(learned)
	if err != nil {
		n.log.Warn("what was learnt is not handed on", "err", err)
	}
	decoder := inventory.Decoder{Zones: n.c.Zones, Kinds: n.c.Kinds}
	return handover.Snapshot{Ready: true, Learned: lessons, Discovery: address, State: n.store.State(),
		List: decoder.Encode(inventory.List{Revision: revision, Complete: true, Hosts: hosts})}, nil
}

// Callback deals with a host's call that came to the other process.
func (n *node) Callback(body []byte) (status int, known bool) { return n.clients.Callback(body) }

// Adopt takes over a message of the other process.
func (n *node) Adopt(record []byte, client net.Conn) bool { return n.clients.Adopt(record, client) }

// Offline carries out an operators' call that came to the other process.
func (n *node) SetOffline(ctx context.Context, id string, out, sure bool) (bool, error) {
	known, err := n.owner.SetOffline(ctx, id, out, sure)
	if known && err == nil { // the yes promises that it outlives this process
		err = n.store.SetOffline(id, out)
	}
	return known, err
}

// call carries out an operators' call here and in the other process, if there is one.
func (n *node) call(ctx context.Context, id string, out bool) (known bool, err error) {
	n.calls.Lock()
	defer n.calls.Unlock()
	if known, err = n.SetOffline(ctx, id, out, false); err != nil || n.peer == nil {
		return known, err
	}
	there, err := n.peer.SetOffline(id, out, known)
	switch {
	case errors.Is(err, engine.ErrNoPeer):
		return known, nil
	case err != nil:
		return known, fmt.Errorf("the other process: %w", err)
	case there && !known: // it has heard more of the inventory
		return n.SetOffline(ctx, id, out, true)
	}
	return known, nil
}

// Share begins or ends the time in which another process has half of what this one may use.
func (n *node) SetSharing(on bool) {
	memory, sockets := n.c.Memory, n.c.Sockets
	if on {
		memory, sockets = memory/2, sockets/2
	}
	shares := budget.SplitMemory(memory)
	debug.SetMemoryLimit(shares.Runtime)
	n.bytes.SetLimit(shares.Messages)
	northConns, southConns, _ := n.room(sockets, memory)
	n.clients.SetLimit(northConns)
	n.hosts.SetLimit(southConns)
	if !on { // the other may have written last, without what only this one knows
		n.store.AddListed(nil)
	}
}

// start tells the process before, if there is one, that this one takes clients.
func (n *node) start() {
	if n.peer != nil {
		if err := n.peer.Announce(); err != nil && !errors.Is(err, engine.ErrNoPeer) {
			n.log.Warn("the process before was not told", "err", err)
		}
	}
	n.started.Store(true)
}

// ready says whether this process takes clients.
func (n *node) ready() bool { return n.started.Load() && n.clients.Ready() }

// succeeded says whether another process has taken over.
func (n *node) succeeded() bool { return n.peer != nil && n.peer.SuccessorReady() }
