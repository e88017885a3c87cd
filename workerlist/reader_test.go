package workerlist

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// platform simulates the platform's API: pages are addressed by position in a list that may change between calls.
type platform struct {
	ids      []string
	pageSize int
}

func (p *platform) page(token string) []byte {
	type instance struct{ Id, Backend, Address, State string }
	begin := 0
	if token != "" {
		begin, _ = strconv.Atoi(token[2:])
	}
	begin = min(begin, len(p.ids))
	end := min(begin+p.pageSize, len(p.ids))
	list := []instance{}
	for _, id := range p.ids[begin:end] {
		worker, _, _ := strings.Cut(id, "#") // what follows is the number of the incarnation
		list = append(list, instance{id, "s", "address-of-" + worker, "ready"})
	}
	var next *string
	if end < len(p.ids) {
		s := "p-" + strconv.Itoa(end)
		next = &s
	}
	body, _ := json.Marshal(map[string]any{"Instances": list, "NextPageToken": next})
	return body
}

// call advances the clock to the next request and answers it.
func (p *platform) call(t interface{ Fatal(...any) }, r *Reader, now *time.Duration) (complete, changed bool) {
	req := request(t, r, now)
	complete, changed, err := answer(r, *now, req, 200, p.page(req.PageToken))
	if err != nil {
		t.Fatal(err)
	}
	return complete, changed
}

// answer answers a request and also reports whether the list has changed.
func answer(r *Reader, now time.Duration, req Request, status int, body []byte) (complete, changed bool, err error) {
	before := r.List().Number
	complete, err = r.Answer(now, req, status, body)
	return complete, r.List().Number != before, err
}

// request advances the clock to the next request.
func request(t interface{ Fatal(...any) }, r *Reader, now *time.Duration) Request {
	req, wait, ok := r.Next(*now)
	if !ok {
		if wait <= 0 {
			t.Fatal("got neither a request nor a wait time")
		}
		*now += wait
		if req, _, ok = r.Next(*now); !ok {
			t.Fatal("no request after the wait time")
		}
	}
	return req
}

func ids(r *Reader) []string {
	out := []string{}
	for _, w := range r.List().Workers {
		out = append(out, w.ID)
	}
	return out
}

func TestScanReadsAllPages(t *testing.T) {
	is := is.New(t)
	p := &platform{ids: []string{"a", "b", "c", "d", "e"}, pageSize: 2}
	r := NewReader(Options{RatePerS: 1000})
	now := time.Duration(0)
	for n := range 3 {
		is.True(!r.Complete())
		complete, changed := p.call(t, r, &now)
		is.Equal(complete, n == 2)
		is.Equal(changed, n == 2) // the list stays empty until the last page
	}
	is.True(r.Complete())
	is.Equal(ids(r), p.ids)
	is.Equal(r.List().ReadAt, time.Duration(0))
	startedAt := now
	complete, changed := p.call(t, r, &now)
	is.True(!complete && !changed)
	is.True(now >= startedAt) // the next scan
	is.Equal(now, 400*ms)
}

func TestOnlyOneRequestIsInFlight(t *testing.T) {
	is := is.New(t)
	r := NewReader(Options{})
	first, _, ok := r.Next(0)
	is.True(ok)
	_, wait, ok := r.Next(1000 * ms)
	is.True(!ok)
	is.Equal(wait, time.Duration(0))
	r.Fail(1000*ms, first)
	_, wait, ok = r.Next(1000 * ms)
	is.True(!ok)
	is.Equal(wait, initialErrorPause)
	second, _, ok := r.Next(1200 * ms)
	is.True(ok)
	complete, err := r.Answer(1300*ms, first, 200, []byte(`{"Instances":[]}`)) // superseded by the second request
	is.NoErr(err)
	is.True(!complete)
	complete, err = r.Answer(1300*ms, second, 200, []byte(`{"Instances":[]}`))
	is.NoErr(err)
	is.True(complete)
}

