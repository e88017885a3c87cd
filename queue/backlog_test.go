package queue_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/queue"
)

// backlog is a queue of messages that are due, spread over services; of those, dead ones have no owner and get nothing.
func backlog(messages, services, dead int) *queue.Queue {
	q := queue.New(queue.Options{Zone: "a", Match: func(host, _ string) (queue.Route, bool) {
		return queue.Route{Name: host, Service: host, MaxAttempts: 3, Timeout: time.Second, TargetStart: time.Second}, true
	}})
	q.SetOpen(0, 1, true)
	q.Resume(worker, "a")
	for service := range services {
		window := queue.Window{Total: 16, PerDispatcher: 16}
		if service < dead {
			window = queue.Window{Total: 16, PerDispatcher: 16, Owners: []string{"gone/dispatcher"}}
		}
		q.SetWindow(fmt.Sprintf("service-%d", service), window)
	}
	for n := range messages {
		q.Add(0, queue.Entry{Partition: 1, ID: fmt.Sprintf("0001-%012x", n), Host: fmt.Sprintf("service-%d", n%services), URI: "/a/b",
			Sequence: uint64(n + 1), ExpiresIn: time.Hour})
	}
	return q
}

// BenchmarkBacklogMemory reports the heap that one queued message takes in a backlog.
func BenchmarkBacklogMemory(b *testing.B) {
	const messages = 200_000
	for b.Loop() {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		q := backlog(messages, 100, 1)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/messages, "bytes/message")
		runtime.KeepAlive(q)
	}
}

// BenchmarkHandOutBesideDeadServices reports what a hand-out and its end cost while some services are dead and all have a backlog.
func BenchmarkHandOutBesideDeadServices(b *testing.B) {
	q := backlog(400_000, 1000, 11)
	b.ResetTimer()
	n := 0
	for b.Loop() {
		d, found := q.Next(0)
		if !found {
			b.Fatalf("nothing to hand out after %d", n)
		}
		q.Outcome(0, d.Partition, d.ID, d.Attempt, queue.Succeeded, 0)
		q.ConfirmEnd(0, d.Partition, d.ID)
		if n++; n%300_000 == 0 {
			b.StopTimer()
			q = backlog(400_000, 1000, 11)
			b.StartTimer()
		}
	}
}

// BenchmarkHandOutAmongDispatchers reports what a hand-out and its end cost with few and with many dispatchers open, of which an eighth is in the own zone.
func BenchmarkHandOutAmongDispatchers(b *testing.B) {
	for _, dispatchers := range []int{24, 240} {
		b.Run(fmt.Sprint(dispatchers), func(b *testing.B) {
			var q *queue.Queue
			fill := func() {
				q = backlog(100_000, 1, 0)
				for n := range dispatchers {
					zone := "other"
					if n%8 == 0 {
						zone = "a"
					}
					q.Resume(fmt.Sprint("edge-", n), zone)
				}
			}
			fill()
			for n := 1; b.Loop(); n++ {
				d, found := q.Next(0)
				if !found {
					b.Fatalf("nothing to hand out after %d", n)
				}
				q.Outcome(0, d.Partition, d.ID, d.Attempt, queue.Succeeded, 0)
				q.ConfirmEnd(0, d.Partition, d.ID)
				if n%90_000 == 0 {
					b.StopTimer()
					fill()
					b.StartTimer()
				}
			}
		})
	}
}

// BenchmarkResume reports what it costs that a dispatcher says again that it is open, with many services and nothing ready. Each dispatcher does so whenever
// the nodes, the workers or the configuration change.
func BenchmarkResume(b *testing.B) {
	q := backlog(300, 300, 0)
	for {
		if _, found := q.Next(0); !found {
			break
		}
	}
	slots := map[string]int{"service-0": 1}
	for b.Loop() {
		q.Resume(worker, "zone")
		q.SetSlots(worker, slots)
	}
}

// One destination with a large backlog and nobody to serve it does not hold up another.
func TestDeadServiceDoesNotHoldUpOthers(t *testing.T) {
	is := is.New(t)
	q := backlog(2000, 2, 1)
	for range 16 {
		d, found := q.Next(0)
		is.True(found)
		is.Equal(d.Service, "service-1")
	}
	_, found := q.Next(0)
	is.True(!found) // the window of the live one is full, the dead one has no owner
}

func TestBackloggedOnceAFullWindowWaitsBehindAFullWindow(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.SetWindow("service", queue.Window{Total: 2, PerDispatcher: 2})
	is.True(!f.Backlogged("service")) // not even known
	for n := range uint64(4) {
		f.add("plain", "", n, 0)
		f.deliveries()
		is.Equal(f.Backlogged("service"), n == 3)
	}
	f.SetWindow("service", queue.Window{Total: 2, PerDispatcher: 2, Owners: []string{worker}})
	is.True(!f.Backlogged("service")) // its owners pace it
	f.SetWindow("service", queue.Window{Total: 3, PerDispatcher: 3})
	f.deliveries()
	is.True(!f.Backlogged("service"))
}
