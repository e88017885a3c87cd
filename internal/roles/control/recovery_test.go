package control

import (
	"errors"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"

	"liftgauge/internal/agent"
	"liftgauge/internal/operator"
	"liftgauge/internal/protocol"
	"liftgauge/internal/recovery"
	"liftgauge/internal/snapshot"
	"liftgauge/replication"
)

// client returns a client for all control processes of the cluster.
func (c *cluster) client() *operator.Client {
	var addresses []string
	for _, m := range c.machines {
		addresses = append(addresses, m.settings.BindAddresses.ControlPlane)
	}
	return operator.New(addresses, nil)
}

// restartWithEmptyDisks restarts machines with empty disks, all at once.
func (c *cluster) restartWithEmptyDisks(lost ...*machine) {
	c.t.Helper()
	for _, m := range lost {
		c.kill(m)
		c.wipe(m)
	}
	c.start(lost...)
}

// awaitReceived waits until every running control process has received a table with this number of partitions and a revision.
func (c *cluster) awaitReceived(partitions int, revision uint64) {
	c.t.Helper()
	for _, m := range c.machines {
		if m.process != nil {
			c.await(m.process.agent, "the newest state", func(v *agent.View) bool {
				return len(v.Partitions.Partitions) == partitions && revisionOf(v.Configuration) == revision
			})
		}
	}
}

// recover plans and carries out a recovery, and restarts the founder as the platform does.
func (c *cluster) recover(o recovery.Options, file []byte) *recovery.Plan {
	c.t.Helper()
	accounts, err := c.client().Accounts(c.ctx)
	if err != nil {
		c.t.Fatal(err)
	}
	plan, err := recovery.NewPlan(accounts, o)
	if err != nil {
		c.t.Fatal(err)
	}
	founder := c.machines[plan.Founder.Name]
	if err := c.client().Found(c.ctx, plan, file); err != nil {
		c.t.Fatal(err)
	}
	select {
	case <-founder.process.foundedAnew:
	case <-c.ctx.Done():
		c.t.Fatal("the founder has not written its state")
	}
	c.kill(founder)
	c.start(founder)
	if _, err := c.client().AwaitFounded(c.ctx, plan); err != nil {
		c.t.Fatal(err)
	}
	return plan
}

// awaitWitnesses waits until all control processes are witnesses of the generation, and the view has its full number of members.
func (c *cluster) awaitWitnesses(generation uint64) {
	c.t.Helper()
	c.eventually("all to be witnesses of the generation", func() bool {
		complete := false
		c.primary().onLoop(c, func(d *daemon) {
			v := d.elector.View()
			complete = v.Generation == generation && len(v.Witnesses) == len(c.machines) && len(v.Members) == min(len(c.machines), 3)
		})
		return complete
	})
}

const recoveredPartitions = minPartitions

// startRecoverable starts three control processes with two stores and a dispatcher, and has two orders accepted.
func startRecoverable(t *testing.T) (c *cluster, edge *agent.Agent) {
	c = newCluster(t, 3)
	c.startAll()
	c.startStore(11, "d1")
	c.startStore(12, "d1")
	edge = c.startDispatcher(21)
	is := is.New(t)
	is.Equal(c.replace(c.machine(1), 0, configurationOf(1, "one")), http.StatusOK)
	is.Equal(c.replace(c.machine(1), 1, configurationOf(2, "two")), http.StatusOK)
	c.awaitReceived(recoveredPartitions, 2)
	c.noBootstrap()
	return c, edge
}

// Two of three processes lose their disks, which only a recovery can repair. The state of the survivor is kept, including the orders that it
// accepted, partitions get epochs above all that any store may have followed, and a dispatcher receives later orders.
func TestControlIsFoundedAnewFromASurvivor(t *testing.T) {
	is := is.New(t)
	c, edge := startRecoverable(t)
	var before []protocol.PartitionView
	primary := c.primary()
	primary.onLoop(c, func(d *daemon) { before = slices.Clone(d.primary.model.partitions) })
	survivor := c.machine(2)
	c.restartWithEmptyDisks(c.machine(1), c.machine(3))
	c.awaitReceived(recoveredPartitions, 2)

	plan := c.recover(recovery.Options{}, nil)
	is.Equal(plan.Founder.Name, survivor.settings.NodeName)
	is.True(slices.Contains(plan.Findings, "records: all that was acknowledged, from control-2/control (revision 2, 2 orders taken)"))
	c.awaitWitnesses(1)
	revision, text := c.described(c.machine(1))
	is.Equal(revision, uint64(2))
	is.Equal(text, string(configurationOf(2, "two")))
	is.Equal(c.replace(c.machine(3), 0, configurationOf(1, "one")), http.StatusOK) // accepted before the recovery
	is.Equal(c.replace(c.machine(3), 1, configurationOf(2, "rival")), http.StatusPreconditionFailed)
	is.Equal(c.replace(c.machine(3), 2, configurationOf(3, "three")), http.StatusOK)
	c.await(edge, "the third configuration", func(v *agent.View) bool { return revisionOf(v.Configuration) == 3 })
	c.primary().onLoop(c, func(d *daemon) {
		is.Equal(len(d.primary.model.partitions), len(before))
		for n, v := range d.primary.model.partitions {
			is.True(v.Epoch >= before[n].Epoch+replication.RecoveryEpochGap)
		}
	})
}

