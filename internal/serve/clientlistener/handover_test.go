package clientlistener

import (
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"liftgauge/balance"
	"liftgauge/internal/http1"
	"liftgauge/internal/serve/engine"
)

// upgrade is a world whose process leaves, and the one of its successor.
func upgrade(t *testing.T, test func(old, next *world, o *other)) {
	within(t, 64, func(next *world) {
		next.answer = engine.Answer{Kind: engine.Served, Result: []byte("next")}
		next.adopts = true
		serve(next.t, 64, func(old *world) {
			o := &other{live: true, status: 204, known: true, next: next.s}
			old.releases, old.silent, old.s.Peer = true, true, o
			old.s.SetPhase(Leaving)
			old.s.ReleaseListener()
			old.s.SetPhase(Closing)
			test(old, next, o)
		})
	})
}

// TestPass: a message that waits goes over with its connection. The client gets its answer from the successor, on the connection that
// it has, and the connection goes on there.
func TestPass(t *testing.T) {
	upgrade(t, func(old, next *world, o *other) {
		old.send(job + "\r\nhigh")
		old.s.HandOverConnections()
		old.wait(time.Second)
		if got := strings.Join(old.answers, ","); got != "200 next" || old.closed || len(next.taken) != 1 {
			t.Fatalf("answers %q, closed %v, %d messages there", got, old.closed, len(next.taken))
		}
		m := next.taken[0]
		call := m.Payload.(*http1.Call)
		if string(call.Body) != "high" || call.Target != "/send-warning/penal?x=%41" || call.Method != "POST" || m.Key != "9b1f03aa5c7e2d41" || m.Job.Left != 5*time.Second {
			t.Errorf("message %+v, call %+v", m, call)
		}
		old.send(job + "\r\nhigh")
		old.wait(time.Second)
		if got := strings.Join(old.answers, ","); got != "200 next,200 next" || len(next.taken) != 2 || len(old.moved) != 1 || !old.moved[0] {
			t.Errorf("answers %q, %d messages there, moved %v", got, len(next.taken), old.moved)
		}
		if old.s.Outstanding() != 0 || next.s.Outstanding() != 0 || old.s.Results(1).Succeeded != 0 || next.s.Results(1).Succeeded != 2 || old.s.Open() != 0 {
			t.Errorf("counts: %d and %d open, %+v, %+v", old.s.Outstanding(), next.s.Outstanding(), old.s.Results(1), next.s.Results(1))
		}
		for _, m := range next.taken {
			m.OnClosed()
		}
		if held := old.s.Budget.Held() + next.s.Budget.Held(); held != 0 {
			t.Errorf("%d bytes held", held)
		}
	})
}

// TestPassNot: what cannot go over is answered here, and a client that leaves on the way is noticed by whoever has it.
func TestPassNot(t *testing.T) {
	for name, c := range map[string]struct {
		set   func(old, next *world, o *other)
		send  string // after the message
		asked int
		moved int
	}{
		"on its way to a host":     {func(old, next *world, o *other) { old.releases = false }, "", 1, 0},
		"refused there":            {func(old, next *world, o *other) { next.adopts = false }, "", 1, 1},
		"no room there":            {func(old, next *world, o *other) { next.s.Budget.SetLimit(1) }, "", 1, 1},
		"no successor any more":    {func(old, next *world, o *other) { o.live = false }, "", 0, 0},
		"the next request is here": {func(old, next *world, o *other) {}, "P", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			upgrade(t, func(old, next *world, o *other) {
				old.send(job + "\r\nhigh" + c.send)
				c.set(old, next, o)
				old.s.HandOverConnections()
				synctest.Wait()
				old.taken[0].Reply(engine.Answer{Kind: engine.Served, Result: []byte("old")})
				old.wait(time.Second)
				if got := strings.Join(old.answers, ","); got != "200 old" || len(next.taken) != 0 || o.asked != c.asked || len(old.moved) != c.moved {
					t.Errorf("answers %q, %d messages there, asked %d, moved %v", got, len(next.taken), o.asked, old.moved)
				}
				old.taken[0].OnClosed()
				if held := old.s.Budget.Held() + next.s.Budget.Held(); held != 0 || next.s.Outstanding() != 0 || next.s.Open() != 0 {
					t.Errorf("%d bytes held, %d open there", held, next.s.Open())
				}
			})
		})
	}
	upgrade(t, func(old, next *world, _ *other) {
		next.silent = true
		old.send(job + "\r\nhigh")
		old.s.HandOverConnections()
		synctest.Wait()
		old.Close()
		synctest.Wait()
		if old.gone != 0 || next.gone != 1 {
			t.Errorf("gone %d here, %d there", old.gone, next.gone)
		}
		next.taken[0].OnClosed()
	})
}

// TestCallbackCrossing: a call-back that finds its message nowhere, as it moved from the one looked at last to the one looked at
// first, is dealt with where it is now; one for a message on its way is to be said again.
func TestCallbackCrossing(t *testing.T) {
	within(t, 64, func(w *world) {
		w.s.Peer = &other{live: true, status: 204}
		w.play(step{send: callback(report), set: desk{foreign: true}, want: "204"}, 0)
		if len(w.reports) != 2 {
			t.Errorf("looked for %d times", len(w.reports))
		}
		w.play(step{send: callback(report), set: desk{moving: true}, want: "503"}, 0)
		if status, known := w.s.Callback([]byte(report)); status != 503 || known {
			t.Errorf("to the other process: %d, %v", status, known)
		}
	})
}

// FuzzRecord: whatever comes as a message of another process, it is taken over whole or not at all, and its connection closed then.
func FuzzRecord(f *testing.F) {
	good := record{Key: "9b1f", Method: "POST", Target: "/send-warning", Body: []byte("high"), Past: engine.Past{Job: balance.Job{Class: 1, Left: time.Second}}}
	for _, change := range []func(*record){func(r *record) {}, func(r *record) { r.Key = "../x" }, func(r *record) { r.Past.Job.Class = 2 }, func(r *record) { r.Past.Job.Class = -1 },
		func(r *record) { r.Body = make([]byte, http1.MaxBody+1) }, func(r *record) { r.Past.Attempts = make([]engine.PastAttempt, 3) }} {
		r := good
		change(&r)
		text, err := cbor.Marshal(&r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
		f.Add(text[:len(text)/2])
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		within(t, 64, func(w *world) {
			w.adopts, w.answer = true, engine.Answer{Kind: engine.Served, Result: []byte("x")}
			near, far := net.Pipe()
			defer near.Close()
			heard := make(chan string, 1)
			go func() {
				b := make([]byte, 16)
				n, _ := near.Read(b)
				heard <- string(b[:n])
			}()
			taken := w.s.Adopt(in, far)
			if got := <-heard; taken != strings.HasPrefix(got, "HTTP/1.1 200") || taken != (len(w.taken) == 1) {
				t.Errorf("taken %v, the client read %q, %d messages", taken, got, len(w.taken))
			}
			for _, m := range w.taken {
				m.OnClosed()
			}
		})
	})
}
