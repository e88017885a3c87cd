package virtualdisk

import (
	"sync"
	"time"
)

// Fault describes a fault of a disk. The zero value is a healthy disk.
type Fault struct {
	Stalled       bool          // no operation completes until the fault is cleared
	ExtraSyncTime time.Duration // additional duration of each sync of a file
	WriteError    error         // if set, writes fail with it and write nothing
	Once          bool          // the fault is cleared after the first write that failed
}

// faultState holds a disk's current fault.
type faultState struct {
	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed at the next change
}

func newFaultState() *faultState { return &faultState{changed: make(chan struct{})} }

// SetFault replaces the disk's fault.
func (d *Disk) SetFault(f Fault) {
	s := d.faults
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultState) current() (Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault, s.changed
}

// writeError returns the error with which a write that begins now fails, if any.
func (s *faultState) writeError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.fault.WriteError
	if s.fault.Once {
		s.fault = Fault{}
	}
	return err
}

// awaitNotStalled waits until the disk is not stalled. It returns immediately if the disk is off.
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

// awaitSync waits for the duration of a sync.
func (d *Disk) awaitSync() {
	fault, _ := d.faults.current()
	time.Sleep(d.options.Sync + fault.ExtraSyncTime)
}
