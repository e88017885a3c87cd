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

// callTimeout bounds heartbeats and the word of a planned end, with the opening of a connection.
const callTimeout = 400 * time.Millisecond

// heartbeat is what the loop knows of the ways to control.
type heartbeat struct {
	seeds []string // internal control addresses
	known []string // addresses that may answer questions about items before any node is known
}

// reload takes settings on the loop.
func (a *Agent) reload(s *nodeconfig.Settings) {
	a.heartbeat.seeds = s.SeedAddresses()
	a.heartbeat.known = nil
	first := s.InternalPortRange[0]
	for _, address := range append([]string{net.JoinHostPort(s.Ip, strconv.Itoa(first))}, a.heartbeat.seeds...) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			continue
		}
		for offset := range internalPorts {
			a.heartbeat.known = append(a.heartbeat.known, net.JoinHostPort(host, strconv.Itoa(first+offset)))
		}
	}
	a.heartbeat.known = distinct(a.heartbeat.known)
	a.session.find = a.controlAddresses
	a.session.restart()
	a.items.peersStale = true
}

// internalPorts is how many ports of InternalPortRange are in use: one for each role.
const internalPorts = 3

// controlAddresses lists where control's primary may be found, the likelier first.
func (a *Agent) controlAddresses() []string {
	v := a.View()
	addresses := []string{v.PrimaryAddress()}
	if node := a.Node(); node.Role == protocol.RoleControl {
		addresses = append([]string{node.Address}, addresses...) // knows it as soon as anybody
	}
	var others []string
	for _, node := range v.Live(protocol.RoleControl) {
		others = append(others, node.Address)
	}
	others = append(others, a.heartbeat.seeds...)
	addresses = append(addresses, a.choose(others, len(others))...)
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
	h := protocol.Heartbeat{Node: a.Node(), Digest: a.Digest()}
	if a.options.Report != nil {
		a.options.Report(&h)
	}
	body := h.Append(nil)
	sent := a.Steady()
	a.call(address, protocol.KindHeartbeat, body, func(answer []byte, err error) {
		received := a.Steady()
		a.loop.post(func() { a.heartbeatEnded(address, sent, received, answer, err) })
	})
}

// call sends a call over the pool without waiting; done is called on some goroutine.
func (a *Agent) call(address string, kind rpc.Kind, body []byte, done func([]byte, error)) {
	if conn := a.pool.Peek(address); conn != nil {
		conn.CallAsync(kind, body, callTimeout, done)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		done(a.callAndWait(ctx, address, kind, body))
	}()
}

func (a *Agent) callAndWait(ctx context.Context, address string, kind rpc.Kind, body []byte) ([]byte, error) {
	conn, err := a.pool.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	return conn.Call(ctx, kind, body)
}

func (a *Agent) heartbeatEnded(address string, sent, received time.Duration, answer []byte, err error) {
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
			a.clock.sample(sent, received, r.ClusterTime)
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
		a.hear(&r.Digest)
	}
}

func (a *Agent) logSession(address, named string, err error) {
	if a.session.open {
		a.logger.Info("agent: session with control", zap.String("primary", address))
		return
	}
	a.logger.Info("agent: session interrupted: looking for control's primary", zap.String("at", address), zap.String("named", named),
		zap.Error(err))
}

// Leave tells control's primary that a planned end begins (over false) or that it is over, and returns when that was taken. It tries
// again until ctx ends. After an end that is over no more heartbeats are sent.
func (a *Agent) Leave(ctx context.Context, over bool) error {
	a.setNode(func(n *protocol.Node) { n.Leaving = true })
	leave := protocol.Leave{Key: a.Node().Key, Incarnation: a.Node().Incarnation, EndSession: over}
	body := leave.Append(nil)
	last := errors.New("agent: no control process is known: check SeedNodes")
	for pause := firstPause; ; pause = min(2*pause, defaultHeartbeatEvery) {
		var addresses []string
		if !a.loop.ask(func() { addresses = a.leaveAddresses(over) }) {
			return ErrClosed
		}
		for _, address := range addresses {
			err := a.leaveAt(ctx, address, body)
			if err == nil {
				return nil
			}
			last = err
		}
		if !wait(ctx, pause) {
			return errors.Wrap(last, "agent: no primary of control took the word of the planned end")
		}
	}
}

// leaveAddresses lists where to say that this process ends; it runs on the loop.
func (a *Agent) leaveAddresses(over bool) []string {
	if over {
		a.session.stop()
	}
	return distinct(slices.Concat([]string{a.session.primary}, a.controlAddresses()))
}

func (a *Agent) leaveAt(ctx context.Context, address string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := a.callAndWait(ctx, address, protocol.KindLeave, body)
	return err
}

// wait is false if ctx ends before the time is over.
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
