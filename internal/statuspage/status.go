// Package statuspage is the body of GET /status of a control process: what it knows of the system, and how that is printed.
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

// Page is what one control process knows of the system.
type Page struct {
	Node         string
	Member       string
	Active       bool // this process is the active primary
	Epoch        uint64
	Primary      string // member
	PrimaryPlane string // where the primary serves the operator
	Members      []string
	Learners     []string
	Witnesses    []string
	LossesBorne  int      // witnesses that may be lost at once
	LossesAsked  int      // by FaultTolerance
	Blocked      []string `json:",omitempty"` // members that writes wait for
	Orders       int      // under way there
	Nodes        []Node
	Partitions   Partitions
	Stores       []Store `json:",omitempty"` // the primary only
	Workers      int
	ListReader   bool // that process reads the platform's list
}

// Node is a process with a session.
type Node struct {
	Key, Role, Zone, Address, Member string
	Incarnation                      uint64
	Leaving                          bool `json:",omitempty"`
}

// Partitions sums up the partition table.
type Partitions struct {
	Count    int
	Primary  map[string]int // partitions led, by member
	Learners int            // partitions that have learners
	Short    int            // partitions with fewer members than FaultTolerance asks copies for
	// Waiting counts the partitions that rest until a disk is back or given up; WaitsFor names these disks by member. The primary only.
	Waiting  int      `json:",omitempty"`
	WaitsFor []string `json:",omitempty"`
}

// Store is a store as placement sees it.
type Store struct {
	Member   string
	Live     bool
	Retiring bool `json:",omitempty"`
	Emptied  bool `json:",omitempty"`
	// Abandoned says that the operator has given up the disk.
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
