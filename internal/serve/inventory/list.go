package inventory

import (
	"net"
	"slices"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/jsonval"
	"liftgauge/internal/serve/engine"
)

// List is the inventory, or changes to it.
type List struct {
	Revision int64
	Complete bool
	Hosts    []engine.Host
}

// Decoder reads lists. It is not safe for concurrent use.
type Decoder struct {
	Zones, Kinds []string // names, by the scheduler's number
	parser       jsonval.Parser
}

// Decode reads a list. A list with an error is rejected as a whole: in an incomplete list hosts would seem to be removed.
func (d *Decoder) Decode(text []byte) (List, error) {
	o, err := d.parser.Parse(text)
	if err != nil {
		return List{}, err
	}
	l := List{Revision: o.Whole("revision"), Complete: o.Flag("complete")}
	if !o.Has("members") {
		o.Fail("members", "an array")
	}
	for _, m := range o.Objects("members") {
		h := engine.Host{Name: m.Text("id"), Address: m.Text("host_port")}
		h.Worker = balance.Worker{Zone: index(d.Zones, m.Text("locality")), Kind: index(d.Kinds, m.Text("flavor")),
			Cell: int(m.Whole("cell")), Weight: m.Float("size"), Up: up(m.Whole("up_since_ms"))}
		switch m.Text("phase") {
		case "SERVING":
			h.Worker.State = balance.Ready
		case "DRAINING":
			h.Worker.State = balance.Draining
		case "DELETED":
			h.Worker.State = balance.Removed
		default:
			m.Fail("phase", "SERVING, DRAINING or DELETED")
		}
		if h.Name == "" {
			m.Fail("id", "a name")
		}
		if _, _, err := net.SplitHostPort(h.Address); err != nil && h.Worker.State != balance.Removed {
			m.Fail("host_port", "host:port")
		}
		l.Hosts = append(l.Hosts, h)
	}
	return l, o.Err()
}

// Encode writes a list in the form that Decode reads.
func (d *Decoder) Encode(l List) []byte {
	members := []byte{'['}
	for i, h := range l.Hosts {
		if i > 0 {
			members = append(members, ',')
		}
		w := h.Worker
		phase := [...]string{balance.Ready: "SERVING", balance.Draining: "DRAINING", balance.Removed: "DELETED"}[w.State]
		members = jsonval.AppendObject(members, jsonval.Is("id", h.Name), jsonval.Is("host_port", h.Address),
			jsonval.Is("locality", name(d.Zones, w.Zone)), jsonval.Is("flavor", name(d.Kinds, w.Kind)), jsonval.Is("cell", w.Cell),
			jsonval.Is("phase", phase), jsonval.Is("size", w.Weight), jsonval.Is("up_since_ms", w.Up.Milliseconds()))
	}
	return jsonval.AppendObject(nil, jsonval.Is("revision", l.Revision), jsonval.Is("complete", l.Complete), jsonval.Is("members", append(members, ']')))
}

// name is the reverse of index.
func name(names []string, i int) string {
	if i >= 0 && i < len(names) {
		return names[i]
	}
	return ""
}

// index returns the scheduler's number of a name. A name that is not in the settings gets the number after theirs.
func index(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// up converts Unix milliseconds to the scheduler's clock, which has the same origin; 0 stays 0: long ago.
func up(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), int64(1<<62/time.Millisecond))) * time.Millisecond
}
