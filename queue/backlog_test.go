package queue_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/queue"
)

// backlog returns a queue of due messages, spread over services. The only owner of the first unserved services is not connected, so they
// get no deliveries.
func backlog(messages, services, unserved int) *queue.Queue {
	q := queue.New(queue.Options{Zone: "a", Match: func(host, _ string) (queue.Route, bool) {
		return queue.Route{Name: host, Service: host, MaxAttempts: 3, Timeout: time.Second, TargetStart: time.Second}, true
	}})
	q.SetOpen(0, 1, true)
	q.Resume(dispatcher, "a")
	for service := range services {
		window := queue.Window{Total: 16, PerDispatcher: 16}
		if service < unserved {
			window = queue.Window{Total: 16, PerDispatcher: 16, Owners: []string{"disconnected/dispatcher"}}
		}
		q.SetWindow(fmt.Sprintf("service-%d", service), window)
	}
	for n := range messages {
		q.Add(0, queue.Entry{Partition: 1, ID: fmt.Sprintf("0001-%012x", n), Host: fmt.Sprintf("service-%d", n%services), URI: "/a/b",
			Sequence: uint64(n + 1), ExpiresIn: time.Hour})
	}
	return q
}

// BenchmarkBacklogMemory reports the heap memory per queued message in a backlog.
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

// BenchmarkDeliveryBesideServicesWithoutOwners reports the cost of a delivery and its end while some services have no connected owner and
// all have a backlog.
func BenchmarkDeliveryBesideServicesWithoutOwners(b *testing.B) {
	q := backlog(400_000, 1000, 11)
	b.ResetTimer()
	n := 0
	for b.Loop() {
		d, found := q.Next(0)
		if !found {
			b.Fatalf("nothing to deliver after %d deliveries", n)
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

// BenchmarkDeliveryAmongDispatchers reports the cost of a delivery and its end with few and with many open dispatchers, an eighth of them in
// the local zone.
func BenchmarkDeliveryAmongDispatchers(b *testing.B) {
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
					b.Fatalf("nothing to deliver after %d deliveries", n)
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

// BenchmarkResume reports the cost of resuming a dispatcher that is open already, with many services and nothing ready. Each dispatcher is
// resumed whenever the nodes, the workers or the configuration change.
func BenchmarkResume(b *testing.B) {
	q := backlog(300, 300, 0)
	for {
		if _, found := q.Next(0); !found {
			break
		}
	}
	slots := map[string]int{"service-0": 1}
	for b.Loop() {
		q.Resume(dispatcher, "zone")
		q.SetSlots(dispatcher, slots)
	}
}

// A service with a large backlog and no connected owner does not delay deliveries of another service.
func TestServiceWithoutOwnersDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	q := backlog(2000, 2, 1)
	for range 16 {
		d, found := q.Next(0)
		is.True(found)
		is.Equal(d.Service, "service-1")
	}
	_, found := q.Next(0)
	is.True(!found) // service-1 has a full window, service-0 has no connected owner
}

func TestBackloggedIfAFullWindowWaitsBehindAFullWindow(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.SetWindow("service", queue.Window{Total: 2, PerDispatcher: 2})
	is.True(!f.Backlogged("service")) // the service is unknown so far
	for n := range uint64(4) {
		f.add("plain", "", n, 0)
		f.deliveries()
		is.Equal(f.Backlogged("service"), n == 3)
	}
	f.SetWindow("service", queue.Window{Total: 2, PerDispatcher: 2, Owners: []string{dispatcher}})
	is.True(!f.Backlogged("service")) // its owners pace the deliveries
	f.SetWindow("service", queue.Window{Total: 3, PerDispatcher: 3})
	f.deliveries()
	is.True(!f.Backlogged("service"))
}
