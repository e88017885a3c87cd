package stores

import (
	"testing"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

// TestStoreHearsAgainOfADeliveryThatIsHereForLong forces the case of an outcome that cannot be recorded for long: without the word the
// store takes the run for lost, and the message runs again after its success.
func TestLongHeldDeliveryIsConfirmedToItsStore(t *testing.T) {
	is := is.New(t)
	r, s, idle := newHarness(t), newFakeStore(t), newFakeStore(t)
	r.publishTable(1, s, idle)
	idle.helloForTable(t, 1)
	g := s.helloForTable(t, 1)
	g.deliver(t, message("m", 1))
	receive(t, r.runs).done(succeeded)
	got := receive(t, s.results) // which is not answered: the result is not on disk
	is.Equal(r.links.confirmHeld(r.now().Add(confirmInterval-1)), 0)

	late := r.now().Add(confirmInterval) // the clock itself stands: the watch of Links finds nothing to do
	is.Equal(r.links.confirmHeld(late), 1)
	again := receive(t, s.hellos)
	is.True(again.conn == g.conn)
	is.Equal(again.hello.Held, []protocol.HeldDelivery{{ID: "m", Attempt: 1}})
	is.Equal(len(idle.hellos), 0) // nothing of it is here

	got.reply(nil, nil)
	g.awaitHeld(t, r, 0)
	is.Equal(r.links.confirmHeld(late), 0)
}
