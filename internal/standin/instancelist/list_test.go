package instancelist

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// get calls the list once.
func get(l *List, query string) (status int, got response) {
	recorder := httptest.NewRecorder()
	l.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, Path+"?"+query, nil))
	_ = json.Unmarshal(recorder.Body.Bytes(), &got)
	return recorder.Code, got
}

func listOf(o Options, workers int) *List {
	l := New(o)
	for i := range workers {
		l.Append(Entry{Id: fmt.Sprint("i-", i), Zone: fmt.Sprint("zone-", i%2), State: Ready})
	}
	return l
}

// read reads all pages.
func read(t *testing.T, l *List) (ids []string, pages int) {
	for token := ""; ; {
		status, got := get(l, "PageToken="+token)
		is.New(t).Equal(status, http.StatusOK)
		for _, e := range got.Instances {
			ids = append(ids, e.Id)
		}
		pages++
		if got.NextPageToken == nil {
			return ids, pages
		}
		token = *got.NextPageToken
	}
}

func TestPagesHoldAllEntriesOnce(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ size, pages int }{{0, 1}, {5, 1}, {2, 3}, {1, 5}} {
		ids, pages := read(t, listOf(Options{PageSize: c.size}, 5))
		is.Equal(ids, []string{"i-0", "i-1", "i-2", "i-3", "i-4"})
		is.Equal(pages, c.pages)
	}
	_, got := get(listOf(Options{PageSize: 2}, 5), "Zone=zone-1")
	is.Equal(len(got.Instances), 2)
	is.Equal(got.NextPageToken, nil)
	status, _ := get(listOf(Options{}, 1), "PageToken=other")
	is.Equal(status, http.StatusBadRequest)
}

func TestEntriesChange(t *testing.T) {
	is := is.New(t)
	l := listOf(Options{Seed: 1}, 3)
	l.Drain("i-1")
	l.Remove("i-0")
	l.Insert(Entry{Id: "i-9", State: Ready})
	l.Move("i-2")
	l.Move("unknown")
	l.Drain("unknown")
	_, got := get(l, "")
	states := map[string]string{}
	for _, e := range got.Instances {
		states[e.Id] = e.State
	}
	is.Equal(states, map[string]string{"i-1": Draining, "i-2": Ready, "i-9": Ready})
}

func TestRateLimitAndFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := listOf(Options{RatePerS: 3}, 1)
		l.SetFailure(Failure{Every: 2, Delay: 200 * time.Millisecond})
		begin := time.Now()
		for _, want := range []int{200, 500, 200} {
			status, _ := get(l, "")
			is.Equal(status, want)
		}
		is.Equal(time.Since(begin), 600*time.Millisecond)
		status, _ := get(l, "")
		is.Equal(status, http.StatusTooManyRequests)
		time.Sleep(400 * time.Millisecond) // a second after the first call
		l.SetFailure(Failure{})
		status, _ = get(l, "")
		is.Equal(status, http.StatusOK)
		is.Equal(l.Calls(), Calls{Answered: 3, Refused: 1, Failed: 1})
	})
}
