package balance_test

import (
	"fmt"
	"time"

	"liftgauge/balance"
)

// printer is a host that prints the actions.
type printer struct{}

func (printer) Send(j balance.JobID, w balance.WorkerID, _ time.Duration) {
	fmt.Printf("send job %d to worker %d\n", j, w)
}
func (printer) Refuse(j balance.JobID, _ time.Duration) { fmt.Printf("refuse job %d\n", j) }
func (printer) Fail(j balance.JobID)                    { fmt.Printf("fail job %d\n", j) }
func (printer) Cancel(balance.JobID, int)               {}
func (printer) Probe(balance.WorkerID)                  {}
func (printer) Timer(time.Duration, uint64)             {}
func (printer) Watch()                                  {}
func (printer) Log(string)                              {}

func Example() {
	settings := balance.Settings{
		Classes:     []balance.Class{{TargetLatency: 200 * time.Millisecond, Value: 1, Effect: balance.Safe, Kind: -1}},
		MaxAttempts: 3, FreeSlots: -1, FreeMemory: -1,
	}
	d := balance.New(settings, 1, printer{})
	now := time.Hour
	d.Start(now)
	d.List(now, balance.ListFull, []balance.Worker{{ID: 7, Weight: 1}, {ID: 9, Weight: 1}})
	d.Job(now, balance.Job{ID: 1, Left: time.Second, Slots: 1})
	d.Job(now, balance.Job{ID: 2, Left: time.Second, Slots: 1})
	d.Outcome(now, balance.Outcome{Job: 2, Attempt: 0, Worker: 9, Status: balance.Full})
	// Output:
	// send job 1 to worker 7
	// send job 2 to worker 9
	// send job 2 to worker 7
}
