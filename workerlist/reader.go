package workerlist

import (
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultInterval is the time between the starts of two consecutive scans.
	DefaultInterval = 400 * time.Millisecond
	// DefaultShare is the fraction of the platform's rate limit that a reader uses: all callers share the limit.
	DefaultShare = 0.1
	// burstTime is how long an unused call budget is retained.
	burstTime = 500 * time.Millisecond
	// attemptsPerPage is how many times a page is requested before the scan restarts from the first page.
	attemptsPerPage = 3
	// After failures the pause doubles from the initial to the maximum value.
	initialErrorPause   = 200 * time.Millisecond
	maxErrorPause       = 2 * time.Second
	initialRefusedPause = 500 * time.Millisecond
	maxRefusedPause     = 5 * time.Second
)

// Options configures a Reader.
type Options struct {
	// RatePerS is the platform's limit on calls per second, shared by all callers; 0 means that no limit is known.
	RatePerS float64
	// Share is the fraction of RatePerS that this reader uses; 0 means DefaultShare.
	Share float64
	// MaxShare is the fraction of RatePerS that it may use instead where a scan would take longer than ScanWithin; 0 means Share.
	MaxShare float64
	// ScanWithin is the duration that a scan should not exceed because of the call budget; 0 means that it may take any time.
	ScanWithin time.Duration
	// Interval is the time between the starts of two consecutive scans; 0 means DefaultInterval.
	Interval time.Duration
	// Known is the list as it was last known, if it was. Its workers are kept until scans have missed them, and pages are merged into it from
	// the first scan on.
	Known List
}

// Request is one call to make: GET /instances with the page token, if any.
type Request struct {
	// Number identifies the request.
	Number    uint64
	PageToken string
	// RequestedAt is when Next returned the request.
	RequestedAt time.Duration
}

// Reader decides which page to request next. It must be used by one goroutine; at most one request is in flight.
//
// A worker is removed from the list only by a complete scan. As entries can move between pages during a scan of several
// pages, the scan may miss some: a worker missing from such a scan is kept until the next scan misses it too, unless a new
// worker has its address.
type Reader struct {
	options Options
	budget  bucket
	list    List
	// complete is set after the first complete scan.
	complete bool
	// pageTimes holds when each page was requested in the last complete scan.
	pageTimes []time.Duration
	// missed holds the IDs of the workers that were missing from the last scan.
	missed map[string]bool
	// superseded holds the IDs of listed workers whose address a new worker has, with the number of complete scans since a page had them.
	superseded map[string]int

	inFlight bool
	request  Request
	// notBefore is the earliest time of the next request according to the interval and the pauses, regardless of the call budget.
	notBefore time.Duration
	failures  int
	scan      scan
}

// scan is a pass over the pages of the list that is in progress.
type scan struct {
	workers []Worker
	// pageTimes holds when each page was requested.
	pageTimes []time.Duration
	token     string
	// seen holds the page tokens so far: following a repeated token would never end.
	seen     map[string]bool
	attempts int
}

// NewReader returns a reader whose list is the known one.
func NewReader(o Options) *Reader {
	if o.Share <= 0 {
		o.Share = DefaultShare
	}
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	known := List{ReadAt: o.Known.ReadAt, Workers: sorted(o.Known.Workers)}
	return &Reader{options: o, budget: newBucket(o.RatePerS * o.Share), list: known, superseded: map[string]int{}}
}

// share returns the fraction of the rate limit that a list of so many pages takes.
func (r *Reader) share(pages int) float64 {
	o := r.options
	if o.ScanWithin <= 0 || o.RatePerS <= 0 || o.MaxShare <= o.Share {
		return o.Share
	}
	needed := float64(pages) / o.ScanWithin.Seconds() / o.RatePerS
	return min(max(o.Share, needed), o.MaxShare)
}

// pages returns the number of pages of the list as far as it is known.
func (r *Reader) pages() int { return max(len(r.pageTimes), len(r.scan.pageTimes), 1) }

// ScanTime returns how long a scan takes because of the call budget.
func (r *Reader) ScanTime() time.Duration {
	if r.budget.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(r.pages()) / r.budget.perSecond * float64(time.Second))
}

// Next returns the request to make now. If none is due, ok is false and wait is the time until one is; 0 while a request is
// in flight.
func (r *Reader) Next(now time.Duration) (req Request, wait time.Duration, ok bool) {
	if r.inFlight {
		return Request{}, 0, false
	}
	if wait = max(r.notBefore-now, r.budget.wait(now)); wait > 0 {
		return Request{}, wait, false
	}
	r.budget.take(now)
	if len(r.scan.pageTimes) == 0 {
		r.scan = scan{attempts: r.scan.attempts}
	}
	r.inFlight = true
	r.request = Request{Number: r.request.Number + 1, PageToken: r.scan.token, RequestedAt: now}
	return r.request, 0, true
}

