package jsonval

import "strconv"

// AppendString writes a string as JSON. Bytes that are not UTF-8 go as they are, which Parser takes: what one process
// writes another must read as it was. (fastjson's own writer quotes control bytes as Go does, not as JSON does.)
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

// Member is a name and a value to be written.
type Member struct {
	Name  string
	Value any // string, bool, int, int64, float64, []string, or []byte for what is JSON already
}

// NewMember returns a member.
func NewMember(name string, value any) Member { return Member{name, value} }

// AppendObject writes an object.
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
