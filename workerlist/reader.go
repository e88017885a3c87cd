package workerlist

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultInterval is the time from the begin of one reading to that of the next.
	DefaultInterval = 400 * time.Millisecond
	// DefaultShare is the part of the platform's rate that a reader uses: the rate is shared by all who call it.
	DefaultShare = 0.1
	// burstTime is how long a budget that was not used is kept.
	burstTime = 500 * time.Millisecond
	// attemptsPerPage is how often one page is asked for before the reading begins anew.
	attemptsPerPage = 3
	// The pauses after failures double from the first to the last.
	firstErrorPause   = 200 * time.Millisecond
	lastErrorPause    = 2 * time.Second
	firstRefusedPause = 500 * time.Millisecond
	lastRefusedPause  = 5 * time.Second
)

// Options configures a Reader.
type Options struct {
	// RatePerS is the platform's limit of calls a second, from everybody together; 0 means that none is known.
	RatePerS float64
	// Share is the part of RatePerS that this reader may use; 0 means DefaultShare.
	Share float64
	// Interval is the time from the begin of one reading to that of the next; 0 means DefaultInterval.
	Interval time.Duration
}

// Request is one call to make: GET /instances with the page token, if any.
type Request struct {
	// Number tells requests apart.
	Number    uint64
	PageToken string
	// RequestedAt is when the request was given out.
	RequestedAt time.Duration
}

// Reader decides which page to ask for next. It is owned by one goroutine; at most one request is under way.
//
// A worker disappears from its list only by a reading to the last page. As entries move between pages meanwhile, a reading
// of several pages may overlook some: a worker that such a reading lacks stays until the next one lacks it too, unless its
// address was given to another.
type Reader struct {
	options Options
	budget  bucket
	list    List
	// complete says that the list was read through once.
	complete bool
	// missed holds the workers that the last reading lacked.
	missed map[string]bool

	underWay bool
	request  Request
	// notBefore is when the next request may be given out, as far as the interval and pauses are concerned.
	notBefore time.Duration
	failures  int
	reading   reading
}

// reading is a reading under way.
type reading struct {
	begunAt time.Duration
	workers []Worker
	pages   int
	token   string
	// seen holds the tokens so far: one that comes again would go on for ever.
	seen     map[string]bool
	attempts int
}

// NewReader returns a reader that has read nothing.
func NewReader(o Options) *Reader {
	if o.Share <= 0 {
		o.Share = DefaultShare
	}
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	return &Reader{options: o, budget: newBucket(o.RatePerS * o.Share)}
}

// Next returns the request to make now. Without one, it returns how long to wait; 0 while a request is under way.
func (r *Reader) Next(now time.Duration) (req Request, wait time.Duration, ok bool) {
	if r.underWay {
		return Request{}, 0, false
	}
	if wait = max(r.notBefore-now, r.budget.wait(now)); wait > 0 {
		return Request{}, wait, false
	}
	r.budget.take(now)
	if r.reading.pages == 0 {
		r.reading = reading{begunAt: now, attempts: r.reading.attempts}
	}
	r.underWay = true
	r.request = Request{Number: r.request.Number + 1, PageToken: r.reading.token, RequestedAt: now}
	return r.request, 0, true
}

// Answer takes the answer to a request. complete says that with it the list has been read through, changed that List is
// another one. Answers to other requests than the one under way are ignored.
func (r *Reader) Answer(now time.Duration, req Request, status int, body []byte) (complete, changed bool, err error) {
	if !r.underWay || req.Number != r.request.Number {
		return false, false, nil
	}
	r.underWay = false
	workers, next, err := readAnswer(status, body)
	if err == nil && next != "" && r.reading.seen[next] {
		err = malformed("NextPageToken %q came before", next)
	}
	if err != nil {
		r.failed(now, err)
		return false, false, err
	}
	r.failures, r.reading.attempts = 0, 0
	for n := range workers {
		workers[n].settleCold(req.RequestedAt)
	}
	complete, changed = r.takePage(workers, next)
	return complete, changed, nil
}

// Fail tells that a request got no answer.
func (r *Reader) Fail(now time.Duration, req Request) {
	if r.underWay && req.Number == r.request.Number {
		r.underWay = false
		r.failed(now, ErrStatus)
	}
}

// List returns the list as it is known. It is empty until it was read through once.
func (r *Reader) List() List { return r.list }

// Complete reports whether the list was ever read through.
func (r *Reader) Complete() bool { return r.complete }

func readAnswer(status int, body []byte) ([]Worker, string, error) {
	switch status {
	case http.StatusOK:
		return ParsePage(body)
	case http.StatusTooManyRequests:
		return nil, "", errors.Mark(errors.New("429 from the list of workers: see that no one else calls it, and that RatePerS of CloudApi is right"), ErrRefused)
	}
	return nil, "", errors.Mark(errors.Newf("status %d from the list of workers; it is asked for again, check CloudApi.Address if this goes on", status), ErrStatus)
}

// failed sets the pause until the next request. The reading goes on with the same page, a few times.
func (r *Reader) failed(now time.Duration, err error) {
	first, last := firstErrorPause, lastErrorPause
	if errors.Is(err, ErrRefused) {
		first, last = firstRefusedPause, lastRefusedPause
	}
	pause := min(last, first<<min(r.failures, 16))
	r.failures++
	r.notBefore = max(r.notBefore, now+pause)
	if r.reading.attempts++; r.reading.attempts >= attemptsPerPage {
		r.reading = reading{}
	}
}

// takePage adds a page to the reading and ends the reading with the last.
func (r *Reader) takePage(workers []Worker, next string) (complete, changed bool) {
	d := &r.reading
	d.workers = append(d.workers, workers...)
	d.pages++
	if next != "" {
		if d.seen == nil {
			d.seen = map[string]bool{}
		}
		d.seen[next], d.token = true, next
		return false, r.takePart(workers)
	}
	done := r.reading
	r.reading = reading{}
	r.notBefore = max(r.notBefore, done.begunAt+r.options.Interval)
	kept := r.overlooked(done)
	r.list, changed = Merge(r.list, done.begunAt, append(kept, done.workers...))
	r.complete = true
	return true, changed
}

// takePart takes over what the page of a long reading says of its workers, before the reading is through.
func (r *Reader) takePart(workers []Worker) (changed bool) {
	if !r.complete {
		return false
	}
	readAt := r.list.ReadAt
	r.list, changed = Merge(r.list, readAt, append(withoutAddresses(r.list.Workers, workers), workers...))
	return changed
}

// overlooked returns the workers that a reading of several pages lacks for the first time.
func (r *Reader) overlooked(done reading) []Worker {
	before := r.missed
	r.missed = map[string]bool{}
	if done.pages < 2 {
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

// withoutAddresses returns the workers whose addresses none of the others with another ID has.
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

// settleCold turns the remaining slow time into a moment on the reader's clock.
func (w *Worker) settleCold(askedAt time.Duration) {
	if w.ColdRemaining > 0 {
		w.ColdUntil = askedAt + w.ColdRemaining
	}
	w.ColdRemaining = 0
}
