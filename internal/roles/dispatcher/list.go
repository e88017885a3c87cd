package dispatcher

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"liftgauge/internal/instances"
	"liftgauge/internal/network"
	"liftgauge/internal/protocol"
	"liftgauge/internal/roles/dispatcher/directory"
	"liftgauge/workerlist"
)

const (
	listCheckInterval = 500 * time.Millisecond // between checks of the list's age
	staleListDivisor  = 2                      // a list older than DrainMs divided by this is old
	maxListAge        = 5.0 / 6                // of DrainMs: a list older than this is read locally even if another process goes on reading it
)

// localListReader reads the platform's list of workers while no newer list arrives from other processes.
type localListReader struct {
	dispatcher    *dispatcher
	client        *http.Client
	reader        *workerlist.Reader
	appliedNumber uint64               // Number of the list that this reader last put into use
	versions      uint64               // of lists that were put into use
	basis         protocol.ItemVersion // of the list that this reader began with, or that it last put into use
}

// watchList has this process read the list of workers itself while the newest one it has is too old.
func (d *dispatcher) watchList(ctx context.Context) {
	if d.settings.CloudApi.Address == "" {
		return
	}
	local := &localListReader{dispatcher: d, client: network.Client(d.network, instances.CallTimeout)}
	others := listWatch{drain: d.settings.Bounds.Drain(), checkedAt: d.agent.Steady()}
	for {
		sleep(ctx, listCheckInterval)
		if ctx.Err() != nil {
			return
		}
		if view := d.agent.View(); view.WorkersReadAt > d.directory.Current().WorkersReadAt && view.WorkersVersion != d.directory.Current().WorkersVersion {
			d.directory.Update(view) // a local list was applied meanwhile, and the distributed list has been read again since
		}
		if others.mustReadLocally(d.agent.Steady(), d.agent.View().WorkersReadAt, d.listAge()) {
			local.read(ctx)
		} else {
			local.reader = nil
		}
	}
}

// listWatch tells whether another process goes on reading the list: a long one is old whenever it arrives, and would not be read sooner if all
// dispatchers used up the platform's rate limit.
type listWatch struct {
	drain       time.Duration // DrainMs
	checkedAt   time.Duration // the last check
	readAt      time.Duration // of the list that others have read, at the last check
	refreshedAt time.Duration // the check before the list of others was last found newer
}

// mustReadLocally takes when the list of others was read and the age of the list in use.
func (w *listWatch) mustReadLocally(now, readAt, age time.Duration) bool {
	if readAt > w.readAt {
		w.readAt, w.refreshedAt = readAt, w.checkedAt
	}
	w.checkedAt = now
	old := w.drain / staleListDivisor
	if age <= old {
		return false
	}
	return now-w.refreshedAt >= old || age > time.Duration(maxListAge*float64(w.drain))
}

// listAge is the time since the newest list was read.
func (d *dispatcher) listAge() time.Duration {
	readAt := max(d.agent.View().WorkersReadAt, d.directory.Current().WorkersReadAt)
	return d.agent.Steady() - readAt
}

// read continues reading the list while it is old. All dispatchers may be doing so, so each uses its share of the platform's rate limit.
func (r *localListReader) read(ctx context.Context) {
	d := r.dispatcher
	if r.reader == nil {
		share := 1 / float64(1+len(d.directory.Current().Dispatchers))
		r.reader = workerlist.NewReader(workerlist.Options{RatePerS: d.settings.CloudApi.RatePerS, Share: share,
			Interval: d.settings.Bounds.Drain() / (2 * staleListDivisor), Known: r.knownList()})
		r.appliedNumber = 0
		d.logger.Warn("the list of workers is old; reading it locally", zap.Duration("age", d.listAge()))
	}
	for ctx.Err() == nil {
		request, wait, ok := r.reader.Next(d.agent.Steady())
		if !ok {
			if wait > listCheckInterval {
				return // others may have read it by then
			}
			sleep(ctx, max(wait, pollInterval))
			continue
		}
		if r.fetchPage(ctx, request) {
			return
		}
	}
}

// knownList returns the list in use, and makes it the basis that the pages that are read are merged into.
func (r *localListReader) knownList() workerlist.List {
	snapshot := r.dispatcher.directory.Current()
	r.basis = snapshot.WorkersVersion
	return workerlist.List{ReadAt: snapshot.WorkersReadAt, Workers: instances.Workers(snapshot.Workers)}
}

// fetchPage requests one page. It returns true once the list is complete or the request has failed.
func (r *localListReader) fetchPage(ctx context.Context, request workerlist.Request) bool {
	d := r.dispatcher
	status, body, err := instances.Fetch(ctx, r.client, d.settings.CloudApi.Address, request.PageToken)
	now := d.agent.Steady()
	if err != nil {
		r.reader.Fail(now, request)
		return true
	}
	complete, err := r.reader.Answer(now, request, status, body)
	if err != nil {
		d.logger.Warn("the list of workers cannot be read", zap.Int("status", status), zap.Error(err))
		return true
	}
	r.apply(complete)
	return complete
}

// apply puts the list into use if it has changed or was read completely.
func (r *localListReader) apply(complete bool) {
	list := r.reader.List()
	if list.Number == r.appliedNumber && !complete {
		return
	}
	r.appliedNumber = list.Number
	r.versions++
	next := directory.LocalWorkers{Workers: instances.Entries(&list), Version: protocol.ItemVersion{Number: r.versions}, ReadAt: list.ReadAt, Basis: r.basis}
	r.dispatcher.directory.SetWorkers(next)
	r.basis = next.Version
}
