package configuration

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// maxDuration is the upper bound to which longer durations in a configuration are clamped.
const maxDuration = 365 * 24 * time.Hour

// fields decodes the known fields of JSON objects, one object after the other. The first error is kept in err.
type fields struct {
	kind   string // what the objects are, used in errors
	item   int    // number of the current object, counted from 1
	names  []string
	parser fastjson.Parser
	values []*fastjson.Value // by index in names; nil if the field is absent
	err    error
}

func newFields(kind string, names []string) *fields {
	return &fields{kind: kind, names: names, values: make([]*fastjson.Value, len(names))}
}

// read parses the next object; the text must be valid JSON. It invalidates the values of the previous object.
func (f *fields) read(text []byte) {
	clear(f.values)
	f.item++
	v, err := f.parser.ParseBytes(text)
	if err == nil {
		var object *fastjson.Object
		if object, err = v.Object(); err == nil {
			object.Visit(f.setValue)
			return
		}
	}
	f.fail(KindInvalidField, "%s is not an object: send one with the field %s", f.describe(), f.names[0])
}

// skip counts an object that need not be decoded.
func (f *fields) skip() { f.item++ }

func (f *fields) setValue(key []byte, value *fastjson.Value) {
	for i, name := range f.names {
		if name != string(key) {
			continue
		}
		if f.values[i] != nil {
			f.fail(KindInvalidField, "%s has the field %s twice: send it once", f.describe(), name)
		}
		f.values[i] = value
	}
}

// describe returns a description of the current object for errors.
func (f *fields) describe() string {
	if f.kind == fieldLimits {
		return f.kind
	}
	return f.kind + " " + strconv.Itoa(f.item)
}

func (f *fields) fail(kind Kind, format string, arguments ...any) {
	if f.err == nil {
		f.err = newError(kind, format, arguments...)
	}
}

func (f *fields) wrong(name, wanted string) {
	if f.value(name) == nil {
		f.fail(KindInvalidField, "%s has no field %s: send %s", f.describe(), name, wanted)
		return
	}
	f.fail(KindInvalidField, "%s has a wrong field %s: send %s", f.describe(), name, wanted)
}

func (f *fields) value(name string) *fastjson.Value {
	for i, known := range f.names {
		if known == name {
			return f.values[i]
		}
	}
	return nil
}

// text reads a string; a field that is absent or null yields the empty string.
func (f *fields) text(name string) string {
	v := f.value(name)
	if v == nil || v.Type() == fastjson.TypeNull {
		return ""
	}
	b, err := v.StringBytes()
	if err != nil {
		f.wrong(name, "a text")
	}
	return string(b)
}

func (f *fields) requiredText(name string) string {
	v := f.value(name)
	if v == nil || v.Type() != fastjson.TypeString || len(v.GetStringBytes()) == 0 {
		f.wrong(name, "a text that is not empty")
		return ""
	}
	return string(v.GetStringBytes())
}

func (f *fields) flag(name string) bool {
	v := f.value(name)
	if v == nil {
		return false
	}
	flag, err := v.Bool()
	if err != nil {
		f.wrong(name, "true or false")
	}
	return flag
}

// number reads a number that is not negative; an absent field yields 0.
func (f *fields) number(name string) float64 {
	v := f.value(name)
	if v == nil {
		return 0
	}
	number, err := v.Float64()
	if err != nil || !(number >= 0) || math.IsInf(number, 0) {
		f.wrong(name, "a number from 0 on")
		return 0
	}
	return number
}

// integer reads an integer that is not negative. An absent field and 0 yield the fallback.
func (f *fields) integer(name string, fallback int) int {
	number := f.number(name)
	if number != math.Trunc(number) {
		f.wrong(name, "a whole number from 0 on")
	}
	if number == 0 {
		return fallback
	}
	return int(min(number, math.MaxInt32))
}

// duration reads a duration as a number of units. An absent field and 0 yield the fallback.
func (f *fields) duration(name string, unit, fallback time.Duration) time.Duration {
	number := f.number(name)
	if number == 0 {
		return fallback
	}
	return toDuration(number, unit)
}

// timeout reads the time limit, in milliseconds, for a delivery on the route.
func (f *fields) timeout(name, route string) time.Duration {
	number := 0.0
	if v := f.value(name); v != nil {
		number, _ = v.Float64()
	}
	if !(number > 0) {
		f.fail(KindInvalidTimeout, "route %q has no %s above 0: send how many milliseconds a delivery may take", route, name)
		return 0
	}
	return toDuration(number, time.Millisecond)
}

func toDuration(number float64, unit time.Duration) time.Duration {
	return max(1, time.Duration(min(number*float64(unit), float64(maxDuration))))
}
