package dissemination

import "time"

// Schedule tells when the next digest is due. A process that stood still owes only one.
type Schedule struct {
	interval time.Duration
	next     time.Duration
}

// NewSchedule returns a schedule with a first digest at now.
func NewSchedule(interval, now time.Duration) Schedule {
	return Schedule{interval: interval, next: now}
}

// Due says whether a digest is to be sent now, and plans the next one if so.
func (s *Schedule) Due(now time.Duration) bool {
	if now < s.next {
		return false
	}
	s.next = max(s.next+s.interval, now+s.interval/2)
	return true
}

// NextDue is the time of the next digest.
func (s *Schedule) NextDue() time.Duration { return s.next }
