package control

import "strconv"

// Metrics holds the dispatcher's counters since its start, and gauges.
type Metrics struct {
	Classes     []ClassMetrics
	Forwards    int64 // attempts completely written to hosts
	Outstanding int64 // messages accepted and not ended
	Discovered  int64 // hosts in the inventory
	Ejected     int64 // those of them that are avoided now
	Extra       []Metric
}

// Metric is a further metric.
type Metric struct {
	Name  string
	Value int64
}

// ClassMetrics counts the messages of one class by outcome. Every message has exactly one.
type ClassMetrics struct {
	Name                         string
	Succeeded, Declined, Aborted int64
}

const prefix = "edge_lb_"

// Append appends the metrics as text, one per line.
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

// label escapes a label's value: a class name may contain a quote.
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
