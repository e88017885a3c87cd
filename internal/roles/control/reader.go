package control

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"liftgauge/internal/instances"
	"liftgauge/internal/network"
	"liftgauge/internal/protocol"
	"liftgauge/workerlist"
)

// listReader polls the platform's list of workers while this process holds the duty. It belongs to the event loop; calls are made one at
// a time on separate goroutines.
type listReader struct {
	daemon    *daemon
	client    *http.Client
	term      uint64 // 0 before the first duty
	reader    *workerlist.Reader
	published publication
	stopped   bool
	readAt    time.Duration // when the list was last read completely in this term, or when the term began
	// stale is set when readAt is too long ago. The process then makes no calls, and reports it in its heartbeats until it is awarded the duty
	// again. The agent's goroutine reads it.
	stale atomic.Bool
}

// publication describes the list that was last published in this term.
type publication struct {
	version protocol.ItemVersion
	// current is set if the list was published from the current reader; number and readAt are then the list's.
	current bool
	number  uint64
	readAt  time.Duration
	// retryScheduled is set while the list waits for the cluster time to be published.
	retryScheduled bool
}

// staleAfter returns how long the holder of the duty may fail to read the list before it gives the duty up: half of the maximum age of the
// list, and at least the time of a few calls or scans.
func (r *listReader) staleAfter() time.Duration {
	return max(r.daemon.settings.Bounds.Drain()/2, minStaleAfter, staleScans*r.reader.ScanTime())
}

const (
	minStaleAfter = time.Second
	// freshnessStep is by how much the list must be newer for its age to be published without a change. It is less than the interval of scans.
	freshnessStep = 250 * time.Millisecond
	staleScans    = 3
	// scansPerDrain is the number of scans within DrainMs that a long list is read at, if maxListShare of the platform's rate limit allows it.
	scansPerDrain = 5
	// maxListShare leaves the rest of the rate limit to dispatchers that read the list themselves, and to other callers.
	maxListShare = 0.5
)

func newListReader(d *daemon) *listReader {
	return &listReader{daemon: d, client: network.Client(d.environment.Network, instances.CallTimeout)}
}

// begin starts the duty for a term.
func (r *listReader) begin(term uint64) {
	again := term == r.term && r.stale.Load() // awarded again by a primary of a version that does not know WorkerListStale
	if term <= r.term && !again || r.daemon.settings.CloudApi.Address == "" {
		return
	}
	r.daemon.logger.Info("control: reading the platform's worker list", zap.Uint64("term", term))
	if !again {
		r.published.version = protocol.ItemVersion{}
	}
	r.published.current = false
	r.term, r.stopped, r.readAt = term, false, r.daemon.now()
	r.stale.Store(false)
	r.reader = workerlist.NewReader(workerlist.Options{
		RatePerS:   r.daemon.settings.CloudApi.RatePerS,
		MaxShare:   maxListShare,
		ScanWithin: r.daemon.settings.Bounds.Drain() / scansPerDrain,
		Known:      r.knownList(),
	})
	r.step(term)
}

// knownList returns the list that another holder of the duty has published, so that the first scan does not drop the workers that it misses.
func (r *listReader) knownList() workerlist.List {
	view := r.daemon.agent.View()
	return workerlist.List{ReadAt: view.WorkersReadAt, Workers: instances.Workers(view.Workers.Workers)}
}

// stop ends the duty.
func (r *listReader) stop() {
	r.stopped = true
	r.stale.Store(false)
}

// mayRead reports whether this process still holds the duty of a term, as far as it knows.
func (r *listReader) mayRead(term uint64) bool {
	return term == r.term && !r.stopped && !r.stale.Load() && r.daemon.agent.View().WorkersVersion.Term <= term
}

// step makes the next call, or schedules it if it is not due yet.
func (r *listReader) step(term uint64) {
	if !r.mayRead(term) {
		return
	}
	request, wait, ok := r.reader.Next(r.daemon.now())
	switch {
	case ok:
		go r.call(term, r.daemon.settings.CloudApi.Address, request)
	case wait > 0:
		r.daemon.loop.after(wait, func() { r.step(term) })
	}
}

// call requests one page of the list; it runs on a separate goroutine.
func (r *listReader) call(term uint64, address string, request workerlist.Request) {
	status, body, err := instances.Fetch(context.Background(), r.client, address, request.PageToken)
	r.daemon.loop.post(func() { r.handleResponse(term, request, status, body, err) })
}

func (r *listReader) handleResponse(term uint64, request workerlist.Request, status int, body []byte, err error) {
	if !r.mayRead(term) {
		return
	}
	now := r.daemon.now()
	if err != nil {
		r.reader.Fail(now, request)
	} else {
		complete, err := r.reader.Answer(now, request, status, body)
		if err != nil {
			r.daemon.logger.Warn("control: the platform's worker list cannot be read", zap.Int("status", status), reason(err))
		}
		if complete {
			r.readAt = now
		}
		if r.reader.Complete() {
			r.publish()
		}
	}
	r.stale.Store(now-r.readAt >= r.staleAfter())
	r.step(term)
}

// publish publishes the list if it differs from the one that was last published, on whichever page of the scan the difference was, or else the
// time at which the list was read again.
func (r *listReader) publish() {
	a := r.daemon.agent
	if !a.Synchronized() {
		r.schedulePublish()
		return
	}
	list := r.reader.List()
	readAt := a.ClusterTime().Add(list.ReadAt - a.Steady()).UnixNano()
	switch {
	case !r.published.current || list.Number != r.published.number:
		workers := protocol.Workers{ReadAt: readAt, Workers: instances.Entries(&list)}
		r.published.version = protocol.ItemVersion{Term: r.term, Number: r.published.version.Number + 1}
		a.Publish(protocol.Item{Kind: protocol.ItemWorkers, Version: r.published.version, Body: workers.Append(nil)})
	case list.ReadAt-r.published.readAt >= freshnessStep:
		a.PublishWorkersFresh(protocol.WorkersFreshness{Version: r.published.version, ReadAt: readAt})
	default:
		return
	}
	r.published.current, r.published.number, r.published.readAt = true, list.Number, list.ReadAt
}

// schedulePublish publishes the list later, if this process still holds the duty then.
func (r *listReader) schedulePublish() {
	if r.published.retryScheduled {
		return
	}
	r.published.retryScheduled = true
	term := r.term
	r.daemon.loop.after(timeRetry, func() {
		r.published.retryScheduled = false
		if r.mayRead(term) {
			r.publish()
		}
	})
}
