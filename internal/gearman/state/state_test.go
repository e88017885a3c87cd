package state

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestJobsAgainstModel has clients submit, share, leave and query jobs at random, and compares the result with a model
// of plain lists.
func TestJobsAgainstModel(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		const open, perConn, kept = 30, 8, 5
		s := NewJobs(Limits{MaxOpen: open, MaxPerConn: perConn, MaxEnded: kept, EndedRetention: time.Minute})
		type model struct {
			job     *Job
			clients []Conn
		}
		var all []*model
		var ended []string
		now := time.Duration(0)
		waits := func(c Conn) (n int) {
			for _, m := range all {
				for _, d := range m.clients {
					if d == c {
						n++
					}
				}
			}
			return n
		}
		for step := range 2000 {
			now += time.Duration(rng.IntN(1000)) * time.Millisecond
			c := Conn(rng.IntN(6))
			switch k := rng.IntN(10); {
			case k < 5:
				j := Job{Function: fmt.Sprint("f", rng.IntN(3)), Background: rng.IntN(4) == 0, Priority: rng.IntN(3)}
				if rng.IntN(2) == 0 {
					j.Unique = fmt.Sprint("u", rng.IntN(12))
				}
				var old *model
				for _, m := range all {
					if j.Unique != "" && m.job.Unique == j.Unique && m.job.Function == j.Function {
						old = m
					}
				}
				full := old == nil && len(all) >= open || !j.Background && waits(c) >= perConn
				job, fresh, err := s.Submit(c, j, 0, func(n uint64) string { return fmt.Sprint("H:", n) })
				if (err != nil) != full || err == nil && fresh != (old == nil) {
					t.Fatalf("step %d: fresh %v, error %v, full %v, open before %v", step, fresh, err, full, old != nil)
				}
				if err != nil {
					continue
				}
				if fresh {
					old = &model{job: job}
					all = append(all, old)
				} else if old.job != job {
					t.Fatalf("attached to another")
				}
				if !j.Background {
					old.clients = append(old.clients, c)
				}
			case len(all) == 0:
			case k < 7:
				m := all[rng.IntN(len(all))]
				s.SetRunning(m.job, rng.IntN(2) == 0)
			case k < 9:
				i := rng.IntN(len(all))
				m := all[i]
				clients, ok := s.End(now, m.job, true)
				if !ok || !slices.Equal(clients, m.clients) {
					t.Fatalf("step %d: told %v, want %v", step, clients, m.clients)
				}
				if _, again := s.End(now, m.job, true); again {
					t.Fatal("a second end")
				}
				if m.job.Background {
					ended = append(ended, m.job.Handle)
				}
				all = slices.Delete(all, i, i+1)
			default:
				var want []*Job
				all = slices.DeleteFunc(all, func(m *model) bool {
					had := len(m.clients)
					m.clients = slices.DeleteFunc(m.clients, func(d Conn) bool { return d == c })
					if had == 0 || len(m.clients) > 0 || m.job.Background {
						return false
					}
					want = append(want, m.job)
					return true
				})
				if got := s.Disconnect(c); !slices.Equal(got, want) {
					t.Fatalf("step %d: %d abandoned, want %d", step, len(got), len(want))
				}
			}
			counts := map[string]Count{}
			for _, m := range all {
				n := counts[m.job.Function]
				if m.job.Running {
					n.Running++
				} else {
					n.Waiting[m.job.Priority]++
				}
				counts[m.job.Function] = n
				if st := s.Status(now, m.job.Handle); !st.Known || st.Running != m.job.Running || st.Clients != len(m.clients) {
					t.Fatalf("status %+v", st)
				}
			}
			if len(s.counts) != len(counts) || s.Len() != len(all) || len(s.All()) != len(all) {
				t.Fatalf("step %d: %d open, want %d", step, s.Len(), len(all))
			}
			for f, want := range counts {
				if got := s.Count(f); got != want {
					t.Fatalf("step %d: %s %+v, want %+v", step, f, got, want)
				}
			}
			if len(s.ended) > kept {
				t.Fatalf("%d ends kept", len(s.ended))
			}
			if n := len(ended); n > 0 {
				if st := s.Status(now, ended[n-1]); st.Known && (st.Running || st.Numerator != "1") {
					t.Fatalf("ended: %+v", st)
				}
			}
		}
	}
}

