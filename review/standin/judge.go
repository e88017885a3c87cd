package main

import (
	"net/http"
	"time"
)

// endOf is when a message had ended by what the workers saw: a success, a 422, or attempts times 500; ok is false if it has not.
func (g *game) endOf(id string, attempts int) (at time.Time, ok bool) {
	failed := 0
	for _, one := range g.world.runsOf(id) {
		switch {
		case one.ended.IsZero() || one.status <= 0:
			continue
		case one.status < 300 || one.status == http.StatusUnprocessableEntity:
		case one.status == http.StatusInternalServerError:
			if failed++; failed < attempts {
				continue
			}
		default:
			continue
		}
		if !ok || one.ended.Before(at) {
			at, ok = one.ended, true
		}
	}
	return at, ok
}
