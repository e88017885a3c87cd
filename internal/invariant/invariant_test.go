package invariant

import "testing"

func TestCheck(t *testing.T) {
	var c Checker
	if !c.Check(true, "holds") || c.Violations() != 0 {
		t.Error("a condition that holds was counted")
	}
	defer func() {
		if p := recover(); (p != nil) != panics {
			t.Errorf("panic %v, panics is %v", p, panics)
		}
	}()
	if c.Check(false, "does not hold") || c.Violations() != 1 {
		t.Error("a violation was not counted")
	}
}
