package replication

import "encoding/binary"

// appendString appends the length of a string and the string.
func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// appendBytes appends the length of a byte slice and the bytes.
func appendBytes(b, value []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(value)))
	return append(b, value...)
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

func appendStrings(b []byte, list []string) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, s := range list {
		b = appendString(b, s)
	}
	return b
}

// appendNested appends the output of f with its length before it, so that later versions can add fields.
func appendNested(b []byte, f func([]byte) []byte) []byte { return appendBytes(b, f(nil)) }

// reader decodes fields from encoded bytes. After the first malformed field, bad is set and all fields read as zero. Fields missing at
// the end, which older senders do not write, read as zero too.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) err() error {
	if r.bad {
		return ErrMalformed
	}
	return nil
}

func (r *reader) fail() {
	r.bad = true
	r.b = nil
}

func (r *reader) uint() uint64 {
	if len(r.b) == 0 {
		return 0
	}
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.b = r.b[n:]
	return v
}

// epoch reads an epoch. One at or above EpochLimit is malformed.
func (r *reader) epoch() uint64 {
	epoch := r.uint()
	if epoch >= EpochLimit {
		r.fail()
		return 0
	}
	return epoch
}

func (r *reader) bool() bool { return r.uint() != 0 }

func (r *reader) bytes() []byte {
	n := r.uint()
	if n > uint64(len(r.b)) {
		r.fail()
		return nil
	}
	v := r.b[:n:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) string() string { return string(r.bytes()) }

// count reads the length of a list whose elements take at least one byte each.
func (r *reader) count() int {
	n := r.uint()
	if n > uint64(len(r.b)) {
		r.fail()
		return 0
	}
	return int(n)
}

func (r *reader) strings() []string {
	n := r.count()
	if n == 0 {
		return nil
	}
	list := make([]string, 0, n)
	for range n {
		list = append(list, r.string())
	}
	return list
}

// nested reads a length and passes a reader of that many bytes to f.
func (r *reader) nested(f func(*reader)) {
	inner := reader{b: r.bytes()}
	f(&inner)
	if inner.bad {
		r.fail()
	}
}

func (v *View) append(b []byte) []byte {
	b = binary.AppendUvarint(b, v.Epoch)
	b = appendString(b, v.Primary)
	b = appendStrings(b, v.Members)
	b = appendStrings(b, v.Learners)
	return appendStrings(b, v.Sources)
}

func (v *View) read(r *reader) {
	v.Epoch = r.epoch()
	v.Primary = r.string()
	v.Members = r.strings()
	v.Learners = r.strings()
	v.Sources = r.strings()
}
