package agent

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

// callTimeout bounds heartbeats and leave calls, including the time to open a connection.
const callTimeout = 400 * time.Millisecond

// heartbeat holds the addresses at which the loop can find control.
type heartbeat struct {
	seeds    []string // internal control addresses
	contacts []string // addresses to send digests to before any node is known
}

// reload applies settings; it runs on the loop.
func (a *Agent) reload(s *nodeconfig.Settings) {
	a.heartbeat.seeds = s.SeedAddresses()
	a.heartbeat.contacts = nil
	first := s.InternalPortRange[0]
	for _, address := range append([]string{net.JoinHostPort(s.Ip, strconv.Itoa(first))}, a.heartbeat.seeds...) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			continue
		}
		for offset := range usedInternalPorts {
			a.heartbeat.contacts = append(a.heartbeat.contacts, net.JoinHostPort(host, strconv.Itoa(first+offset)))
		}
	}
	a.heartbeat.contacts = distinct(a.heartbeat.contacts)
	a.session.findCandidates = a.controlAddresses
	a.session.resetCandidates()
	a.items.peersStale = true
}

// usedInternalPorts is the number of ports of InternalPortRange that are in use: one per role.
const usedInternalPorts = 3

// controlAddresses returns the addresses at which control's primary may be found, the most likely first.
func (a *Agent) controlAddresses() []string {
	v := a.View()
	addresses := []string{v.PrimaryAddress()}
	if node := a.Node(); node.Role == protocol.RoleControl {
		addresses = append([]string{node.Address}, addresses...) // a control process has the current primary as early as any other
	}
	var others []string
	for _, node := range v.Live(protocol.RoleControl) {
		others = append(others, node.Address)
	}
	others = append(others, a.heartbeat.seeds...)
	addresses = append(addresses, a.choosePeers(others, len(others))...)
	for _, member := range v.Control.Addresses {
		addresses = append(addresses, member.Address)
	}
	return distinct(addresses)
}

// tickSession sends a heartbeat if one is due.
func (a *Agent) tickSession(now time.Duration) {
	address, ok := a.session.begin(now)
	if !ok {
		return
	}
	h := protocol.Heartbeat{Node: a.Node(), Digest: a.Digest(), Time: protocol.NewTimeReport(a.TimeEstimate())}
	if a.options.Report != nil {
		a.options.Report(&h)
	}
	body := h.Append(nil)
	sent := a.Steady()
	a.call(address, protocol.KindHeartbeat, body, func(called time.Duration, answer []byte, err error) {
		received := a.Steady()
		a.loop.post(func() { a.heartbeatEnded(address, sent, called, received, answer, err) })
	})
}

// call sends a call over the pool without waiting; done is called on an arbitrary goroutine, with the time at which the connection was open and
// the call was sent on it.
func (a *Agent) call(address string, kind rpc.Kind, body []byte, done func(called time.Duration, answer []byte, err error)) {
	if conn := a.pool.Peek(address); conn != nil {
		called := a.Steady()
		conn.CallAsync(kind, body, callTimeout, func(answer []byte, err error) { done(called, answer, err) })
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		conn, err := a.pool.Get(ctx, address)
		called := a.Steady()
		if err != nil {
			done(called, nil, err)
			return
		}
		answer, err := conn.Call(ctx, kind, body)
		done(called, answer, err)
	}()
}

func (a *Agent) callAndWait(ctx context.Context, address string, kind rpc.Kind, body []byte) ([]byte, error) {
	conn, err := a.pool.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	return conn.Call(ctx, kind, body)
}

// heartbeatEnded processes the outcome of a heartbeat: sent is when it was due and begun, called when it went out on an open connection.
func (a *Agent) heartbeatEnded(address string, sent, called, received time.Duration, answer []byte, err error) {
	var r protocol.HeartbeatReply
	if err == nil {
		err = r.Decode(answer)
	}
	wasOpen := a.session.open
	switch {
	case err != nil:
		a.session.fail(address, received-sent >= callTimeout/2, received)
	case r.Accepted:
		a.session.accept(address, sent, received)
		a.accepted.Store(int64(sent))
		if r.ClusterTime != 0 && address != a.Node().Address {
			a.sampleTime(called, received, r.ClusterTime)
		}
		if a.options.Member != "" && !a.clock.isSynchronized() {
			a.session.awaitTime(sent) // what is on its disk may wait for the time
		}
	default:
		a.session.refuse(address, r.Primary, received)
	}
	if wasOpen != a.session.open {
		a.logSession(address, r.Primary, err)
	}
	if err == nil {
		if r.Digest.Address == "" {
			r.Digest.Address = address
		}
		r.Digest.Reply = true
		a.mergeDigest(&r.Digest)
	}
}

// sampleTime passes a sample of the cluster time to the clock. The time for opening the connection is no part of the round trip, of which the
// clock takes half for the way back.
func (a *Agent) sampleTime(called, received time.Duration, clusterTime int64) {
	known := a.clock.isSynchronized()
	a.clock.sample(called, received, clusterTime)
	if !known {
		a.timeBecameKnown()
		a.logger.Info("agent: cluster time obtained from control", zap.Time("cluster_time", a.ClusterTime()))
	}
}

func (a *Agent) logSession(address, named string, err error) {
	if a.session.open {
		a.logger.Info("agent: session with control established", zap.String("primary", address))
		return
	}
	a.logger.Info("agent: session with control interrupted: searching for control's primary", zap.String("at", address), zap.String("named", named),
		zap.Error(err))
}

// Leave notifies control's primary that a planned shutdown begins (over is false) or is complete, and returns once the primary has
// acknowledged it. It retries until ctx ends. Once the shutdown is complete no more heartbeats are sent.
func (a *Agent) Leave(ctx context.Context, over bool) error {
	a.setNode(func(n *protocol.Node) { n.Leaving = true })
	leave := protocol.Leave{Key: a.Node().Key, Incarnation: a.Node().Incarnation, EndSession: over}
	body := leave.Append(nil)
	last := errors.New("agent: no control process is known: check SeedNodes")
	for pause := initialPause; ; pause = min(2*pause, defaultHeartbeatInterval) {
		var addresses []string
		if !a.loop.postAndWait(func() { addresses = a.leaveAddresses(over) }) {
			return ErrClosed
		}
		for _, address := range addresses {
			err := a.sendLeave(ctx, address, body)
			if err == nil {
				return nil
			}
			last = err
		}
		if !wait(ctx, pause) {
			return errors.Wrap(last, "agent: no control primary acknowledged the planned shutdown")
		}
	}
}

// leaveAddresses returns the addresses to send a leave call to; it runs on the loop.
func (a *Agent) leaveAddresses(over bool) []string {
	if over {
		a.session.stop()
	}
	return distinct(slices.Concat([]string{a.session.primary}, a.controlAddresses()))
}

func (a *Agent) sendLeave(ctx context.Context, address string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := a.callAndWait(ctx, address, protocol.KindLeave, body)
	return err
}

// wait pauses for d; it returns false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
