package handover

import (
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// TestStore checks that settings persist for the next process, and that the file is complete at any time.
func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), FileName("n3/../x", "state"))
	s := Open(path, discardLog)
	s.AddListed([]string{"s-1", "s-2", `s-"3`})
	for _, step := range []struct {
		name string
		out  bool
		want []string
	}{{"s-1", true, []string{"s-1"}}, {"s-1", true, []string{"s-1"}}, {`s-"3`, true, []string{`s-"3`, "s-1"}}, {"s-1", false, []string{`s-"3`}}} {
		if err := s.SetOffline(step.name, step.out); err != nil {
			t.Fatal(err)
		}
		if got := Open(path, discardLog).State(); !slices.Equal(got.Offline, step.want) || len(got.Listed) != 3 {
			t.Errorf("after %v: %+v", step, got)
		}
	}
	if left, _ := os.ReadDir(filepath.Dir(path)); len(left) != 1 {
		t.Errorf("files left: %v", left)
	}
}

// TestStoreUnreadable checks that a dispatcher starts without a state file that it cannot read, and logs that.
func TestStoreUnreadable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	for _, text := range []string{"", "{", "[]", `{"offline":1}`, `{"offline":["s-1",2]}`, `{"listed":{}}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var logged strings.Builder
		s := Open(path, slog.New(slog.NewTextHandler(&logged, nil)))
		if got := s.State(); len(got.Offline)+len(got.Listed) > 0 || !strings.Contains(logged.String(), "state not read") {
			t.Errorf("%q: %+v, logged %q", text, got, &logged)
		}
		if err := s.SetOffline("s-1", true); err != nil {
			t.Error(err)
		}
		if got := Open(path, discardLog).State(); !slices.Equal(got.Offline, []string{"s-1"}) {
			t.Errorf("after %q: %+v", text, got)
		}
	}
	if err := Open(filepath.Join(path, "nowhere"), discardLog).SetOffline("s-1", true); err == nil {
		t.Error("a setting that cannot be saved is accepted")
	}
}

// FuzzState checks that no state file causes a panic.
func FuzzState(f *testing.F) {
	f.Add([]byte(`{"offline":["s-1"],"listed":["s-1","s-2"]}`))
	f.Fuzz(func(t *testing.T, in []byte) { parseState(in) })
}
