package system

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
	"liftgauge/sim/system/virtualdisk"
)

// lostAnswers is how many of ten responses to orders are lost in TestControlFaults.
const lostAnswers = 3

// TestControlFaults injects each of controlFaults while concurrent operators send orders, lose responses and read: the history is linearizable, no
// read is stale for longer than ConfigApplyMs, and traffic recovers.
func TestControlFaults(t *testing.T) {
	playEach(t, controlFaults, func(t *testing.T, f fault, seed uint64) {
		o := Options{Seed: seed, Control: 4, Edges: 4}
		if seed%2 == 0 {
			o = Options{Seed: seed, Control: 6, Edges: 6, Machines: 2}
		}
		playControlFault(t, o, f)
	})
}

func playControlFault(t *testing.T, o Options, f fault) {
	var history *History
	play(t, o, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		history = &w.Operator.History
		var answers, ended atomic.Int64
		w.Operator.LoseResponse = func() bool { return answers.Add(1)%10 < lostAnswers }
		raceOrders(w, func() bool { return ended.Load() == 0 })
		time.Sleep(2 * time.Second)
		is.NoErr(f.play(w, rand.New(rand.NewPCG(o.Seed, hash(f.name)))))
		back := time.Now()
		time.Sleep(3 * time.Second)
		ended.Store(1)
		time.Sleep(seconds(bounds.RecoveryS) - 2*time.Second)
		w.Send(Traffic{Route: plainRoute, Every: 40 * time.Millisecond}, 2*time.Second, "after")
		w.Checker.checkRecovered(back)
		time.Sleep(2 * time.Second)
	})
	is := is.New(t)
	is.True(history.Len() > 20)
	is.True(history.Linearizable())
}

// TestResentOrderIsAppliedOnce loses the first responses to an order, and sends it again unchanged: to every process, after a change of primary, after
// 10 and 100 later versions, and after the loss of a disk and of all power. It is acknowledged each time, but never applied again.
func TestResentOrderIsAppliedOnce(t *testing.T) {
	play(t, Options{Seed: 12, Control: 4, Edges: 4}, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		controls := w.ByRole(protocol.RoleControl)
		first := w.Operator.Document(7, fifoRoute, plainRoute, pacedRoute)
		rival := first
		rival.Limits.IdleTimeoutMs++ // other content under the same number
		again := func() {
			status, err := w.Operator.Replace(5, first, 15*time.Second)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			status, err = w.Operator.Replace(5, rival, 15*time.Second)
			is.NoErr(err)
			is.Equal(status, http.StatusPreconditionFailed)
		}
		var answers atomic.Int64
		w.Operator.LoseResponse = func() bool { return answers.Add(1) <= int64(len(controls)) }
		again()
		revision := 7
		change := func(count int) {
			for range count {
				status, err := w.Operator.Replace(revision, w.Operator.Document(revision+1, fifoRoute, plainRoute, pacedRoute), 15*time.Second)
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
				revision++
			}
		}
		change(10)
		again()
		kill(t, w.controlPrimary(), 300*time.Millisecond)
		again()
		change(100)
		is.NoErr(w.replaceDiskAndCatchUp(w.controlPrimary()))
		again()
		is.NoErr(w.losePowerEverywhere())
		again()
		is.Equal(w.Operator.Newest().Revision, revision)
	})
}

// TestMemberCatchesUpOnHundredsOfChanges makes 300 changes while a member is without power, isolated or restarted with an empty disk. After CatchUpS
// the member must have all of them: another member loses its disk then.
func TestMemberCatchesUpOnHundredsOfChanges(t *testing.T) {
	ways := map[string]func(w *World, p *Process) (back func() error){
		"without power": func(_ *World, p *Process) func() error {
			_ = p.LosePower()
			return p.Start
		},
		"cut off": func(w *World, p *Process) func() error {
			w.SetIsolated(p.IP, true)
			return func() error {
				w.SetIsolated(p.IP, false)
				return nil
			}
		},
		"with an empty disk": func(_ *World, p *Process) func() error {
			_ = p.LosePower()
			p.Wipe()
			return p.Start
		},
	}
	for name, away := range ways {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(t, Options{Seed: 13, Control: 3}, func(t *testing.T, w *World) {
				is := is.NewRelaxed(t)
				others := w.others(w.controlPrimary())
				back := away(w, others[0])
				for revision := 6; revision <= 305; revision++ {
					d := w.Operator.Document(revision, fifoRoute, plainRoute, pacedRoute)
					for extra := range revision % 40 {
						d.Routes = append(d.Routes, w.Operator.Document(0, Route{
							Name: fmt.Sprint("extra-", extra), PathPrefix: fmt.Sprintf("/extra-%d/", extra), Backend: "svc-b",
						}).Routes...)
					}
					status, err := w.Operator.Replace(revision-1, d, 15*time.Second)
					is.NoErr(err)
					is.Equal(status, http.StatusOK)
				}
				is.NoErr(back())
				time.Sleep(seconds(bounds.CatchUpS))
				is.NoErr(others[1].LosePower()) // the member that was away is needed for a majority now
				others[1].Wipe()
				w.Operator.ReadBack(5 * time.Second)
				is.NoErr(others[1].Start())
				time.Sleep(seconds(bounds.CatchUpS))
			})
		})
	}
}

