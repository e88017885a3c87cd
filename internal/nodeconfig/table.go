package nodeconfig

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// maxFoundBytes is how many bytes of an invalid value an error shows.
const maxFoundBytes = 60

// document is the state of parsing one file; it keeps the first error.
type document struct {
	file       string
	fieldError *FieldError
}

// table is one table of a document. Each of its reading methods reads one field and records an error in the document.
type table struct {
	document *document
	path     string // ends with a dot; empty for the top-level table
	values   map[string]any
}

func (t table) fail(kind FieldKind, key, found, wanted string) {
	if t.document.fieldError == nil {
		t.document.fieldError = &FieldError{Kind: kind, File: t.document.file, Field: t.path + key, Found: found, Wanted: wanted}
	}
}

func (t table) missing(key, wanted string) { t.fail(FieldMissing, key, "nothing", wanted) }

func (t table) wrongType(key string, value any, wanted string) {
	t.fail(FieldType, key, describe(value), wanted)
}

func (t table) wrongValue(key string, value any, wanted string) {
	t.fail(FieldValue, key, describe(value), wanted)
}

// table returns the table with that name, or an empty one if the file has none.
func (t table) table(key string) table {
	sub := table{document: t.document, path: t.path + key + "."}
	value, ok := t.values[key]
	if !ok {
		return sub
	}
	if sub.values, ok = value.(map[string]any); !ok {
		t.wrongType(key, value, "a table")
	}
	return sub
}

func (t table) text(key, fallback string) string {
	value, ok := t.values[key]
	if !ok {
		return fallback
	}
	text, ok := value.(string)
	if !ok {
		t.wrongType(key, value, "a string")
	}
	return text
}

// checkedText reads an optional string and validates it unless it is empty.
func (t table) checkedText(key, wanted string, valid func(string) bool) string {
	text := t.text(key, "")
	if text != "" && !valid(text) {
		t.wrongValue(key, text, wanted)
	}
	return text
}

func (t table) requiredText(key, wanted string, valid func(string) bool) string {
	value, ok := t.values[key]
	if !ok {
		t.missing(key, wanted)
		return ""
	}
	text, ok := value.(string)
	if !ok {
		t.wrongType(key, value, wanted)
	} else if !valid(text) {
		t.wrongValue(key, text, wanted)
	}
	return text
}

func (t table) requiredTexts(key, wanted string, valid func(string) bool) []string {
	value, ok := t.values[key]
	if !ok {
		t.missing(key, wanted)
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		t.wrongType(key, value, wanted)
		return nil
	}
	if len(list) == 0 {
		t.wrongValue(key, value, wanted)
	}
	texts := make([]string, 0, len(list))
	for _, element := range list {
		text, ok := element.(string)
		if !ok {
			t.wrongType(key, element, wanted)
		} else if !valid(text) {
			t.wrongValue(key, text, wanted)
		}
		texts = append(texts, text)
	}
	return texts
}

func (t table) flag(key string) bool {
	value, ok := t.values[key]
	if !ok {
		return false
	}
	flag, ok := value.(bool)
	if !ok {
		t.wrongType(key, value, "true or false")
	}
	return flag
}

// number reads an integer or a fraction that is not negative.
func (t table) number(key string, fallback float64) float64 {
	const wanted = "a number of at least 0"
	value, ok := t.values[key]
	if !ok {
		return fallback
	}
	var number float64
	switch v := value.(type) {
	case int64:
		number = float64(v)
	case float64:
		number = v
	default:
		t.wrongType(key, value, wanted)
		return fallback
	}
	if !(number >= 0 && number <= math.MaxInt32) {
		t.wrongValue(key, value, wanted)
		return fallback
	}
	return number
}

func (t table) integer(key string) int {
	if _, ok := t.values[key]; !ok {
		return 0
	}
	return t.requiredInteger(key, "how many may be lost at a time")
}

func (t table) requiredInteger(key, wanted string) int {
	wanted += ", an integer of at least 0"
	value, ok := t.values[key]
	if !ok {
		t.missing(key, wanted)
		return 0
	}
	number, ok := value.(int64)
	if !ok {
		t.wrongType(key, value, wanted)
	} else if number < 0 || number > math.MaxInt16 {
		t.wrongValue(key, value, wanted)
	}
	return int(number)
}

func (t table) ports(key string) (ports [2]int) {
	wanted := fmt.Sprintf("the first and the last of at least %d ports, as in [7240, 7255]", minPorts)
	value, ok := t.values[key]
	if !ok {
		t.missing(key, wanted)
		return
	}
	list, ok := value.([]any)
	if !ok || len(list) != len(ports) {
		t.wrongType(key, value, wanted)
		return
	}
	for i, element := range list {
		port, ok := element.(int64)
		if !ok {
			t.wrongType(key, element, wanted)
			return
		}
		if port < 1 || port > math.MaxUint16 {
			t.wrongValue(key, element, wanted)
			return
		}
		ports[i] = int(port)
	}
	if ports[1]-ports[0]+1 < minPorts {
		t.wrongValue(key, value, wanted)
	}
	return ports
}

// describe formats a value of the file for an error.
func describe(value any) string {
	switch v := value.(type) {
	case string:
		if len(v) > maxFoundBytes {
			v = v[:maxFoundBytes]
		}
		return strconv.Quote(v)
	case map[string]any:
		return "a table"
	case []any:
		parts := make([]string, len(v))
		for i, element := range v {
			parts[i] = describe(element)
		}
		text := strings.Join(parts, ", ")
		if len(text) > maxFoundBytes {
			return fmt.Sprintf("a list of %d values", len(v))
		}
		return "[" + text + "]"
	}
	return fmt.Sprint(value)
}
