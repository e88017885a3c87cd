package trialday

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"
)

func supportsAll(string) bool { return true }

func TestSameSeedGivesSameDay(t *testing.T) {
	is := is.New(t)
	o := Options{Supported: supportsAll, Troubles: 5, LengthS: 30, Closing: true}
	is.Equal(Draw(7, o).TOML(), Draw(7, o).TOML())
	is.True(Draw(7, o).TOML() != Draw(8, o).TOML())
}

func TestDaysAreValidTOML(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		var day map[string]any
		text := Draw(seed, Options{Supported: supportsAll, Troubles: 6, LengthS: 30, Closing: true}).TOML()
		is.NoErr(toml.Unmarshal([]byte(text), &day))
		plan, faults := day["plan"].([]any), day["faults"].([]any)
		is.Equal(len(plan)+len(faults), 6)
		for _, entry := range append(plan, faults...) {
			at := entry.(map[string]any)["at"].(float64)
			is.True(at >= 2 && at <= 22) // after the last entry there is time to recover before the end
		}
	}
}

func TestRequestedKindsAreDrawn(t *testing.T) {
	is := is.New(t)
	for _, kind := range Kinds() {
		day := Draw(3, Options{Only: []string{kind}, Supported: supportsAll, Troubles: 2, LengthS: 30})
		is.Equal(len(day.Plan)+len(day.Faults), 2)
		is.Equal(strings.Count(day.TOML(), `"`+kind+`"`), 2)
	}
}

func TestUnsupportedKindsAreNotDrawn(t *testing.T) {
	is := is.New(t)
	supportsNone := func(string) bool { return false }
	for seed := range uint64(100) {
		is.True(!strings.Contains(Draw(seed, Options{Supported: supportsNone, Troubles: 6, LengthS: 30}).TOML(), "retire"))
	}
}
