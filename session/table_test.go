package session

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	ms   = time.Millisecond
	tick = 100 * ms
)

func node(key string, incarnation uint64) Node {
	return Node{Key: key, Name: key, Role: 2, Incarnation: incarnation, Member: key + "/1", Zone: "a"}
}

func table() *Table {
	return New(Options{Expiry: map[uint8]time.Duration{2: 1000 * ms, 3: 1500 * ms}})
}

// run ticks from one time to another and returns the events of sessions that ended.
func run(t *Table, from, to time.Duration) []Event {
	var out []Event
	for now := from; now <= to; now += tick {
		t.Tick(now)
		out = append(out, t.Expire(now)...)
	}
	return out
}

func TestOpenRenewExpire(t *testing.T) {
	is := is.New(t)
	sessions := table()
	events, ok := sessions.Renew(0, node("x", 1))
	is.True(ok)
	is.Equal(events, []Event{{Kind: Opened, Node: node("x", 1)}})
	is.Equal(sessions.Version(), uint64(1))

	is.Equal(run(sessions, 0, 900*ms), nil)
	events, ok = sessions.Renew(900*ms, node("x", 1))
	is.True(ok)
	is.Equal(len(events), 0)
	is.Equal(sessions.Version(), uint64(1))

	is.Equal(run(sessions, 900*ms, 1800*ms), nil)
	ended := run(sessions, 1900*ms, 1900*ms)
	is.Equal(ended, []Event{{Kind: Ended, Node: node("x", 1), Cause: Expired}})
	is.True(!ended[0].ProcessStopped())
	is.Equal(len(sessions.Snapshot()), 0)

	events, ok = sessions.Renew(2000*ms, node("x", 1)) // it was only disconnected
	is.True(ok)
	is.Equal(events[0].Kind, Opened)
}

func TestExpiryByRole(t *testing.T) {
	is := is.New(t)
	sessions := table()
	other := node("y", 1)
	other.Role = 3
	unnamed := node("z", 1)
	unnamed.Role = 9
	for _, n := range []Node{node("x", 1), other, unnamed} {
		sessions.Renew(0, n)
	}
	is.Equal(len(run(sessions, 0, 1000*ms)), 2)
	is.Equal(len(run(sessions, 1100*ms, 1400*ms)), 0)
	is.Equal(len(run(sessions, 1500*ms, 1500*ms)), 1)
}

func TestChangedNodeIsReported(t *testing.T) {
	is := is.New(t)
	sessions := table()
	sessions.Renew(0, node("x", 1))
	moved := node("x", 1)
	moved.Address = "10.0.0.9:7242"
	events, _ := sessions.Renew(100*ms, moved)
	is.Equal(events, []Event{{Kind: Changed, Node: moved}})
	got, ok := sessions.Get("x")
	is.True(ok)
	is.Equal(got, moved)
}

func TestNewIncarnationReplacesSession(t *testing.T) {
	is := is.New(t)
	sessions := table()
	sessions.Renew(0, node("x", 1))
	events, ok := sessions.Renew(100*ms, node("x", 2))
	is.True(ok)
	is.Equal(events, []Event{{Kind: Ended, Node: node("x", 1), Cause: Replaced}, {Kind: Opened, Node: node("x", 2)}})
	is.True(events[0].ProcessStopped())

	events, ok = sessions.Renew(200*ms, node("x", 1)) // a delayed heartbeat
	is.True(!ok)
	is.Equal(len(events), 0)
	is.Equal(sessions.Leave(200*ms, "x", 1, true), nil) // and a delayed leave
	is.Equal(sessions.Snapshot(), []Node{node("x", 2)})
}

func TestExpiredIncarnationDoesNotReplaceItsSuccessor(t *testing.T) {
	is := is.New(t)
	sessions := table()
	sessions.Renew(0, node("x", 1))
	is.Equal(len(run(sessions, 0, 1000*ms)), 1)
	sessions.Renew(1100*ms, node("x", 2))
	_, ok := sessions.Renew(1200*ms, node("x", 1))
	is.True(!ok)
	is.Equal(sessions.Snapshot(), []Node{node("x", 2)})
}

func TestRefusedIncarnationMayReturn(t *testing.T) {
	is := is.New(t)
	sessions := table()
	sessions.Renew(0, node("x", 1))
	is.Equal(sessions.ConnectionRefused(50*ms, "x", 2), nil) // of another incarnation
	is.Equal(sessions.ConnectionRefused(50*ms, "y", 1), nil)
	is.True(sessions.HasSession("x", 1))
	events := sessions.ConnectionRefused(100*ms, "x", 1)
	is.Equal(events, []Event{{Kind: Ended, Node: node("x", 1), Cause: Refused}})
	is.True(!events[0].ProcessStopped()) // the network may have refused on its behalf
	is.True(!sessions.HasSession("x", 1))
	is.Equal(sessions.ConnectionRefused(150*ms, "x", 1), nil)

	events, ok := sessions.Renew(200*ms, node("x", 1))
	is.True(ok)
	is.Equal(events, []Event{{Kind: Opened, Node: node("x", 1)}})
	sessions.ConnectionRefused(300*ms, "x", 1)
	sessions.Renew(400*ms, node("x", 2))
	_, ok = sessions.Renew(500*ms, node("x", 1)) // its successor has replaced it meanwhile
	is.True(!ok)
}

