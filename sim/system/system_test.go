package system

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"

	"liftgauge/internal/protocol"
	"liftgauge/sim/system/virtualnet"
)

// play runs a test in a bubble, on a system that is started and has a configuration, and reports all violations at the end. during is the body of the
// test; it must not return before the traffic that it starts.
func play(t *testing.T, o Options, during func(t *testing.T, w *World)) {
	playPrepared(t, o, func(*World) {}, during)
}

// playPrepared is like play, but calls prepare before any process starts.
func playPrepared(t *testing.T, o Options, prepare func(w *World), during func(t *testing.T, w *World)) {
	o.Folder = t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		if o.Logger == nil && testing.Verbose() {
			o.Logger = zaptest.NewLogger(t, zaptest.Level(zap.InfoLevel))
		}
		w, err := NewWorld(o)
		if err != nil {
			t.Fatal(err)
		}
		defer w.Close()
		prepare(w)
		if err := startConfigured(w); err != nil {
			t.Fatal(err)
		}
		during(t, w)
		w.Operator.ReadBack(15 * time.Second)
		w.Check(100)
		t.Logf("%+v, %d bytes", w.Checker.Figures(), w.Net.Bytes())
		for _, b := range w.Checker.Violations() {
			t.Errorf("%s at %v: %s", b.Rule, b.At, b.Text)
		}
	})
}

func TestAllMessagesSucceedOnceWithoutFaults(t *testing.T) {
	play(t, Options{Seed: 1}, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		traffic(w, 20*time.Second)
		f := w.Checker.Figures()
		is.True(f.Accepted > 500)
		is.Equal(f.Open, 0)    // every accepted message has ended
		is.Equal(f.Repeats, 0) // and succeeded only once
		is.Equal(f.Refused+f.Unanswered, 0)
	})
}

// kill kills a process and starts it again.
func kill(t *testing.T, p *Process, down time.Duration) {
	t.Helper()
	is := is.NewRelaxed(t)
	is.NoErr(p.Kill())
	time.Sleep(down)
	is.NoErr(p.Start())
}

func TestKillOfEachRole(t *testing.T) {
	for _, role := range []protocol.Role{protocol.RoleDispatcher, protocol.RoleControl, protocol.RoleStore} {
		t.Run(role.String(), func(t *testing.T) {
			play(t, Options{Seed: 2}, func(t *testing.T, w *World) {
				runWithFaults(w, 12*time.Second, func() {
					for _, p := range w.ByRole(role) {
						kill(t, p, time.Second)
						time.Sleep(4 * time.Second) // all copies are complete again
					}
				})
				is.New(t).Equal(w.Checker.Figures().Open, 0)
			})
		})
	}
}

func TestStoreLostPermanently(t *testing.T) {
	play(t, Options{Seed: 3, Stores: 4}, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		stores := w.ByRole(protocol.RoleStore)
		runWithFaults(w, 12*time.Second, func() {
			is.NoErr(stores[0].LosePower())
			time.Sleep(bounds.Contact() + 2*time.Second)
			is.NoErr(stores[1].LosePower()) // the data of the first one has been copied elsewhere
		})
		is.Equal(w.Checker.Figures().Open, 0)
	})
}

func TestIsolatedControlPrimaryWithRacingOrders(t *testing.T) {
	for i := range 3 {
		t.Run(fmt.Sprint("cut off ", i+1), func(t *testing.T) {
			play(t, Options{Seed: 4}, func(t *testing.T, w *World) {
				runWithFaults(w, 8*time.Second, func() {
					w.SetIsolated(w.ByRole(protocol.RoleControl)[i].IP, true)
					results := make(chan int)
					for revision := 6; revision <= 7; revision++ {
						d := w.Operator.Document(revision, fifoRoute, plainRoute, pacedRoute)
						w.running.Go(func() {
							status, _ := w.Operator.Replace(5, d, 10*time.Second)
							results <- status
						})
					}
					won := 0
					for range 2 {
						if <-results == http.StatusOK {
							won++
						}
					}
					is.New(t).Equal(won, 1) // exactly one wins; the checker checks that it is the one in force
					time.Sleep(time.Second)
					w.SetIsolated(w.ByRole(protocol.RoleControl)[i].IP, false)
				})
			})
		})
	}
}

func TestPowerLossRightAfterAccept(t *testing.T) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			play(t, Options{Seed: seed}, func(t *testing.T, w *World) {
				is := is.NewRelaxed(t)
				for i := range 3 {
					w.Send(Traffic{Route: fifoRoute, Every: time.Millisecond, Keys: 2, Bytes: 3000}, 20*time.Millisecond, fmt.Sprint("burst-", i))
					is.NoErr(w.losePowerEverywhere())
					time.Sleep(4 * time.Second)
				}
				time.Sleep(8 * time.Second)
				f := w.Checker.Figures()
				is.True(f.Accepted > 0)
				is.Equal(f.Open, 0)
			})
		})
	}
}

