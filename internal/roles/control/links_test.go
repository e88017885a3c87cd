package control

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/rpc"
)

// After a failed dial the link is not dialed again until the retry delay has elapsed, or a message from the process arrives.
func TestLinkBacksOffAfterAFailedDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		loop := newEventLoop()
		ctx, cancel := context.WithCancel(t.Context())
		go loop.run(ctx, time.Hour, func() {}, func() {})
		dials, resets := make(chan string, 10), 0
		l := &links{
			dial: func(_ context.Context, address string) (*rpc.Conn, error) {
				dials <- address
				return nil, errors.New("refused")
			},
			resetBackoff: func(string) { resets++ }, post: loop.post, after: loop.after, byAddress: make(map[string]*link),
		}
		run := func(f func()) { loop.post(f); synctest.Wait() }
		run(func() { l.connect("a") })
		is.Equal(len(dials), 1)
		run(func() { l.connect("a"); l.send("a", 1, nil) })
		is.Equal(len(dials), 1) // during the retry delay
		run(func() { l.reconnect("a") })
		is.Equal(len(dials), 2)
		is.Equal(resets, 1)
		time.Sleep(linkRetryDelay) // on the clock of the synctest bubble
		synctest.Wait()
		run(func() { l.connect("a") })
		is.Equal(len(dials), 3)
		cancel()
	})
}

// linksOnTest returns links, and a function that runs the next function that they post.
func linksOnTest(changed func(address string, isUp bool)) (l *links, runPosted func()) {
	posted := make(chan func(), 16)
	l = &links{
		resetBackoff: func(string) {}, post: func(f func()) { posted <- f }, after: func(time.Duration, func()) {},
		changed: changed, byAddress: make(map[string]*link),
	}
	return l, func() { (<-posted)() }
}

// closedConnection returns a connection that was established and is closed.
func closedConnection(t *testing.T) *rpc.Conn {
	t.Helper()
	is := is.New(t)
	server, err := rpc.Listen("127.0.0.1:0", nil, rpc.Options{})
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	conn, err := rpc.Dial(t.Context(), server.Addr(), nil, rpc.Options{})
	is.NoErr(err)
	conn.Close()
	return conn
}

// Guards against a crash of control: a peer closes a connection right after it was dialed, while several frames wait for it.
func TestQueuedFramesOfAConnectionThatIsClosedAtOnce(t *testing.T) {
	is := is.New(t)
	var changes []bool
	l, runPosted := linksOnTest(func(_ string, isUp bool) { changes = append(changes, isUp) })
	l.dial = func(context.Context, string) (*rpc.Conn, error) { return closedConnection(t), nil }
	for range 3 {
		l.send("a", 1, nil)
	}
	runPosted() // the dial has ended
	for l.isUp("a") {
		runPosted()
	}
	is.Equal(changes, []bool{true, false})
	is.True(!l.isUp("a"))
}

// Guards against calls back into the replica while it sends: the loss of a link is reported after the send that met it has returned.
func TestLossOfALinkIsNotReportedDuringASend(t *testing.T) {
	is := is.New(t)
	sending, reportedDuringSend, reported := false, false, false
	l, runPosted := linksOnTest(func(_ string, isUp bool) {
		reported = reported || !isUp
		reportedDuringSend = reportedDuringSend || sending
	})
	l.byAddress["a"] = &link{address: "a", conn: closedConnection(t)}
	sending = true
	l.sendIfUp("a", 1, nil)
	sending = false
	for l.isUp("a") {
		runPosted()
	}
	is.True(!reportedDuringSend)
	is.True(reported)
	is.True(!l.isUp("a"))
}
