package configuration

import (
	"bytes"
	"strconv"
	"unicode/utf8"

	"github.com/valyala/fastjson"
)

// maxDepth is the maximum nesting depth of objects and lists in a body.
const maxDepth = 64

// member is one field of an object, as slices of the received text.
type member struct {
	name  string
	key   []byte // including its quotes
	value []byte
}

// document is one JSON object, split into the texts of its fields. Fields that are not decoded are kept byte for byte.
type document struct {
	description string // of the object, for errors
	members     []member
}

// readDocument parses a body that consists of exactly one JSON object. The document refers to the body without copying it.
func readDocument(what string, body []byte) (*document, error) {
	const remedy = "send one whole JSON object"
	if !utf8.Valid(body) {
		return nil, newError(KindMalformed, "the body is not UTF-8: %s", remedy)
	}
	if depth(body) > maxDepth {
		return nil, newError(KindMalformed, "the body is nested more than %d deep: %s", maxDepth, remedy)
	}
	if fastjson.ValidateBytes(body) != nil {
		return nil, newError(KindMalformed, "the body cannot be read in full: %s", remedy)
	}
	body = bytes.TrimSpace(body)
	if body[0] != '{' {
		return nil, newError(KindMalformed, "the body is not an object: %s", remedy)
	}
	return &document{description: what, members: splitObject(body)}, nil
}

// find returns the text of the first field with the name, or nil if there is none.
func (d *document) find(name string) []byte {
	for i := range d.members {
		if d.members[i].name == name {
			return d.members[i].value
		}
	}
	return nil
}

// set replaces the first field with the same name, or appends the field.
func (d *document) set(field member) {
	for i := range d.members {
		if d.members[i].name == field.name {
			d.members[i].value = field.value
			return
		}
	}
	d.members = append(d.members, field)
}

// checkOnce returns an error if one of the names occurs more than once.
func (d *document) checkOnce(names ...string) error {
	for _, name := range names {
		count := 0
		for i := range d.members {
			if d.members[i].name == name {
				count++
			}
		}
		if count > 1 {
			return newError(KindInvalidField, "%s has the field %s twice: send it once", d.description, name)
		}
	}
	return nil
}

func (d *document) wrong(name, wanted string) error {
	if d.find(name) == nil {
		return newError(KindInvalidField, "%s has no field %s: send %s", d.description, name, wanted)
	}
	return newError(KindInvalidField, "%s has a wrong field %s: send %s", d.description, name, wanted)
}

// revision reads the version of a configuration.
func (d *document) revision() (uint64, error) {
	revision, err := strconv.ParseUint(string(d.find(fieldRevision)), 10, 64)
	if err != nil {
		return 0, d.wrong(fieldRevision, "a whole number from 0 on")
	}
	return revision, nil
}

// list returns the texts of the items of a list.
func (d *document) list(name string) ([][]byte, error) {
	value := d.find(name)
	if !isList(value) {
		return nil, d.wrong(name, "a list")
	}
	return splitList(value), nil
}

// append appends the document as JSON.
func (d *document) append(to []byte) []byte {
	to = append(to, '{')
	for i, m := range d.members {
		if i > 0 {
			to = append(to, ',')
		}
		to = append(to, m.key...)
		to = append(to, ':')
		to = append(to, m.value...)
	}
	return append(to, '}')
}

func isObject(value []byte) bool { return len(value) > 0 && value[0] == '{' }
func isList(value []byte) bool   { return len(value) > 0 && value[0] == '[' }
func isNull(value []byte) bool   { return string(value) == "null" }

// joinList returns a list of items as JSON.
func joinList(items [][]byte) []byte {
	list := append([]byte{'['}, bytes.Join(items, []byte{','})...)
	return append(list, ']')
}
