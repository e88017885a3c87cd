package gearman

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"liftgauge/internal/gearman/packet"
)

// TestUpgrade checks that while a successor has taken over and 200 jobs are open, no new connection is accepted, workers
// stay connected as long as jobs are open, each job ends once, and then the connections are closed.
func TestUpgrade(t *testing.T) {
	withServer(t, nil, 0, func(w *fixture) {
		p, c := w.worker("x", warning), w.dial()
		for range 200 {
			c.sendPacket(packet.SubmitJob, warning, "", "x")
		}
		w.s.Enter(Draining)
		w.s.HandOver()
		w.s.Enter(ListenersClosed)
		synctest.Wait()
		if !w.s.closed {
			t.Error("it still listens")
		}
		p.picked()
		p.sendPacket(packet.GrabJob)
		for range 20 {
			if left := w.s.Rest(); left != 2 {
				t.Fatalf("%d connections while jobs are open", left)
			}
			w.mu.Lock()
			got := p.got[len(p.got)-1]
			w.mu.Unlock()
			p.sendPacket(packet.WorkComplete, strings.Split(strings.TrimPrefix(got, "JOB_ASSIGN "), "|")[0], "ok")
			p.sendPacket(packet.GrabJob)
			w.wait(50 * time.Millisecond)
		}
		w.mu.Lock()
		got := p.got[len(p.got)-1]
		w.mu.Unlock()
		w.wait(3 * time.Second)
		if n := w.s.Open(); n != 0 {
			t.Errorf("%d jobs open", n)
		}
		w.s.Rest()
		synctest.Wait()
		if c.closed != true || p.closed {
			t.Errorf("client closed %v; worker, which is at a job, %v", c.closed, p.closed)
		}
		p.sendPacket(packet.WorkComplete, strings.Split(strings.TrimPrefix(got, "JOB_ASSIGN "), "|")[0], "late")
		w.s.Rest()
		synctest.Wait()
		if !p.closed || w.s.Rest() != 0 {
			t.Error("the worker is not sent to the successor")
		}
		ends := 0
		for _, g := range c.got {
			if strings.HasPrefix(g, "WORK_COMPLETE") || strings.HasPrefix(g, "WORK_FAIL") {
				ends++
			}
		}
		if ends != 200 {
			t.Errorf("%d ends", ends)
		}
	})
}

// TestSuccessor checks that workers are not passed to a successor as hosts, and a job that is submitted while its
// connection is being closed is not accepted.
func TestSuccessor(t *testing.T) {
	withServer(t, nil, 2, func(w *fixture) {
		w.worker("x", warning)
		c := w.dial()
		w.wait(time.Second)
		if hosts, err := w.o.Hosts(w.t.Context()); err != nil || len(hosts) != 2 {
			t.Errorf("%d hosts, %v", len(hosts), err)
		}
		w.s.mu.Lock()
		for _, d := range w.s.conns {
			d.closing = true
		}
		w.s.mu.Unlock()
		c.sendPacket(packet.SubmitJob, warning, "", "x")
		c.want()
		if n := w.s.Counts(); n.Submitted != 0 {
			t.Errorf("%+v", n)
		}
	})
}
