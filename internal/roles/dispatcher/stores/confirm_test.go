package stores

import (
	"testing"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

// An outcome cannot be recorded for a long time. Without a confirmation the store would take the run for lost, and the message would run
// again after its success.
func TestLongHeldDeliveryIsConfirmedToItsStore(t *testing.T) {
	is := is.New(t)
	r, s, idle := newHarness(t), newFakeStore(t), newFakeStore(t)
	r.publishTable(1, s, idle)
	idle.helloForTable(t, 1)
	g := s.helloForTable(t, 1)
	g.deliver(t, message("m", 1))
	receive(t, r.runs).done(succeeded)
	got := receive(t, s.results) // not answered: the result is not on disk
	is.Equal(r.links.confirmHeld(r.now().Add(confirmInterval-1)), 0)

	late := r.now().Add(confirmInterval) // the harness's clock does not advance, so watchStalls confirms nothing
	is.Equal(r.links.confirmHeld(late), 1)
	again := receive(t, s.hellos)
	is.True(again.conn == g.conn)
	is.Equal(again.hello.Held, []protocol.HeldDelivery{{ID: "m", Attempt: 1}})
	is.Equal(len(idle.hellos), 0) // none of its deliveries is held

	got.reply(nil, nil)
	g.awaitHeld(t, r, 0)
	is.Equal(r.links.confirmHeld(late), 0)
}
