package packet

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// read parses everything that a peer sends, as a server does.
func read(r *Reader) (got []string, err error) {
	for {
		text, err := r.IsText()
		if err != nil {
			return got, err
		}
		if text {
			line, err := r.Line()
			if err != nil {
				return got, err
			}
			got = append(got, "line "+line)
			continue
		}
		h, err := r.Header()
		if err != nil {
			return got, err
		}
		if h.Size > 1<<16 {
			return got, errors.New("too large")
		}
		body := make([]byte, h.Size)
		if _, err := io.ReadFull(r, body); err != nil {
			return got, io.ErrUnexpectedEOF
		}
		args, err := h.Type.Split(body)
		if err != nil {
			got = append(got, h.Type.String()+" "+err.Error())
			continue
		}
		n := requestArguments[h.Type]
		got = append(got, h.Type.String()+" "+string(bytes.Join(args[:n], []byte("|"))))
	}
}

// TestEveryRequest parses each request type with its arguments, in one piece and byte by byte, between lines of text.
func TestEveryRequest(t *testing.T) {
	var in []byte
	var want []string
	for typ := Type(0); typ < last; typ++ {
		if !typ.IsRequest() {
			continue
		}
		args := []string{"a", "b", "c", "d", "e", "f", "g", "data"}[MaxArguments-requestArguments[typ]:]
		in = AppendRequest(in, typ, args...)
		want = append(want, typ.String()+" "+strings.Join(args, "|"))
		in = append(in, "status\r\n"...)
		want = append(want, "line status")
	}
	if len(want) != 60 {
		t.Errorf("%d requests, want 30", len(want)/2)
	}
	for _, r := range []io.Reader{bytes.NewReader(in), iotest.OneByteReader(bytes.NewReader(in))} {
		if got, err := read(NewReader(r)); err != io.EOF || strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Errorf("%v\n%s\nwant\n%s", err, strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
}

func TestUnusualInput(t *testing.T) {
	for _, c := range []struct {
		in, want string
		err      error
	}{
		{"\x00RES\x00\x00\x00\x04\x00\x00\x00\x00", "", ErrBadMagic},
		{"\x00FOO", "", ErrBadMagic},
		{"\x00REQ\x00\x00", "", io.ErrUnexpectedEOF},
		{"\x00REQ\x00\x00\x00\x04\x00\x00\x00\x00", "PRE_SLEEP ", io.EOF},
		{"\x00REQ\x00\x00\x00\x07\x00\x00\x00\x00", "SUBMIT_JOB too few arguments", io.EOF},
		{"\x00REQ\x00\x00\x00\x07\x00\x00\x00\x02\x00\x00", "SUBMIT_JOB ||", io.EOF},
		{"\x00REQ\x00\x00\x00\x07\x00\x00\x00\x05f\x00u\x00\x00", "SUBMIT_JOB f|u|\x00", io.EOF}, // data keeps its bytes
		{"\x00REQ\x00\x00\x00\x01\x00\x00\x00\x02f\x00", "CAN_DO f", io.EOF},                     // a name that ends with NUL
		{"\x00REQ\x00\x00\x00\x01\x00\x00\x00\x03f\x00g", "CAN_DO NUL in a name", io.EOF},
		{"\x00REQ\x00\x00\x00\x63\x00\x00\x00\x01x", "type 99 not a request", io.EOF},
		{"\x00REQ\x00\x00\x00\x06\x00\x00\x00\x00", "NOOP not a request", io.EOF},
		{"\x00REQ\xff\xff\xff\xff\xff\xff\xff\xff", "", errors.New("too large")},
		{strings.Repeat("x", MaxLineLength) + "\n", "", ErrLineTooLong},
		{strings.Repeat("x", 1<<16), "", ErrLineTooLong},
		{"half a line", "", io.ErrUnexpectedEOF},
	} {
		got, err := read(NewReader(strings.NewReader(c.in)))
		if strings.Join(got, "\n") != c.want || err == nil || err.Error() != c.err.Error() {
			t.Errorf("%.40q: %q, %v, want %q, %v", c.in, got, err, c.want, c.err)
		}
	}
}

func TestAppend(t *testing.T) {
	if got := Append(nil, JobAssign, "H:1", "f", "a\x00b"); string(got) != "\x00RES\x00\x00\x00\x0b\x00\x00\x00\x09H:1\x00f\x00a\x00b" {
		t.Errorf("%q", got)
	}
	if got := Append[string](nil, Noop); string(got) != "\x00RES\x00\x00\x00\x06\x00\x00\x00\x00" {
		t.Errorf("%q", got)
	}
}

// FuzzReader checks that any input is read the same way in one piece and byte by byte, and that what was parsed is
// unchanged when it is encoded and parsed again.
func FuzzReader(f *testing.F) {
	f.Add(AppendRequest(nil, SubmitJob, "f", "u", "data"))
	f.Add([]byte("workers\n\x00REQ\x00\x00\x00\x09\x00\x00\x00\x00"))
	f.Add([]byte("\x00REQ\x00\x00\x00\x07\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole, err1 := read(NewReader(bytes.NewReader(in)))
		pieces, err2 := read(NewReader(iotest.OneByteReader(bytes.NewReader(in))))
		if strings.Join(whole, "\n") != strings.Join(pieces, "\n") || err1.Error() != err2.Error() {
			t.Errorf("whole %q %v, in pieces %q %v", whole, err1, pieces, err2)
		}
		r := NewReader(bytes.NewReader(in))
		for {
			h, err := r.Header()
			if err != nil || h.Size > 1<<16 || !r.HasBuffered(int(h.Size)) {
				return
			}
			body := make([]byte, h.Size)
			io.ReadFull(r, body)
			args, err := h.Type.Split(body)
			if err != nil {
				continue
			}
			again := AppendRequest(nil, h.Type, args[:requestArguments[h.Type]]...)
			args2, err := h.Type.Split(again[HeaderSize:])
			if err != nil {
				t.Fatalf("%s: %v", h.Type, err)
			}
			for i := range args {
				if !bytes.Equal(args[i], args2[i]) && !(h.Type.lastIsName() && bytes.HasSuffix(args[i], []byte{0})) {
					t.Errorf("%s: argument %d %q, again %q", h.Type, i, args[i], args2[i])
				}
			}
		}
	})
}
