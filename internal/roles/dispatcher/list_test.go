package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestListThatAnotherProcessGoesOnReadingIsNotReadLocally guards against all dispatchers reading a long list because it is always old, so that the
// platform refuses the calls of the process that reads it for all.
func TestListThatAnotherProcessGoesOnReadingIsNotReadLocally(t *testing.T) {
	const drain, check, delay = 3 * time.Second, 500 * time.Millisecond, 200 * time.Millisecond
	const start = time.Minute
	for _, c := range []struct {
		name    string
		oldest  time.Duration // age of the list when it arrives
		stopsAt time.Duration // when others stop reading it, after the start
		begins  time.Duration // when this dispatcher begins to read it, after the start; 0 for never
	}{
		{"short list", delay, time.Hour, 0},
		{"long list", 2 * time.Second, time.Hour, 0},
		{"list that others cannot read in time", 2800 * time.Millisecond, time.Hour, 500 * time.Millisecond},
		{"short list, no reader", delay, 10 * time.Second, 11500 * time.Millisecond},
		{"long list, no reader", 2 * time.Second, 10 * time.Second, 11 * time.Second},
		{"no list yet", start, 0, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			watch := listWatch{drain: drain, checkedAt: start}
			begins := time.Duration(0)
			for passed := check; passed < 20*time.Second && begins == 0; passed += check {
				readAt := start + min(passed, c.stopsAt) - c.oldest
				if watch.mustReadLocally(start+passed, readAt, start+passed-readAt) {
					begins = passed
				}
			}
			is.Equal(begins, c.begins)
		})
	}
}
