package configuration

import (
	"bytes"

	"github.com/valyala/fastjson"
)

// depth returns the maximum nesting depth of objects and lists in a text, which need not be valid JSON.
func depth(text []byte) (deepest int) {
	level := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i) - 1
		case '{', '[':
			level++
			deepest = max(deepest, level)
		case '}', ']':
			level--
		}
	}
	return deepest
}

// splitObject returns the fields of an object; the text must be valid JSON.
func splitObject(text []byte) (members []member) {
	for i := skipSpace(text, 1); text[i] != '}'; {
		end := stringEnd(text, i)
		m := member{name: unquote(text[i:end]), key: text[i:end]}
		i = skipSpace(text, skipSpace(text, end)+1) // the colon
		end = valueEnd(text, i)
		m.value = text[i:end]
		members = append(members, m)
		if i = skipSpace(text, end); text[i] == ',' {
			i = skipSpace(text, i+1)
		}
	}
	return members
}

// splitList returns the items of a list; the text must be valid JSON.
func splitList(text []byte) (items [][]byte) {
	for i := skipSpace(text, 1); text[i] != ']'; {
		end := valueEnd(text, i)
		items = append(items, text[i:end])
		if i = skipSpace(text, end); text[i] == ',' {
			i = skipSpace(text, i+1)
		}
	}
	return items
}

// valueEnd returns the index after the value that begins at i.
func valueEnd(text []byte, i int) int {
	if text[i] == '"' {
		return stringEnd(text, i)
	}
	for level := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i) - 1
		case '{', '[':
			level++
		case '}', ']':
			if level == 0 {
				return i // closes the object or list around a number or literal
			}
			if level--; level == 0 {
				return i + 1
			}
		case ',', ' ', '\t', '\r', '\n':
			if level == 0 {
				return i
			}
		}
	}
	return i
}

// stringEnd returns the index after the closing quote of the string that begins at i.
func stringEnd(text []byte, i int) int {
	for i++; i < len(text); i++ {
		switch text[i] {
		case '"':
			return i + 1
		case '\\':
			i++ // skip the escaped character
		}
	}
	return len(text)
}

func skipSpace(text []byte, i int) int {
	for i < len(text) && (text[i] == ' ' || text[i] == '\t' || text[i] == '\r' || text[i] == '\n') {
		i++
	}
	return i
}

// unquote decodes a JSON string.
func unquote(quoted []byte) string {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return string(quoted[1 : len(quoted)-1])
	}
	v, err := fastjson.ParseBytes(quoted)
	if err != nil {
		return string(quoted)
	}
	return string(v.GetStringBytes())
}
