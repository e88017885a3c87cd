package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReducedToleranceIsReportedOnceAfterTheTimeOfARepair(t *testing.T) {
	const repairTime = 4 * time.Second
	is := is.New(t)
	var w toleranceWatch
	for _, step := range []struct {
		at                  time.Duration
		tolerated, required int
		want                toleranceChange
	}{
		{0, 1, 2, toleranceUnchanged},
		{3 * time.Second, 1, 2, toleranceUnchanged},
		{3500 * time.Millisecond, 2, 2, toleranceUnchanged}, // repaired in time: nothing to report
		{5 * time.Second, 1, 2, toleranceUnchanged},
		{9 * time.Second, 1, 2, toleranceLost},
		{10 * time.Second, 1, 2, toleranceUnchanged},
		{11 * time.Second, 2, 2, toleranceRestored},
		{12 * time.Second, 2, 2, toleranceUnchanged},
		{13 * time.Second, 0, 0, toleranceUnchanged},
	} {
		is.Equal(w.observe(step.at, step.tolerated, step.required, repairTime), step.want)
	}
}
