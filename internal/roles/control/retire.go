package control

import (
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"liftgauge/placement"
)

// The states of a retirement that are reported to the operator.
const (
	retirementRunning   = "running"
	retirementSucceeded = "succeeded"
)

// retiringName reports whether a machine is being emptied, so that a store there stays retiring when it returns with another disk.
func (p *primary) retiringName(name string) bool {
	for _, s := range p.model.stores {
		if s.Name == name && s.Retiring && !s.Emptied {
			return true
		}
	}
	return false
}

// storesNamed returns the members that are or were stores on a machine.
func (p *primary) storesNamed(name string) []storeRecord {
	var stores []storeRecord
	for _, member := range p.model.storeMembers() {
		if s := p.model.stores[member]; s.Name == name {
			stores = append(stores, s)
		}
	}
	return stores
}

// startRetirement begins to empty the stores of a machine and returns the response, which is valid once all records put so far are durable.
func (p *primary) startRetirement(now time.Duration, name string) response {
	stores := p.storesNamed(name)
	if len(stores) == 0 {
		return errorResponse(http.StatusNotFound, "no storage machine of this name is known: read the names in /status")
	}
	for _, s := range stores {
		if s.Retiring {
			continue
		}
		if refused, ok := p.mayRetire(now, s.Member); !ok {
			return refused
		}
	}
	for _, s := range stores {
		if !s.Retiring {
			p.daemon.logger.Info("control: store is being emptied", zap.String("store", s.Member))
			s.Retiring = true
			p.put(s.record())
			p.placement.planWanted = true
		}
	}
	return p.retirement(name)
}

// mayRetire rejects a retirement that would leave too few machines: with a conflict, or as unavailable if a machine that is currently away would
// make it possible.
func (p *primary) mayRetire(now time.Duration, member string) (refused response, ok bool) {
	stores, copies := p.placementStores(now), p.daemon.settings.Copies()
	switch {
	case placement.CanRetire(stores, member, copies):
		return response{}, true
	case placement.CanRetireSoon(stores, member, copies):
		return unavailable("a storage machine is away, and without it too few would remain: ask again when it is back"), false
	}
	return errorResponse(http.StatusConflict, "too few storage machines would remain: add one before"), false
}

// describeRetirement returns the state of the retirement of a machine.
func (p *primary) describeRetirement(name string) response {
	retiring := false
	for _, s := range p.storesNamed(name) {
		retiring = retiring || s.Retiring
	}
	if !retiring {
		return errorResponse(http.StatusNotFound, "this machine is not being emptied: POST /retire/NODE/start first")
	}
	return p.retirement(name)
}

func (p *primary) retirement(name string) response {
	state := retirementSucceeded
	for _, s := range p.storesNamed(name) {
		if p.model.references(s.Member) {
			state = retirementRunning
		}
	}
	body, _ := json.Marshal(struct{ State string }{state}) // a struct of a string always encodes
	return response{status: http.StatusOK, body: body}
}
