// Package recovery decides how control's group is founded anew by an operator, after a majority of its witnesses or all of its members have
// lost their disks. It is pure: accounts of the processes that answer come in, and a plan goes out, or the reason why there is none.
package recovery

import (
	"liftgauge/internal/protocol"
	"liftgauge/replication"
)

// Account is what one control process says of itself and of what it knows. It is the body of GET /recovery/account.
type Account struct {
	Node         string // key of the process
	Name         string // of its machine
	Member       string // empty without a disk
	Address      string // internal
	ControlPlane string
	Seed         bool // by its own settings
	// Others are the ControlPlane addresses of the other control processes that it has heard of.
	Others       []string
	Active       bool // it is the active primary
	HighestEpoch uint64
	Installed    replication.ControlView // by its own witness
	// Records tell what its disk has of the group, nil where it has nothing.
	Records *Records `json:",omitempty"`
	// Heard is the newest view of control that was published, as everybody hears of it.
	Heard Heard

	Configuration Known // as everybody hears of it
	Partitions    Known
	// Stores names the stores that partitions lie on, by member; Silent those of them that do not answer this process now.
	Stores []string
	Silent []string
}

// Records sums up the records of the group on a disk.
type Records struct {
	Joined   uint64 // the epoch that they are of
	Revision uint64 // of the configuration, 0 without one
	Orders   int    // that were taken
}

// Heard is a view of control as it was published.
type Heard struct {
	Epoch     uint64
	Members   []string
	Witnesses []string
}

// Known is the version of an item, and what it holds.
type Known struct {
	Version protocol.ItemVersion
	Count   uint64 // the configuration's revision, or how many partitions there are
}
