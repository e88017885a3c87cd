package clustertime

import "time"

// Settlement determines the time with which a cluster goes on after a restart of its primary, from what its processes report.
//
// A running clock, or one that has been running since a checkpoint, decides alone. If there is none, all machines were started anew: then the
// lowest estimate counts, so that one machine with the right time of day is enough to prevent a jump ahead, but no less than the highest
// floor, so that the cluster time does not go back.
type Settlement struct {
	expected []string // processes
	reports  map[string]report
}

// report is the estimate that a process made at a moment.
type report struct {
	estimate Estimate
	at       time.Duration // on the steady clock of the caller
}

// NewSettlement returns a settlement that waits for the reports of the given processes; others may report as well.
func NewSettlement(expected []string) *Settlement {
	return &Settlement{expected: expected, reports: make(map[string]report)}
}

// Report records the estimate of a process, which replaces an earlier one. now is on the steady clock of the caller.
func (s *Settlement) Report(now time.Duration, process string, e Estimate) {
	s.reports[process] = report{estimate: e, at: now}
}

// Settle returns the cluster time, since 1970. ok is false while more reports are needed; with final set it is false only if no report has an
// estimate.
func (s *Settlement) Settle(now time.Duration, final bool) (clusterTime time.Duration, ok bool) {
	var floor, lowest, certain time.Duration
	for _, r := range s.reports {
		e := r.estimate.After(now - r.at)
		switch e.Certainty {
		case Certain:
			certain = lower(certain, e.Time)
		case Estimated:
			floor = max(floor, e.Floor)
			lowest = lower(lowest, e.Time)
		}
	}
	if certain != 0 {
		return certain, true // also below a checkpoint: that is of a time before the others settled on less
	}
	if lowest == 0 || !final && !s.isComplete() {
		return 0, false
	}
	return max(lowest, floor), true
}

func (s *Settlement) isComplete() bool {
	for _, process := range s.expected {
		if _, reported := s.reports[process]; !reported {
			return false
		}
	}
	return true
}

// lower returns the lower of two times, where 0 stands for none.
func lower(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}
