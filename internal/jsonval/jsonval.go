// Package jsonval reads JSON objects from the network and from files into Go values. Errors name the field.
package jsonval

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// Parser parses JSON texts and reuses its memory: an Object is valid until the next call. It is not safe for concurrent
// use.
type Parser struct{ p fastjson.Parser }

// Parse parses a text that must be one object. Errors in its members are kept by the Object; see Err.
func (p *Parser) Parse(text []byte) (Object, error) {
	v, err := p.p.ParseBytes(text)
	if err != nil {
		line, _, _ := strings.Cut(err.Error(), "\n")
		return Object{}, errors.New(line)
	}
	if v.Type() != fastjson.TypeObject {
		return Object{}, errors.New("want an object")
	}
	return Object{v: v, err: new(error)}, nil
}

// Object reads the members of a JSON object into Go values and keeps the first error. Missing members yield the zero
// value, and members that are not read are ignored.
type Object struct {
	v    *fastjson.Value
	path string
	err  *error
}

// Err returns the first error.
func (o Object) Err() error {
	if o.err == nil {
		return nil
	}
	return *o.err
}

// Has reports whether there is a member of that name that is not null.
func (o Object) Has(key string) bool { return o.get(key) != nil }

// Raw returns the JSON text of a member, or nil.
func (o Object) Raw(key string) []byte {
	if v := o.get(key); v != nil {
		return v.MarshalTo(nil)
	}
	return nil
}

func (o Object) get(key string) *fastjson.Value {
	if o.v == nil {
		return nil
	}
	if v := o.v.Get(key); v != nil && v.Type() != fastjson.TypeNull {
		return v
	}
	return nil
}

// Fail records an error in a member, unless there already is one.
func (o Object) Fail(key, want string) {
	if *o.err == nil {
		*o.err = fmt.Errorf("%s%s: want %s", o.path, key, want)
	}
}

// Object returns a member that is an object; an empty one if it is missing.
func (o Object) Object(key string) Object {
	v := o.get(key)
	if v != nil && v.Type() != fastjson.TypeObject {
		o.Fail(key, "an object")
		v = nil
	}
	return Object{v, o.path + key + ".", o.err}
}

// Part returns a member that is an object and keeps its errors separately; ok is false if there is none.
func (o Object) Part(key string) (part Object, ok bool) {
	v := o.get(key)
	if v == nil || v.Type() != fastjson.TypeObject {
		return Object{}, false
	}
	return Object{v, key + ".", new(error)}, true
}

// array returns the elements of a member.
func (o Object) array(key string) []*fastjson.Value {
	v := o.get(key)
	if v == nil {
		return nil
	}
	all, err := v.Array()
	if err != nil {
		o.Fail(key, "an array")
	}
	return all
}

// Objects returns the elements of a member, which must be objects.
func (o Object) Objects(key string) []Object {
	var all []Object
	for i, v := range o.array(key) {
		at := fmt.Sprintf("%s[%d]", key, i)
		if v.Type() != fastjson.TypeObject {
			o.Fail(at, "an object")
		}
		all = append(all, Object{v, o.path + at + ".", o.err})
	}
	return all
}

// Text returns a string.
func (o Object) Text(key string) string {
	v := o.get(key)
	if v == nil {
		return ""
	}
	b, err := v.StringBytes()
	if err != nil {
		o.Fail(key, "a string")
	}
	return string(b)
}

// Bool returns a boolean.
func (o Object) Bool(key string) bool {
	v := o.get(key)
	if v == nil {
		return false
	}
	b, err := v.Bool()
	if err != nil {
		o.Fail(key, "true or false")
	}
	return b
}

// Float returns a number.
func (o Object) Float(key string) float64 {
	v := o.get(key)
	if v == nil {
		return 0
	}
	f, err := v.Float64()
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) { // the parser accepts them, although they are not valid JSON
		o.Fail(key, "a number")
		return 0
	}
	return f
}

// Int64 returns an integer.
func (o Object) Int64(key string) int64 {
	v := o.get(key)
	if v == nil {
		return 0
	}
	n, err := v.Int64()
	if err != nil {
		if f, err := v.Float64(); err == nil && f == float64(int64(f)) { // accepts 5e9 too
			return int64(f)
		}
		o.Fail(key, "a whole number")
	}
	return n
}

// Duration returns a duration given in nanoseconds.
func (o Object) Duration(key string) time.Duration { return time.Duration(o.Int64(key)) }

// Floats returns the elements of a member, which must be numbers.
func (o Object) Floats(key string) []float64 {
	var all []float64
	for i, v := range o.array(key) {
		f, err := v.Float64()
		if err != nil {
			o.Fail(fmt.Sprintf("%s[%d]", key, i), "a number")
		}
		all = append(all, f)
	}
	return all
}

// Texts returns the elements of a member, which must be strings.
func (o Object) Texts(key string) []string {
	var all []string
	for i, v := range o.array(key) {
		b, err := v.StringBytes()
		if err != nil {
			o.Fail(fmt.Sprintf("%s[%d]", key, i), "a string")
		}
		all = append(all, string(b))
	}
	return all
}
