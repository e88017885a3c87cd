package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// drainTime is DrainMs of the settings.
const drainTime = 3 * time.Second

// draining has one worker emptied, whose entry is on the first of two pages. It keeps serving for ten seconds.
func draining(p *play) (int, error) {
	edging := &service{name: "edging-sync", count: 6, slots: 2, idempotent: true, work: func() time.Duration { return 15 * time.Millisecond }}
	intake := &service{name: "order-intake", count: 80, slots: 6, work: func() time.Duration { return 45 * time.Millisecond }}
	for _, s := range []*service{edging, intake} {
		if err := p.platform.addWorkers(s); err != nil {
			return 0, err
		}
	}
	if err := p.begin(starvedConfiguration); err != nil {
		return 0, err
	}
	var wait sync.WaitGroup
	traffic, stop := context.WithCancel(p.ctx)
	defer stop()
	for range 3 {
		p.clients.stream(traffic, &wait, p.cluster.frontends(), "/vobo680/7", 100, 0)
	}
	if err := sleep(p.ctx, 8*time.Second); err != nil {
		return 0, err
	}
	shown, id := p.record.since(), ""
	p.platform.changeNow(func(entries []entry) []entry {
		for i := range entries {
			if entries[i].Backend == intake.name {
				id = entries[i].ID
				if p.trouble {
					entries[i].State = "draining"
				}
				break
			}
		}
		return entries
	})
	p.record.add("worker", fmt.Sprintf("%s is shown as draining: %v", id, p.trouble))
	if err := sleep(p.ctx, 10*time.Second); err != nil {
		return 0, err
	}
	stop()
	wait.Wait()
	if !p.trouble {
		return p.verdict("DRAIN", nil)
	}
	var breaks []string
	a := p.platform.arrivals
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.runs {
		if r.worker == id && r.began > shown+drainTime {
			breaks = append(breaks, fmt.Sprintf("message %s begins at %s at %.3f s, shown as draining at %.3f s", r.id, id, r.began.Seconds(), shown.Seconds()))
		}
	}
	return p.verdict("DRAIN", breaks)
}
