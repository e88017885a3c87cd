package instances

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
	"liftgauge/workerlist"
)

func TestFetchRequestsPageOfToken(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusTeapot)
		fmt.Fprint(w, r.Method, " ", r.URL)
	}))
	defer server.Close()
	for token, want := range map[string]string{"": "GET /instances", "p 5&x": "GET /instances?PageToken=p+5%26x"} {
		status, body, err := Fetch(context.Background(), server.Client(), server.Listener.Addr().String(), token)
		is.NoErr(err)
		is.Equal(status, http.StatusTeapot)
		is.Equal(string(body), want)
	}
	_, _, err := Fetch(context.Background(), server.Client(), "no address\n", "")
	is.True(err != nil)
}

func TestEntriesConvertsAllWorkers(t *testing.T) {
	is := is.New(t)
	const started = 7 * time.Second
	reader := workerlist.NewReader(workerlist.Options{})
	request, _, ok := reader.Next(started)
	is.True(ok)
	body := `{"Instances":[{"Id":"a","Backend":"b","Address":"h:1","Zone":"z","Revision":"v","Capacity":3,"State":"draining","ColdRemainingMs":1500},
		{"Id":"w","Backend":"b","Address":"h:2","Zone":"z","Capacity":6,"State":"ready","ColdRemainingMs":0}],"NextPageToken":null}`
	complete, err := reader.Answer(started+time.Millisecond, request, http.StatusOK, []byte(body))
	is.NoErr(err)
	list := reader.List()
	is.True(complete && list.Number == 1)
	is.Equal(Entries(&list), []protocol.Worker{
		{ID: "a", Service: "b", Address: "h:1", Zone: "z", Revision: "v", Capacity: 3, Draining: true},
		{ID: "w", Service: "b", Address: "h:2", Zone: "z", Capacity: 6},
	})
	back := workerlist.List{Workers: Workers(Entries(&list))}
	is.Equal(Entries(&back), Entries(&list))
}