func TestPowerLossRightAfterAcknowledgement(t *testing.T) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			play(t, Options{Seed: seed}, func(t *testing.T, w *World) {
				is := is.NewRelaxed(t)
				for revision := 6; revision < 9; revision++ {
					status, err := w.Operator.Replace(revision-1, w.Operator.Document(revision, fifoRoute, plainRoute, pacedRoute), 15*time.Second)
					is.NoErr(err)
					is.Equal(status, http.StatusOK)
					is.NoErr(w.losePowerEverywhere())
				}
			})
		})
	}
}

func TestRollingRestartOfStores(t *testing.T) {
	play(t, Options{Seed: 5}, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		runWithFaults(w, 16*time.Second, func() {
			for _, p := range w.ByRole(protocol.RoleStore) {
				took, killed, err := p.Terminate()
				is.NoErr(err)
				is.True(!killed) // within GraceS
				t.Logf("%s ended within %v", p.Name, took)
				time.Sleep(500 * time.Millisecond)
				is.NoErr(p.Start())
				time.Sleep(bounds.Contact())
			}
		})
		f := w.Checker.Figures()
		is.Equal(f.Open, 0)
		is.Equal(f.Repeats, 0) // a planned shutdown does not excuse repeats
	})
}

func TestRollingRestartOfDispatchers(t *testing.T) {
	play(t, Options{Seed: 6}, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		runWithFaults(w, 16*time.Second, func() {
			for _, p := range w.ByRole(protocol.RoleDispatcher) {
				is.NoErr(p.Restart(500 * time.Millisecond))
				time.Sleep(time.Second)
			}
		})
		f := w.Checker.Figures()
		is.Equal(f.Open, 0)
		is.Equal(f.Repeats, 0)
	})
}

func TestDrainAndRemovedRoute(t *testing.T) {
	play(t, Options{Seed: 7}, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		runWithFaults(w, 12*time.Second, func() {
			w.Platform.Drain(w.Platform.Workers("svc-b")[0])
			w.Platform.Drain(w.Platform.Workers("svc-a")[1])
			time.Sleep(time.Second)
			status, err := w.Operator.Replace(5, w.Operator.Document(9, fifoRoute, plainRoute), 10*time.Second)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			w.Operator.Drop(pacedRoute.PathPrefix)
		})
	})
}

// TestStoreReachableOnlyByDispatchers cuts a store off from control and from all stores, while three dispatchers still reach it: it must stop
// acting as a primary, although it cannot learn of its successors.
func TestStoreReachableOnlyByDispatchers(t *testing.T) {
	play(t, Options{Seed: 8, Edges: 6}, func(t *testing.T, w *World) {
		store := w.ByRole(protocol.RoleStore)[0]
		others := append(w.ByRole(protocol.RoleStore)[1:], w.ByRole(protocol.RoleControl)...)
		runWithFaults(w, 14*time.Second, func() {
			for range 2 {
				w.Checker.recordFault("cut off from control and stores " + store.Name)
				for _, other := range others {
					w.Net.Cut(store.IP, other.IP, false)
					w.Net.Cut(other.IP, store.IP, false)
				}
				time.Sleep(3 * time.Second)
				w.Checker.recordFault("joined " + store.Name)
				for _, other := range others {
					w.Net.Heal(store.IP, other.IP)
					w.Net.Heal(other.IP, store.IP)
				}
				time.Sleep(bounds.Contact())
			}
		})
		f := w.Checker.Figures()
		is := is.NewRelaxed(t)
		is.Equal(f.Open, 0)
		is.Equal(f.Repeats, 0) // the rule allows these after a fault, but the leases prevent them
	})
}