func TestLeave(t *testing.T) {
	is := is.New(t)
	sessions := table()
	sessions.Renew(0, node("x", 1))
	events := sessions.Leave(100*ms, "x", 1, false)
	is.Equal(len(events), 1)
	is.Equal(events[0].Kind, Changed)
	is.True(events[0].Node.Leaving)
	is.Equal(sessions.Leave(150*ms, "x", 1, false), nil)

	events, ok := sessions.Renew(200*ms, node("x", 1)) // a heartbeat sent before does not revoke it
	is.True(ok)
	is.Equal(len(events), 0)

	events = sessions.Leave(300*ms, "x", 1, true)
	is.Equal(len(events), 1)
	is.Equal(events[0].Cause, Departed)
	is.True(events[0].ProcessStopped())
	_, ok = sessions.Renew(310*ms, node("x", 1))
	is.True(!ok)
	_, ok = sessions.Renew(320*ms, node("x", 2))
	is.True(ok)
	is.Equal(sessions.Leave(330*ms, "nobody", 5, true), nil)
}

func TestPauseExtendsDeadlines(t *testing.T) {
	is := is.New(t)
	sessions := table()
	sessions.Renew(0, node("x", 1))
	is.Equal(run(sessions, 0, 500*ms), nil)
	is.True(sessions.Tick(5000 * ms)) // a pause of 4.5 s
	is.Equal(len(sessions.Expire(5000*ms)), 0)
	is.Equal(run(sessions, 5100*ms, 5400*ms), nil) // half a second remains
	is.Equal(len(run(sessions, 5500*ms, 5500*ms)), 1)

	is.True(!sessions.Tick(5800 * ms)) // 300 ms do not count as a pause
	is.True(sessions.Tick(6101 * ms))
}

func TestPauseIsDetectedByAnyCall(t *testing.T) {
	is := is.New(t)
	sessions := table()
	sessions.Renew(0, node("x", 1))
	sessions.Renew(0, node("y", 1))
	sessions.Renew(3000*ms, node("y", 1)) // the first call after the pause
	is.Equal(len(sessions.Expire(3000*ms)), 0)
	is.Equal(len(sessions.Expired(3000*ms)), 0)
}

func TestResetDeadlinesAndLoad(t *testing.T) {
	is := is.New(t)
	sessions := table()
	sessions.Renew(0, node("x", 1))
	is.Equal(run(sessions, 0, 900*ms), nil)
	sessions.ResetDeadlines(60000 * ms) // the clock of another process
	is.Equal(run(sessions, 60000*ms, 60900*ms), nil)
	is.Equal(len(run(sessions, 61000*ms, 61000*ms)), 1)

	sessions.Load(100*ms, []Node{node("z", 1), node("y", 1)})
	is.Equal(sessions.Snapshot(), []Node{node("y", 1), node("z", 1)})
	at, ok := sessions.EarliestDeadline()
	is.True(ok)
	is.Equal(at, 1100*ms)
	is.Equal(run(sessions, 100*ms, 1000*ms), nil)
	is.Equal(sessions.Expired(1100*ms), []string{"y", "z"})
}

// TestNoSessionEndsWithinItsExpiry compares the table with the time since each heartbeat during which its process was not paused.
func TestNoSessionEndsWithinItsExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sessions := table()
		now := time.Duration(0)
		awake := map[string]time.Duration{} // since the last heartbeat, without pauses
		sessions.Tick(now)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			gap := time.Duration(rapid.IntRange(1, 300).Draw(t, "gap")) * ms
			if rapid.IntRange(0, 9).Draw(t, "pause") == 0 {
				now += time.Duration(rapid.IntRange(301, 20000).Draw(t, "length")) * ms
			} else {
				now += gap
				for key := range awake {
					awake[key] += gap
				}
			}
			if rapid.Bool().Draw(t, "heartbeat") {
				key := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "node"))
				sessions.Renew(now, node(key, 1))
				awake[key] = 0
			}
			sessions.Tick(now)
			for _, e := range sessions.Expire(now) {
				if awake[e.Node.Key] < 1000*ms {
					t.Fatalf("%s ended after %v", e.Node.Key, awake[e.Node.Key])
				}
				delete(awake, e.Node.Key)
			}
			for key, d := range awake {
				if d >= 1000*ms {
					t.Fatalf("%s still has a session after %v", key, d)
				}
			}
		}
	})
}
