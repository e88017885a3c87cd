package workerlist

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestEarlierIncarnationIsSuperseded guards against a worker that came back at its address and is dropped with each page that still lists its
// former incarnation.
func TestEarlierIncarnationIsSuperseded(t *testing.T) {
	is := is.New(t)
	r := NewReader(Options{})
	now := time.Duration(0)
	respond := func(id, address, next string) {
		_, err := r.Answer(now, request(t, r, &now), 200, fmt.Appendf(nil,
			`{"Instances":[{"Id":%q,"Backend":"s","Address":%q,"State":"ready"}],"NextPageToken":%s}`, id, address, next))
		is.NoErr(err)
	}
	respond("other", "y:1", `"p-1"`)
	respond("before", "x:1", "null")
	is.Equal(ids(r), []string{"before", "other"})
	for range 3 {
		respond("after", "x:1", `"p-1"`)
		is.Equal(ids(r), []string{"after", "other"})
		respond("other", "y:1", `"p-2"`)
		number := r.List().Number
		respond("before", "x:1", "null") // it has crashed and is still listed
		is.Equal(ids(r), []string{"after", "other"})
		is.Equal(r.List().Number, number) // the list is not published again
	}
	for range supersededScans + 2 {
		is.True(len(r.superseded) > 0)
		respond("after", "x:1", `"p-1"`)
		respond("other", "y:1", "null")
		if len(r.superseded) == 0 {
			return
		}
	}
	t.Fatal("the superseded worker is never forgotten")
}

// TestRestartsAreFollowed restarts workers, whose former incarnations stay listed for some time, and moves entries between pages: each worker is
// on the list once at any time, and never as an earlier incarnation again.
func TestRestartsAreFollowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &platform{ids: []string{"p0#0", "p1#0", "p2#0"}, pageSize: rapid.IntRange(1, 3).Draw(t, "pageSize")}
		r := NewReader(Options{})
		now := time.Duration(0)
		for !r.Complete() {
			p.call(t, r, &now)
		}
		newest := map[string]int{"p0": 0, "p1": 0, "p2": 0}
		seen := map[string]int{}
		scans := 2 // since the last change
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			if scans >= 2 && rapid.Bool().Draw(t, "change") { // see TestListFollowsThePlatform
				p.changeIncarnations(t, newest)
				scans = -1
			}
			if complete, _ := p.call(t, r, &now); complete {
				scans++
			}
			checkIncarnations(t, r, seen)
		}
		for done := 0; done < 3; {
			if complete, _ := p.call(t, r, &now); complete {
				done++
			}
		}
		checkIncarnations(t, r, seen)
		for worker, incarnation := range newest {
			if seen[worker] != incarnation {
				t.Fatalf("%s is listed as incarnation %d, not %d", worker, seen[worker], incarnation)
			}
		}
	})
}

// changeIncarnations restarts a worker, ends the listing of former incarnations, or moves an entry.
func (p *platform) changeIncarnations(t *rapid.T, newest map[string]int) {
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		worker := rapid.SampledFrom([]string{"p0", "p1", "p2"}).Draw(t, "worker")
		newest[worker]++
		at := rapid.IntRange(0, len(p.ids)).Draw(t, "at")
		p.ids = slices.Insert(p.ids, at, fmt.Sprintf("%s#%d", worker, newest[worker]))
	case 1:
		at := slices.IndexFunc(p.ids, func(id string) bool {
			worker, incarnation, _ := strings.Cut(id, "#")
			return incarnation != fmt.Sprint(newest[worker])
		})
		if at >= 0 {
			p.ids = slices.Delete(p.ids, at, at+1)
		}
	default:
		from := rapid.IntRange(0, len(p.ids)-1).Draw(t, "from")
		id := p.ids[from]
		p.ids = slices.Delete(p.ids, from, from+1)
		p.ids = slices.Insert(p.ids, rapid.IntRange(0, len(p.ids)).Draw(t, "to"), id)
	}
}

// checkIncarnations checks that each worker is listed once, and as no earlier incarnation than before. seen holds the listed incarnations.
func checkIncarnations(t *rapid.T, r *Reader, seen map[string]int) {
	listed := map[string]int{}
	for _, id := range ids(r) {
		worker, text, _ := strings.Cut(id, "#")
		incarnation, _ := strconv.Atoi(text)
		if listed[worker]++; incarnation < seen[worker] {
			t.Fatalf("%s is listed again as incarnation %d after %d", worker, incarnation, seen[worker])
		}
		seen[worker] = incarnation
	}
	for _, worker := range []string{"p0", "p1", "p2"} {
		if listed[worker] != 1 {
			t.Fatalf("%s is listed %d times in %v", worker, listed[worker], ids(r))
		}
	}
}
