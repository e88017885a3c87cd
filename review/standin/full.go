package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["full"] = full
}

const hostname = "post.example"

const (
	preloaded  = 2500 // messages that wait for their delay
	bodyBytes  = 200_000
	waitFor    = 40 * time.Second // X-Delay-Ms of each of them
	recoveryS  = 12
	completion = 10 * time.Second
	mostAsked  = 300
)

// full has one store machine lose its disk, and come back with an empty one, while all disks hold many messages that wait for their delay.
// LOST: the body of an accepted message that has not ended does not come back at the end. RECOVER: of the requests sent later than RecoveryS
// after the machine is back, less than a quarter is served.
func full(ctx context.Context, g *game) (int, error) {
	work := func(string, int) (time.Duration, int) { return 5 * time.Millisecond, http.StatusOK }
	for i := range 8 {
		if _, err := g.world.addWorker(fmt.Sprintf("w-%d", i), "ledger", fmt.Sprintf("zone-%d", i%4+1), 8, true, work); err != nil {
			return cannot, err
		}
	}
	if err := g.open(ctx, ledgerConfiguration); err != nil {
		return cannot, err
	}
	if !g.preload(ctx, preloaded, waitFor) {
		return cannot, fmt.Errorf("only %d messages were accepted in 30 s", len(g.clients.accepted()))
	}
	if g.trouble {
		one := g.fleet.of("store")[0]
		g.fleet.kill(one)
		if err := g.fleet.wipe(one); err != nil {
			return cannot, err
		}
		time.Sleep(2 * time.Second)
		if err := g.fleet.start(one); err != nil {
			return cannot, err
		}
		g.record.say("%s is back, with an empty disk", one.name)
	}
	sleep(ctx, (recoveryS+1)*time.Second)
	served := g.small(ctx, 15*time.Second)
	due := g.lastDue().Add(completion)
	sleep(ctx, time.Until(due))
	waiting, lost := g.askAll()
	g.record.say("accepted and not ended %d of %d, %v after the last of them was due; asked for %d bodies, %d did not come back",
		waiting, len(g.clients.accepted()), completion, min(waiting, mostAsked), lost)
	for _, p := range g.fleet.processes {
		if !p.running() {
			g.record.say("%s/%s does not run", p.name, p.role)
		}
	}
	switch {
	case lost > 0:
		g.record.say("LOST is broken")
		return broken, nil
	case served < 0.25:
		g.record.say("RECOVER is broken")
		return broken, nil
	}
	return held, nil
}

var ledgerConfiguration = fmt.Sprintf(`{"Revision":3,"Routes":[{"Name":"r-ledger","Hostname":%q,"PathPrefix":"/ledger/","Type":"async",`+
	`"TimeoutMs":1200,"TargetLatencyMs":80,"Priority":2,"Backend":"ledger","MaxAttempts":6,"Fifo":false,"RetentionS":900.0,"CallbackUrl":false,`+
	`"TargetStartMs":600}],"Services":[{"Name":"ledger","HealthCheckPath":"/health","MaxConnections":130,"Protocol":"h1","Tls":false,`+
	`"RatePerS":0.0,"Idempotent":false,"Pull":false,"Static":null}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,`+
	`"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, hostname)

// preload hands in the messages that wait for their delay.
func (g *game) preload(ctx context.Context, wanted int, delay time.Duration) bool {
	until := time.Now().Add(30 * time.Second)
	body := make([]byte, bodyBytes)
	var open sync.WaitGroup
	for k := range 40 {
		open.Go(func() {
			for n := k; time.Now().Before(until) && ctx.Err() == nil && len(g.clients.accepted()) < wanted; n++ {
				if front := g.clients.front(n); front != "" {
					g.clients.send(&message{host: hostname, uri: fmt.Sprintf("/ledger/late/%d/%d", k, n), body: body, delay: delay}, front, 500*time.Millisecond)
				}
				sleep(ctx, 100*time.Millisecond)
			}
		})
	}
	open.Wait()
	g.record.say("%d bytes each, to run %v after they were sent: answers %v", bodyBytes, delay, g.clients.statuses(time.Time{}))
	return len(g.clients.accepted()) >= wanted
}

// small hands in small messages for a time, and returns the share that was accepted.
func (g *game) small(ctx context.Context, span time.Duration) float64 {
	from := time.Now()
	var open sync.WaitGroup
	for n := 0; time.Since(from) < span && ctx.Err() == nil; n++ {
		if front := g.clients.front(n); front != "" {
			open.Go(func() {
				g.clients.send(&message{host: hostname, uri: fmt.Sprintf("/ledger/now/%d", n), body: make([]byte, 5000)}, front, 500*time.Millisecond)
			})
		}
		sleep(ctx, 50*time.Millisecond)
	}
	open.Wait()
	counts := g.clients.statuses(from)
	all := 0
	for _, n := range counts {
		all += n
	}
	g.record.say("sent later than RecoveryS after that: answers %v", counts)
	return float64(counts[http.StatusAccepted]) / float64(max(1, all))
}

// lastDue is when the last delay is over.
func (g *game) lastDue() (last time.Time) {
	for _, m := range g.clients.accepted() {
		if at := m.sent.Add(m.delay); at.After(last) {
			last = at
		}
	}
	return last
}

// askAll asks for the bodies of up to 300 accepted messages that have not ended, and again after each failure.
func (g *game) askAll() (waiting, lost int) {
	var asked []*message
	for _, m := range g.clients.accepted() {
		if _, ended := g.endOf(m.id, 6); !ended {
			waiting++
			asked = append(asked, m)
		}
	}
	if len(asked) > mostAsked {
		step := float64(len(asked)) / mostAsked
		var some []*message
		for i := range mostAsked {
			some = append(some, asked[int(float64(i)*step)])
		}
		asked = some
	}
	var mu sync.Mutex
	var open sync.WaitGroup
	until := time.Now().Add(12 * time.Second)
	for _, m := range asked {
		open.Go(func() {
			for {
				status, body := g.clients.ask("/message-body/"+m.name, m.host, 1)
				if status == http.StatusOK && len(body) == len(m.body) {
					return
				}
				if time.Now().After(until) {
					g.record.note("the body of %s does not come back: %d", m.id, status)
					mu.Lock()
					lost++
					mu.Unlock()
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	open.Wait()
	return waiting, lost
}
