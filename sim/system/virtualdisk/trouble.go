package virtualdisk

import (
	"sync"
	"time"
)

// Fault is what is wrong with a disk. The zero value is a disk in order.
type Fault struct {
	Stalled       bool          // nothing ends before the fault does
	ExtraSyncTime time.Duration // each sync of a file takes so much longer
	WriteError    error         // writes fail with it, and nothing of them is kept
	Once          bool          // the refusal is over with the first write that it met
}

// health holds a disk's fault.
type faultState struct {
	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed by the next change
}

func newFaultState() *faultState { return &faultState{changed: make(chan struct{})} }

// SetFault replaces the disk's fault.
func (d *Disk) SetFault(t Fault) {
	s := d.faults
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = t
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultState) current() (Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault, s.changed
}

// refusal returns the error of a write that begins now, if it is refused.
func (s *faultState) writeError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.fault.WriteError
	if s.fault.Once {
		s.fault = Fault{}
	}
	return err
}

// awaitNotStalled waits until the disk does not stall. It returns at once when the disk is off.
func (d *Disk) awaitNotStalled() {
	for {
		fault, changed := d.faults.current()
		if !fault.Stalled {
			return
		}
		select {
		case <-changed:
		case <-d.stopped:
			return
		}
	}
}

// syncing takes the time of a sync.
func (d *Disk) awaitSync() {
	fault, _ := d.faults.current()
	time.Sleep(d.options.Sync + fault.ExtraSyncTime)
}
