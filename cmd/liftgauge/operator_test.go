package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"liftgauge/internal/nodeconfig"
)

// startFakeControl answers the operator's calls like two control processes, one of which redirects to the primary.
func startFakeControl(t *testing.T) (address string) {
	mux := http.NewServeMux()
	answer := func(pattern, body string) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(body)) })
	}
	answer("GET /config/describe", `{"Revision":7,"Routes":[],"Services":[]}`)
	answer("GET /status", `{"Node":"edge-1/control","Active":true,"Epoch":3,"Partitions":{"Count":64}}`)
	answer("POST /retire/s1/start", ``)
	answer("GET /retire/s1/describe", `{"State":"succeeded"}`)
	answer("GET /abandon/s1/describe", `{"Stores":["s1/a"],"Kept":40,"Merged":3,"Incomplete":2,"Emptied":1,"Waiting":4}`)
	answer("POST /abandon/s1/start", `{"Stores":["s1/a"],"Kept":40}`)
	primary := httptest.NewServer(mux)
	t.Cleanup(primary.Close)
	redirect := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, primary.URL+r.URL.RequestURI(), http.StatusTemporaryRedirect)
	}))
	t.Cleanup(redirect.Close)
	return redirect.Listener.Addr().String()
}

func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	address := startFakeControl(t)
	out, err := run("describe", "--control", address)
	is.NoErr(err)
	is.Equal(out, `{"Revision":7,"Routes":[],"Services":[]}`+"\n")
	out, err = run("retire", "s1", "--wait", "--control", address) // options after the argument
	is.NoErr(err)
	is.Equal(out, "s1: succeeded\n")
	out, err = run("status", "--control", address)
	is.NoErr(err)
	is.Equal(out, "as seen by edge-1/control (primary)\n"+
		"control: epoch 3, primary unknown at unknown\n"+
		"  members none; learners none; witnesses none\n"+
		"orders under way: 0; workers on the list: 0\n"+
		"partitions: 64, of these 0 with learners, 0 short of copies\n\n"+
		"process  zone  address  member  state\n")
	_, err = run("retire", "s2", "--control", address)
	is.Equal(err.Error(), "refused with 404: 404 page not found")
	_, err = run("retire", "--control", address)
	is.Equal(err.Error(), "retire: 0 arguments: want liftgauge retire [options] NODE")
}

func TestAbandonCommand(t *testing.T) {
	is := is.New(t)
	address := startFakeControl(t)
	out, err := run("abandon", "s1", "--control", address)
	is.NoErr(err)
	is.Equal(out, "disks: s1/a\n"+
		"40 partitions go on from a member that has everything\n"+
		"3 partitions are put together from what other stores hold: all that was acknowledged\n"+
		"2 partitions are put together from what other stores hold: what only lost disks had is gone\n"+
		"1 partitions have no disk left: all of their messages are gone, and they begin anew\n"+
		"4 partitions wait for yet another disk: see liftgauge status\n"+
		"nothing was done; to give these disks up, give --confirm as well\n")
	out, err = run("abandon", "s1", "--confirm", "--control", address)
	is.NoErr(err)
	is.Equal(out, "disks: s1/a\n40 partitions go on from a member that has everything\ngiven up\n")
	_, err = run("abandon", "s2", "--control", address)
	is.Equal(err.Error(), "refused with 404: 404 page not found")
	_, err = run("abandon", "--control", address)
	is.True(err != nil)
}

func TestOperatorCommandsUseSeedNodes(t *testing.T) {
	is := is.New(t)
	address := startFakeControl(t)
	t.Setenv(nodeconfig.EnvironmentVariable, "")
	_, err := run("describe")
	is.Equal(err.Error(), "no --control address: no settings file named: set LIFTGAUGE_CONFIG or give --config FILE")
	path := writeSettings(t, strings.Replace(nodeSettings, "127.0.0.1:8046", address, 1))
	out, err := run("describe", "--config", path)
	is.NoErr(err)
	is.Equal(out, `{"Revision":7,"Routes":[],"Services":[]}`+"\n")
}
