package budget

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
)

// TestBudgetMatchesModel reserves, grows, retains and releases at random, and compares the Budget with sums kept by the test.
func TestBudgetMatchesModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	const limit = 1 << 20
	b := New(limit, 1<<20)
	type item struct {
		reservation *Reservation
		n           int64
		references  int
	}
	var all []*item
	var held int64
	for step := range 20000 {
		switch k := rng.IntN(6); {
		case k < 2:
			body, more := rng.IntN(64<<10+1), int64(rng.IntN(20000))
			n := more + int64(BufferSize(body))
			reservation := b.TryReserve(body, more)
			if (reservation != nil) != (held+n <= limit) {
				t.Fatalf("step %d: reserved %v with %d of %d held and %d wanted", step, reservation != nil, held, limit, n)
			}
			if reservation != nil {
				if len(reservation.Buffer()) != body {
					t.Fatalf("buffer of %d, want %d", len(reservation.Buffer()), body)
				}
				all, held = append(all, &item{reservation, n, 1}), held+n
			}
		case len(all) == 0:
		case k == 2:
			it, n := all[rng.IntN(len(all))], int64(rng.IntN(70000))
			it.reservation.Grow(n)
			it.n, held = it.n+n, held+n
		case k == 3:
			it := all[rng.IntN(len(all))]
			it.reservation.Retain()
			it.references++
		default:
			i := rng.IntN(len(all))
			it := all[i]
			it.reservation.Release()
			if it.references--; it.references == 0 {
				held -= it.n
				all[i] = all[len(all)-1]
				all = all[:len(all)-1]
			}
		}
		if b.Held() != held || b.Peak() < held {
			t.Fatalf("step %d: held %d, want %d, peak %d", step, b.Held(), held, b.Peak())
		}
	}
}

// TestReferencedBufferIsNotReused checks that a buffer is not given to another message while a reference to it remains.
func TestReferencedBufferIsNotReused(t *testing.T) {
	b := New(64<<20, 1<<20)
	var all sync.WaitGroup
	for g := range 8 {
		all.Go(func() {
			for i := range 500 {
				reservation := b.TryReserve(3000+i*100, 0)
				for j := range reservation.Buffer() {
					reservation.Buffer()[j] = byte(g)
				}
				reservation.Retain()
				reservation.Release()
				for _, x := range reservation.Buffer() {
					if x != byte(g) {
						t.Errorf("byte of %d in the buffer of %d", x, g)
						return
					}
				}
				reservation.Release()
			}
		})
	}
	all.Wait()
	if b.Held() != 0 {
		t.Errorf("%d held at the end", b.Held())
	}
}

// TestCallbacksWaitForEachOther checks that callbacks are admitted regardless of what messages hold, and wait for each other.
func TestCallbacksWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(0, 1000)
		if b.TryReserve(1, 0) != nil || b.Rejected() != 1 {
			t.Error("a message was admitted to a budget of 0 bytes")
		}
		first, err := b.ReserveCallback(t.Context(), 60000) // exceeds the limit: it gets all of it
		if err != nil {
			t.Fatal(err)
		}
		got := false
		go func() {
			next, err := b.ReserveCallback(t.Context(), 10)
			got = err == nil
			next.Release()
		}()
		synctest.Wait()
		ctx, stop := context.WithCancel(t.Context())
		stop()
		if _, err := b.ReserveCallback(ctx, 10); err == nil || got {
			t.Errorf("error %v, got %v while all memory is reserved", err, got)
		}
		first.Retain() // the second reference is that of the event in the owner's queue
		first.Release()
		synctest.Wait()
		if got {
			t.Error("memory freed while the event is still in the queue")
		}
		first.Release()
		synctest.Wait()
		if !got {
			t.Error("the next waiting callback was not admitted")
		}
	})
}

func TestSplitMemory(t *testing.T) {
	for _, mb := range []int64{16, 24, 64, 192} {
		s := SplitMemory(mb << 20)
		all := int64(s.Connections)*ConnectionCost + s.Messages + s.Calls
		if s.Messages < MessageCost+maxBody || s.Calls < 3*maxBody || all > s.Runtime*4/5 {
			t.Errorf("%d MB: %+v, in all %d", mb, s, all)
		}
	}
}
