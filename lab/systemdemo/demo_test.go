package systemdemo

import (
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"liftgauge/configuration"
	"liftgauge/internal/nodeconfig"
)

func TestSettingsOfAllMachinesAreValid(t *testing.T) {
	is := is.New(t)
	machines := layout(t.TempDir())
	is.Equal(len(machines), 9)
	for _, m := range machines {
		is.NoErr(m.writeSettings([]string{"127.18.1.10:18046"}, "127.0.0.1:1"))
		s, err := nodeconfig.Load(m.file)
		is.NoErr(err)
		is.Equal(s.NodeName, m.name)
		is.Equal(s.Copies(), 2)
		is.Equal(s.DataDir != "", m.role != "dispatcher")
	}
}

func TestConfigurationIsValid(t *testing.T) {
	is := is.New(t)
	c, err := configuration.Parse(configurationBody)
	is.NoErr(err)
	route, ok := c.Match(hostname, "/orders/x")
	is.True(ok)
	is.True(route.Fifo)
}

func TestClientsCountResponsesAndMissingMessages(t *testing.T) {
	is := is.New(t)
	status := http.StatusAccepted
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer front.Close()
	closed := httptest.NewServer(nil)
	closed.Close() // connections are refused, so clients use the next target
	c := &clients{client: front.Client(), targets: []string{closed.Listener.Addr().String(), front.Listener.Addr().String()}}
	for n, response := range []int{202, 202, 503, 504} {
		status = response
		c.send(n)
	}
	sent, accepted, refused, unknown := c.counts()
	is.Equal([]int{sent, accepted, refused, unknown}, []int{4, 2, 1, 1})
	platform, err := startFakePlatform(1)
	is.NoErr(err)
	defer platform.close()
	is.Equal(c.countMissing(platform), 2)
	platform.recordRun("demo-0")
	platform.recordRun("demo-0")
	is.Equal(c.countMissing(platform), 1)
	ran, again := platform.counts()
	is.Equal([]int{ran, again}, []int{1, 1})
}

func TestMissingProgramIsReported(t *testing.T) {
	is := is.New(t)
	m := layout(t.TempDir())[0]
	is.NoErr(m.writeSettings(nil, "127.0.0.1:1"))
	is.True(m.start(filepath.Join(t.TempDir(), "none")) != nil)
	m.kill() // has no effect, since no process is running
}

func TestUpgradeSequence(t *testing.T) {
	is := is.New(t)
	machines := layout(t.TempDir())
	all, err := (&Upgrade{}).sequence(machines)
	is.NoErr(err)
	is.Equal(all, machines)
	byRole, err := (&Upgrade{Order: []string{"store", "control", "dispatcher"}}).sequence(machines)
	is.NoErr(err)
	is.Equal(len(byRole), 9)
	is.Equal(byRole[0].role, "store")
	is.Equal(byRole[3].role, "control")
	for _, wrong := range [][]string{{"stores"}, {"store"}, {"store", "store", "control"}} {
		_, err := (&Upgrade{Order: wrong}).sequence(machines)
		is.True(err != nil)
	}
}

func TestWorkersComeBackWithNewIDs(t *testing.T) {
	is := is.New(t)
	platform, err := startFakePlatform(2)
	is.NoErr(err)
	defer platform.close()
	is.Equal(len(platform.workers), 2*workersPerPage)
	platform.drain(1)
	id := platform.stop(1)
	platform.list.Remove(id)
	address := platform.workers[1].address
	is.NoErr(platform.restart(1))
	is.True(platform.workers[1].id != id)
	is.Equal(platform.workers[1].address, address)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", nil)
	is.NoErr(err)
	request.Header.Set("X-Expect-Instance", id)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusMisdirectedRequest) // it is another incarnation
	is.Equal(platform.lateMessages(), 0)
}
