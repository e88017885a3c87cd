package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestLoopRunsFunctionsInOrderEachFollowedByAfterEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		l := newEventLoop()
		var events []string
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			l.run(ctx, time.Second, func() { events = append(events, "tick") }, func() { events = append(events, "afterEvent") })
		}()
		l.post(func() { events = append(events, "a"); l.post(func() { events = append(events, "c") }) })
		l.post(func() { events = append(events, "b") })
		synctest.Wait()
		is.Equal(events, []string{"a", "afterEvent", "b", "afterEvent", "c", "afterEvent"})
		time.Sleep(time.Second) // on the clock of the synctest bubble
		synctest.Wait()
		is.Equal(events[6:], []string{"tick", "afterEvent"})
		cancel()
		<-ended
		l.post(func() { t.Error("ran after the end") })
		synctest.Wait()
	})
}
