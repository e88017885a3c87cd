package jsonval

import "strconv"

// AppendString appends a string as JSON. Bytes that are not valid UTF-8 are written unchanged, and Parser accepts them,
// so that a string reads back as it was written. (The encoder of fastjson quotes control bytes like Go, which is not
// valid JSON.)
func AppendString(b []byte, s string) []byte {
	const hex = "0123456789abcdef"
	b = append(b, '"')
	for i := range len(s) {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < ' ':
			b = append(b, '\\', 'u', '0', '0', hex[c>>4], hex[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}

// Member is a name and a value to write.
type Member struct {
	Name  string
	Value any // string, bool, int, int64, float64, []string, or []byte for encoded JSON
}

// NewMember returns a member.
func NewMember(name string, value any) Member { return Member{name, value} }

// AppendObject appends an object.
func AppendObject(b []byte, members ...Member) []byte {
	b = append(b, '{')
	for i, m := range members {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(AppendString(b, m.Name), ':')
		switch v := m.Value.(type) {
		case string:
			b = AppendString(b, v)
		case bool:
			b = strconv.AppendBool(b, v)
		case int:
			b = strconv.AppendInt(b, int64(v), 10)
		case int64:
			b = strconv.AppendInt(b, v, 10)
		case float64:
			b = strconv.AppendFloat(b, v, 'g', -1, 64)
		case []string:
			b = append(b, '[')
			for j, s := range v {
				if j > 0 {
					b = append(b, ',')
				}
				b = AppendString(b, s)
			}
			b = append(b, ']')
		case []byte:
			b = append(b, v...)
		}
	}
	return append(b, '}')
}
