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
	l := List{Revision: o.Int64("revision"), Complete: o.Bool("complete")}
	if !o.Has("members") {
		o.Fail("members", "an array")
	}
	for _, m := range o.Objects("members") {
		h := engine.Host{Name: m.Text("id"), Address: m.Text("host_port")}
		h.Worker = balance.Worker{Zone: index(d.Zones, m.Text("locality")), Kind: index(d.Kinds, m.Text("flavor")),
			Cell: int(m.Int64("cell")), Weight: m.Float("size"), Up: up(m.Int64("up_since_ms"))}
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
		members = jsonval.AppendObject(members, jsonval.NewMember("id", h.Name), jsonval.NewMember("host_port", h.Address),
			jsonval.NewMember("locality", name(d.Zones, w.Zone)), jsonval.NewMember("flavor", name(d.Kinds, w.Kind)), jsonval.NewMember("cell", w.Cell),
			jsonval.NewMember("phase", phase), jsonval.NewMember("size", w.Weight), jsonval.NewMember("up_since_ms", w.Up.Milliseconds()))
	}
	return jsonval.AppendObject(nil, jsonval.NewMember("revision", l.Revision), jsonval.NewMember("complete", l.Complete), jsonval.NewMember("members", append(members, ']')))
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
