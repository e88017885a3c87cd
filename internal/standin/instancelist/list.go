// Package instancelist simulates the platform's list of workers: GET /instances, page by page, with the platform's rate limit and its failures.
//
// Page tokens are positions in the list, so that a worker that joins, leaves or moves while a caller reads the pages shifts other workers from
// one page to another.
package instancelist

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Path is the path that the list is served at.
const Path = "/instances"

// States of an entry.
const (
	Ready    = "ready"
	Draining = "draining"
)

const (
	tokenPrefix = "p-"
	rateWindow  = time.Second
)

// Entry is a worker as the list shows it.
type Entry struct {
	Id, Backend, Address, Zone, Revision, State string
	Capacity, ColdRemainingMs                   int
}

// Options configures a List.
type Options struct {
	// PageSize is the number of entries on a page; 0 puts all on one page.
	PageSize int
	// RatePerS is the number of calls that are answered in any second; more get 429. 0 means no limit.
	RatePerS int
	// Seed determines the positions of workers that join or move.
	Seed uint64
}

// Failure is how calls fail; the zero value is no failure.
type Failure struct {
	// Every makes every Every-th call fail with 500; 0 for none.
	Every int
	// Delay is added to each answer.
	Delay time.Duration
}

// Calls counts the calls so far by their answers.
type Calls struct{ Answered, Refused, Failed int }

// List is an http.Handler. Its methods may be called from any goroutine.
type List struct {
	options Options

	mu      sync.Mutex
	random  *rand.Rand
	entries []Entry
	failure Failure
	calls   Calls
	recent  []time.Time // answered calls within the last rateWindow
}

// New returns an empty list.
func New(o Options) *List {
	return &List{options: o, random: rand.New(rand.NewPCG(o.Seed, 0x706167))}
}

// Append adds entries at the end.
func (l *List) Append(entries ...Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, entries...)
}

// Insert adds an entry at a random position.
func (l *List) Insert(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.insert(e)
}

func (l *List) insert(e Entry) {
	l.entries = slices.Insert(l.entries, l.random.IntN(len(l.entries)+1), e)
}

// Remove removes an entry, if it is there.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = slices.DeleteFunc(l.entries, func(e Entry) bool { return e.Id == id })
}

// Drain shows a worker as draining.
func (l *List) Drain(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := l.position(id); at >= 0 {
		l.entries[at].State = Draining
	}
}

// Move moves a worker to a random position.
func (l *List) Move(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.position(id)
	if at < 0 {
		return
	}
	moved := l.entries[at]
	l.entries = slices.Delete(l.entries, at, at+1)
	l.insert(moved)
}

func (l *List) position(id string) int {
	return slices.IndexFunc(l.entries, func(e Entry) bool { return e.Id == id })
}

// SetFailure sets how calls fail from now on.
func (l *List) SetFailure(f Failure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failure = f
}

// Calls returns the counts so far.
func (l *List) Calls() Calls {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// ServeHTTP answers one call. Zone and PageToken may be in the query.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, delay := l.admit()
	if delay > 0 && !wait(r, delay) {
		return
	}
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	query := r.URL.Query()
	from, err := position(query.Get("PageToken"))
	if err != nil {
		http.Error(w, "PageToken is unknown: begin with the first page", http.StatusBadRequest)
		return
	}
	page := l.page(query.Get("Zone"), from)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

// admit counts a call and returns the status of its answer, and how long it is held up.
func (l *List) admit() (status int, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.recent = slices.DeleteFunc(l.recent, func(at time.Time) bool { return now.Sub(at) >= rateWindow })
	switch total := l.calls.Answered + l.calls.Failed + 1; {
	case l.options.RatePerS > 0 && len(l.recent) >= l.options.RatePerS:
		l.calls.Refused++
		return http.StatusTooManyRequests, 0
	case l.failure.Every > 0 && total%l.failure.Every == 0:
		l.calls.Failed++
		status = http.StatusInternalServerError
	default:
		l.calls.Answered++
		status = http.StatusOK
	}
	l.recent = append(l.recent, now)
	return status, l.failure.Delay
}

// wait returns false if the caller disconnects meanwhile.
func wait(r *http.Request, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func position(token string) (int, error) {
	if token == "" {
		return 0, nil
	}
	at, err := strconv.ParseUint(strings.TrimPrefix(token, tokenPrefix), 10, 31)
	return int(at), err
}

// response is the body of an answer.
type response struct {
	Instances     []Entry
	NextPageToken *string
}

func (l *List) page(zone string, from int) response {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		if zone == "" || e.Zone == zone {
			entries = append(entries, e)
		}
	}
	from = min(from, len(entries))
	to := len(entries)
	if l.options.PageSize > 0 {
		to = min(from+l.options.PageSize, to)
	}
	answer := response{Instances: entries[from:to]}
	if to < len(entries) {
		token := tokenPrefix + strconv.Itoa(to)
		answer.NextPageToken = &token
	}
	return answer
}