// Answer processes the response to a request, and reports whether it completed a scan. Any page can change the list: compare List().Number.
// Responses to requests other than the one in flight are ignored.
func (r *Reader) Answer(now time.Duration, req Request, status int, body []byte) (complete bool, err error) {
	if !r.inFlight || req.Number != r.request.Number {
		return false, nil
	}
	r.inFlight = false
	workers, next, err := readAnswer(status, body)
	if err == nil && next != "" && r.scan.seen[next] {
		err = malformed("NextPageToken %q is repeated", next)
	}
	if err != nil {
		r.scheduleRetry(now, err)
		return false, err
	}
	r.failures, r.scan.attempts = 0, 0
	for n := range workers {
		workers[n].setColdUntil(req.RequestedAt)
	}
	complete = r.addPage(r.supersede(workers), next, req.RequestedAt)
	r.budget.setRate(now, r.options.RatePerS*r.share(r.pages()))
	return complete, nil
}

// Fail reports that a request got no response.
func (r *Reader) Fail(now time.Duration, req Request) {
	if r.inFlight && req.Number == r.request.Number {
		r.inFlight = false
		r.scheduleRetry(now, ErrStatus)
	}
}

// List returns the current list. Until the first scan is complete it is the known one with the changes of the pages that were read.
func (r *Reader) List() List { return r.list }

// Complete reports whether any scan has been completed.
func (r *Reader) Complete() bool { return r.complete }

func readAnswer(status int, body []byte) ([]Worker, string, error) {
	switch status {
	case http.StatusOK:
		return ParsePage(body)
	case http.StatusTooManyRequests:
		return nil, "", errors.Mark(errors.New("status 429 from the worker list: check that no other client calls it and that RatePerS of CloudApi is correct"), ErrRefused)
	}
	return nil, "", errors.Mark(errors.Newf("status %d from the worker list; it will be requested again, check CloudApi.Address if this persists", status), ErrStatus)
}

// scheduleRetry sets the pause before the next request. The same page is requested up to attemptsPerPage times in a row.
func (r *Reader) scheduleRetry(now time.Duration, err error) {
	initial, longest := initialErrorPause, maxErrorPause
	if errors.Is(err, ErrRefused) {
		initial, longest = initialRefusedPause, maxRefusedPause
	}
	pause := min(longest, initial<<min(r.failures, 16))
	r.failures++
	r.notBefore = max(r.notBefore, now+pause)
	if r.scan.attempts++; r.scan.attempts >= attemptsPerPage {
		r.scan = scan{}
	}
}

// addPage adds a page to the scan, and reports whether it was the last one, which completes the scan.
func (r *Reader) addPage(workers []Worker, next string, requestedAt time.Duration) (complete bool) {
	current := &r.scan
	current.workers = append(current.workers, workers...)
	current.pageTimes = append(current.pageTimes, requestedAt)
	if next != "" {
		if current.seen == nil {
			current.seen = map[string]bool{}
		}
		current.seen[next], current.token = true, next
		r.mergePage(workers)
		return false
	}
	done := r.scan
	startedAt := done.pageTimes[0]
	r.scan, r.pageTimes = scan{}, done.pageTimes
	r.notBefore = max(r.notBefore, startedAt+r.options.Interval)
	kept := r.newlyMissed(done)
	r.list, _ = Merge(r.list, startedAt, append(kept, done.workers...))
	r.complete = true
	r.forgetSuperseded()
	return true
}

// mergePage merges a single page into the list before the scan is complete.
func (r *Reader) mergePage(workers []Worker) {
	if !r.complete && len(r.list.Workers) == 0 {
		return // part of a list must not pass for all of it
	}
	r.list, _ = Merge(r.list, r.oldestPage(), slices.Concat(r.list.Workers, workers))
}

// oldestPage returns when the page was requested that has not been read for the longest time: of the last complete scan, the next page after
// those that this scan has read.
func (r *Reader) oldestPage() time.Duration {
	if !r.complete {
		return r.list.ReadAt
	}
	return max(r.list.ReadAt, r.pageTimes[min(len(r.scan.pageTimes), len(r.pageTimes)-1)])
}

// newlyMissed returns the workers that are missing for the first time, from a scan of several pages.
func (r *Reader) newlyMissed(done scan) []Worker {
	before := r.missed
	r.missed = map[string]bool{}
	if len(done.pageTimes) < 2 {
		return nil
	}
	found := map[string]bool{}
	for _, w := range done.workers {
		found[w.ID] = true
	}
	var kept []Worker
	for _, w := range withoutAddresses(r.list.Workers, done.workers) {
		if !found[w.ID] && !before[w.ID] {
			r.missed[w.ID] = true
			kept = append(kept, w)
		}
	}
	return kept
}

// withoutAddresses returns the workers whose address is not used in others by an entry with a different ID.
func withoutAddresses(workers, others []Worker) []Worker {
	owner := make(map[string]string, len(others))
	for _, w := range others {
		owner[w.Address] = w.ID
	}
	out := make([]Worker, 0, len(workers))
	for _, w := range workers {
		if id, taken := owner[w.Address]; !taken || id == w.ID {
			out = append(out, w)
		}
	}
	return out
}

// setColdUntil converts ColdRemaining into a time on the reader's clock.
func (w *Worker) setColdUntil(requestedAt time.Duration) {
	if w.ColdRemaining > 0 {
		w.ColdUntil = requestedAt + w.ColdRemaining
	}
	w.ColdRemaining = 0
}
