// Package nodeconfig reads the settings file of a process: the TOML file that the platform writes for each machine and role.
//
// Unknown fields are ignored. A required field that is missing, or a field with a value of the wrong type, is reported as a [FieldError] of
// one line that names the file, the field, the value found and the values wanted.
package nodeconfig

import (
	"net"
	"slices"
	"strconv"
)

// EnvironmentVariable names the environment variable that holds the path of the settings file.
const EnvironmentVariable = "LIFTGAUGE_CONFIG"

// The capabilities that Serves may list: which outside callers a process serves.
const (
	ServesEdge    = "edge"    // clients
	ServesControl = "control" // workers and the operator
	ServesStorage = "storage" // none; the machine stores data
)

// Settings holds the content of the settings file of one process. A Settings is immutable after it was read.
type Settings struct {
	File string // path of the file, for errors

	NodeName     string // name of the machine
	Role         string // name of the role in the deploy file
	MachineClass string
	Serves       []string // capabilities, as listed by the Serves constants
	Ip           string   // IP address of the machine
	Zone         string
	Region       string

	// InternalPortRange holds the first and the last port that are available for traffic between processes of the system.
	InternalPortRange [2]int
	// SeedNodes holds the ControlPlane addresses of some control processes, as HOST:PORT.
	SeedNodes []string
	// Bootstrap is true only if the whole system starts for the first time.
	Bootstrap bool
	// CountsForQuorum is true for machines that FaultTolerance.Machines counts.
	CountsForQuorum bool
	// DataDir is the data directory on disk, or empty if the machine has no disk.
	DataDir string
	// Zones maps each zone to its region.
	Zones map[string]string

	BindAddresses  BindAddresses
	Limits         Limits
	FaultTolerance FaultTolerance
	Bounds         Bounds
	CloudApi       CloudApi

	content []byte // as read, for Watch
}

// BindAddresses holds the addresses on which a process listens for outside callers; empty for callers that it does not serve.
type BindAddresses struct {
	Frontend     string // clients' requests
	Readiness    string // the platform's readiness checks
	ControlPlane string // the operator's API
}

// Limits holds the resources that the machine gives to the process.
type Limits struct {
	CpuShare      float64 // fraction of a core
	CpuCores      float64 // factor by which that share runs faster
	MemoryMb      int     // the process is killed if it uses more
	MaxOpenFiles  int     // file descriptors
	BandwidthMbps float64 // of the machine's link
	DiskMb        int     // of the machine's disk; 0 if it has none
}

// FaultTolerance holds how many machines, zones and regions may be lost at a time while every guarantee still holds.
type FaultTolerance struct{ Machines, Zones, Regions int }

// CloudApi describes the platform's API for the list of workers.
type CloudApi struct {
	Address  string  // HOST:PORT; empty if none is given
	RatePerS float64 // calls per second that the API accepts from all processes together
	MaxLagMs float64 // maximum age of the list
}

// Copies returns how many disks must hold a record before it counts as durable: one more than may be lost at a time.
func (s *Settings) Copies() int {
	return 1 + max(s.FaultTolerance.Machines, s.FaultTolerance.Zones, s.FaultTolerance.Regions)
}

// HasCapability reports whether Serves lists the capability.
func (s *Settings) HasCapability(capability string) bool {
	return slices.Contains(s.Serves, capability)
}

// SeedAddresses returns the internal control addresses of the seeds: the host of each seed with the first port of the range.
func (s *Settings) SeedAddresses() []string {
	addresses := make([]string, 0, len(s.SeedNodes))
	for _, seed := range s.SeedNodes {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(s.InternalPortRange[0])))
		}
	}
	return addresses
}
