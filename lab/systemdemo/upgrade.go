package systemdemo

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Upgrade is a rolling upgrade: the processes of a running system are restarted one by one with another version of the program, which may
// be an older one.
type Upgrade struct {
	Binary string // program of the target version
	// Order lists the roles in the order in which they are upgraded. If it is empty, the zones are upgraded one after the other.
	Order []string
	// LoseDisk makes a store lose its disk when half of the processes have been upgraded.
	LoseDisk bool
}

const (
	upgradePause    = 1500 * time.Millisecond // between two processes
	shutdownTimeout = 8 * time.Second         // for a planned shutdown
)

// errShutdown is returned if a process did not exit within shutdownTimeout.
var errShutdown = errors.New("process did not shut down in time: see its log")

// sequence returns the machines in the order in which they are upgraded.
func (u *Upgrade) sequence(machines []*machine) ([]*machine, error) {
	if len(u.Order) == 0 {
		return machines, nil
	}
	var sequence []*machine
	for _, role := range u.Order {
		found := ofRole(machines, role)
		if len(found) == 0 {
			return nil, errors.Newf("unknown role %q: want control, store or dispatcher", role)
		}
		if slices.Contains(sequence, found[0]) {
			return nil, errors.Newf("the order names %s twice", role)
		}
		sequence = append(sequence, found...)
	}
	if len(sequence) != len(machines) {
		return nil, errors.New("the order must name control, store and dispatcher once each")
	}
	return sequence, nil
}

// upgrade restarts all processes with the target version while traffic continues.
func (d *demo) upgrade(ctx context.Context, u *Upgrade) error {
	sequence, err := u.sequence(d.machines)
	if err != nil {
		return err
	}
	if pause(ctx, firstFaultDelay) != nil {
		return nil
	}
	for n, m := range sequence {
		if u.LoseDisk && n == len(sequence)/2 {
			if err := d.replaceDisk(ctx); err != nil {
				return err
			}
		}
		if !m.shutDown(shutdownTimeout) {
			return errors.Wrap(errShutdown, m.name)
		}
		if err := m.start(u.Binary); err != nil {
			return err
		}
		d.faults = append(d.faults, "rolled "+m.name)
		if pause(ctx, upgradePause) != nil {
			return errors.New("the traffic ended before all processes were upgraded: use a longer --for")
		}
	}
	return nil
}

// replaceDisk kills the first store, empties its disk and restarts it with the version that it was running.
func (d *demo) replaceDisk(ctx context.Context) error {
	m := ofRole(d.machines, "store")[0]
	m.kill()
	if err := m.loseDisk(); err != nil {
		return err
	}
	d.faults = append(d.faults, "lost the disk of "+m.name)
	_ = pause(ctx, faultDuration)
	if err := m.start(m.binary); err != nil {
		return err
	}
	return pause(ctx, 2*faultDuration)
}
