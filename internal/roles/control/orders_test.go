package control

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"liftgauge/internal/agent"
	"liftgauge/replication"
)

func TestOneOfTwoConcurrentOrdersSucceeds(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.startAll()
	is.Equal(c.replace(c.machine(1), 0, configurationOf(1, "x")), http.StatusOK)
	for base := uint64(1); base <= 10; base++ {
		statuses := make([]int, 4)
		var wait sync.WaitGroup
		for i := range statuses {
			wait.Go(func() {
				mark := string(rune('a' + i/2)) // two orders, each sent twice concurrently
				statuses[i] = c.replace(c.machine(1+i%3), base, configurationOf(base+1, mark))
			})
		}
		wait.Wait()
		is.Equal(statuses[0], statuses[1]) // a repeated order has the outcome of the first
		is.Equal(statuses[2], statuses[3])
		is.Equal(statuses[0]+statuses[2], http.StatusOK+http.StatusPreconditionFailed)
		winner := "a"
		if statuses[2] == http.StatusOK {
			winner = "b"
		}
		_, body := c.described(c.machine(2))
		is.Equal(body, string(configurationOf(base+1, winner)))
	}
}

// A primary may not have noticed yet that another process has taken over. Without confirmation by a majority it gives no final response.
func TestPrimaryWithoutAMajorityGivesNoFinalResponse(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.startAll()
	store := c.startStore(30, "disk")
	second := c.startStore(31, "disk")
	third := c.startStore(32, "disk")
	c.await(store.Agent, "the first table", func(v *agent.View) bool {
		return placed(v, store.member, second.member, third.member)
	})
	is.Equal(c.replace(c.machine(1), 0, configurationOf(5, "x")), http.StatusOK)
	primary := c.primary()
	for _, m := range c.machines {
		if m != primary {
			c.kill(m)
		}
	}
	var calls sync.WaitGroup // all at once, before sessions expire and that has to be written
	for _, call := range []struct {
		method, path string
		base         uint64
		body         []byte
	}{
		{http.MethodPost, "/config/replace", 4, configurationOf(6, "another version is current")},
		{http.MethodPost, "/config/replace", 5, configurationOf(5, "not higher")},
		{http.MethodGet, "/config/describe", 0, nil},
		{http.MethodPost, "/retire/nobody/start", 0, []byte(`{}`)},
		{http.MethodGet, "/retire/" + store.name + "/describe", 0, nil},
	} {
		calls.Go(func() {
			if r, final := c.call(primary, call.method, call.path, call.base, call.body); final {
				t.Errorf("%s %s (%s): got final response %d %s", call.method, call.path, call.body, r.status, r.body)
			}
		})
	}
	calls.Wait()
}

// Three control processes tolerate the loss of one, whatever FaultTolerance requires of the stores: orders continue without it.
func TestOrdersContinueWithTwoOfThreeProcessesWhereMoreCopiesAreConfigured(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	for _, m := range c.machines {
		m.settings.FaultTolerance.Machines = 2
	}
	c.startAll()
	is.Equal(c.replace(c.machine(1), 0, configurationOf(5, "x")), http.StatusOK)
	c.awaitMembers(3)
	c.kill(c.primary())
	is.Equal(c.replace(c.machine(1), 5, configurationOf(6, "x")), http.StatusOK)
	revision, _ := c.described(c.machine(2))
	is.Equal(revision, uint64(6))
}

// A primary with fewer members than copies may hold an order that is on no other disk. It acts as primary only once a learner has caught up.
func TestPrimaryActsOnceItsStateIsOnEnoughDisks(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5)
	c.startAll()
	is.Equal(c.replace(c.machine(1), 0, configurationOf(5, "x")), http.StatusOK)
	c.awaitMembers(3)
	var view replication.ControlView
	c.eventually("five witnesses", func() bool {
		c.primary().onLoop(c, func(d *daemon) { view = d.elector.View() })
		return len(view.Witnesses) == 5
	})
	var last *machine // the remaining member
	for _, m := range c.machines {
		var member string
		m.onLoop(c, func(d *daemon) {
			if member = d.self.Member; !view.IsMember(member) {
				d.replica.Close() // it votes, but accepts no records
			}
		})
		switch {
		case !view.IsMember(member) || member == view.Primary:
		case last == nil:
			last = m
		default:
			c.kill(m)
		}
	}
	is.True(last != nil)
	c.kill(c.primary())
	c.eventually("the remaining member to lead alone", func() bool {
		active := false
		last.onLoop(c, func(d *daemon) { active = d.replica.IsActive() })
		return active
	})
	if r, final := c.call(last, http.MethodGet, "/config/describe", 0, nil); final {
		t.Errorf("got a final response with the records on one disk only: %d %s", r.status, r.body)
	}
	for _, m := range c.machines { // the other two restart with replicas
		if m.process != nil && m != last {
			c.kill(m)
			c.start(m)
		}
	}
	revision, _ := c.described(last)
	is.Equal(revision, uint64(5))
}

func TestUpdateChangesNamedItems(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.startAll()
	is.Equal(c.replace(c.machine(1), 0, configurationOf(1, "old")), http.StatusOK)
	change := []byte(`{"Revision":4,"Upsert":{"Routes":[{"Name":"r-2","Hostname":"other.example","PathPrefix":"/p/","Type":"async","TimeoutMs":500,` +
		`"Priority":1,"Backend":"svc","MaxAttempts":6,"Fifo":false,"RetentionS":90.0}]},"Remove":{"Routes":["r-1"]}}`)
	r := c.operator(c.machine(2), http.MethodPost, "/config/update", 1, change)
	is.Equal(r.status, http.StatusOK)
	revision, body := c.described(c.machine(3))
	is.Equal(revision, uint64(4))
	is.True(strings.Contains(body, "r-2") && !strings.Contains(body, "r-1"))
	r = c.operator(c.machine(3), http.MethodPost, "/config/update", 1, change) // repeated
	is.Equal(r.status, http.StatusOK)
}

func TestOperatorAPIRejectsUnknownPathsMethodsAndNames(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.startAll()
	m := c.primary()
	for _, call := range []struct {
		method, path string
		status       int
	}{
		{http.MethodGet, "/", http.StatusNotFound},
		{http.MethodPost, "/config/other", http.StatusNotFound},
		{http.MethodGet, "/config/replace", http.StatusMethodNotAllowed},
		{http.MethodPost, "/config/describe", http.StatusMethodNotAllowed},
		{http.MethodPost, "/retire/nobody/start", http.StatusNotFound},
		{http.MethodGet, "/retire/nobody/describe", http.StatusNotFound},
		{http.MethodGet, "/status", http.StatusOK},
		{http.MethodGet, "/metrics", http.StatusOK},
	} {
		is.Equal(c.operator(m, call.method, call.path, 0, nil).status, call.status) // call.method call.path
	}
	r, ok := c.call(m, http.MethodGet, "/config/describe", 0, nil)
	is.Equal(ok, false)
	is.Equal(r.status, http.StatusServiceUnavailable) // before the first configuration
	large := bytes.Repeat([]byte(" "), 16<<20+1)
	is.Equal(c.operator(m, http.MethodPost, "/config/replace", 0, large).status, http.StatusRequestEntityTooLarge)
}

func TestProcessWithoutDiskRedirects(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.startAll()
	extra := c.add(9)
	extra.settings.DataDir = ""
	c.start(extra)
	is.Equal(c.replace(extra, 0, configurationOf(1, "x")), http.StatusOK)
	revision, _ := c.described(extra)
	is.Equal(revision, uint64(1))
}
