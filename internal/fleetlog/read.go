// Package fleetlog reads the debug logs of many dispatchers and counts over all of them what one log alone can't show: where
// jobs wait, which zones are full, what became of each message and how often it was sent.
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

// Line is a line of a log with its fields as text.
type Line struct {
	Dispatcher string // name of the file without its ending
	At         time.Time
	Message    string // what it says
	Fields     map[string]string
	Text       string // as it stands
}

// Noise counts what could not be used.
type Noise struct {
	Unrecognized int      // lines that are no line of a dispatcher's log
	Truncated    []string // files whose last line has no end
	Foreign      []string // files without one line of a dispatcher's log
}

// maxLine is the longest line taken; the dispatcher's are a few hundred bytes.
const maxLine = 64 << 10

// Read calls each for every line of the logs (*.log) in a folder, file after file. A line that is none of a dispatcher's log, a file
// that ends in the middle of one and a file of another program are counted and passed over.
func Read(dir fs.FS, each func(Line)) (Noise, error) {
	var noise Noise
	names, err := fs.Glob(dir, "*.log")
	if err != nil {
		return noise, err
	}
	if len(names) == 0 {
		return noise, errors.New("no logs (*.log) there")
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
		case errors.Is(err, bufio.ErrBufferFull): // no line of ours: pass over the rest of it
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

// parse reads a line as slog's text or JSON handler writes it. Whoever collects the logs may have put a number before it.
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
			if f, ok := v.(float64); ok { // durations are nanoseconds there
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

// number reads a whole number of a line, or -1.
func (l *Line) number(key string) int {
	n, err := strconv.Atoi(l.Fields[key])
	if err != nil {
		return -1
	}
	return n
}

// duration reads a duration of a line, as text ("1.5ms") or in nanoseconds.
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

// Follow returns the lines about one message of all dispatchers, in the order of their times.
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
