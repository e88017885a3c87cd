// Package packet reads and writes the packets of the Gearman protocol, as its public specification has them
// (http://gearman.org/protocol/), and the lines of its administrative text protocol, which share a port.
//
// A binary packet is a magic, a type and a size of four bytes each, big-endian, and then its arguments: all but the last
// end with a NUL byte, the last one, mostly the data, is what remains. Nothing that a peer says is trusted for memory: the
// size is told before anything of the body is read.
package packet

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Type is what a packet is for.
type Type uint32

// The types.
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

// requests has the number of arguments of each packet that a client or worker sends; the others are ours to send.
var requests = [last]int8{CanDo: 1, CantDo: 1, ResetAbilities: 0, PreSleep: 0, SubmitJob: 3, GrabJob: 0, WorkStatus: 3, WorkComplete: 2,
	WorkFail: 1, GetStatus: 1, EchoReq: 1, SubmitJobBg: 3, SubmitJobHigh: 3, SetClientID: 1, CanDoTimeout: 2, AllYours: 0,
	WorkException: 2, OptionReq: 1, WorkData: 2, WorkWarning: 2, GrabJobUniq: 0, SubmitJobHighBg: 3, SubmitJobLow: 3,
	SubmitJobLowBg: 3, SubmitJobSched: 8, SubmitJobEpoch: 4, SubmitReduceJob: 4, SubmitReduceJobBg: 4, GrabJobAll: 0, GetStatusUnique: 1,
	0: -1, 5: -1, Noop: -1, JobCreated: -1, NoJob: -1, JobAssign: -1, EchoRes: -1, Error: -1, StatusRes: -1, OptionRes: -1,
	JobAssignUniq: -1, JobAssignAll: -1, StatusResUnique: -1}

// IsRequest says whether packets of the type come from clients or workers.
func (t Type) IsRequest() bool { return t < last && requests[t] >= 0 }

// HeaderSize is how long a header is, in bytes.
const HeaderSize = 12

// Header is what a packet begins with.
type Header struct {
	Type Type
	Size uint32 // of the body
}

// ErrBadMagic says that what came is no packet of a client's or worker's: where it ends is not known.
var ErrBadMagic = errors.New("unknown magic")

var reqMagic, resMagic = []byte("\x00REQ"), []byte("\x00RES")

// MaxLineLength is the most bytes of a line of the text protocol.
const MaxLineLength = 1 << 10

// ErrLineTooLong is a line of the text protocol that is too long.
var ErrLineTooLong = errors.New("line too long")

// Reader reads from one connection. Binary packets and lines of text may come in any order.
type Reader struct {
	*bufio.Reader
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{bufio.NewReaderSize(r, 4<<10)} }

// IsText says whether what comes next is a line of text; it waits for the first byte. No line begins with a NUL, and every
// packet does.
func (r *Reader) IsText() (bool, error) {
	b, err := r.Peek(1)
	return err == nil && b[0] != 0, err
}

// Header reads a packet's header. The body is to be read, or passed by with Discard, before the next.
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

// HasBuffered says whether so many bytes are here already: to read them does not wait.
func (r *Reader) HasBuffered(n int) bool { return r.Buffered() >= n }

// Line reads a line of text without its end.
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

// ErrTooFewArguments says that a body has too few arguments: NUL bytes are missing.
var ErrTooFewArguments = errors.New("too few arguments")

// MaxArguments is the most arguments that a packet has.
const MaxArguments = 8

// Split takes the arguments of a client's or worker's packet apart; they share the body's memory. Where a type has no
// arguments, what came all the same is passed by.
func (t Type) Split(body []byte) (args [MaxArguments][]byte, err error) {
	if !t.IsRequest() {
		return args, errors.New("not a request")
	}
	n := int(requests[t])
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
	// Some clients end the last argument with a NUL as well, where it is a name.
	if n > 0 && t.named() {
		args[n-1] = bytes.TrimSuffix(args[n-1], []byte{0})
		if bytes.IndexByte(args[n-1], 0) >= 0 {
			return args, errors.New("NUL in a name")
		}
	}
	return args, nil
}

// named says whether the last argument of a type is a name, not data.
func (t Type) named() bool {
	switch t {
	case CanDo, CantDo, CanDoTimeout, SetClientID, GetStatus, GetStatusUnique, WorkFail, WorkStatus, OptionReq:
		return true
	}
	return false
}

// Append writes a packet of the server's with its arguments.
func Append[T string | []byte](b []byte, t Type, args ...T) []byte {
	b = append(b, resMagic...)
	return appendRest(b, t, args...)
}

// AppendRequest writes a packet of a client's or worker's.
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
