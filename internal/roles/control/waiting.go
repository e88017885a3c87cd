package control

import (
	"net/http"
	"time"
)

const (
	// holdTimeout is how long a call waits for a primary to be known. It is below the second after which the operator tries another process.
	holdTimeout = 700 * time.Millisecond
	// orderTimeout is how long an order may take to become durable before its callers are told that the outcome is unknown.
	orderTimeout = 2500 * time.Millisecond
	// confirmTimeout limits the round that confirms that this process is still the primary.
	confirmTimeout = 600 * time.Millisecond
)

// response is the HTTP response to a call of the operator.
type response struct {
	status       int
	body         []byte
	contentType  string // of the body; JSON where it is empty
	text         string // of an error, instead of a body
	controlPlane string // of the primary, for 307
}

func errorResponse(status int, text string) response { return response{status: status, text: text} }

// unavailable returns a response after which the operator retries the call.
func unavailable(text string) response { return errorResponse(http.StatusServiceUnavailable, text) }

func redirect(controlPlane string) response {
	return response{status: http.StatusTemporaryRedirect, controlPlane: controlPlane}
}

// pendingCall is a call that waits until a primary is known.
type pendingCall struct {
	deadline time.Duration
	run      func(*primary)
	reply    func(response)
}

// withPrimary calls run with the active primary if that is this process. Otherwise the call is redirected to the primary, or waits until one is
// known.
func (d *daemon) withPrimary(run func(*primary), reply func(response)) {
	w := &pendingCall{deadline: d.now() + holdTimeout, run: run, reply: reply}
	if !d.resolve(w) {
		d.pendingCalls = append(d.pendingCalls, w)
	}
}

// resolve runs or redirects a pending call if a primary is known.
func (d *daemon) resolve(call *pendingCall) bool {
	if d.primary != nil {
		call.run(d.primary)
		return true
	}
	if other := d.otherPrimary(); other != "" {
		call.reply(redirect(other))
		return true
	}
	return false
}

// otherPrimary returns the address at which another process serves the operator as primary, or "".
func (d *daemon) otherPrimary() string {
	address, controlPlane := d.primaryAddress()
	if address == d.self.Address {
		return ""
	}
	return controlPlane
}

// retryPendingCalls resolves the pending calls that can be resolved, after what is known of the primary has changed.
func (d *daemon) retryPendingCalls() {
	waiting := d.pendingCalls
	d.pendingCalls = nil
	for _, w := range waiting {
		if !d.resolve(w) {
			d.pendingCalls = append(d.pendingCalls, w)
		}
	}
	d.redirectOrders()
}

// expirePendingCalls responds with an error to the calls that have waited too long.
func (d *daemon) expirePendingCalls(now time.Duration) {
	waiting := d.pendingCalls
	d.pendingCalls = nil
	for _, w := range waiting {
		if now < w.deadline {
			d.pendingCalls = append(d.pendingCalls, w)
			continue
		}
		w.reply(unavailable("no primary is known: try again"))
	}
}

// confirm calls f with whether a majority confirms that this process is still the primary.
func (d *daemon) confirm(f func(confirmed bool)) {
	answered := false
	once := func(confirmed bool) {
		if !answered {
			answered = true
			f(confirmed)
		}
	}
	d.loop.after(confirmTimeout, func() { once(false) })
	d.execute(d.elector.Confirm(d.now(), once))
}
