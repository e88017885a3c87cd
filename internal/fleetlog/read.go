// Package fleetlog reads the debug logs of many dispatchers and aggregates what a single log can't show: where jobs wait, which zones are
// full, the outcome of each message and how often it was sent.
package fleetlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Line is a parsed line of a log with its fields as text.
type Line struct {
	Dispatcher string // name of the file without its extension
	At         time.Time
	Message    string // value of msg
	Fields     map[string]string
	Text       string // the unparsed line
}

// Noise counts lines and files that could not be used.
type Noise struct {
	Unrecognized int      // lines that are not from a dispatcher's log
	Truncated    []string // files whose last line is truncated
	Foreign      []string // files without any line of a dispatcher's log
}

// maxLine is the maximum length of a line; lines of a dispatcher have a few hundred bytes.
const maxLine = 64 << 10

// Read calls each for every line of the logs (*.log) in a directory, file by file. Lines that are not from a dispatcher's log, truncated last
// lines and files of other programs are counted and skipped.
func Read(dir fs.FS, each func(Line)) (Noise, error) {
	var noise Noise
	names, err := fs.Glob(dir, "*.log")
	if err != nil {
		return noise, err
	}
	if len(names) == 0 {
		return noise, errors.New("no logs (*.log) found")
	}
	for _, name := range names {
		f, err := dir.Open(name)
		if err != nil {
			return noise, err
		}
		err = noise.file(name, f, each)
		f.Close()
		if err != nil {
			return noise, fmt.Errorf("%s: %w", name, err)
		}
	}
	return noise, nil
}

func (n *Noise) file(name string, f io.Reader, each func(Line)) error {
	r := bufio.NewReaderSize(f, maxLine)
	good := 0
	for {
		text, err := r.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull): // not a dispatcher's line: skip the rest of it
			n.Unrecognized++
			for errors.Is(err, bufio.ErrBufferFull) {
				_, err = r.ReadSlice('\n')
			}
		case err == nil:
			if line, ok := parse(strings.TrimRight(string(text), "\r\n")); ok {
				line.Dispatcher = strings.TrimSuffix(path.Base(name), ".log")
				good++
				each(line)
			} else if len(text) > 1 {
				n.Unrecognized++
			}
		case errors.Is(err, io.EOF) && len(text) > 0:
			n.Truncated = append(n.Truncated, name)
		}
		if errors.Is(err, io.EOF) {
			if good == 0 {
				n.Foreign = append(n.Foreign, name)
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// parse parses a line as slog's text or JSON handler writes it. Log collectors may have put a number before it.
func parse(text string) (Line, bool) {
	line := Line{Text: text, Fields: map[string]string{}}
	rest := text
	if first, after, ok := strings.Cut(rest, " "); ok {
		if _, err := strconv.ParseFloat(first, 64); err == nil {
			rest = after
		}
	}
	if strings.HasPrefix(rest, "{") {
		var all map[string]any
		if json.Unmarshal([]byte(rest), &all) != nil {
			return line, false
		}
		for k, v := range all {
			if f, ok := v.(float64); ok { // slog's JSON handler writes durations in nanoseconds
				line.Fields[k] = strconv.FormatFloat(f, 'f', -1, 64)
			} else {
				line.Fields[k] = fmt.Sprint(v)
			}
		}
	} else if !fields(rest, line.Fields) {
		return line, false
	}
	at, err := time.Parse(time.RFC3339Nano, line.Fields["time"])
	line.At, line.Message = at, line.Fields["msg"]
	return line, err == nil && line.Message != ""
}

// fields splits key=value pairs; a value with a space in it is quoted.
func fields(text string, into map[string]string) bool {
	for text = strings.TrimLeft(text, " "); text != ""; text = strings.TrimLeft(text, " ") {
		key, rest, ok := strings.Cut(text, "=")
		if !ok || key == "" || strings.ContainsAny(key, " \"") {
			return false
		}
		value, after, _ := strings.Cut(rest, " ")
		if strings.HasPrefix(rest, `"`) {
			quoted, err := strconv.QuotedPrefix(rest)
			if err != nil {
				return false
			}
			if value, err = strconv.Unquote(quoted); err != nil {
				return false
			}
			after = rest[len(quoted):]
		}
		into[key], text = value, after
	}
	return true
}

// number returns an integer field, or -1 if it is absent or invalid.
func (l *Line) number(key string) int {
	n, err := strconv.Atoi(l.Fields[key])
	if err != nil {
		return -1
	}
	return n
}

// duration returns a duration field, given as text ("1.5ms") or in nanoseconds.
func (l *Line) duration(key string) (time.Duration, bool) {
	text, ok := l.Fields[key]
	if !ok {
		return 0, false
	}
	if d, err := time.ParseDuration(text); err == nil {
		return d, true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(n), err == nil
}

// Follow returns the lines of all dispatchers about one message, ordered by time.
func Follow(dir fs.FS, message string) ([]Line, Noise, error) {
	var lines []Line
	noise, err := Read(dir, func(l Line) {
		if l.Fields["message"] == message {
			lines = append(lines, l)
		}
	})
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines, noise, err
}
