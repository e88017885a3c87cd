package control

import "strconv"

// Figures are what the dispatcher has counted since its start, and how it stands now.
type Metrics struct {
	Classes     []ClassMetrics
	Forwards    int64 // attempts written whole to hosts
	Outstanding int64 // messages taken and not ended
	Discovered  int64 // hosts in the inventory
	Ejected     int64 // of these, those avoided now
	Extra       []Metric
}

// Figure is one more number with a name of its own.
type Metric struct {
	Name  string
	Value int64
}

// Class counts the messages of one class by how they ended. Every message ends in exactly one way.
type ClassMetrics struct {
	Name                         string
	Succeeded, Declined, Aborted int64
}

const prefix = "edge_lb_"

// Append writes the figures as text, one to a line.
func (f Metrics) Append(b []byte) []byte {
	for _, c := range f.Classes {
		for _, d := range []struct {
			name string
			n    int64
		}{{"succeeded", c.Succeeded}, {"declined", c.Declined}, {"aborted", c.Aborted}} {
			b = append(b, prefix+`results_total{service="`...)
			b = append(b, label(c.Name)...)
			b = append(b, `",disposition="`+d.name+`"} `...)
			b = append(strconv.AppendInt(b, d.n, 10), '\n')
		}
	}
	for _, g := range []struct {
		name string
		n    int64
	}{{"forwards_total", f.Forwards}, {"outstanding", f.Outstanding}, {"discovered", f.Discovered}, {"ejected", f.Ejected}} {
		b = append(b, prefix+g.name+" "...)
		b = append(strconv.AppendInt(b, g.n, 10), '\n')
	}
	for _, m := range f.Extra {
		b = append(b, prefix+m.Name+" "...)
		b = append(strconv.AppendInt(b, m.Value, 10), '\n')
	}
	return b
}

// label escapes a label's value: a class may be named with a quote.
func label(s string) string {
	var b []byte
	for i := range len(s) {
		if s[i] == '"' || s[i] == '\\' {
			b = append(b, '\\')
		}
		b = append(b, s[i])
	}
	return string(b)
}
