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

// runUpgrade runs a test with a process that shuts down, and its successor.
func runUpgrade(t *testing.T, test func(old, next *harness, o *fakePeer)) {
	runInBubble(t, 64, func(next *harness) {
		next.answer = engine.Answer{Kind: engine.Served, Result: []byte("next")}
		next.adopts = true
		runServer(next.t, 64, func(old *harness) {
			o := &fakePeer{live: true, status: 204, known: true, next: next.server}
			old.releases, old.neverAnswers, old.server.Peer = true, true, o
			old.server.SetPhase(Leaving)
			old.server.ReleaseListener()
			old.server.SetPhase(Closing)
			test(old, next, o)
		})
	})
}

// TestHandOverConnection checks that a waiting message is handed over with its connection: the client gets its answer from the
// successor on the same connection, and can continue to use it.
func TestHandOverConnection(t *testing.T) {
	runUpgrade(t, func(old, next *harness, o *fakePeer) {
		old.send(job + "\r\nhigh")
		old.server.HandOverConnections()
		old.wait(time.Second)
		if got := strings.Join(old.answers, ","); got != "200 next" || old.closed || len(next.submitted) != 1 {
			t.Fatalf("answers %q, closed %v, %d messages there", got, old.closed, len(next.submitted))
		}
		m := next.submitted[0]
		call := m.Payload.(*http1.Call)
		if string(call.Body) != "high" || call.Target != "/send-warning/penal?x=%41" || call.Method != "POST" || m.Key != "9b1f03aa5c7e2d41" || m.Job.Left != 5*time.Second {
			t.Errorf("message %+v, call %+v", m, call)
		}
		old.send(job + "\r\nhigh")
		old.wait(time.Second)
		if got := strings.Join(old.answers, ","); got != "200 next,200 next" || len(next.submitted) != 2 || len(old.completed) != 1 || !old.completed[0] {
			t.Errorf("answers %q, %d messages there, moved %v", got, len(next.submitted), old.completed)
		}
		if old.server.Outstanding() != 0 || next.server.Outstanding() != 0 || old.server.Results(1).Succeeded != 0 || next.server.Results(1).Succeeded != 2 || old.server.Open() != 0 {
			t.Errorf("counts: %d and %d open, %+v, %+v", old.server.Outstanding(), next.server.Outstanding(), old.server.Results(1), next.server.Results(1))
		}
		for _, m := range next.submitted {
			m.OnClosed()
		}
		if held := old.server.Budget.Held() + next.server.Budget.Held(); held != 0 {
			t.Errorf("%d bytes held", held)
		}
	})
}

// TestHandOverNotPossible checks that messages that cannot be handed over are answered here, and that a disconnect is detected by the
// process that has the message.
func TestHandOverNotPossible(t *testing.T) {
	for name, c := range map[string]struct {
		set    func(old, next *harness, o *fakePeer)
		send   string // after the message
		passes int
		moved  int
	}{
		"on its way to a host":     {func(old, next *harness, o *fakePeer) { old.releases = false }, "", 1, 0},
		"refused there":            {func(old, next *harness, o *fakePeer) { next.adopts = false }, "", 1, 1},
		"no room there":            {func(old, next *harness, o *fakePeer) { next.server.Budget.SetLimit(1) }, "", 1, 1},
		"no successor any more":    {func(old, next *harness, o *fakePeer) { o.live = false }, "", 0, 0},
		"the next request is here": {func(old, next *harness, o *fakePeer) {}, "P", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runUpgrade(t, func(old, next *harness, o *fakePeer) {
				old.send(job + "\r\nhigh" + c.send)
				c.set(old, next, o)
				old.server.HandOverConnections()
				synctest.Wait()
				old.submitted[0].Reply(engine.Answer{Kind: engine.Served, Result: []byte("old")})
				old.wait(time.Second)
				if got := strings.Join(old.answers, ","); got != "200 old" || len(next.submitted) != 0 || o.passes != c.passes || len(old.completed) != c.moved {
					t.Errorf("answers %q, %d messages there, passes %d, moved %v", got, len(next.submitted), o.passes, old.completed)
				}
				old.submitted[0].OnClosed()
				if held := old.server.Budget.Held() + next.server.Budget.Held(); held != 0 || next.server.Outstanding() != 0 || next.server.Open() != 0 {
					t.Errorf("%d bytes held, %d open there", held, next.server.Open())
				}
			})
		})
	}
	runUpgrade(t, func(old, next *harness, _ *fakePeer) {
		next.neverAnswers = true
		old.send(job + "\r\nhigh")
		old.server.HandOverConnections()
		synctest.Wait()
		old.Close()
		synctest.Wait()
		if old.disconnected != 0 || next.disconnected != 1 {
			t.Errorf("gone %d here, %d there", old.disconnected, next.disconnected)
		}
		next.submitted[0].OnClosed()
	})
}

// TestCallbackDuringHandover checks that a call-back that misses its message, since that moved from the process checked last to the
// one checked first, is processed where the message is now, and that one for a message in transfer must be repeated.
func TestCallbackDuringHandover(t *testing.T) {
	runInBubble(t, 64, func(w *harness) {
		w.server.Peer = &fakePeer{live: true, status: 204}
		w.playStep(step{send: callback(report), set: engineState{unknownMessage: true}, want: "204"}, 0)
		if len(w.reports) != 2 {
			t.Errorf("looked for %d times", len(w.reports))
		}
		w.playStep(step{send: callback(report), set: engineState{moving: true}, want: "503"}, 0)
		if status, known := w.server.Callback([]byte(report)); status != 503 || known {
			t.Errorf("to the other process: %d, %v", status, known)
		}
	})
}

// FuzzRecord checks that any record from another process is either taken over completely, or rejected and its connection closed.
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
		runInBubble(t, 64, func(w *harness) {
			w.adopts, w.answer = true, engine.Answer{Kind: engine.Served, Result: []byte("x")}
			near, far := net.Pipe()
			defer near.Close()
			heard := make(chan string, 1)
			go func() {
				b := make([]byte, 16)
				n, _ := near.Read(b)
				heard <- string(b[:n])
			}()
			taken := w.server.Adopt(in, far)
			if got := <-heard; taken != strings.HasPrefix(got, "HTTP/1.1 200") || taken != (len(w.submitted) == 1) {
				t.Errorf("taken %v, the client read %q, %d messages", taken, got, len(w.submitted))
			}
			for _, m := range w.submitted {
				m.OnClosed()
			}
		})
	})
}
