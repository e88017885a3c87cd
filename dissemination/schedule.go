package dissemination

import "time"

// Schedule determines when the next digest is due. After a pause of the process only one digest is due.
type Schedule struct {
	interval time.Duration
	next     time.Duration
}

// NewSchedule returns a schedule whose first digest is due at now.
func NewSchedule(interval, now time.Duration) Schedule {
	return Schedule{interval: interval, next: now}
}

// Due reports whether a digest is due now, and if so schedules the next one.
func (s *Schedule) Due(now time.Duration) bool {
	if now < s.next {
		return false
	}
	s.next = max(s.next+s.interval, now+s.interval/2)
	return true
}

// NextDue returns the time of the next digest.
func (s *Schedule) NextDue() time.Duration { return s.next }
