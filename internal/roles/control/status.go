package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"liftgauge/internal/protocol"
	"liftgauge/internal/statuspage"
	"liftgauge/placement"
	"liftgauge/replication"
)

func (a operatorAPI) status(w http.ResponseWriter, r *http.Request) {
	a.respond(w, r, func(reply func(response)) {
		body, _ := json.MarshalIndent(a.daemon.statusPage(), "", "  ") // all its values can be encoded
		reply(response{status: http.StatusOK, body: append(body, '\n')})
	})
}

func (d *daemon) statusPage() statuspage.Page {
	view := d.agent.View()
	node := d.agent.Node()
	page := statuspage.Page{
		Node: node.Key, Member: d.self.Member, Active: d.primary != nil, Orders: len(d.orders.queue), Workers: len(view.Workers.Workers),
		Epoch: view.Control.Epoch, Primary: view.Control.Primary, Members: view.Control.Members, Learners: view.Control.Learners,
		Witnesses: view.Control.Witnesses, ListReader: d.reader.term > 0 && d.reader.mayRead(d.reader.term),
		Partitions: statusOfPartitions(view.Partitions.Partitions, d.settings.Copies()),
	}
	_, page.PrimaryPlane = d.primaryAddress()
	if d.elector != nil {
		v := d.elector.View()
		page.Epoch, page.Primary, page.Members = v.Epoch, v.Primary, v.Members
		page.Learners, page.Witnesses, page.Blocked = v.Learners, v.Witnesses, d.replica.BlockingPeers()
	}
	page.LossesBorne = replication.ControlView{Witnesses: page.Witnesses}.ToleratedLosses()
	page.LossesAsked = d.settings.Copies() - 1
	for _, n := range view.Nodes {
		page.Nodes = append(page.Nodes, statuspage.Node{Key: n.Key, Role: n.Role.String(), Zone: n.Zone, Address: n.Address, Member: n.Member,
			Incarnation: n.Incarnation, Leaving: n.Leaving})
	}
	if d.primary != nil {
		for _, s := range d.primary.placementStores(d.now()) {
			record := d.primary.model.stores[s.Member]
			page.Stores = append(page.Stores, statuspage.Store{
				Member: s.Member, Live: s.DownFor == 0, Retiring: s.Retiring, Emptied: record.Emptied, Abandoned: s.Abandoned,
			})
		}
		page.Partitions.WaitsFor, page.Partitions.Waiting = placement.AwaitedMembers(d.primary.placementInput(d.now()))
	}
	return page
}

func statusOfPartitions(partitions []protocol.PartitionView, copies int) statuspage.Partitions {
	s := statuspage.Partitions{Count: len(partitions), Primary: make(map[string]int)}
	for _, p := range partitions {
		s.Primary[p.Primary]++
		if len(p.Learners) > 0 {
			s.Learners++
		}
		if len(p.Members) < copies {
			s.Short++
		}
	}
	return s
}

func (a operatorAPI) metrics(w http.ResponseWriter, r *http.Request) {
	resp, ok := a.await(r, func(reply func(response)) {
		reply(response{status: http.StatusOK, body: []byte(a.daemon.renderMetrics())})
	})
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	w.WriteHeader(resp.status)
	_, _ = w.Write(resp.body)
}

// renderMetrics returns the body of /metrics, one metric per line.
func (d *daemon) renderMetrics() string {
	figures := map[string]float64{
		"control_orders_under_way": float64(len(d.orders.queue)),
		"control_calls_waiting":    float64(len(d.pendingCalls)),
		"control_active":           0,
		"control_session_age_s":    d.agent.SessionAge().Seconds(),
	}
	if d.elector != nil {
		view := d.elector.View()
		figures["control_epoch"] = float64(view.Epoch)
		figures["control_witnesses"] = float64(len(view.Witnesses))
		figures["control_losses_borne"] = float64(view.ToleratedLosses())
		figures["control_writes_pending"] = float64(d.replica.Pending())
	}
	if p := d.primary; p != nil {
		figures["control_active"] = 1
		figures["control_configuration_revision"] = float64(p.revision())
		figures["control_orders_taken"] = float64(p.orders.Applied())
		figures["control_partitions"] = float64(len(p.model.partitions))
		for _, role := range []protocol.Role{protocol.RoleControl, protocol.RoleDispatcher, protocol.RoleStore} {
			figures[fmt.Sprintf("control_sessions{role=%q}", role)] = float64(p.countNodes(role))
		}
	}
	var page strings.Builder
	for _, name := range slices.Sorted(maps.Keys(figures)) {
		fmt.Fprintf(&page, "liftgauge_%s %g\n", name, figures[name])
	}
	return page.String()
}
