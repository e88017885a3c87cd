package session

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestExpiringWithin(t *testing.T) {
	is := is.New(t)
	const store, other = 1, 2
	table := New(Options{Expiry: map[uint8]time.Duration{store: 700 * time.Millisecond, other: time.Second}})
	renew := func(now time.Duration, key string, role uint8) {
		table.Renew(now, Node{Key: key, Role: role, Incarnation: 1})
	}
	renew(0, "a", store)
	renew(200*time.Millisecond, "b", store)
	renew(0, "c", other)
	table.Tick(400 * time.Millisecond)
	is.Equal(len(table.ExpiringWithin(600*time.Millisecond, store, 0)), 0)
	is.Equal(len(table.ExpiringWithin(700*time.Millisecond, store, 0)), 1)
	soon := table.ExpiringWithin(700*time.Millisecond, store, 200*time.Millisecond)
	is.Equal(len(soon), 2) // sorted, and of that role only
	is.Equal(soon[0].Key, "a")
	is.Equal(soon[1].Key, "b")
	renew(700*time.Millisecond, "a", store)
	is.Equal(len(table.ExpiringWithin(700*time.Millisecond, store, 200*time.Millisecond)), 1)
}
