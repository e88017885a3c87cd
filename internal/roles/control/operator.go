package control

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"liftgauge/configuration"
)

const (
	headerTimeout        = 5 * time.Second
	idleTimeout          = 60 * time.Second
	bodyReadTimeout      = 10 * time.Second // for each read of a body
	responseWriteTimeout = 10 * time.Second // for the operator to read a response
	maxRetireBytes       = 64 << 10
	retryAfter           = time.Second
	headerBase           = "X-Base-Version"
)

// operatorAPI serves the operator's HTTP API.
type operatorAPI struct{ daemon *daemon }

// handler routes requests; unknown paths get 404 and other methods 405.
func (a operatorAPI) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /config/replace", a.order(configuration.VerbReplace))
	mux.HandleFunc("POST /config/update", a.order(configuration.VerbUpdate))
	mux.HandleFunc("GET /config/describe", a.describe)
	mux.HandleFunc("POST /retire/{node}/start", a.startRetirement)
	mux.HandleFunc("GET /retire/{node}/describe", a.describeRetirement)
	mux.HandleFunc("POST /abandon/{node}/start", a.startAbandonment)
	mux.HandleFunc("GET /abandon/{node}/describe", a.describeAbandonment)
	mux.HandleFunc("GET /status", a.status)
	mux.HandleFunc("GET /metrics", a.metrics)
	a.routeRecovery(mux)
	return mux
}

// server returns the HTTP server of the operator's API. It has no overall read timeout: a body may be slow as long as each read makes progress.
func (a operatorAPI) server() *http.Server {
	return &http.Server{Handler: a.handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// await runs a call on the event loop and returns its response, or false when the caller has disconnected.
func (a operatorAPI) await(r *http.Request, work func(reply func(response))) (response, bool) {
	result := make(chan response, 1)
	a.daemon.loop.post(func() {
		work(func(resp response) {
			select {
			case result <- resp:
			default: // already answered
			}
		})
	})
	select {
	case resp := <-result:
		return resp, true
	case <-r.Context().Done():
		return response{}, false
	case <-a.daemon.stopped:
		return unavailable("this process ends: try another"), true
	}
}

func (a operatorAPI) order(verb configuration.Verb) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, ok := readBody(w, r, a.daemon.orderLimit)
		if !ok {
			return
		}
		base, err := configuration.ParseBase(r.Header.Get(headerBase))
		if err != nil {
			write(w, r, errorResponse(http.StatusBadRequest, err.Error()))
			return
		}
		order := configuration.Order{Verb: verb, Base: base, Body: body}
		hash := order.Hash()
		a.respond(w, r, func(reply func(response)) {
			a.daemon.withPrimary(func(*primary) { a.daemon.submitOrder(order, hash, reply) }, reply)
		})
	}
}

func (a operatorAPI) describe(w http.ResponseWriter, r *http.Request) {
	a.respond(w, r, func(reply func(response)) {
		a.daemon.withPrimary(func(p *primary) { p.describe(reply) }, reply)
	})
}

func (a operatorAPI) startRetirement(w http.ResponseWriter, r *http.Request) {
	if _, ok := readBody(w, r, maxRetireBytes); !ok {
		return
	}
	name := r.PathValue("node")
	a.respond(w, r, func(reply func(response)) {
		a.daemon.withPrimary(func(p *primary) {
			p.replyDurably(func() response { return p.startRetirement(a.daemon.now(), name) }, reply)
		}, reply)
	})
}

func (a operatorAPI) describeRetirement(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("node")
	a.respond(w, r, func(reply func(response)) {
		a.daemon.withPrimary(func(p *primary) {
			p.replyDurably(func() response { return p.describeRetirement(name) }, reply)
		}, reply)
	})
}

func (a operatorAPI) respond(w http.ResponseWriter, r *http.Request, work func(reply func(response))) {
	if resp, ok := a.await(r, work); ok {
		write(w, r, resp)
	}
}

// replyDurably computes a response from the model once a majority confirms that this process is the primary, and sends it once all records
// put so far are durable.
func (p *primary) replyDurably(work func() response, reply func(response)) {
	d := p.daemon
	d.confirm(func(confirmed bool) {
		if !confirmed || d.primary != p {
			reply(unavailable("this process could not confirm that it is the primary: try again"))
			return
		}
		resp := work()
		d.loop.after(orderTimeout, func() { reply(unavailable("the outcome is not known yet: send the same call again")) })
		p.writer.onDurable(func(err error) {
			if err != nil {
				resp = unavailable("the outcome is not known: send the same call again")
			}
			reply(resp)
		})
	})
}

// readBody reads a whole body, or responds with an error. It reads the body before any response, since closing a connection with unread bytes
// resets it.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	if r.ContentLength > limit {
		write(w, r, errorResponse(http.StatusRequestEntityTooLarge, "the body is too large: at most "+strconv.FormatInt(limit, 10)+" bytes"))
		return nil, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, deadlineBody{ReadCloser: r.Body, control: http.NewResponseController(w)}, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		write(w, r, errorResponse(http.StatusRequestEntityTooLarge, "the body is too large: at most "+strconv.FormatInt(limit, 10)+" bytes"))
		return nil, false
	case err != nil: // the connection broke: there is no caller to respond to
		return nil, false
	}
	return body, true
}

// deadlineBody sets a new deadline before each read of a body.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read extends the read deadline and reads from the body.
func (b deadlineBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // not every ResponseWriter has deadlines
	return b.ReadCloser.Read(p)
}

// write sends a response.
func write(w http.ResponseWriter, r *http.Request, resp response) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	switch {
	case resp.status == http.StatusTemporaryRedirect:
		w.Header().Set("Location", "http://"+resp.controlPlane+r.URL.RequestURI())
	case resp.status == http.StatusServiceUnavailable:
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
	}
	body := resp.body
	if body == nil && resp.text != "" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		body = append([]byte(resp.text), '\n')
	} else {
		w.Header().Set("Content-Type", cmp.Or(resp.contentType, "application/json"))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(resp.status)
	_, _ = w.Write(body) // a caller that has disconnected retries
}
