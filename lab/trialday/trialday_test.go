package trialday

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"
)

func all(string) bool { return true }

func TestSameSeedSameDay(t *testing.T) {
	is := is.New(t)
	o := Options{Supported: all, Troubles: 5, LengthS: 30, Closing: true}
	is.Equal(Draw(7, o).TOML(), Draw(7, o).TOML())
	is.True(Draw(7, o).TOML() != Draw(8, o).TOML())
}

func TestDaysDecode(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		var day map[string]any
		text := Draw(seed, Options{Supported: all, Troubles: 6, LengthS: 30, Closing: true}).TOML()
		is.NoErr(toml.Unmarshal([]byte(text), &day))
		plan, faults := day["plan"].([]any), day["faults"].([]any)
		is.Equal(len(plan)+len(faults), 6)
		for _, entry := range append(plan, faults...) {
			at := entry.(map[string]any)["at"].(float64)
			is.True(at >= 2 && at <= 22) // the last trouble leaves time to recover before the end
		}
	}
}

func TestKindsAskedForCome(t *testing.T) {
	is := is.New(t)
	for _, kind := range Kinds() {
		day := Draw(3, Options{Only: []string{kind}, Supported: all, Troubles: 2, LengthS: 30})
		is.Equal(len(day.Plan)+len(day.Faults), 2)
		is.Equal(strings.Count(day.TOML(), `"`+kind+`"`), 2)
	}
}

func TestKindsThatTheSiteDoesNotKnowStayOut(t *testing.T) {
	is := is.New(t)
	none := func(string) bool { return false }
	for seed := range uint64(100) {
		is.True(!strings.Contains(Draw(seed, Options{Supported: none, Troubles: 6, LengthS: 30}).TOML(), "retire"))
	}
}
