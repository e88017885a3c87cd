// Package packet reads and writes the packets of the Gearman protocol according to its public specification
// (http://gearman.org/protocol/), and the lines of its administrative text protocol, which shares the port.
//
// A binary packet is a magic number, a type and a size of four bytes each, big-endian, followed by its arguments: all
// but the last end with a NUL byte; the last, usually the data, is the remainder. The header is returned before any of
// the body is read, so that the caller checks the declared size before allocating memory.
package packet

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Type is the type of a packet.
type Type uint32

// The packet types.
const (
	CanDo Type = iota + 1
	CantDo
	ResetAbilities
	PreSleep
	_
	Noop
	SubmitJob
	JobCreated
	GrabJob
	NoJob
	JobAssign
	WorkStatus
	WorkComplete
	WorkFail
	GetStatus
	EchoReq
	EchoRes
	SubmitJobBg
	Error
	StatusRes
	SubmitJobHigh
	SetClientID
	CanDoTimeout
	AllYours
	WorkException
	OptionReq
	OptionRes
	WorkData
	WorkWarning
	GrabJobUniq
	JobAssignUniq
	SubmitJobHighBg
	SubmitJobLow
	SubmitJobLowBg
	SubmitJobSched
	SubmitJobEpoch
	SubmitReduceJob
	SubmitReduceJobBg
	GrabJobAll
	JobAssignAll
	GetStatusUnique
	StatusResUnique
	last
)

var names = [last]string{CanDo: "CAN_DO", CantDo: "CANT_DO", ResetAbilities: "RESET_ABILITIES", PreSleep: "PRE_SLEEP", Noop: "NOOP",
	SubmitJob: "SUBMIT_JOB", JobCreated: "JOB_CREATED", GrabJob: "GRAB_JOB", NoJob: "NO_JOB", JobAssign: "JOB_ASSIGN",
	WorkStatus: "WORK_STATUS", WorkComplete: "WORK_COMPLETE", WorkFail: "WORK_FAIL", GetStatus: "GET_STATUS", EchoReq: "ECHO_REQ",
	EchoRes: "ECHO_RES", SubmitJobBg: "SUBMIT_JOB_BG", Error: "ERROR", StatusRes: "STATUS_RES", SubmitJobHigh: "SUBMIT_JOB_HIGH",
	SetClientID: "SET_CLIENT_ID", CanDoTimeout: "CAN_DO_TIMEOUT", AllYours: "ALL_YOURS", WorkException: "WORK_EXCEPTION",
	OptionReq: "OPTION_REQ", OptionRes: "OPTION_RES", WorkData: "WORK_DATA", WorkWarning: "WORK_WARNING", GrabJobUniq: "GRAB_JOB_UNIQ",
	JobAssignUniq: "JOB_ASSIGN_UNIQ", SubmitJobHighBg: "SUBMIT_JOB_HIGH_BG", SubmitJobLow: "SUBMIT_JOB_LOW",
	SubmitJobLowBg: "SUBMIT_JOB_LOW_BG", SubmitJobSched: "SUBMIT_JOB_SCHED", SubmitJobEpoch: "SUBMIT_JOB_EPOCH",
	SubmitReduceJob: "SUBMIT_REDUCE_JOB", SubmitReduceJobBg: "SUBMIT_REDUCE_JOB_BACKGROUND", GrabJobAll: "GRAB_JOB_ALL",
	JobAssignAll: "JOB_ASSIGN_ALL", GetStatusUnique: "GET_STATUS_UNIQUE", StatusResUnique: "STATUS_RES_UNIQUE"}

func (t Type) String() string {
	if t < last && names[t] != "" {
		return names[t]
	}
	return fmt.Sprintf("type %d", uint32(t))
}

// requestArguments has the number of arguments of each packet that clients and workers send; -1 for all others.
var requestArguments = [last]int8{CanDo: 1, CantDo: 1, ResetAbilities: 0, PreSleep: 0, SubmitJob: 3, GrabJob: 0, WorkStatus: 3, WorkComplete: 2,
	WorkFail: 1, GetStatus: 1, EchoReq: 1, SubmitJobBg: 3, SubmitJobHigh: 3, SetClientID: 1, CanDoTimeout: 2, AllYours: 0,
	WorkException: 2, OptionReq: 1, WorkData: 2, WorkWarning: 2, GrabJobUniq: 0, SubmitJobHighBg: 3, SubmitJobLow: 3,
	SubmitJobLowBg: 3, SubmitJobSched: 8, SubmitJobEpoch: 4, SubmitReduceJob: 4, SubmitReduceJobBg: 4, GrabJobAll: 0, GetStatusUnique: 1,
	0: -1, 5: -1, Noop: -1, JobCreated: -1, NoJob: -1, JobAssign: -1, EchoRes: -1, Error: -1, StatusRes: -1, OptionRes: -1,
	JobAssignUniq: -1, JobAssignAll: -1, StatusResUnique: -1}

