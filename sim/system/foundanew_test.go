package system

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/operator"
	"liftgauge/internal/protocol"
	"liftgauge/internal/recovery"
)

// foundAnew performs liftgauge recover --found, and restarts the founder after it has exited.
func (w *World) foundAnew(o recovery.Options, file []byte) (*recovery.Plan, error) {
	ctx, cancel := context.WithTimeout(w.ctx, time.Minute)
	defer cancel()
	var addresses []string
	for _, p := range w.ByRole(protocol.RoleControl) {
		addresses = append(addresses, hostPort(p.IP, controlPort))
	}
	client := operator.New(addresses, &http.Transport{DialContext: w.Net.Host(operatorIP).DialContext, DisableKeepAlives: true})
	accounts, err := client.Accounts(ctx)
	if err != nil {
		return nil, err
	}
	plan, err := recovery.NewPlan(accounts, o)
	if err != nil {
		return nil, err
	}
	if err := client.Found(ctx, plan, file); err != nil {
		return plan, err
	}
	controls := w.ByRole(protocol.RoleControl)
	founder := controls[slices.IndexFunc(controls, func(p *Process) bool { return p.Name == plan.Founder.Name })]
	w.Checker.recordFault("founder " + founder.Name + " ends")
	<-founder.done
	if err := founder.stop(false); err != nil {
		return plan, err
	}
	if err := founder.Start(); err != nil {
		return plan, err
	}
	_, err = client.AwaitFounded(ctx, plan)
	return plan, err
}

// TestControlIsFoundedAnewUnderTraffic loses the disks of a majority of the control processes, or of all, during traffic. After the operator's
// command has founded control anew, nothing that has a copy is lost, no message runs twice without a fault, the order within keys is kept and applied
// configurations are in force. All of that survives a power loss of all machines.
func TestControlIsFoundedAnewUnderTraffic(t *testing.T) {
	survivors := map[string]func(w *World) []*Process{
		"the primary":   func(w *World) []*Process { return []*Process{w.controlPrimary()} },
		"another":       func(w *World) []*Process { return w.others(w.controlPrimary())[:1] },
		"none of three": func(*World) []*Process { return nil },
	}
	for name, survive := range survivors {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(t, Options{Seed: 31, Stores: 4}, func(t *testing.T, w *World) { playFoundAnew(t, w, survive(w)) })
		})
	}
}

func playFoundAnew(t *testing.T, w *World, survivors []*Process) {
	is := is.NewRelaxed(t)
	var lost []*Process
	for _, p := range w.ByRole(protocol.RoleControl) {
		if !slices.Contains(survivors, p) {
			lost = append(lost, p)
		}
	}
	revision := w.Operator.Newest().Revision
	runWithFaults(w, 24*time.Second, func() {
		is.NoErr(loseDisks(lost))
		time.Sleep(time.Second)
		is.NoErr(startEach(lost))
		time.Sleep(2 * time.Second) // they receive the newest state
		plan, err := w.foundAnew(recovery.Options{}, nil)
		is.NoErr(err)
		if err != nil {
			return
		}
		is.Equal(len(plan.Join), 2)
		status, err := w.Operator.Replace(revision, w.Operator.Document(revision+1, fifoRoute, plainRoute, pacedRoute), orderWithin)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		time.Sleep(seconds(bounds.CatchUpS))
		is.True(w.controlFullyReplicated())
		// The new control handles the loss of a store: partitions get other primaries.
		is.NoErr(w.restartWithEmptyDisk(w.ByRole(protocol.RoleStore)[0]))
		time.Sleep(seconds(bounds.CatchUpS))
		is.True(w.fullyReplicated(w.Net.Host(operatorIP)))
	})
	is.NoErr(w.losePowerEverywhere())
	time.Sleep(bounds.Contact())
	is.Equal(w.Operator.Newest().Revision, revision+1)
	is.Equal(w.Checker.Figures().Open, 0)
}

// TestNothingIsFoundedWhileControlWorks checks that the command is refused at any time after the loss of one control process, which is within F.
func TestNothingIsFoundedWhileControlWorks(t *testing.T) {
	play(t, Options{Seed: 32}, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		runWithFaults(w, 12*time.Second, func() {
			is.NoErr(w.controlPrimary().Kill())
			for range 10 {
				_, err := w.foundAnew(recovery.Options{}, nil)
				is.True(err != nil)
				time.Sleep(200 * time.Millisecond)
			}
			is.NoErr(startEach(w.ByRole(protocol.RoleControl)))
			time.Sleep(bounds.Contact())
		})
		is.Equal(w.Checker.Figures().Open, 0)
		is.Equal(fmt.Sprint(w.Checker.Violations()), "[]")
	})
}
