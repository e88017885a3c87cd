package configuration

import (
	"bytes"
	"strconv"
	"unicode/utf8"

	"github.com/valyala/fastjson"
)

// deepest is how many objects and lists of a body may be nested.
const deepest = 64

// member is one field of an object, in the text that was sent.
type member struct {
	name  string
	key   []byte // with its quotes
	value []byte
}

// document is one JSON object, split into the texts of its fields. What is not read of it is kept as it was sent.
type document struct {
	what    string // for errors
	members []member
}

// readDocument reads one whole JSON object and nothing else. The document refers to the body.
func readDocument(what string, body []byte) (*document, error) {
	const remedy = "send one whole JSON object"
	if !utf8.Valid(body) {
		return nil, refuse(KindMalformed, "the body is not UTF-8: %s", remedy)
	}
	if depth(body) > deepest {
		return nil, refuse(KindMalformed, "the body is nested more than %d deep: %s", deepest, remedy)
	}
	if fastjson.ValidateBytes(body) != nil {
		return nil, refuse(KindMalformed, "the body cannot be read in full: %s", remedy)
	}
	body = bytes.TrimSpace(body)
	if body[0] != '{' {
		return nil, refuse(KindMalformed, "the body is not an object: %s", remedy)
	}
	return &document{what: what, members: splitObject(body)}, nil
}

// find returns the text of the first field of that name, nil if there is none.
func (d *document) find(name string) []byte {
	for i := range d.members {
		if d.members[i].name == name {
			return d.members[i].value
		}
	}
	return nil
}

// set replaces the first field of that name, or adds it at the end.
func (d *document) set(field member) {
	for i := range d.members {
		if d.members[i].name == field.name {
			d.members[i].value = field.value
			return
		}
	}
	d.members = append(d.members, field)
}

// checkOnce refuses a document that has one of the names twice.
func (d *document) checkOnce(names ...string) error {
	for _, name := range names {
		count := 0
		for i := range d.members {
			if d.members[i].name == name {
				count++
			}
		}
		if count > 1 {
			return refuse(KindInvalidField, "%s has the field %s twice: send it once", d.what, name)
		}
	}
	return nil
}

func (d *document) wrong(name, wanted string) error {
	if d.find(name) == nil {
		return refuse(KindInvalidField, "%s has no field %s: send %s", d.what, name, wanted)
	}
	return refuse(KindInvalidField, "%s has a wrong field %s: send %s", d.what, name, wanted)
}

// revision reads the version of a configuration.
func (d *document) revision() (uint64, error) {
	revision, err := strconv.ParseUint(string(d.find(fieldRevision)), 10, 64)
	if err != nil {
		return 0, d.wrong(fieldRevision, "a whole number from 0 on")
	}
	return revision, nil
}

// list returns the texts of a list's items.
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
