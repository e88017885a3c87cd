package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Member is an entry of the member list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"` // SERVING, DRAINING; DELETED among changes only
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Member returns the entry of the host while it serves.
func (h *Host) Member() Member {
	return Member{ID: h.Name, HostPort: h.Address, Locality: h.Zone, Flavor: h.Kind, Cell: h.Cell, Phase: "SERVING", Size: cmp.Or(h.Size, 1)}
}

// List is a response of discovery: all members, or those that changed.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Discovery serves the list of hosts and its changes.
type Discovery struct {
	Address  string
	server   *http.Server
	mu       sync.Mutex
	revision int64
	members  map[string]Member
	changes  []Member // one for each revision
	changed  chan struct{}
}

// StartDiscovery starts discovery on a loopback address.
func StartDiscovery() (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in discovery: %w", err)
	}
	d := &Discovery{Address: l.Addr().String(), members: map[string]Member{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.targets)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(l)
	return d, nil
}

// Close stops it, with all watches.
func (d *Discovery) Close() { d.server.Close() }

// Set adds or updates members; those in phase DELETED are removed.
func (d *Discovery) Set(members ...Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range members {
		d.revision++
		d.changes = append(d.changes, m)
		if d.members[m.ID] = m; m.Phase == "DELETED" {
			delete(d.members, m.ID)
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// List returns the whole list.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := List{Revision: d.revision, Complete: true, Members: []Member{}}
	for _, m := range d.members {
		l.Members = append(l.Members, m)
	}
	return l
}

func (d *Discovery) targets(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("follow") != "1" {
		json.NewEncoder(w).Encode(d.List())
		return
	}
	since, _ := strconv.ParseInt(r.FormValue("since"), 10, 64)
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	first := true
	for {
		d.mu.Lock()
		changed, at := d.changed, d.revision
		since = max(0, min(since, at))
		updates := append([]Member{}, d.changes[since:]...)
		d.mu.Unlock()
		if first || len(updates) > 0 {
			if json.NewEncoder(w).Encode(List{Revision: at, Members: updates}) != nil {
				return
			}
			since, first = at, false
		}
		http.NewResponseController(w).Flush()
		select {
		case <-changed:
		case <-heartbeat.C:
			w.Write([]byte("\n"))
		case <-r.Context().Done():
			return
		}
	}
}
