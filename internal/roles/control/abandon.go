package control

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"liftgauge/placement"
)

// abandonmentBody is the JSON body that describes an abandonment to the operator.
type abandonmentBody struct {
	Stores []string // members whose disks are abandoned
	placement.Abandonment
}

func (a operatorAPI) describeAbandonment(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("node")
	a.respond(w, r, func(reply func(response)) {
		a.daemon.withPrimary(func(p *primary) {
			p.replyDurably(func() response { return p.abandonment(a.daemon.now(), name, p.abandonable(name)) }, reply)
		}, reply)
	})
}

func (a operatorAPI) startAbandonment(w http.ResponseWriter, r *http.Request) {
	if _, ok := readBody(w, r, maxRetireBytes); !ok {
		return
	}
	name := r.PathValue("node")
	a.respond(w, r, func(reply func(response)) {
		a.daemon.withPrimary(func(p *primary) {
			p.replyDurably(func() response { return p.startAbandonment(a.daemon.now(), name) }, reply)
		}, reply)
	})
}

// abandonable returns the members on a machine whose disks may be abandoned: those of stores without a session.
func (p *primary) abandonable(name string) (members []string) {
	for _, s := range p.storesNamed(name) {
		if _, live := p.sessionOf(s.Member); !live {
			members = append(members, s.Member)
		}
	}
	return members
}

// sessionOf returns the key of the process that has a session with the given disk.
func (p *primary) sessionOf(member string) (key string, live bool) {
	for key, node := range p.model.nodes {
		if node.Member == member {
			return key, true
		}
	}
	return "", false
}

// abandonment describes the effects of abandoning the given disks of a machine.
func (p *primary) abandonment(now time.Duration, name string, members []string) response {
	switch {
	case len(p.storesNamed(name)) == 0:
		return errorResponse(http.StatusNotFound, "no storage machine of this name is known: read the names in /status")
	case len(members) == 0:
		return errorResponse(http.StatusConflict, "the store of this machine is there with its disk: empty it by /retire/NODE/start")
	}
	summary := abandonmentBody{Stores: members, Abandonment: placement.PreviewAbandonment(p.placementInput(now), members)}
	body, _ := json.Marshal(summary) // numbers and strings always encode
	return response{status: http.StatusOK, body: body}
}

// startAbandonment abandons the disks of a machine whose stores have no session, and returns the effects.
func (p *primary) startAbandonment(now time.Duration, name string) response {
	members := p.abandonable(name)
	resp := p.abandonment(now, name, members)
	if resp.status != http.StatusOK {
		return resp
	}
	for _, s := range p.storesNamed(name) {
		if slices.Contains(members, s.Member) && !s.Abandoned {
			p.daemon.logger.Warn("control: the disk of a store is abandoned", zap.String("store", s.Member))
			s.Abandoned = true
			p.put(s.record())
			p.placement.planWanted = true
		}
	}
	return resp
}