// TestWorkerAgainstModel plays a worker with arbitrary behaviour against random picks. Every pick ends exactly once,
// none is reported as never run once it was assigned, and nothing is assigned that was not picked or was taken back.
func TestWorkerAgainstModel(t *testing.T) {
	const (
		picked = iota
		assigned
		never
		ended
	)
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		w := NewWorker[int](time.Second)
		state := map[int]int{}
		function := map[int]string{}
		now, next, asleep := time.Duration(0), 0, false
		set := func(a, from, to int) {
			t.Helper()
			if state[a] != from {
				t.Fatalf("seed %d: attempt %d goes to %d from %d", seed, a, to, state[a])
			}
			state[a] = to
		}
		failed := func(runs []*Run[int]) {
			for _, r := range runs {
				if !r.Abandoned {
					set(r.Attempt, assigned, ended)
				}
			}
		}
		handle := func(a int) string { return fmt.Sprint("H:", a) }
		for range 300 {
			now += time.Duration(rng.IntN(200)) * time.Millisecond
			f := fmt.Sprint("f", rng.IntN(2))
			switch rng.IntN(11) {
			case 0:
				w.CanDo(f, time.Duration(rng.IntN(2))*300*time.Millisecond)
			case 1:
				if rng.IntN(4) == 0 {
					f = ""
				}
				for _, a := range w.CantDo(f) {
					set(a, picked, never)
				}
			case 2, 3:
				next++
				wake, ok := w.Pick(now, next, f)
				if ok != w.Can(f) || wake != (ok && asleep) {
					t.Fatalf("seed %d: wake %v, picked %v, asleep %v", seed, wake, ok, asleep)
				}
				if ok {
					state[next], function[next], asleep = picked, f, false
				}
			case 4:
				if next > 0 {
					a := rng.IntN(next) + 1
					st, known := state[a]
					if dropped := w.Unpick(a); dropped != (known && st == picked) {
						t.Fatalf("dropped %v, state %d", dropped, st)
					} else if dropped {
						state[a] = never
					}
				}
			case 5:
				wake, f := w.PreSleep(now)
				failed(f)
				waits := false
				for _, s := range state {
					waits = waits || s == picked
				}
				if asleep = !wake; wake != waits {
					t.Fatalf("seed %d: woken %v, picks wait %v", seed, wake, waits)
				}
			case 6, 7:
				a, ok, f := w.Grab(now)
				failed(f)
				if asleep = false; ok {
					set(a, picked, assigned)
					if !w.Can(function[a]) {
						t.Fatalf("seed %d: assigned what it can't do", seed)
					}
					w.Assign(now, a, handle(a), function[a])
				}
			case 8, 9:
				if next == 0 {
					continue
				}
				a := rng.IntN(next) + 1
				r := w.Run(handle(a))
				if r == nil {
					if state[a] == assigned {
						t.Fatalf("seed %d: attempt %d is not known", seed, a)
					}
					continue // a late report
				}
				if rng.IntN(4) == 0 {
					r.ExceptionReported = true
					continue
				}
				if !r.Abandoned {
					set(a, assigned, ended)
				}
				w.End(now, handle(a))
			case 10:
				late, overdue := w.Tick(now)
				for _, a := range late {
					set(a, picked, never)
				}
				for _, r := range overdue {
					set(r.Attempt, assigned, ended)
				}
				if len(late) > 0 && w.Available() {
					t.Fatal("an unresponsive worker is available")
				}
			}
		}
		nevers, lost := w.Close()
		for _, a := range nevers {
			set(a, picked, never)
		}
		for _, r := range lost {
			if r.Abandoned {
				continue
			}
			set(r.Attempt, assigned, ended)
		}
		for a, s := range state {
			if s == picked || s == assigned {
				t.Fatalf("seed %d: attempt %d has no end: %d", seed, a, s)
			}
		}
	}
}