// TestStoreIsolatedTogetherWithADispatcher cuts a store and a dispatcher off together. The store has many messages that become due while its
// successors, on the other side, deliver them; without leases both would deliver them.
func TestStoreIsolatedTogetherWithADispatcher(t *testing.T) {
	play(t, Options{Seed: 11, Edges: 4}, func(t *testing.T, w *World) {
		store, alone := w.ByRole(protocol.RoleStore)[0].IP, w.ByRole(protocol.RoleDispatcher)[3].IP
		cut := func(change func(from, to string)) {
			for _, p := range w.Processes {
				for _, side := range []string{store, alone} {
					if p.IP != store && p.IP != alone {
						change(side, p.IP)
						change(p.IP, side)
					}
				}
			}
		}
		cutAt := time.Now().Add(3 * time.Second)
		w.running.Go(func() {
			time.Sleep(time.Until(cutAt))
			w.Checker.recordFault("cut off " + store + " and " + alone)
			cut(func(from, to string) { w.Net.Cut(from, to, false) })
			time.Sleep(5 * time.Second)
			w.Checker.recordFault("joined")
			cut(w.Net.Heal)
		})
		w.Send(Traffic{Route: plainRoute, Every: 8 * time.Millisecond, Delay: 2500 * time.Millisecond}, 5*time.Second, "delayed")
		time.Sleep(15 * time.Second)
		f := w.Checker.Figures()
		is := is.NewRelaxed(t)
		is.Equal(f.Open, 0)
		// What the store still delivers under its leases runs again elsewhere, as no result can be recorded. After the leases it must not deliver anything.
		const lease, run = 600 * time.Millisecond, 100 * time.Millisecond
		for _, m := range w.Checker.repeatedSuccesses() {
			if after := m.succeeded.Sub(cutAt); after > lease+run {
				t.Errorf("%s succeeded %v after the cut, and again", m.id, after)
			}
		}
	})
}

func TestCutBetweenControlProcessesWithRacingOrders(t *testing.T) {
	for i := range 3 {
		t.Run(fmt.Sprint("pair ", i+1), func(t *testing.T) {
			play(t, Options{Seed: 9}, func(t *testing.T, w *World) {
				controls := w.ByRole(protocol.RoleControl)
				w.running.Go(func() { w.cutPair(controls[i].IP, controls[(i+1)%3].IP, true, false, 6*time.Second) })
				time.Sleep(50 * time.Millisecond)
				base := 5
				for round := range 8 {
					results := make(chan int)
					for k := range 2 {
						d := w.Operator.Document(base+1+round%2+2*k, fifoRoute, plainRoute, pacedRoute)
						w.running.Go(func() {
							status, _ := w.Operator.Replace(base, d, 10*time.Second)
							if status != http.StatusOK {
								d.Revision = 0
							}
							results <- d.Revision
						})
					}
					first, second := <-results, <-results
					is.NewRelaxed(t).True((first == 0) != (second == 0)) // exactly one wins
					base = max(base, first, second)
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// TestFramesWithUnknownFields simulates that all peers of each process run a later version, which adds fields at the end of frames.
func TestFramesWithUnknownFields(t *testing.T) {
	o := Options{Seed: 10}
	o.Net.RewriteFrame = func(_, _ string, frame []byte) []byte {
		const headerSize, refusal = 16, 4
		if len(frame) > headerSize && frame[4] < refusal {
			frame = append(frame, 0xff, 0x01, 0x07, 0x80)
		}
		return frame
	}
	play(t, o, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		runWithFaults(w, 12*time.Second, func() {
			for _, p := range w.ByRole(protocol.RoleStore) {
				kill(t, p, time.Second)
				time.Sleep(bounds.Contact())
			}
		})
		f := w.Checker.Figures()
		is.True(f.Accepted > 300)
		is.Equal(f.Open, 0)
	})
}

var (
	firstSeed = flag.Uint64("system.seed", 1, "seed of the first day of TestDays")
	dayCount  = flag.Int("system.days", days, "days of TestDays")
)

// TestDays plays a random Day for each seed; liftlab system runs more of them.
func TestDays(t *testing.T) {
	for i := range *dayCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			folder, machines := t.TempDir(), 1
			if seed%3 == 0 {
				machines = 2 // machines may be lost at a time
			}
			synctest.Test(t, func(t *testing.T) {
				pages := listLengths[seed%uint64(len(listLengths))]
				w, err := NewWorld(Options{Seed: seed, Folder: folder, Machines: machines, Pages: pages, Net: virtualnet.Options{Loss: 0.01}})
				if err != nil {
					t.Fatal(err)
				}
				defer w.Close()
				if err := Day(w); err != nil {
					t.Error(err)
				}
				f := w.Checker.Figures()
				line, err := json.Marshal(struct {
					Seed uint64
					Figures
					Breaches []Violation
				}{seed, f, w.Checker.Violations()})
				if err != nil {
					t.Fatal(err)
				}
				t.Logf("DAY %s", line)
				for _, b := range w.Checker.Violations() {
					t.Errorf("%s at %v: %s", b.Rule, b.At, b.Text)
				}
				if f.Accepted == 0 {
					t.Error("nothing was accepted")
				}
			})
		})
	}
}
