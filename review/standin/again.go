package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

func init() { cases["again"] = again }

const (
	waitingFor   = 1900 // messages that wait for their delay all the while
	rollFor      = 32 * time.Second
	catchUp      = 5 * time.Second // CatchUpS is 4.4
	routeTimeout = 1200 * time.Millisecond
)

// again has store machines stopped and started in turn, as planned, while workers fail the first attempt of each message, as they may.
// TWICE: a message begins to run again after a success whose answer was complete 50 ms before the route's time-out.
func again(ctx context.Context, g *game) (int, error) {
	work := func(_ string, attempt int) (time.Duration, int) {
		if attempt == 1 {
			return 5 * time.Millisecond, http.StatusInternalServerError
		}
		return 5 * time.Millisecond, http.StatusOK
	}
	for i := range 8 {
		if _, err := g.world.addWorker(fmt.Sprintf("w-%d", i), "ledger", fmt.Sprintf("zone-%d", i%4+1), 8, true, work); err != nil {
			return cannot, err
		}
	}
	if err := g.open(ctx, ledgerConfiguration); err != nil {
		return cannot, err
	}
	if !g.preload(ctx, waitingFor, 10*time.Minute) {
		return cannot, fmt.Errorf("only %d messages were accepted in 30 s", len(g.clients.accepted()))
	}
	from := time.Now()
	traffic, stop := context.WithTimeout(ctx, rollFor)
	defer stop()
	var open sync.WaitGroup
	for k := range 30 {
		open.Go(func() { g.sendOn(traffic, k) })
	}
	sleep(traffic, 2*time.Second)
	for i := 0; traffic.Err() == nil; i++ {
		if stores := g.fleet.of("store"); g.trouble {
			one := stores[i%len(stores)]
			g.fleet.term(one)
			sleep(ctx, 300*time.Millisecond)
			if err := g.fleet.start(one); err != nil {
				return cannot, err
			}
			g.record.say("%s was stopped and started", one.name)
		}
		sleep(traffic, catchUp)
	}
	open.Wait()
	time.Sleep(5 * time.Second)
	repeats, read := g.repeats(), 0
	for _, one := range repeats {
		proof := "the state carries another stamp"
		if g.stampOf(one.id) == one.stamp {
			read++
			proof = "the state carries the stamp of that success, so it was read"
		}
		g.record.say("TWICE: %s; %s", one.text, proof)
	}
	for _, p := range g.fleet.processes {
		if !p.running() {
			g.record.say("%s/%s does not run", p.name, p.role)
		}
	}
	g.record.say("answers since the first was stopped %v, runs %d, began again after a success %d, after one that was surely read %d",
		g.clients.statuses(from), g.world.total(), len(repeats), read)
	if read > 0 {
		return broken, nil
	}
	return held, nil
}

// sendOn is one client that hands in messages until the context ends.
func (g *game) sendOn(ctx context.Context, k int) {
	own := rand.New(rand.NewSource(g.seed*1000 + int64(k)))
	for n := 0; ctx.Err() == nil; n++ {
		if front := g.clients.front(own.Int()); front != "" {
			g.clients.send(&message{host: hostname, uri: fmt.Sprintf("/ledger/now/%d/%d", k, n), body: make([]byte, bodyBytes)}, front, 500*time.Millisecond)
		}
		sleep(ctx, time.Duration(own.Intn(400))*time.Millisecond)
	}
}

// repeat is a run that began after a success of the same message.
type repeat struct{ id, stamp, text string }

// repeats lists the messages that began to run after a success whose answer was complete 50 ms before the time-out, each once.
func (g *game) repeats() (again []repeat) {
	g.world.mu.Lock()
	defer g.world.mu.Unlock()
	for id, runs := range g.world.byID {
		if first, second := repeated(runs); first != nil {
			again = append(again, repeat{id: id, stamp: first.stamp, text: fmt.Sprintf("%s: success at %s from %.3f to %.3f, begun again at %s at %.3f",
				id, first.worker, first.began.Sub(g.record.began).Seconds(), first.ended.Sub(g.record.began).Seconds(), second.worker,
				second.began.Sub(g.record.began).Seconds())})
		}
	}
	return again
}

// repeated returns a success in time and a run that began after it, nil if there are none.
func repeated(runs []*run) (first, second *run) {
	for _, first := range runs {
		if first.status != http.StatusOK || first.ended.Sub(first.began) > routeTimeout-50*time.Millisecond {
			continue
		}
		for _, second := range runs {
			if second.began.After(first.ended) {
				return first, second
			}
		}
	}
	return nil, nil
}

// stampOf is the stamp that the state of a message carries.
func (g *game) stampOf(id string) string {
	for _, m := range g.clients.accepted() {
		if m.id != id {
			continue
		}
		status, body := g.clients.ask("/message/"+m.name, m.host, 20)
		var answer struct{ State, Signature string }
		_ = json.Unmarshal(body, &answer)
		g.record.note("state of %s: %d %s %s", id, status, answer.State, answer.Signature)
		return answer.Signature
	}
	return ""
}
