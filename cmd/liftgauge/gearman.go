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

// gearmanServer is the Gearman server with the settings that it was started with. It is nil if Gearman is not configured.
type gearmanServer struct {
	*gearman.Server
	settings *serveSettings
}

// openGearman opens the listeners that the settings configure.
func openGearman(ctx context.Context, loaded *serveSettings) (*gearmanServer, []net.Listener, error) {
	if loaded.Gearman == nil {
		return nil, nil, nil
	}
	// During an upgrade the old and the new process listen on the same port: new connections go to either until the old one closes its listener.
	listenConfig := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if cerr := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1) }); cerr != nil {
			return cerr
		}
		return err
	}}
	listenConfig.SetMultipathTCP(false)
	var all []net.Listener
	for _, address := range []string{loaded.Gearman.Listen, loaded.Gearman.Workers} {
		if address == "" {
			continue
		}
		l, err := listenConfig.Listen(ctx, "tcp", address)
		if err != nil {
			for _, l := range all {
				l.Close()
			}
			return nil, nil, fmt.Errorf("gearman: listen: %w", err)
		}
		all = append(all, l)
	}
	return &gearmanServer{settings: loaded}, all, nil
}

const soReusePort = 15 // SO_REUSEPORT, which package syscall does not define on every platform

func (p *gearmanServer) start(c gearman.Config) { p.Server = gearman.New(c) }

// wrap returns a function that converts a client's HTTP call to a payload that Gearman workers understand as well.
func (p *gearmanServer) wrap(classes []string) func(class int, call *http1.Call) any {
	return func(class int, call *http1.Call) any {
		return work.FromHTTP(call, classes[class], p.Table().FunctionOf(class))
	}
}

// newBootID returns an identifier that distinguishes the job handles of this process from those of all others.
func newBootID() string {
	var b [4]byte
	rand.Read(b[:])
	return strconv.FormatInt(time.Now().Unix(), 36) + hex.EncodeToString(b[:])
}

// reload reads the settings file again. A file that is invalid or needs a restart is ignored as a whole.
func (p *gearmanServer) reload(ctx context.Context, o options, c *config.Config, jobEngine *engine.Engine, log *slog.Logger) error {
	next, err := o.load(ctx, c)
	if err != nil {
		return err
	}
	if (next.Gearman != nil) != (p != nil) {
		log.Warn("settings reloaded: changed fields require a restart", "fields", []string{"gearman"})
		return nil
	}
	if p == nil {
		return nil
	}
	fields := p.settings.table.RestartRequired(next.table)
	if p.settings.Gearman.Listen != next.Gearman.Listen || p.settings.Gearman.Workers != next.Gearman.Workers {
		fields = append(fields, "gearman.listen")
	}
	if len(fields) > 0 { // the new table would not match the engine's classes, so none of it is used
		log.Warn("settings not reloaded: changed fields require a restart", "fields", fields)
		return nil
	}
	if reflect.DeepEqual(p.settings.Gearman, next.Gearman) {
		return nil
	}
	p.Reload(next.table, next.Gearman)
	jobEngine.SetHostClasses(next.table.HostClasses)
	log.Info("settings reloaded")
	return nil
}

// metrics returns the metrics of the Gearman server and of the message memory budget.
func (p *gearmanServer) metrics(bytes *budget.Budget) []control.Metric {
	if p == nil { // without Gearman the set of metrics is unchanged
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

// connectionLimits divides the descriptors and the memory for connections among clients, hosts and Gearman.
func (n *node) connectionLimits(sockets int, memory int64) (clientConns, hostConns, gearmanConns int) {
	clientConns, hostConns = connectionLimits(n.c, sockets, memory)
	if n.gearman == nil {
		return clientConns, hostConns, 0
	}
	want := n.gearman.settings.Gearman.Limits.Connections
	if want == 0 {
		gearmanConns = clientConns / 2
		return max(clientConns-gearmanConns, 1), hostConns, gearmanConns
	}
	// The configured number, as long as a few descriptors remain for clients and call-backs. Since operators chose it, it is not limited by
	// the share of memory for connections: a waiting Gearman connection costs about half as much as a client's active one.
	available := sockets - reservedDescriptors(n.c)
	gearmanConns = min(want, max(available-8, 2))
	hostConns = max(min(hostConns, (available-gearmanConns)/2), 1)
	clientConns = min(available-gearmanConns-hostConns, max(budget.SplitMemory(memory).Connections-gearmanConns/2, 16))
	return max(clientConns, 1), hostConns, gearmanConns
}

// shutdownListeners returns the servers that a planned shutdown drains.
func (n *node) shutdownListeners() drainableListeners {
	if n.gearman == nil {
		return n.clients
	}
	return clientAndGearmanListeners{n.clients, n.gearman}
}

// clientAndGearmanListeners drains the client listener and the Gearman server together.
type clientAndGearmanListeners struct {
	clients *clientlistener.Server
	gearman *gearmanServer
}

func (b clientAndGearmanListeners) SetPhase(p clientlistener.Phase) {
	b.clients.SetPhase(p)
	b.gearman.Enter(gearman.Phase(p)) // the phases have the same values in both packages
}
func (b clientAndGearmanListeners) Open() int64 { return b.clients.Open() + b.gearman.Open() }
func (b clientAndGearmanListeners) ReleaseListener() {
	b.clients.ReleaseListener()
	b.gearman.HandOver()
}
func (b clientAndGearmanListeners) HandOverConnections() { b.clients.HandOverConnections() } // Gearman connections stay: a job handle is valid only in this process
func (b clientAndGearmanListeners) CloseIdle() int       { return b.clients.CloseIdle() + b.gearman.Rest() }