func TestRetryPausesGrow(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		status      int
		kind        error
		first, last time.Duration
	}{{429, ErrRefused, 500 * ms, 5 * time.Second}, {500, ErrStatus, 200 * ms, 2 * time.Second}, {200, ErrMalformed, 200 * ms, 2 * time.Second}} {
		r := NewReader(Options{})
		now, pause := time.Duration(0), c.first
		for range 80 {
			_, err := r.Answer(now, request(t, r, &now), c.status, nil)
			is.True(errors.Is(err, c.kind))
			_, wait, ok := r.Next(now)
			is.True(!ok)
			is.Equal(wait, pause)
			pause = min(2*pause, c.last)
		}
		_, err := r.Answer(now, request(t, r, &now), 200, []byte(`{"Instances":[]}`))
		is.NoErr(err)
		req := request(t, r, &now)
		_, err = r.Answer(now, req, c.status, nil)
		is.True(err != nil)
		_, wait, _ := r.Next(now)
		is.Equal(wait, c.first) // a success resets the pause
	}
}

func TestMalformedResponseKeepsTheList(t *testing.T) {
	is := is.New(t)
	p := &platform{ids: []string{"a", "b", "c"}, pageSize: 50}
	r := NewReader(Options{})
	now := time.Duration(0)
	p.call(t, r, &now)
	for _, body := range []string{`{"Instances":null,"NextPageToken":null}`, `{}`, ``, `{"Instances":[{"Id":"a"}]}`} {
		_, changed, err := answer(r, now, request(t, r, &now), 200, []byte(body))
		is.True(err != nil)
		is.True(!changed)
	}
	is.Equal(ids(r), p.ids)
	p.ids = nil // a well-formed response without entries is a valid list
	complete, changed := p.call(t, r, &now)
	is.True(complete && changed)
	is.Equal(ids(r), []string{})
}

func TestFailedPageIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	p := &platform{ids: []string{"a", "b", "c"}, pageSize: 1}
	r := NewReader(Options{})
	now := time.Duration(0)
	p.call(t, r, &now)
	for range attemptsPerPage {
		req := request(t, r, &now)
		is.Equal(req.PageToken, "p-1")
		r.Fail(now, req)
	}
	is.Equal(request(t, r, &now).PageToken, "") // after attemptsPerPage failures the scan restarts
}

func TestRepeatedPageTokenIsMalformed(t *testing.T) {
	is := is.New(t)
	r := NewReader(Options{})
	now := time.Duration(0)
	body := []byte(`{"Instances":[],"NextPageToken":"p-1"}`)
	_, err := r.Answer(now, request(t, r, &now), 200, body)
	is.NoErr(err)
	_, err = r.Answer(now, request(t, r, &now), 200, body)
	is.True(errors.Is(err, ErrMalformed))
}

func TestEntryThatMovedBetweenPagesIsKept(t *testing.T) {
	is := is.New(t)
	p := &platform{ids: []string{"a", "b", "c", "d"}, pageSize: 2}
	r := NewReader(Options{})
	now := time.Duration(0)
	p.call(t, r, &now)
	p.call(t, r, &now)
	is.Equal(ids(r), []string{"a", "b", "c", "d"})

	p.call(t, r, &now) // a, b
	p.ids = []string{"b", "c", "d"}
	complete, _ := p.call(t, r, &now) // returns only d: c was missed
	is.True(complete)
	is.Equal(ids(r), []string{"a", "b", "c", "d"})
	p.call(t, r, &now)
	p.call(t, r, &now)
	is.Equal(ids(r), []string{"a", "b", "c", "d"}) // first scan without a
	p.call(t, r, &now)
	complete, changed := p.call(t, r, &now)
	is.True(complete && changed)
	is.Equal(ids(r), []string{"b", "c", "d"})
}

func TestReassignedAddressRemovesItsFormerWorker(t *testing.T) {
	is := is.New(t)
	r := NewReader(Options{})
	now := time.Duration(0)
	respond := func(body string) {
		_, err := r.Answer(now, request(t, r, &now), 200, []byte(body))
		is.NoErr(err)
	}
	respond(`{"Instances":[{"Id":"a","Backend":"s","Address":"x:1","State":"ready"},{"Id":"b","Backend":"s","Address":"y:1","State":"ready"}]}`)
	is.Equal(ids(r), []string{"a", "b"})
	respond(`{"Instances":[{"Id":"c","Backend":"t","Address":"x:1","State":"ready"}],"NextPageToken":"p-1"}`)
	is.Equal(ids(r), []string{"b", "c"}) // takes effect with the first page
	respond(`{"Instances":[]}`)
	is.Equal(ids(r), []string{"b", "c"})
}

