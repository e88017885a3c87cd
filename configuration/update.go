package configuration

import (
	"github.com/valyala/fastjson"
)

// Names of fields of an update.
const (
	fieldUpsert = "Upsert"
	fieldRemove = "Remove"
)

// emptyConfiguration is the base of an update if there is no configuration yet.
const emptyConfiguration = `{"Revision":0,"Routes":[],"Services":[]}`

// Replace reads a complete configuration that follows c; c is nil if there is none yet.
func (c *Configuration) Replace(body []byte) (*Configuration, error) {
	next, err := ParseAfter(c, append([]byte(nil), body...))
	if err != nil {
		return nil, err
	}
	if err := c.checkRevision(next.Revision); err != nil {
		return nil, err
	}
	return next, nil
}

// Update applies a change to c, which is nil if there is no configuration yet, and returns the complete configuration that results. Items
// named under Remove are removed first; then items under Upsert replace those with the same name in place, or are appended. Other fields of the
// change replace those of the configuration. Fields of the configuration and of items that are unknown to this package are preserved.
func (c *Configuration) Update(body []byte) (*Configuration, error) {
	change, err := readDocument("the update", body)
	if err != nil {
		return nil, err
	}
	if err := change.checkOnce(fieldRevision, fieldUpsert, fieldRemove); err != nil {
		return nil, err
	}
	revision, err := change.revision()
	if err != nil {
		return nil, err
	}
	if err := c.checkRevision(revision); err != nil {
		return nil, err
	}
	complete, err := c.document()
	if err != nil {
		return nil, err
	}
	if err := complete.apply(change); err != nil {
		return nil, err
	}
	return ParseAfter(c, complete.append(nil))
}

func (c *Configuration) checkRevision(next uint64) error {
	var current uint64
	if c != nil {
		current = c.Revision
	}
	if next <= current {
		return newError(KindRevision, "revision %d is not higher than the current one, %d: send a higher one", next, current)
	}
	return nil
}

// document returns the JSON of c as a document that can be modified.
func (c *Configuration) document() (*document, error) {
	if c == nil {
		return readDocument("the configuration", []byte(emptyConfiguration))
	}
	return readDocument("the configuration", c.Raw)
}

// apply applies the change to the complete configuration d.
func (d *document) apply(change *document) error {
	if err := change.eachList(fieldRemove, d.remove); err != nil {
		return err
	}
	if err := change.eachList(fieldUpsert, d.upsert); err != nil {
		return err
	}
	for _, m := range change.members {
		switch m.name {
		case fieldUpsert, fieldRemove:
		case fieldRoutes, fieldServices:
			return newError(KindInvalidField, "the update has a field %s: send items under %s, or the whole to /config/replace", m.name, fieldUpsert)
		default:
			d.set(m)
		}
	}
	return nil
}

// eachList calls f for each list under the field Upsert or Remove.
func (d *document) eachList(field string, f func(list member, items [][]byte) error) error {
	value := d.find(field)
	if value == nil || isNull(value) {
		return nil
	}
	if !isObject(value) {
		return newError(KindInvalidField, "%s is not an object: send lists by their names, as in {%q: []}", field, fieldRoutes)
	}
	seen := make(map[string]struct{})
	for _, list := range splitObject(value) {
		if _, twice := seen[list.name]; twice || !isList(list.value) {
			return newError(KindInvalidField, "%s.%s is not one list: send one list of items or names", field, list.name)
		}
		seen[list.name] = struct{}{}
		if err := f(list, splitList(list.value)); err != nil {
			return err
		}
	}
	return nil
}

// remove removes the named items from a list of the configuration.
func (d *document) remove(list member, names [][]byte) error {
	removed := make(map[string]struct{}, len(names))
	for _, quoted := range names {
		if quoted[0] != '"' {
			return newError(KindInvalidField, "%s.%s holds %.20s: send names", fieldRemove, list.name, quoted)
		}
		removed[unquote(quoted)] = struct{}{}
	}
	if value := d.find(list.name); len(removed) == 0 || !isList(value) {
		return nil
	}
	var namer itemNamer
	var kept [][]byte
	for _, item := range splitList(d.find(list.name)) {
		if _, ok := removed[namer.name(item)]; !ok {
			kept = append(kept, item)
		}
	}
	list.value = joinList(kept)
	d.set(list)
	return nil
}

// upsert replaces items of a list of the configuration by name, or appends them.
func (d *document) upsert(list member, items [][]byte) error {
	if len(items) == 0 {
		return nil
	}
	var namer itemNamer
	var all [][]byte
	indexes := make(map[string]int)
	if value := d.find(list.name); isList(value) {
		all = splitList(value)
	}
	for i, item := range all {
		indexes[namer.name(item)] = i
	}
	sent := make(map[string]struct{}, len(items))
	for _, item := range items {
		name := namer.name(item)
		if name == "" {
			return newError(KindInvalidField, "%s.%s holds an item without a name: send its %s", fieldUpsert, list.name, fieldName)
		}
		if _, ok := sent[name]; ok {
			return newError(KindDuplicateName, "%s.%s holds %q twice: send it once", fieldUpsert, list.name, name)
		}
		sent[name] = struct{}{}
		if i, ok := indexes[name]; ok {
			all[i] = item
		} else {
			all = append(all, item)
		}
	}
	list.value = joinList(all)
	d.set(list)
	return nil
}

// itemNamer decodes the names of items.
type itemNamer struct{ parser fastjson.Parser }

// name returns the name of an item, or the empty string if it has none.
func (n *itemNamer) name(item []byte) string {
	v, err := n.parser.ParseBytes(item)
	if err != nil {
		return ""
	}
	return string(v.GetStringBytes(fieldName))
}
