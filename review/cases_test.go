package review

import (
	"os"
	"os/exec"
	"testing"
)

// TestCases2 plays the cases of the second review by their scripts. It is no part of the checks: set REVIEW to play them.
func TestCases2(t *testing.T) {
	if os.Getenv("REVIEW") == "" {
		t.Skip("set REVIEW=1 to play the cases; build first: the build line of deploy/system.toml, then review/build-2.sh")
	}
	for _, number := range []string{"4"} {
		t.Run(number, func(t *testing.T) {
			out, err := exec.Command(number + "/run.sh").CombinedOutput()
			t.Logf("%s", out)
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}