// All disks of control are lost while stores and dispatchers run: control is founded from the items that the running processes have received.
func TestControlIsFoundedAnewFromPublishedItems(t *testing.T) {
	is := is.New(t)
	c, edge := startRecoverable(t)
	c.restartWithEmptyDisks(c.machine(1), c.machine(2), c.machine(3))
	c.awaitReceived(recoveredPartitions, 2)
	plan := c.recover(recovery.Options{At: "control-3"}, nil)
	is.Equal(plan.Founder.Name, "control-3")
	is.True(plan.Source == nil)
	c.awaitWitnesses(1)
	revision, _ := c.described(c.machine(1))
	is.Equal(revision, uint64(2))
	is.Equal(c.replace(c.machine(1), 0, configurationOf(1, "one")), http.StatusPreconditionFailed) // the order was accepted before, but its record is lost
	is.Equal(c.replace(c.machine(1), 2, configurationOf(3, "three")), http.StatusOK)
	c.await(edge, "the third configuration", func(v *agent.View) bool { return revisionOf(v.Configuration) == 3 })
	c.primary().onLoop(c, func(d *daemon) { is.Equal(len(d.primary.model.partitions), recoveredPartitions) })

	// It can be repeated, in the next generation.
	c.restartWithEmptyDisks(c.machine(1), c.machine(2), c.machine(3))
	c.awaitReceived(recoveredPartitions, 3)
	c.recover(recovery.Options{}, nil)
	is.Equal(c.replace(c.machine(1), 3, configurationOf(4, "four")), http.StatusOK)
}

// Control is founded from a snapshot of a running cluster on machines with other addresses, which have no state.
func TestControlIsFoundedFromASnapshot(t *testing.T) {
	is := is.New(t)
	c, _ := startRecoverable(t)
	file, err := c.client().Snapshot(c.ctx)
	is.NoErr(err)
	taken, err := snapshot.Decode(file)
	is.NoErr(err)
	is.True(taken.Confirmed)
	is.Equal(c.replace(c.machine(1), 2, configurationOf(3, "later")), http.StatusOK)
	var partitions []protocol.PartitionView
	c.primary().onLoop(c, func(d *daemon) { partitions = slices.Clone(d.primary.model.partitions) })

	other := newCluster(t, 3)
	other.noBootstrap()
	other.startAll()
	plan := other.recover(recovery.Options{From: taken}, file)
	other.awaitWitnesses(1)
	is.True(plan.View.Epoch > taken.Epoch)
	revision, _ := other.described(other.machine(1))
	is.Equal(revision, uint64(2))
	is.Equal(other.replace(other.machine(1), 0, configurationOf(1, "one")), http.StatusOK)
	is.Equal(other.replace(other.machine(1), 2, configurationOf(3, "three")), http.StatusOK)
	other.primary().onLoop(other, func(d *daemon) {
		for n, v := range d.primary.model.partitions {
			is.Equal(v.Members, partitions[n].Members)
		}
	})
}

// No recovery is planned while control works, nor while it may work among the processes that do not respond.
func TestNoRecoveryIsPlannedWhileControlMayBeLive(t *testing.T) {
	is := is.New(t)
	c, _ := startRecoverable(t)
	makePlan := func(o recovery.Options) error {
		accounts, err := c.client().Accounts(c.ctx)
		is.NoErr(err)
		_, err = recovery.NewPlan(accounts, o)
		return err
	}
	is.True(errors.Is(makePlan(recovery.Options{}), recovery.ErrControlAvailable))
	c.kill(c.machine(1))
	c.kill(c.machine(2))
	is.True(errors.Is(makePlan(recovery.Options{}), recovery.ErrControlMayBeAvailable))
	is.True(errors.Is(makePlan(recovery.Options{Lost: []string{"control-3"}}), recovery.ErrControlMayBeAvailable))
	is.NoErr(makePlan(recovery.Options{Lost: []string{"control-1", "control-2"}}))
}

// A process with a disk from before a recovery that returns after it joins the new generation as a new process.
func TestDiskFromBeforeARecoveryJoinsTheNewGeneration(t *testing.T) {
	is := is.New(t)
	c, _ := startRecoverable(t)
	old := []*machine{c.machine(1), c.machine(3)}
	for _, m := range old {
		c.kill(m)
	}
	c.start(c.add(4)) // one disk alone is not enough to act as primary
	c.recover(recovery.Options{Lost: []string{"control-1", "control-3"}}, nil)
	c.start(old...)
	c.awaitWitnesses(1)
	is.Equal(c.replace(old[0], 2, configurationOf(3, "three")), http.StatusOK)
	revision, _ := c.described(old[1])
	is.Equal(revision, uint64(3))
}

// A founder rejects a plan whose epoch it has passed, and a plan for another disk.
func TestOutdatedPlanIsRejected(t *testing.T) {
	is := is.New(t)
	c, _ := startRecoverable(t)
	c.restartWithEmptyDisks(c.machine(1), c.machine(3))
	c.awaitReceived(recoveredPartitions, 2)
	accounts, err := c.client().Accounts(c.ctx)
	is.NoErr(err)
	plan, err := recovery.NewPlan(accounts, recovery.Options{})
	is.NoErr(err)
	low := *plan
	low.View = replication.FirstViewOfGeneration(replication.Peer{Member: plan.Founder.Member, Address: plan.Founder.Address}, 1, 1)
	low.Join = nil
	var refused *operator.RefusedError
	is.True(errors.As(c.client().Found(c.ctx, &low, nil), &refused))
	is.Equal(refused.Status, http.StatusConflict)
	other := *plan
	other.View = replication.FirstViewOfGeneration(replication.Peer{Member: "control-2/other", Address: plan.Founder.Address}, plan.View.Epoch, 1)
	other.Join = nil
	is.True(errors.As(c.client().Found(c.ctx, &other, nil), &refused))
	is.Equal(refused.Status, http.StatusConflict)
}
