// Package recovery plans how an operator founds the control group anew after a majority of its witnesses or all of its members have lost
// their disks. It does no I/O: it turns the accounts of the processes that respond into a plan, or an error that explains why there is none.
package recovery

import (
	"liftgauge/internal/protocol"
	"liftgauge/replication"
)

// Account is the state of one control process, with its view of the system. It is the body of GET /recovery/account.
type Account struct {
	Node         string // key of the process
	Name         string // name of its machine
	Member       string // member id; empty without a disk
	Address      string // internal address
	ControlPlane string
	Seed         bool // according to its settings
	// Others holds the ControlPlane addresses of the other control processes that it has discovered.
	Others       []string
	Active       bool // the process is the active primary
	HighestEpoch uint64
	Installed    replication.ControlView // the view installed by its witness
	// Records summarizes the records of the group on its disk; nil if there are none.
	Records *Records `json:",omitempty"`
	// Heard is the newest published view of control that the process has received.
	Heard Heard

	Configuration Known // as received through dissemination
	Partitions    Known
	// Stores lists the member ids of the stores that hold partitions; Silent those among them that currently do not respond to this process.
	Stores []string
	Silent []string
}

// Records summarizes the records of the group on a disk.
type Records struct {
	Joined   uint64 // epoch of the records
	Revision uint64 // revision of the configuration, 0 without one
	Orders   int    // number of orders applied
}

// Heard is a published view of control.
type Heard struct {
	Epoch     uint64
	Members   []string
	Witnesses []string
}

// Known is the version of a disseminated item with a summary of its content.
type Known struct {
	Version protocol.ItemVersion
	Count   uint64 // revision of the configuration, or number of partitions
}
