package system

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const maxDuplicateDelay = 400 * time.Millisecond

// workerConnection is a worker's end of a connection. The worker may repeat a response there that it has sent before.
type workerConnection struct {
	connection net.Conn

	mu      sync.Mutex
	pending string // a response that is sent again before the next one
}

type workerConnectionKey struct{}

// withWorkerConnection is the ConnContext of a worker's server.
func withWorkerConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, workerConnectionKey{}, &workerConnection{connection: connection})
}

// connectionOf returns the connection on which a request came.
func connectionOf(r *http.Request) *workerConnection {
	return r.Context().Value(workerConnectionKey{}).(*workerConnection)
}

// duplicate makes the worker send a response a second time: before the next response on the connection, or, if delay is not 0, after it.
func (c *workerConnection) duplicate(w *World, id, signature string, status int, delay time.Duration) {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n", status, http.StatusText(status), id)
	if status == http.StatusOK {
		text += fmt.Sprintf("X-Response-Signature: %s\r\n", signature)
	}
	text += "Content-Length: 4\r\n\r\ndone"
	if delay == 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pending = text
		return
	}
	w.running.Go(func() {
		time.Sleep(delay)
		_, _ = io.WriteString(c.connection, text) // fails if the connection has ended
	})
}

// writePending sends the duplicate that is due before the next response.
func (c *workerConnection) writePending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = io.WriteString(c.connection, c.pending) // fails if the connection has ended
	c.pending = ""
}

// duplicateDelay returns when the worker repeats its response to a request, if it does: after a delay, or, for 0, before the next response.
func (w *Worker) duplicateDelay(id string, count int) (delay time.Duration, repeats bool) {
	if w.service.DuplicateEvery == 0 || count%w.service.DuplicateEvery != 0 {
		return 0, false
	}
	if h := hash(id + "duplicate"); h%2 == 0 {
		delay = time.Duration(h/2) % maxDuplicateDelay
	}
	return delay, true
}
