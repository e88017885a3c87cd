package lab

import (
	"strings"
	"testing"
	"time"
)

// TestHostCheckerFindsViolations checks that jobs just beyond a limit are reported and those just within it are not.
func TestHostCheckerFindsViolations(t *testing.T) {
	const ms = time.Millisecond
	limits := clusterHostLimits(4)
	for _, c := range []struct {
		name   string
		play   func(j *hostChecker)
		broken string // prefix of the first violation; empty: none
	}{
		{"within the grace", func(j *hostChecker) { j.drain(1000*ms, true); j.accepted(1500*ms, 20*ms) }, ""},
		{"past the grace", func(j *hostChecker) { j.drain(1000*ms, true); j.accepted(1501*ms, 20*ms) }, "drain: a job came 501ms"},
		{"not told yet", func(j *hostChecker) { j.drain(1000*ms, false); j.accepted(7500*ms, 20*ms) }, ""},
		{"counts as told", func(j *hostChecker) { j.drain(1000*ms, false); j.accepted(7501*ms, 20*ms) }, "drain:"},
		{"back", func(j *hostChecker) { j.drain(1000*ms, true); j.restart(4000 * ms); j.accepted(5000*ms, 20*ms) }, ""},
		// In its first 2 s a slot does 0.3*2 + 0.7*4/16 = 0.775 s; 2.5 times that of four slots is 7.75 s.
		{"cold, as much as it bears", func(j *hostChecker) { j.restart(1000 * ms); j.accepted(1100*ms, 7740*ms) }, ""},
		{"cold, more", func(j *hostChecker) { j.restart(1000 * ms); j.accepted(1100*ms, 7000*ms); j.accepted(2900*ms, 760*ms) }, "cold: 7.76s of work"},
		{"cold, the same in two windows", func(j *hostChecker) { j.restart(1000 * ms); j.accepted(1100*ms, 7000*ms); j.accepted(3200*ms, 760*ms) }, ""},
		{"warm", func(j *hostChecker) { j.restart(1000 * ms); j.accepted(11100*ms, 60*time.Second) }, ""},
	} {
		j := &hostChecker{limits: limits}
		c.play(j)
		broken, _, _ := j.results()
		if (c.broken == "") != (len(broken) == 0) || len(broken) > 0 && !strings.HasPrefix(broken[0], c.broken) {
			t.Errorf("%s: %q, want %q", c.name, broken, c.broken)
		}
	}
}
