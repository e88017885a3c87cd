// Package instances fetches the platform's list of workers, and converts it to and from the form that processes exchange.
package instances

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/protocol"
	"liftgauge/workerlist"
)

const (
	// CallTimeout is the time limit of one call to the platform.
	CallTimeout = time.Second
	// maxPageBytes is the number of bytes of one response that are read.
	maxPageBytes = 8 << 20
	path         = "/instances"
	tokenQuery   = "PageToken"
)

// Fetch requests one page of the list from the platform at an address of the form HOST:PORT. An empty token requests the first page.
func Fetch(ctx context.Context, client *http.Client, address, token string) (status int, body []byte, err error) {
	target := url.URL{Scheme: "http", Host: address, Path: path}
	if token != "" {
		target.RawQuery = url.Values{tokenQuery: {token}}.Encode()
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return 0, nil, errors.Wrap(err, "CloudApi.Address does not form a valid URL: correct it in the settings")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	return response.StatusCode, body, err
}

// Entries returns the workers of a list. ColdRemainingMs is not included: dispatchers do not send fewer messages to a worker that is cold.
func Entries(list *workerlist.List) []protocol.Worker {
	entries := make([]protocol.Worker, 0, len(list.Workers))
	for i := range list.Workers {
		w := &list.Workers[i]
		entries = append(entries, protocol.Worker{
			ID: w.ID, Service: w.Service, Address: w.Address, Zone: w.Zone, Revision: w.Revision,
			Capacity: uint32(max(w.Capacity, 0)), Draining: w.Draining,
		})
	}
	return entries
}

// Workers converts entries back to workers of a list.
func Workers(entries []protocol.Worker) []workerlist.Worker {
	workers := make([]workerlist.Worker, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		workers = append(workers, workerlist.Worker{
			ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone, Revision: e.Revision, Capacity: int(e.Capacity), Draining: e.Draining,
		})
	}
	return workers
}