// TestMajorityRemainsAfterPlannedShutdownAndLoss shuts a control process down as planned and permanently, and takes another's power right after that:
// of four witnesses there is no majority left then, unless the departed one was removed from the set before.
func TestMajorityRemainsAfterPlannedShutdownAndLoss(t *testing.T) {
	for _, which := range []string{"the primary", "another"} {
		t.Run(which, func(t *testing.T) {
			play(t, Options{Seed: 15, Control: 4, Edges: 4}, func(t *testing.T, w *World) {
				is := is.NewRelaxed(t)
				leaving := w.controlPrimary()
				if which == "another" {
					leaving = w.others(leaving)[0]
				}
				_, killed, err := leaving.Terminate()
				is.NoErr(err)
				is.True(!killed)
				is.NoErr(w.others(leaving)[1].LosePower())
				status, err := w.Operator.Replace(5, w.Operator.Document(6, fifoRoute, plainRoute, pacedRoute), 10*time.Second)
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
			})
		})
	}
}

// TestOrdersContinueWhileControlDiskStalls stalls the disk of one control process for longer than an operator waits. The process still votes and
// responds, so its peers have no reason to exclude it.
func TestOrdersContinueWhileControlDiskStalls(t *testing.T) {
	playDiskFault(t, 17, virtualdisk.Fault{Stalled: true})
}

// TestOrdersContinueWhileControlDiskFails does the same with a disk whose writes all fail.
func TestOrdersContinueWhileControlDiskFails(t *testing.T) {
	playDiskFault(t, 18, virtualdisk.Fault{WriteError: errors.New("the disk is full")})
}

// playDiskFault gives the disk of control's primary, or of another control process, a fault for longer than an operator waits: every order is applied
// in time, and control is fully replicated again afterwards.
func playDiskFault(t *testing.T, seed uint64, state virtualdisk.Fault) {
	const span, within = 9 * time.Second, 4 * time.Second
	for _, processes := range []int{3, 4} {
		for _, which := range []string{"the primary", "another"} {
			t.Run(fmt.Sprintf("%s of %d", which, processes), func(t *testing.T) {
				t.Parallel()
				play(t, Options{Seed: seed, Control: processes, Edges: 4}, func(t *testing.T, w *World) {
					is := is.NewRelaxed(t)
					p := w.controlPrimary()
					if which == "another" {
						p = w.others(p)[0]
					}
					w.Checker.recordFault("disk trouble of " + p.Name)
					p.disk.SetFault(state)
					begun := time.Now()
					for revision := 5; time.Since(begun) < span; revision++ {
						status, err := w.Operator.Replace(revision, w.Operator.Document(revision+1, fifoRoute, plainRoute, pacedRoute), within)
						is.NoErr(err)
						is.Equal(status, http.StatusOK)
						time.Sleep(500 * time.Millisecond)
					}
					p.disk.SetFault(virtualdisk.Fault{})
					time.Sleep(bounds.Contact())
					is.True(w.controlFullyReplicated())
				})
			})
		}
	}
}

// TestControlPrimaryCutOffFromStores cuts control's primary off from all stores, while the other control processes reach both the stores and the
// primary. That causes no election, and unless the primary hands over, all stores lose their sessions and all messages are refused during the cut.
func TestControlPrimaryCutOffFromStores(t *testing.T) {
	play(t, Options{Seed: 19, Control: 4, Edges: 4}, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		primary := w.controlPrimary()
		runWithFaults(w, 14*time.Second, func() {
			time.Sleep(4 * time.Second)
			w.cutBetween([]*Process{primary}, w.ByRole(protocol.RoleStore), 5*time.Second)
			time.Sleep(bounds.Contact())
			is.True(w.fullyReplicated(w.Net.Host(operatorIP)))
		})
		f := w.Checker.Figures()
		is.True(f.Refused+f.Unanswered < f.Sent/8) // only those of the dispatcher on the same machine, which is cut off as well; without a hand-over, a third of all
		is.Equal(f.Open, 0)
	})
}

// TestControlFullyReplicatedWithinCatchUp empties the disks of control processes one after another, each as soon as the group is complete again, and
// measures how long the group takes until it tolerates F losses again: all processes are witnesses, F+2 of them members, and none is behind.
func TestControlFullyReplicatedWithinCatchUp(t *testing.T) {
	for _, o := range []Options{
		{Control: 3, Machines: 1}, {Control: 4, Machines: 1}, {Control: 5, Machines: 1}, {Control: 5, Machines: 2},
		{Control: 6, Machines: 2}, {Control: 9, Machines: 2},
	} {
		t.Run(fmt.Sprintf("%d processes, F %d", o.Control, o.Machines), func(t *testing.T) {
			t.Parallel()
			o.Seed, o.Edges = 14, o.Control
			play(t, o, func(t *testing.T, w *World) {
				is := is.NewRelaxed(t)
				for _, which := range []string{"the primary", "another member", "the primary again"} {
					p := w.controlPrimary()
					if which == "another member" {
						p = w.others(p)[0]
					}
					is.NoErr(p.LosePower())
					p.Wipe()
					time.Sleep(500 * time.Millisecond)
					is.NoErr(p.Start())
					back := time.Now()
					for !w.controlFullyReplicated() && time.Since(back) < 2*seconds(bounds.CatchUpS) {
						time.Sleep(replicationPoll)
					}
					took := time.Since(back)
					t.Logf("WHOLE %d processes, F %d, %s: %v after its return", o.Control, o.Machines, which, took.Round(replicationPoll))
					is.True(took <= seconds(bounds.CatchUpS))
				}
			})
		})
	}
}
