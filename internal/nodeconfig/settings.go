// Package nodeconfig reads the settings file of a process: the TOML file that the platform writes for each machine and role.
//
// Fields that are not known are ignored. A field that is needed and lacks, or that holds a value of another type than it should, is
// reported as a [FieldError] of one line that names the file, the field, what was found and what was wanted.
package nodeconfig

import (
	"net"
	"slices"
	"strconv"
)

// EnvironmentVariable names the environment variable that holds the path of the settings file.
const EnvironmentVariable = "LIFTGAUGE_CONFIG"

// The words of Serves: who from outside may call a process.
const (
	ServesEdge    = "edge"    // clients
	ServesControl = "control" // workers and the operator
	ServesStorage = "storage" // nobody; the machine keeps data
)

// Settings is what the settings file of one process says. A Settings is not changed after it was read.
type Settings struct {
	File string // path of the file, for errors

	NodeName     string // name of the machine
	Role         string // name of the role in the deploy file
	MachineClass string
	Serves       []string // words of the Serves constants
	Ip           string   // the machine's own address
	Zone         string
	Region       string

	// InternalPortRange holds the first and the last port that are free for what processes say to each other.
	InternalPortRange [2]int
	// SeedNodes holds ControlPlane addresses of some control processes, as HOST:PORT.
	SeedNodes []string
	// Bootstrap is true only when the whole system starts for the first time.
	Bootstrap bool
	// CountsForQuorum is true for machines that FaultTolerance.Machines counts.
	CountsForQuorum bool
	// DataDir is the folder on disk, or empty where the machine has none.
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

// BindAddresses are the addresses that a process listens on for callers from outside; empty where it does not serve them.
type BindAddresses struct {
	Frontend     string // clients' requests
	Readiness    string // the platform's readiness checks
	ControlPlane string // the operator's API
}

// Limits are what the machine gives to the process.
type Limits struct {
	CpuShare      float64 // of a core
	CpuCores      float64 // how many times as fast that share runs
	MemoryMb      int     // the process is killed above it
	MaxOpenFiles  int     // descriptors
	BandwidthMbps float64 // of the machine's link
	DiskMb        int     // of the machine's disk; 0 where there is none
}

// FaultTolerance is what may be lost at one time while every promise is still kept.
type FaultTolerance struct{ Machines, Zones, Regions int }

// CloudApi is where the platform's list of workers is read.
type CloudApi struct {
	Address  string  // HOST:PORT; empty where none is given
	RatePerS float64 // calls a second that the list accepts from all processes together
	MaxLagMs float64 // how far the list runs behind
}

// Copies returns how many disks must hold a record before it counts as kept: one more than may be lost at a time.
func (s *Settings) Copies() int {
	return 1 + max(s.FaultTolerance.Machines, s.FaultTolerance.Zones, s.FaultTolerance.Regions)
}

// HasCapability tells whether Serves holds the word.
func (s *Settings) HasCapability(word string) bool { return slices.Contains(s.Serves, word) }

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