// IsRequest reports whether packets of the type are sent by clients or workers.
func (t Type) IsRequest() bool { return t < last && requestArguments[t] >= 0 }

// HeaderSize is the size of a packet header in bytes.
const HeaderSize = 12

// Header is the header of a packet.
type Header struct {
	Type Type
	Size uint32 // of the body
}

// ErrBadMagic is returned for input that is not a packet of a client or worker. Its end cannot be found, so nothing more
// can be read.
var ErrBadMagic = errors.New("unknown magic")

var reqMagic, resMagic = []byte("\x00REQ"), []byte("\x00RES")

// MaxLineLength is the maximum size in bytes of a line of the text protocol.
const MaxLineLength = 1 << 10

// ErrLineTooLong is returned for a line of the text protocol longer than MaxLineLength.
var ErrLineTooLong = errors.New("line too long")

// Reader reads from one connection. Binary packets and lines of text may come in any order.
type Reader struct {
	*bufio.Reader
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{bufio.NewReaderSize(r, 4<<10)} }

// IsText reports whether a line of text comes next; it blocks until the first byte arrives. Every packet starts with a
// NUL byte, and no line does.
func (r *Reader) IsText() (bool, error) {
	b, err := r.Peek(1)
	return err == nil && b[0] != 0, err
}

// Header reads the header of a packet. The caller reads or discards the body before it reads the next.
func (r *Reader) Header() (Header, error) {
	b, err := r.Peek(HeaderSize)
	if len(b) >= 4 && !bytes.Equal(b[:4], reqMagic) {
		return Header{}, ErrBadMagic
	}
	if err != nil {
		if err == io.EOF && len(b) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return Header{}, err
	}
	h := Header{Type(binary.BigEndian.Uint32(b[4:])), binary.BigEndian.Uint32(b[8:])}
	r.Discard(HeaderSize)
	return h, nil
}

// HasBuffered reports whether n bytes can be read without blocking.
func (r *Reader) HasBuffered(n int) bool { return r.Buffered() >= n }

// Line reads a line of text and returns it without its line ending.
func (r *Reader) Line() (string, error) {
	line, err := r.ReadSlice('\n')
	if err == bufio.ErrBufferFull || len(line) > MaxLineLength {
		return "", ErrLineTooLong
	}
	if err != nil {
		if err == io.EOF && len(line) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return "", err
	}
	return string(bytes.TrimRight(line, "\r\n")), nil
}

// ErrTooFewArguments is returned for a body with fewer arguments than its type has.
var ErrTooFewArguments = errors.New("too few arguments")

// MaxArguments is the maximum number of arguments of a packet.
const MaxArguments = 8

// Split splits the body of a client's or worker's packet into arguments, which share its memory. The body of a type
// without arguments is ignored.
func (t Type) Split(body []byte) (args [MaxArguments][]byte, err error) {
	if !t.IsRequest() {
		return args, errors.New("not a request")
	}
	n := int(requestArguments[t])
	for i := range n {
		if i == n-1 {
			args[i] = body
			break
		}
		at := bytes.IndexByte(body, 0)
		if at < 0 {
			return args, ErrTooFewArguments
		}
		args[i], body = body[:at], body[at+1:]
	}
	// Some clients terminate the last argument with a NUL as well if it is a name.
	if n > 0 && t.lastIsName() {
		args[n-1] = bytes.TrimSuffix(args[n-1], []byte{0})
		if bytes.IndexByte(args[n-1], 0) >= 0 {
			return args, errors.New("NUL in a name")
		}
	}
	return args, nil
}

// lastIsName reports whether the last argument of a type is a name and not data.
func (t Type) lastIsName() bool {
	switch t {
	case CanDo, CantDo, CanDoTimeout, SetClientID, GetStatus, GetStatusUnique, WorkFail, WorkStatus, OptionReq:
		return true
	}
	return false
}

// Append appends a packet sent by the server.
func Append[T string | []byte](b []byte, t Type, args ...T) []byte {
	b = append(b, resMagic...)
	return appendRest(b, t, args...)
}

// AppendRequest appends a packet sent by a client or worker.
func AppendRequest[T string | []byte](b []byte, t Type, args ...T) []byte {
	b = append(b, reqMagic...)
	return appendRest(b, t, args...)
}

func appendRest[T string | []byte](b []byte, t Type, args ...T) []byte {
	size := max(len(args)-1, 0)
	for _, a := range args {
		size += len(a)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(t))
	b = binary.BigEndian.AppendUint32(b, uint32(size))
	for i, a := range args {
		if i > 0 {
			b = append(b, 0)
		}
		b = append(b, a...)
	}
	return b
}
