package delivery

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"liftgauge/internal/protocol"
)

// An attempt that gets its connection as its wait for one is about to end is either sent and awaited, or not sent.
func TestAttemptThatGetsItsConnectionLateIsAwaited(t *testing.T) {
	for held := time.Second; held < 1300*time.Millisecond; held += 5 * time.Millisecond {
		t.Run(fmt.Sprint(held), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				defer time.Sleep(time.Second) // on the bubble's clock, so that the worker finishes, after a failure too
				runs := 0
				n := newNetwork()
				n.serve(t, "w1", func(w http.ResponseWriter, r *http.Request) {
					run := held
					if r.Header.Get("X-Request-Id") == "m2" {
						runs++
						run = 100 * time.Millisecond
					}
					time.Sleep(run)
					succeed(w, r)
				})
				c := newClient(n.dial, zap.NewNop())
				defer c.close()
				c.setLimit(1)
				first := make(chan attemptResult)
				go func() {
					first <- c.send(t.Context(), &attempt{message: message("m1"), address: "w1", timeout: 2 * time.Second})
				}()
				synctest.Wait()
				second := c.send(t.Context(), &attempt{message: message("m2"), address: "w1", timeout: 2 * time.Second})
				is.Equal((<-first).Outcome, protocol.OutcomeSucceeded)
				if runs == 0 {
					is.Equal(second.Outcome, protocol.OutcomeNotRun)
				} else {
					is.Equal(second.Outcome, protocol.OutcomeSucceeded)
				}
			})
		})
	}
}
