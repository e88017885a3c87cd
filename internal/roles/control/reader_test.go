package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/nodeconfig"
)

// TestListIsReadOftenEnoughForDrains: the time between readings follows DrainMs, so that a worker that drains is known in time though two readings
// in a row fail.
func TestListIsReadOftenEnoughForDrains(t *testing.T) {
	is := is.New(t)
	settings := &nodeconfig.Settings{}
	settings.CloudApi.RatePerS = 12
	for _, drain := range []float64{2000, 3000, 4000} {
		settings.Bounds.DrainMs = drain
		o := readerOptions(settings)
		is.Equal(o.RatePerS, 12.0)
		is.Equal(5*o.Interval, time.Duration(drain)*time.Millisecond)
	}
}
