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
