// Package load reads the load reports of hosts: a header of a response, or a member of a callback.
//
// A report is only a hint for balancing. One that cannot be read is counted, logged the first time, and ignored as a whole; the response or
// callback that carried it is processed as usual.
package load

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"strconv"
	"strings"
	"sync/atomic"

	"liftgauge/internal/jsonval"
)

// Header is the response header that carries a report.
const Header = "Srv-Load"

// MaxTextBytes is the maximum length of a report as text: the settings name at most four values of about twenty bytes each.
const MaxTextBytes = 1 << 10

// Reader reads reports. A nil Reader, for deployments without reports, ignores them. It is safe for concurrent use.
type Reader struct {
	columns    []string // names of the values, in the order that the balance package expects
	log        *slog.Logger
	unreadable atomic.Int64
}

// New returns a Reader of reports with values of these names, or nil if there are none.
func New(columns []string, log *slog.Logger) *Reader {
	if len(columns) == 0 {
		return nil
	}
	return &Reader{columns: columns, log: log}
}

// Unreadable returns the number of reports that could not be read.
func (r *Reader) Unreadable() int64 {
	if r == nil {
		return 0
	}
	return r.unreadable.Load()
}

// ParseText reads a report in the format of the header: name=value pairs, separated by commas, in any order. Values that the settings do not
// name are ignored. An empty text is no report.
func (r *Reader) ParseText(host, text string) []float32 {
	if r == nil || text == "" {
		return nil
	}
	values, err := r.text(text)
	return r.checked(host, values, err)
}

func (r *Reader) text(text string) ([]float32, error) {
	if len(text) > MaxTextBytes {
		return nil, fmt.Errorf("report has %d bytes, the maximum is %d", len(text), MaxTextBytes)
	}
	values, seen := make([]float32, len(r.columns)), 0
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		i := r.column(strings.TrimSpace(name))
		if !ok {
			return nil, errors.New("want name=value")
		}
		if i < 0 {
			continue
		}
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !valid(x) {
			return nil, fmt.Errorf("%s: want a number of at least 0", name)
		}
		if seen&(1<<i) != 0 {
			return nil, fmt.Errorf("%s: reported twice", name)
		}
		values[i] = float32(x)
		seen |= 1 << i
	}
	if seen != 1<<len(r.columns)-1 {
		return nil, errors.New("values are missing")
	}
	return values, nil
}

// ParseBody reads a report that is a complete body: an object, or text in the format of the header. The protocol does not specify the format.
func (r *Reader) ParseBody(host string, body []byte) []float32 {
	body = bytes.TrimSpace(body)
	if r == nil || len(body) == 0 || body[0] != '{' {
		return r.ParseText(host, string(body))
	}
	var p jsonval.Parser
	o, err := p.Parse(body)
	if err != nil {
		return r.checked(host, nil, err)
	}
	return r.object(host, o)
}

// ParseMember reads the report in the member with the given key, if there is one.
func (r *Reader) ParseMember(host string, of jsonval.Object, key string) []float32 {
	if r == nil || !of.Has(key) {
		return nil
	}
	o, ok := of.Part(key)
	if !ok {
		return r.checked(host, nil, errors.New("want an object"))
	}
	return r.object(host, o)
}

func (r *Reader) object(host string, o jsonval.Object) []float32 {
	values := make([]float32, len(r.columns))
	for i, name := range r.columns {
		x := o.Float(name)
		if !o.Has(name) || o.Err() != nil || !valid(x) {
			return r.checked(host, nil, fmt.Errorf("%s: want a number of at least 0", name))
		}
		values[i] = float32(x)
	}
	return values
}

// checked returns the values, or counts and logs a report that cannot be read.
func (r *Reader) checked(host string, values []float32, err error) []float32 {
	if err == nil {
		return values
	}
	if r.unreadable.Add(1) == 1 {
		r.log.Warn("unreadable load report ignored; further ones are only counted", "host", host, "err", err)
	}
	return nil
}

func (r *Reader) column(name string) int {
	for i, c := range r.columns {
		if c == name {
			return i
		}
	}
	return -1
}

// valid reports whether x is a number that balancing can use and a float32 can represent.
func valid(x float64) bool { return x >= 0 && x <= math.MaxFloat32 }
