package engine

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"liftgauge/balance"
)

// locationOf returns the location that an engine reports for a message.
func locationOf(o *Engine, m *testMessage) (at MessageLocation) {
	o.HandleReport(Report{Key: m.m.Key, From: "s-elsewhere", State: Progress}, func(s MessageLocation) { at = s }, nil)
	synctest.Wait()
	return at
}

// TestHandover checks that a message is handed over once its host has accepted it, and not before; that hosts must repeat reports
// meanwhile; that the result reaches the new process; and that a disconnect there withdraws the attempt there.
func TestHandover(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		old, next := b.engines[0], b.engines[1]
		m, left := b.submit(warning, 20*time.Second), b.submit(reading, 20*time.Second)
		s := b.sends[0]
		if b.handOver(m, true) {
			t.Fatal("handed over on its way to the host")
		}
		s.a.MarkAccepted()
		b.sends[1].a.MarkAccepted()
		b.wait(4 * time.Second)
		first := s.ctx
		past, ok := old.Release(t.Context(), m.m)
		if !ok || past.Ago != 4*time.Second || len(past.Attempts) != 1 || past.Attempts[0].Try.Sent != 4*time.Second || !past.Attempts[0].Try.Out {
			t.Fatalf("%v, past %+v", ok, past)
		}
		if locationOf(old, m) != LocationMoving || locationOf(next, m) != LocationUnknown || !errors.Is(context.Cause(first), ErrHandedOver) {
			t.Errorf("at %v and %v, cause %v", locationOf(old, m), locationOf(next, m), context.Cause(first))
		}
		b.report(s, Done, "during the handover: not accepted")
		if _, again := old.Release(t.Context(), m.m); again {
			t.Error("released twice")
		}
		if !next.Adopt(t.Context(), m.m, past) || next.Adopt(t.Context(), m.m, past) {
			t.Error("adopted never, or twice")
		}
		old.CompleteRelease(m.m, past, true)
		synctest.Wait()
		if locationOf(old, m) != LocationUnknown || locationOf(next, m) != LocationLocal || len(m.answers) != 0 {
			t.Errorf("at %v and %v, answers %v", locationOf(old, m), locationOf(next, m), m.answers)
		}
		b.report(s, Done, "level 3")
		if len(m.answers) != 1 || string(m.answers[0].Result) != "level 3" || len(b.sends) != 2 {
			t.Errorf("answers %v, %d sends", m.answers, len(b.sends))
		}
		if !b.handOver(left, true) {
			t.Fatal("the second is not taken over")
		}
		next.Disconnected(left.m)
		synctest.Wait()
		if s := b.sends[1]; s.o != next || !errors.Is(context.Cause(s.ctx), ErrWithdrawn) {
			t.Errorf("cause %v", context.Cause(s.ctx))
		}
		b.ended(b.sends[1], balance.Cancelled)
		for i, o := range b.engines {
			if len(o.jobs)+len(o.byKey)+len(o.moving) != 0 {
				t.Errorf("%d keeps %d jobs, %d keys, %d moving", i, len(o.jobs), len(o.byKey), len(o.moving))
			}
		}
	})
}

// TestRefusedHandoverContinues checks that a message that the successor refuses continues here with its deadline and its past: an
// unsafe job that may have run is not sent again in either process.
func TestRefusedHandoverContinues(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		m := b.submit(warning, 20*time.Second)
		b.sends[0].a.MarkAccepted()
		if b.handOver(m, false) || locationOf(b.engines[0], m) != LocationLocal || locationOf(b.engines[1], m) != LocationUnknown {
			t.Fatalf("at %v and %v", locationOf(b.engines[0], m), locationOf(b.engines[1], m))
		}
		if !b.handOver(m, true) {
			t.Fatal("not handed over at the second attempt")
		}
		b.report(b.sends[0], Lost, "")
		if len(m.answers) != 1 || m.answers[0].Kind != Failed || len(b.sends) != 1 {
			t.Errorf("answers %v, %d sends", m.answers, len(b.sends))
		}
		// A message that waits for a host is handed over too, and sent by the successor.
		for i := range 4 {
			b.engines[0].SetOffline(t.Context(), testHost(i, balance.Ready).Name, true, false)
		}
		if held := b.submit(reading, 20*time.Second); len(b.sends) != 1 || !b.handOver(held, true) || len(b.sends) != 2 || b.sends[1].o != b.engines[1] {
			t.Errorf("%d sends", len(b.sends))
		}
	})
}

// TestDeadlineDuringHandover checks that a message whose deadline passes during the handover is answered by its new process.
func TestDeadlineDuringHandover(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		m := b.submit(warning, time.Second)
		b.sends[0].a.MarkAccepted()
		past, ok := b.engines[0].Release(t.Context(), m.m)
		b.wait(2 * time.Second)
		past.Ago += 2 * time.Second
		if !ok || !b.engines[1].Adopt(t.Context(), m.m, past) {
			t.Fatal("not taken over")
		}
		b.engines[0].CompleteRelease(m.m, past, true)
		b.wait(10 * time.Millisecond)
		if len(m.answers) != 1 || m.answers[0].Kind != Failed {
			t.Errorf("answers %v", m.answers)
		}
	})
}