func TestDrainingTakesEffectBeforeTheLastPage(t *testing.T) {
	is := is.New(t)
	p := &platform{ids: []string{"a", "b"}, pageSize: 1}
	r := NewReader(Options{})
	now := time.Duration(0)
	p.call(t, r, &now)
	p.call(t, r, &now)
	readAt := r.List().ReadAt
	body := `{"Instances":[{"Id":"a","Backend":"s","Address":"address-of-a","State":"draining"}],"NextPageToken":"p-1"}`
	complete, changed, err := answer(r, now, request(t, r, &now), 200, []byte(body))
	is.NoErr(err)
	is.True(!complete && changed)
	is.True(r.List().Workers[0].Draining)
	is.Equal(r.List().ReadAt, readAt) // that of the other page
}

func TestColdUntilIsRelativeToTheRequest(t *testing.T) {
	is := is.New(t)
	r := NewReader(Options{})
	now := 10 * time.Second
	body := `{"Instances":[{"Id":"a","Backend":"s","Address":"x","State":"ready","ColdRemainingMs":1500}]}`
	_, err := r.Answer(now+50*ms, request(t, r, &now), 200, []byte(body))
	is.NoErr(err)
	is.Equal(r.List().Workers[0].ColdUntil, 11500*ms)
}

// TestCallBudgetIsNotExceeded checks that at most a tenth of the rate limit is used in any interval, whatever the responses are.
func TestCallBudgetIsNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 500).Draw(t, "rate")
		r := NewReader(Options{RatePerS: rate})
		p := &platform{pageSize: 1, ids: make([]string, rapid.IntRange(0, 5).Draw(t, "pages"))}
		for n := range p.ids {
			p.ids[n] = fmt.Sprint("i", n)
		}
		var calls []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "idle")) * ms
			req := request(t, r, &now)
			calls = append(calls, now)
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "answer")) * ms
			status := rapid.SampledFrom([]int{200, 200, 200, 429, 503}).Draw(t, "status")
			_, _ = r.Answer(now, req, status, p.page(req.PageToken))
		}
		checkBudget(t, calls, rate*DefaultShare)
	})
}

// TestListFollowsThePlatform adds and removes workers between pages: a worker that is present throughout is never missing,
// and after the last change the list converges to the platform's.
func TestListFollowsThePlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &platform{ids: []string{"p0", "p1", "p2"}, pageSize: rapid.IntRange(1, 4).Draw(t, "pageSize")}
		r := NewReader(Options{})
		now := time.Duration(0)
		for !r.Complete() {
			p.call(t, r, &now)
		}
		scans := 2 // since the last change
		for n := range rapid.IntRange(1, 60).Draw(t, "calls") {
			// More than one removal within two scans could make both scans miss the same worker.
			if scans >= 2 && rapid.Bool().Draw(t, "change") {
				p.change(t, n)
				scans = -1
			}
			if complete, _ := p.call(t, r, &now); complete {
				scans++
			}
			for _, id := range []string{"p0", "p1", "p2"} {
				if !slices.Contains(ids(r), id) {
					t.Fatalf("%s is missing", id)
				}
			}
		}
		for done := 0; done < 3; {
			if complete, _ := p.call(t, r, &now); complete {
				done++
			}
		}
		want := slices.Sorted(slices.Values(p.ids))
		if got := ids(r); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func (p *platform) change(t *rapid.T, n int) {
	at := rapid.IntRange(0, len(p.ids)).Draw(t, "at")
	if at < len(p.ids) && p.ids[at][0] == 'x' && rapid.Bool().Draw(t, "remove") {
		p.ids = slices.Delete(p.ids, at, at+1)
		return
	}
	p.ids = slices.Insert(p.ids, at, fmt.Sprint("x", n))
}

