package workerlist

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"
)

// Error kinds, for use with errors.Is.
var (
	// ErrMalformed marks a response that is not a valid page of the list. The list stays unchanged.
	ErrMalformed = errors.New("the platform's response is not a valid page of the worker list")
	// ErrRefused marks a call that exceeded the platform's rate limit.
	ErrRefused = errors.New("the platform's rate limit was exceeded")
	// ErrStatus marks a response with a status other than 200, or a request without a response.
	ErrStatus = errors.New("the platform did not return its worker list")
)

const stateReady = "ready"

// Upper bounds; larger values in a response are clamped.
const (
	maxCapacity = 1 << 20
	maxColdMs   = 24 * 3600 * 1000
)

func malformed(format string, args ...any) error {
	return errors.Mark(errors.Newf("invalid page of the worker list: "+format+"; it will be requested again, check CloudApi.Address if this persists", args...), ErrMalformed)
}

// ParsePage parses one response of the platform. next is the token of the next page, empty on the last page. A truncated
// response, or one with an entry without identity, is an error, so that it never removes a worker from the list.
func ParsePage(body []byte) (workers []Worker, next string, err error) {
	root, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, "", malformed("invalid JSON: %v", err)
	}
	if root.Type() != fastjson.TypeObject {
		return nil, "", malformed("got %s, want an object", root.Type())
	}
	list := root.Get("Instances")
	if list == nil || list.Type() != fastjson.TypeArray {
		return nil, "", malformed("Instances is missing or not an array")
	}
	if next, err = parseToken(root.Get("NextPageToken")); err != nil {
		return nil, "", err
	}
	entries := list.GetArray()
	workers = make([]Worker, 0, len(entries))
	for n, entry := range entries {
		w, err := parseEntry(entry)
		if err != nil {
			return nil, "", errors.Wrapf(err, "entry %d", n)
		}
		workers = append(workers, w)
	}
	return workers, next, nil
}

func parseToken(v *fastjson.Value) (string, error) {
	switch {
	case v == nil || v.Type() == fastjson.TypeNull:
		return "", nil
	case v.Type() == fastjson.TypeString:
		return string(v.GetStringBytes()), nil
	}
	return "", malformed("NextPageToken is %s, want a string or null", v.Type())
}

func parseEntry(v *fastjson.Value) (Worker, error) {
	if v.Type() != fastjson.TypeObject {
		return Worker{}, malformed("got %s, want an object", v.Type())
	}
	text := func(name string) string { return string(v.GetStringBytes(name)) }
	w := Worker{
		ID: text("Id"), Service: text("Backend"), Address: text("Address"), Zone: text("Zone"), Revision: text("Revision"),
		Capacity:      int(min(max(1, v.GetFloat64("Capacity")), maxCapacity)),
		Draining:      text("State") != stateReady,
		ColdRemaining: time.Duration(min(max(0, v.GetFloat64("ColdRemainingMs")), maxColdMs) * float64(time.Millisecond)),
	}
	if w.ID == "" || w.Service == "" || w.Address == "" || text("State") == "" {
		return Worker{}, malformed("Id, Backend, Address or State is missing")
	}
	return w, nil
}
