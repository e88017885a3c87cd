package lab

import (
	"strings"
	"testing"
	"time"
)

// TestHostJudge: what breaks a rule towards a host is found, and what is just within is not.
func TestHostJudge(t *testing.T) {
	const ms = time.Millisecond
	rules := rulesOfClusters(4)
	for _, c := range []struct {
		name   string
		play   func(j *hostJudge)
		broken string // what it begins with; empty: nothing
	}{
		{"within the grace", func(j *hostJudge) { j.drains(1000*ms, true); j.took(1500*ms, 20*ms) }, ""},
		{"past the grace", func(j *hostJudge) { j.drains(1000*ms, true); j.took(1501*ms, 20*ms) }, "drain: a job came 501ms"},
		{"not told yet", func(j *hostJudge) { j.drains(1000*ms, false); j.took(7500*ms, 20*ms) }, ""},
		{"counts as told", func(j *hostJudge) { j.drains(1000*ms, false); j.took(7501*ms, 20*ms) }, "drain:"},
		{"back", func(j *hostJudge) { j.drains(1000*ms, true); j.returns(4000 * ms); j.took(5000*ms, 20*ms) }, ""},
		// In its first 2 s a slot does 0.3*2 + 0.7*4/16 = 0.775 s; 2.5 times that of four slots is 7.75 s.
		{"cold, as much as it bears", func(j *hostJudge) { j.returns(1000 * ms); j.took(1100*ms, 7740*ms) }, ""},
		{"cold, more", func(j *hostJudge) { j.returns(1000 * ms); j.took(1100*ms, 7000*ms); j.took(2900*ms, 760*ms) }, "cold: 7.76s of work"},
		{"cold, the same in two windows", func(j *hostJudge) { j.returns(1000 * ms); j.took(1100*ms, 7000*ms); j.took(3200*ms, 760*ms) }, ""},
		{"warm", func(j *hostJudge) { j.returns(1000 * ms); j.took(11100*ms, 60*time.Second) }, ""},
	} {
		j := &hostJudge{rules: rules}
		c.play(j)
		broken, _, _ := j.verdict()
		if (c.broken == "") != (len(broken) == 0) || len(broken) > 0 && !strings.HasPrefix(broken[0], c.broken) {
			t.Errorf("%s: %q, want %q", c.name, broken, c.broken)
		}
	}
}
