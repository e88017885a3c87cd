package engine

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"liftgauge/balance"
)

// standing is where an owner says that a message is.
func locationOf(o *Engine, m *testMessage) (at MessageLocation) {
	o.HandleReport(Report{Key: m.m.Key, From: "s-elsewhere", State: Progress}, func(s MessageLocation) { at = s }, nil)
	synctest.Wait()
	return at
}

// TestMove: a message goes over once its host has taken it, and not before; meanwhile hosts are told to say it again; the result
// reaches the process that has it, and a client that leaves there withdraws the attempt there.
func TestHandover(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		old, next := b.engines[0], b.engines[1]
		m, left := b.submit(warning, 20*time.Second), b.submit(reading, 20*time.Second)
		s := b.sends[0]
		if b.handOver(m, true) {
			t.Fatal("moved on its way to the host")
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
		b.report(s, Done, "while it moves: nobody takes it")
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
				t.Errorf("%d keeps %d jobs, %d keys, %d that move", i, len(o.jobs), len(o.byKey), len(o.moving))
			}
		}
	})
}

// TestMoveRefused: what the successor does not take goes on here, with its patience and its past: an unsafe job that may have run is
// not sent again, neither here nor there.
func TestRefusedHandoverContinues(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		m := b.submit(warning, 20*time.Second)
		b.sends[0].a.MarkAccepted()
		if b.handOver(m, false) || locationOf(b.engines[0], m) != LocationLocal || locationOf(b.engines[1], m) != LocationUnknown {
			t.Fatalf("at %v and %v", locationOf(b.engines[0], m), locationOf(b.engines[1], m))
		}
		if !b.handOver(m, true) {
			t.Fatal("not moved at the second try")
		}
		b.report(b.sends[0], Lost, "")
		if len(m.answers) != 1 || m.answers[0].Kind != Failed || len(b.sends) != 1 {
			t.Errorf("answers %v, %d sends", m.answers, len(b.sends))
		}
		// One that waits for room goes over too, and is sent from there.
		for i := range 4 {
			b.engines[0].SetOffline(t.Context(), testHost(i, balance.Ready).Name, true, false)
		}
		if held := b.submit(reading, 20*time.Second); len(b.sends) != 1 || !b.handOver(held, true) || len(b.sends) != 2 || b.sends[1].o != b.engines[1] {
			t.Errorf("%d sends", len(b.sends))
		}
	})
}

// TestMoveLate: one whose patience ends on the way is answered by whoever has it.
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
