package config

import "testing"

func TestBadSettings(t *testing.T) {
	if _, err := ParseSettings([]byte("{")); err == nil {
		t.Error("settings that are no JSON are accepted")
	}
	if s, err := ParseSettings([]byte(`{"unknown": 1}`)); err != nil || s.SecondCopies || s.FreeSlots != -1 {
		t.Errorf("defaults %+v, %v", s, err)
	}
}

// TestLoadColumns checks the index of the free slots among the values of a load report, whatever the other columns are,
// and that there is none where hosts report no load.
func TestLoadColumns(t *testing.T) {
	for text, want := range map[string]int{
		`{"loadReport":{"how":"answers","columns":["latency_ms","eps","util","x0"]},"familyInfo":{"reportX0":"free slots"}}`: 3,
		`{"loadReport":{"how":"answers","columns":["mood","x0"]},"familyInfo":{"reportX0":"free slots"}}`:                    1,
		`{"loadReport":{"how":"answers","columns":["mood","x0"]},"familyInfo":{"reportX0":"good cheer"}}`:                    -1,
		`{"loadReport":{"how":"none","columns":[]}}`:                                                                         -1,
		`{"membershipMode":"pushed"}`: -1,
	} {
		if s, err := ParseSettings([]byte(text)); err != nil || s.FreeSlots != want || s.ListOnRequest {
			t.Errorf("%s: free slots at %d, asks %v, %v", text, s.FreeSlots, s.ListOnRequest, err)
		}
	}
}
