package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"strconv"
	"syscall"
	"time"

	"liftgauge/internal/budget"
	"liftgauge/internal/config"
	"liftgauge/internal/gearman"
	"liftgauge/internal/http1"
	"liftgauge/internal/serve/clientlistener"
	"liftgauge/internal/serve/control"
	"liftgauge/internal/serve/engine"
	"liftgauge/internal/work"
)

// pulls is the Gearman side as the program starts, reloads and ends it. It is nil where settings leave it off.
type pulls struct {
	*gearman.Server
	own *own
}

// openGearman opens the listeners that the settings ask for.
func openGearman(ctx context.Context, own *own) (*pulls, []net.Listener, error) {
	if own.Gearman == nil {
		return nil, nil, nil
	}
	// Old and new process of an upgrade listen side by side: new connections go to either until the old one closes.
	open := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if cerr := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1) }); cerr != nil {
			return cerr
		}
		return err
	}}
	open.SetMultipathTCP(false)
	var all []net.Listener
	for _, address := range []string{own.Gearman.Listen, own.Gearman.Workers} {
		if address == "" {
			continue
		}
		l, err := open.Listen(ctx, "tcp", address)
		if err != nil {
			for _, l := range all {
				l.Close()
			}
			return nil, nil, fmt.Errorf("gearman: listen: %w", err)
		}
		all = append(all, l)
	}
	return &pulls{own: own}, all, nil
}

const soReusePort = 15 // SO_REUSEPORT, which package syscall does not name on every machine

func (p *pulls) start(c gearman.Config) { p.Server = gearman.New(c) }

// wrap makes of a client's call what workers understand as well.
func (p *pulls) wrap(classes []string) func(class int, call *http1.Call) any {
	return func(class int, call *http1.Call) any {
		return work.FromHTTP(call, classes[class], p.Table().FunctionOf(class))
	}
}

// boot tells this process's handles from those of all others.
func boot() string {
	var b [4]byte
	rand.Read(b[:])
	return strconv.FormatInt(time.Now().Unix(), 36) + hex.EncodeToString(b[:])
}

// reload reads the settings file anew. Nothing of a file that cannot be used counts.
func (p *pulls) reload(ctx context.Context, o options, c *config.Config, owner *engine.Engine, log *slog.Logger) error {
	next, err := o.load(ctx, c)
	if err != nil {
		return err
	}
	if (next.Gearman != nil) != (p != nil) {
		log.Warn("settings reloaded: these take a restart", "fields", []string{"gearman"})
		return nil
	}
	if p == nil {
		return nil
	}
	fields := p.own.table.RestartRequired(next.table)
	if p.own.Gearman.Listen != next.Gearman.Listen || p.own.Gearman.Workers != next.Gearman.Workers {
		fields = append(fields, "gearman.listen")
	}
	if len(fields) > 0 { // the table would not fit the module's classes: none of the new one counts
		log.Warn("settings not reloaded: these take a restart", "fields", fields)
		return nil
	}
	if reflect.DeepEqual(p.own.Gearman, next.Gearman) {
		return nil
	}
	p.Reload(next.table, next.Gearman)
	owner.SetHostClasses(next.table.HostClasses)
	log.Info("settings reloaded")
	return nil
}

// figures are the Gearman side's, and how the bytes held stand.
func (p *pulls) figures(bytes *budget.Budget) []control.Metric {
	if p == nil { // the platform's figures stay what they are
		return nil
	}
	all := []control.Metric{{Name: "held_bytes", Value: bytes.Held()}, {Name: "held_bytes_peak", Value: bytes.Peak()}, {Name: "held_turned_total", Value: bytes.Rejected()}}
	c := p.Counts()
	for _, f := range []control.Metric{
		{Name: "submitted_total", Value: c.Submitted}, {Name: "attached_total", Value: c.Attached}, {Name: "served_total", Value: c.Served},
		{Name: "failed_total", Value: c.Failed}, {Name: "refused_total", Value: c.BackOffs}, {Name: "abandoned_total", Value: c.Abandoned},
		{Name: "turned_total", Value: c.Rejected}, {Name: "assigned_total", Value: c.Assigned}, {Name: "no_jobs_total", Value: c.NoJobs},
		{Name: "late_words_total", Value: c.LateReports}, {Name: "silent_total", Value: c.UnclaimedPicks}, {Name: "overdue_total", Value: c.Overdue},
		{Name: "slow_readers_total", Value: c.SlowReaders}, {Name: "malformed_total", Value: c.Malformed}, {Name: "background_cut_total", Value: c.BackgroundCut},
		{Name: "connections", Value: c.Connections}, {Name: "workers", Value: c.Workers}, {Name: "waiting", Value: c.Waiting}, {Name: "running", Value: c.Running},
	} {
		all = append(all, control.Metric{Name: "gearman_" + f.Name, Value: f.Value})
	}
	return all
}

// room shares out so many descriptors and the memory for connections between the clients' side, the hosts' and Gearman's.
func (n *node) room(sockets int, memory int64) (northConns, southConns, pullConns int) {
	northConns, southConns = room(n.c, sockets, memory)
	if n.pulls == nil {
		return northConns, southConns, 0
	}
	want := n.pulls.own.Gearman.Limits.Connections
	if want == 0 {
		pullConns = northConns / 2
		return max(northConns-pullConns, 1), southConns, pullConns
	}
	// What was asked for, as far as a few are left for clients and for call-backs. It is the operators' word, so the share of
	// memory that is for connections does not bound it: one that waits costs about half of a client's under way.
	all := sockets - ownRoom(n.c)
	pullConns = min(want, max(all-8, 2))
	southConns = max(min(southConns, (all-pullConns)/2), 1)
	northConns = min(all-pullConns-southConns, max(budget.SplitMemory(memory).Connections-pullConns/2, 16))
	return max(northConns, 1), southConns, pullConns
}

// sides are all that clients and workers connect to, as a planned end meets them.
func (n *node) sides() leaver {
	if n.pulls == nil {
		return n.clients
	}
	return both{n.clients, n.pulls}
}

// both ends two sides together.
type both struct {
	clients *clientlistener.Server
	pulls   *pulls
}

func (b both) SetPhase(p clientlistener.Phase) {
	b.clients.SetPhase(p)
	b.pulls.Enter(gearman.Phase(p)) // they go alike
}
func (b both) Open() int64 { return b.clients.Open() + b.pulls.Open() }
func (b both) ReleaseListener() {
	b.clients.ReleaseListener()
	b.pulls.HandOver()
}
func (b both) HandOverConnections() { b.clients.HandOverConnections() } // a Gearman client knows its job by a handle of this process
func (b both) CloseIdle() int       { return b.clients.CloseIdle() + b.pulls.Rest() }
