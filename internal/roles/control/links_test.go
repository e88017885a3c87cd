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

// TestLinkPausesAfterAFailedDial has a process that does not listen; hearing of it ends the pause.
func TestLinkPausesAfterAFailedDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		loop := newEventLoop()
		ctx, cancel := context.WithCancel(t.Context())
		go loop.run(ctx, time.Hour, func() {}, func() {})
		dials, forgotten := make(chan string, 10), 0
		l := &links{
			dial: func(_ context.Context, address string) (*rpc.Conn, error) {
				dials <- address
				return nil, errors.New("refused")
			},
			resetBackoff: func(string) { forgotten++ }, post: loop.post, after: loop.after, byAddress: make(map[string]*link),
		}
		keep := func(f func()) { loop.post(f); synctest.Wait() }
		keep(func() { l.connect("a") })
		is.Equal(len(dials), 1)
		keep(func() { l.connect("a"); l.send("a", 1, nil) })
		is.Equal(len(dials), 1) // in the pause
		keep(func() { l.reconnect("a") })
		is.Equal(len(dials), 2)
		is.Equal(forgotten, 1)
		time.Sleep(linkRetryDelay) // the bubble's clock
		synctest.Wait()
		keep(func() { l.connect("a") })
		is.Equal(len(dials), 3)
		cancel()
	})
}
