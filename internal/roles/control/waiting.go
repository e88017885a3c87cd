package control

import (
	"net/http"
	"time"
)

const (
	// holdTimeout is how long a call waits for a primary to be known. It stays below the second after which the operator goes elsewhere.
	holdTimeout = 700 * time.Millisecond
	// orderTimeout is how long an order waits to be durable before it gets no clear answer.
	orderTimeout = 2500 * time.Millisecond
	// confirmTimeout bounds the round that confirms that this process still is the primary.
	confirmTimeout = 600 * time.Millisecond
)

// answer is what a call of the operator is answered.
type answer struct {
	status       int
	body         []byte
	contentType  string // of the body; JSON where it is empty
	text         string // of a refusal, instead of a body
	controlPlane string // of the primary, for 307
}

func refusal(status int, text string) answer { return answer{status: status, text: text} }

// unavailable is no clear answer: the operator sends the call again.
func unavailable(text string) answer { return refusal(http.StatusServiceUnavailable, text) }

func redirect(controlPlane string) answer {
	return answer{status: http.StatusTemporaryRedirect, controlPlane: controlPlane}
}

// waiter is a call that waits for a primary to be known.
type waiter struct {
	deadline time.Duration
	run      func(*primary)
	refuse   func(answer)
}

// withPrimary runs a function with the active primary if that is this process. Otherwise the call is sent on to the primary, or waits until
// one is known.
func (d *daemon) withPrimary(run func(*primary), refuse func(answer)) {
	w := &waiter{deadline: d.now() + holdTimeout, run: run, refuse: refuse}
	if !d.resolve(w) {
		d.waiting = append(d.waiting, w)
	}
}

// resolve answers a waiting call if that can be done now.
func (d *daemon) resolve(w *waiter) bool {
	if d.primary != nil {
		w.run(d.primary)
		return true
	}
	if other := d.otherPrimary(); other != "" {
		w.refuse(redirect(other))
		return true
	}
	return false
}

// otherPrimary returns where another process serves the operator as primary, or "".
func (d *daemon) otherPrimary() string {
	address, controlPlane := d.primaryAddress()
	if address == d.self.Address {
		return ""
	}
	return controlPlane
}

// retryPendingCalls answers what waited for a primary to be known, after something about that has changed.
func (d *daemon) retryPendingCalls() {
	waiting := d.waiting
	d.waiting = nil
	for _, w := range waiting {
		if !d.resolve(w) {
			d.waiting = append(d.waiting, w)
		}
	}
	d.redirectOrders()
}

// expirePendingCalls refuses the calls that have waited too long.
func (d *daemon) expirePendingCalls(now time.Duration) {
	waiting := d.waiting
	d.waiting = nil
	for _, w := range waiting {
		if now < w.deadline {
			d.waiting = append(d.waiting, w)
			continue
		}
		w.refuse(unavailable("no primary is known: try again"))
	}
}

// confirm calls f with whether this process still is the primary by the word of a majority.
func (d *daemon) confirm(f func(stands bool)) {
	answered := false
	once := func(stands bool) {
		if !answered {
			answered = true
			f(stands)
		}
	}
	d.loop.after(confirmTimeout, func() { once(false) })
	d.act(d.elector.Confirm(d.now(), once))
}
