// Package statuspage defines the body of GET /status of a control process, and prints it as text.
package statuspage

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"liftgauge/replication"
)

// Page is the status of the system as seen by one control process.
type Page struct {
	Node         string
	Member       string
	Active       bool // this process is the active primary
	Epoch        uint64
	Primary      string // member id of the primary
	PrimaryPlane string // ControlPlane address of the primary
	Members      []string
	Learners     []string
	Witnesses    []string
	LossesBorne  int      // number of witnesses that may be lost at once
	LossesAsked  int      // number of losses that FaultTolerance requires
	Blocked      []string `json:",omitempty"` // members whose acknowledgement pending writes are waiting for
	Orders       int      // pending at the process
	Nodes        []Node
	Partitions   Partitions
	Stores       []Store `json:",omitempty"` // reported by the primary only
	Workers      int
	ListReader   bool // the process reads the platform's list of workers
}

// Node is a process with a session.
type Node struct {
	Key, Role, Zone, Address, Member string
	Incarnation                      uint64
	Leaving                          bool `json:",omitempty"`
}

// Partitions summarizes the partition table.
type Partitions struct {
	Count    int
	Primary  map[string]int // number of partitions by member id of the primary
	Learners int            // number of partitions with learners
	Short    int            // number of partitions with fewer members than FaultTolerance requires
	// Waiting counts the partitions that are unavailable until a disk returns or is abandoned; WaitsFor lists the member ids of these disks.
	// Both are reported by the primary only.
	Waiting  int      `json:",omitempty"`
	WaitsFor []string `json:",omitempty"`
}

// Store is a store as placement sees it.
type Store struct {
	Member   string
	Live     bool
	Retiring bool `json:",omitempty"`
	Emptied  bool `json:",omitempty"`
	// Abandoned is set if the operator has abandoned the disk.
	Abandoned bool `json:",omitempty"`
}

// Print writes the status as plain text.
func (s *Page) Print(out io.Writer) error {
	role := "not primary"
	if s.Active {
		role = "primary"
	}
	fmt.Fprintf(out, "as seen by %s (%s)\n", s.Node, role)
	fmt.Fprintf(out, "control: epoch %d, primary %s at %s\n", s.Epoch, cmp.Or(s.Primary, "unknown"), cmp.Or(s.PrimaryPlane, "unknown"))
	fmt.Fprintf(out, "  members %s; learners %s; witnesses %s\n", list(s.Members), list(s.Learners), list(s.Witnesses))
	if s.Epoch > 0 && s.LossesBorne < s.LossesAsked {
		fmt.Fprintf(out, "  control bears the loss of %d of its witnesses, FaultTolerance asks for %d: run control on %d machines with a disk\n",
			s.LossesBorne, s.LossesAsked, replication.WitnessesFor(s.LossesAsked))
	}
	if len(s.Blocked) > 0 {
		fmt.Fprintf(out, "  writes wait for %s\n", list(s.Blocked))
	}
	fmt.Fprintf(out, "orders under way: %d; workers on the list: %d\n", s.Orders, s.Workers)
	fmt.Fprintf(out, "partitions: %d, of these %d with learners, %d short of copies\n\n",
		s.Partitions.Count, s.Partitions.Learners, s.Partitions.Short)
	if s.Partitions.Waiting > 0 {
		fmt.Fprintf(out, "%d partitions rest until these disks are back, or given up by liftgauge abandon: %s\n\n",
			s.Partitions.Waiting, list(s.Partitions.WaitsFor))
	}
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "process\tzone\taddress\tmember\tstate")
	for _, n := range s.Nodes {
		state := "live"
		if n.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", n.Key, n.Zone, n.Address, cmp.Or(n.Member, "-"), state)
	}
	s.printStores(w)
	return w.Flush()
}

func (s *Page) printStores(w io.Writer) {
	states := make(map[string]string)
	for member := range s.Partitions.Primary {
		states[member] = "-"
	}
	for _, store := range s.Stores {
		states[store.Member] = store.state()
	}
	if len(states) == 0 {
		return
	}
	fmt.Fprintln(w, "\nstore\tpartitions led\tstate")
	for _, member := range slices.Sorted(maps.Keys(states)) {
		fmt.Fprintf(w, "%s\t%d\t%s\n", member, s.Partitions.Primary[member], states[member])
	}
}

func (s Store) state() string {
	state := "gone"
	if s.Live {
		state = "live"
	}
	switch {
	case s.Abandoned:
		return state + ", given up"
	case s.Emptied:
		return state + ", empty"
	case s.Retiring:
		return state + ", being emptied"
	}
	return state
}

func list(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