// TestListIsAsOldAsItsOldestPage guards against an age that only complete scans reset: a list that takes long to read would count as old all the
// time, and each dispatcher would read it too.
func TestListIsAsOldAsItsOldestPage(t *testing.T) {
	is := is.New(t)
	p := &platform{ids: []string{"a", "b", "c"}, pageSize: 1}
	r := NewReader(Options{RatePerS: 10}) // a call a second
	now := time.Duration(0)
	for _, want := range []time.Duration{0, 0, 0, 1000, 2000, 3000, 4000} {
		p.call(t, r, &now)
		is.Equal(r.List().ReadAt.Round(ms), want*ms)
	}
	for range attemptsPerPage { // the scan breaks off after its first page
		r.Fail(now, request(t, r, &now))
	}
	p.call(t, r, &now)
	is.Equal(r.List().ReadAt.Round(ms), 4000*ms)
	p.call(t, r, &now)
	is.Equal(r.List().ReadAt.Round(ms), 5000*ms)
}

// TestFirstScanKeepsKnownWorkers guards against a worker that is dropped when another process begins to read the list while it moves between pages.
func TestFirstScanKeepsKnownWorkers(t *testing.T) {
	is := is.New(t)
	p := &platform{ids: []string{"a", "b", "c", "d"}, pageSize: 2}
	known := []Worker{}
	for _, id := range p.ids {
		known = append(known, Worker{ID: id, Service: "s", Address: "address-of-" + id, Capacity: 1})
	}
	r := NewReader(Options{Known: List{ReadAt: 7 * time.Second, Workers: known}})
	now := 8 * time.Second
	is.Equal(ids(r), p.ids)
	p.call(t, r, &now) // a, b
	p.ids = []string{"b", "c", "d"}
	is.Equal(r.List().ReadAt, 7*time.Second)
	is.True(!r.Complete())
	complete, _ := p.call(t, r, &now) // returns only d
	is.True(complete)
	is.Equal(ids(r), []string{"a", "b", "c", "d"})
	is.Equal(r.List().ReadAt, 8*time.Second)
}

// TestKnownWorkersThatAreGoneAreRemoved checks that a list from before does not outlive a scan of one page, or two of several pages.
func TestKnownWorkersThatAreGoneAreRemoved(t *testing.T) {
	is := is.New(t)
	known := List{Workers: []Worker{{ID: "gone", Service: "s", Address: "x:1", Capacity: 1}}}
	for pageSize, scans := range map[int]int{5: 1, 1: 2} {
		p := &platform{ids: []string{"a", "b"}, pageSize: pageSize}
		r := NewReader(Options{Known: known})
		now := time.Duration(0)
		for done := 0; done < scans; {
			if complete, _ := p.call(t, r, &now); complete {
				done++
			}
		}
		is.Equal(ids(r), []string{"a", "b"})
	}
}

// TestLongListIsReadInTime guards against a duty that no process can keep: with a fixed share of the rate limit, a list of many pages is older than
// allowed whenever it is read completely.
func TestLongListIsReadInTime(t *testing.T) {
	const rate, within = 47.0, 600 * ms
	for _, c := range []struct {
		pages int
		most  time.Duration // of a scan
	}{{1, 0}, {2, within}, {3, within}, {5, within}, {14, within}, {47, 2 * time.Second}} {
		is := is.New(t)
		p := &platform{pageSize: 1}
		for n := range c.pages {
			p.ids = append(p.ids, fmt.Sprintf("i-%03d", n))
		}
		r := NewReader(Options{RatePerS: rate, MaxShare: 0.5, ScanWithin: within})
		now, calls := time.Duration(0), []time.Duration{}
		for scans := 0; scans < 6; {
			for complete := false; !complete; {
				complete, _ = p.call(t, r, &now)
				calls = append(calls, now)
			}
			if scans++; scans > 2 {
				is.True(now-r.List().ReadAt <= c.most+ms) // c.pages
			}
		}
		is.True(r.ScanTime() <= max(c.most+ms, 220*ms))
		checkBudget(t, calls, rate*0.5)
	}
}

// checkBudget checks that the calls of any interval are within a rate.
func checkBudget(t interface{ Fatalf(string, ...any) }, calls []time.Duration, perSecond float64) {
	for i := range calls {
		for j := i; j < len(calls); j++ {
			span := (calls[j] - calls[i]).Seconds()
			if allowed := perSecond*(span+burstTime.Seconds()) + 1; float64(j-i+1) > allowed+1e-3 {
				t.Fatalf("%d calls in %.3f s at %.1f/s", j-i+1, span, perSecond)
			}
		}
	}
}
