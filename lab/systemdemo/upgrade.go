package systemdemo

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Upgrade rolls the processes of a running system, one by one, from the program that they were started with to another, which may be an older one.
type Upgrade struct {
	Binary string // of the version to roll to
	// Order names the roles in the order in which they are rolled; none for all of a zone, then those of the next.
	Order []string
	// LoseDisk has a store lose its disk when half of all processes are rolled.
	LoseDisk bool
}

const (
	rollPause  = 1500 * time.Millisecond // between two processes
	rollWithin = 8 * time.Second         // for a planned end
)

// errRoll means that a process did not end as planned.
var errRoll = errors.New("a process did not end as planned: see its log")

// sequence lists the machines in the order in which they are rolled.
func (u *Upgrade) sequence(machines []*machine) ([]*machine, error) {
	if len(u.Order) == 0 {
		return machines, nil
	}
	var sequence []*machine
	for _, role := range u.Order {
		found := ofRole(machines, role)
		if len(found) == 0 {
			return nil, errors.Newf("there is no role %q: want control, store, dispatcher", role)
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

// upgrade rolls all processes while traffic goes on.
func (d *demo) upgrade(ctx context.Context, u *Upgrade) error {
	sequence, err := u.sequence(d.machines)
	if err != nil {
		return err
	}
	if pause(ctx, firstFault) != nil {
		return nil
	}
	for n, m := range sequence {
		if u.LoseDisk && n == len(sequence)/2 {
			if err := d.replaceDisk(ctx); err != nil {
				return err
			}
		}
		if !m.end(rollWithin) {
			return errors.Wrap(errRoll, m.name)
		}
		if err := m.start(u.Binary); err != nil {
			return err
		}
		d.faults = append(d.faults, "rolled "+m.name)
		if pause(ctx, rollPause) != nil {
			return errors.New("the traffic ended before all processes were rolled: give --for more time")
		}
	}
	return nil
}

// replaceDisk has the first store lose its disk, and come back as the version that it was.
func (d *demo) replaceDisk(ctx context.Context) error {
	m := ofRole(d.machines, "store")[0]
	m.kill()
	if err := m.loseDisk(); err != nil {
		return err
	}
	d.faults = append(d.faults, "lost the disk of "+m.name)
	_ = pause(ctx, faultLasting)
	if err := m.start(m.binary); err != nil {
		return err
	}
	return pause(ctx, 2*faultLasting)
}
