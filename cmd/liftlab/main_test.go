package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"liftgauge/internal/capture"
)

// runCommand runs a command and returns its output.
func runCommand(args ...string) (out, errOut string, err error) {
	cmd := rootCommand()
	var stdout, stderr bytes.Buffer
	cmd.SetOut(&stdout)
	cmd.SetErr(&stderr)
	cmd.SetArgs(args)
	err = cmd.Execute()
	return stdout.String(), stderr.String(), err
}

// writeCapture writes a capture file of a dispatcher whose clock differs by clockOffset nanoseconds.
func writeCapture(t *testing.T, dir, name string, records int, clockOffset int64, header capture.Header) string {
	t.Helper()
	var content []capture.Record
	for i := range records {
		content = append(content, capture.Record{Arrived: 1e18 + int64(i)*1e8 + clockOffset, Class: i % 2, Timeout: 5e9, Outcome: capture.Served, Duration: 2e8,
			Attempts: []capture.Attempt{{Host: "s-1", Began: 1e7, Ended: 1e8, Status: 1, Age: -1}}})
	}
	header.Name = name
	var encoded bytes.Buffer
	if err := capture.Create(&encoded, header, content); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, name+capture.Extension)
	if err := os.WriteFile(path, encoded.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Merges, cuts and counts the files of two dispatchers whose clocks differ by 300 ms. The input files must stay unchanged, an
// existing output file must not be overwritten, and a truncated input file must be reported.
func TestCaptureCommandsKeepInputFiles(t *testing.T) {
	dir := t.TempDir()
	h := capture.Header{Classes: []string{"reading", "warning"}}
	a, b := writeCapture(t, dir, "n0", 50, 0, h), writeCapture(t, dir, "n1", 50, 3e8+5e7, h)
	before, _ := os.ReadFile(b)
	all, part := filepath.Join(dir, "all"), filepath.Join(dir, "part")
	if out, _, err := runCommand("capture", "merge", "--shift", "n1=-300ms", all, a, b); err != nil || !strings.Contains(out, "100 records") {
		t.Fatal(out, err)
	}
	if out, _, err := runCommand("capture", "cut", "--from", "1s", "--to", "2s", all, part); err != nil || !strings.Contains(out, "20 records") {
		t.Error(out, err)
	}
	out, _, err := runCommand("capture", "show", "--most", "4", all)
	if lines := strings.Split(strings.TrimSpace(out), "\n"); err != nil || len(lines) != 4 || !strings.Contains(lines[1], ".05Z") || !strings.Contains(lines[2], ".1Z") {
		t.Error(out, err)
	}
	if after, _ := os.ReadFile(b); !bytes.Equal(before, after) {
		t.Error("a capture command changed an input file")
	}
	if _, _, err := runCommand("capture", "merge", all, a, b); err == nil {
		t.Error("merging overwrote an existing file")
	}
	if err := os.Truncate(a, int64(len(before)-7)); err != nil {
		t.Fatal(err)
	}
	out, errs, err := runCommand("capture", "stats", a, b)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	var report struct {
		Classes []classStats
		Cut     int `json:"cut_files"`
	}
	if json.Unmarshal([]byte(lines[len(lines)-1]), &report); err != nil || report.Cut != 1 || !strings.Contains(errs, "cut off") || len(report.Classes) != 2 {
		t.Error(out, errs, err)
	}
	other := writeCapture(t, dir, "n2", 5, 0, capture.Header{Classes: []string{"another"}})
	if _, _, err := runCommand("capture", "merge", filepath.Join(dir, "x"), b, other); err == nil || !strings.Contains(err.Error(), "are not those of") {
		t.Errorf("files with different classes were merged: %v", err)
	}
	if _, _, err := runCommand("capture", "stats", os.DevNull); err == nil {
		t.Error("a file that is no capture was accepted")
	}
}

// A mistake in a fleet file gives an error of one line with its position; a valid file gives a plan.
func TestFleetFileIsCheckedAndPlanned(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.cue")
	text, err := os.ReadFile("../../docs/fleet.cue")
	if err != nil {
		t.Fatal(err)
	}
	small := strings.Replace(string(text), `length: "45s"`, `length: "5s"`, 1)
	for _, c := range []struct{ text, want string }{{small, ""}, {strings.Replace(small, "speed: 0.7", "speed: -0.7", 1), "f.cue:12: kinds.\"slow-box\".speed: invalid value -0.7"}} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		for _, command := range [][]string{{"check", path}, {"plan", path, "--least", "2", "--most", "2", "--json", "--html", path + ".html"}} {
			out, _, err := runCommand(command...)
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n")) {
				t.Errorf("%s: %v, want %q", command[0], err, c.want)
			}
			if c.want == "" && command[0] == "plan" {
				lines := strings.Split(strings.TrimSpace(out), "\n")
				if !json.Valid([]byte(lines[len(lines)-1])) {
					t.Error("the last line is not JSON")
				}
			}
		}
	}
}

// The last line is JSON and the same for the same seed; invalid flags give an error of one line.
func TestFleetDayIsReproducible(t *testing.T) {
	lastLine := func() string {
		out, _, err := runCommand("fleet", "--day", "join", "--dispatchers", "10", "--workers", "10", "--seed", "3")
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(out), "\n")
		return lines[len(lines)-1]
	}
	var r fleetReport
	text := lastLine()
	if err := json.Unmarshal([]byte(text), &r); err != nil || r.Jobs == 0 || r.Lists < 10 || r.Dispatchers != 10 || text != lastLine() {
		t.Errorf("%v: %s", err, text)
	}
	for _, bad := range [][]string{{"--day", "feast"}, {"--dispatchers", "-1"}, {"--workers", "-1"}, {"--seed", "x"}, {"--seeds", "0"},
		{"--policy", "best"}, {"--day", "calm,"}, {"--dispatchers", "1001"}, {"more"}} {
		if _, _, err := runCommand(append([]string{"fleet"}, bad...)...); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v", bad, err)
		}
	}
}

// Runs of several days, policies and seeds give totals that are the means of the runs; the last line holds every run.
func TestFleetTotalsAreMeansOfRuns(t *testing.T) {
	out, _, err := runCommand("fleet", "--day", "calm,split", "--policy", "module,random", "--dispatchers", "10", "--workers", "10", "--seeds", "2", "--zones")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	var r struct {
		Days []fleetTotal
		Runs []fleetReport
	}
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &r); err != nil || len(r.Days) != 4 || len(r.Runs) != 8 || r.Days[0].Seeds != 2 {
		t.Errorf("%v: %d days, %d runs", err, len(r.Days), len(r.Runs))
	}
	if n := strings.Count(out, "by second and zone"); n != 8 {
		t.Errorf("%d tables by zone", n)
	}
	for _, total := range r.Days {
		sum := 0.0
		for _, one := range r.Runs {
			if one.Day == total.Day && one.Policy == total.Policy {
				sum += one.Service / 2
			}
		}
		if sum < total.Service-1e-9 || sum > total.Service+1e-9 || total.Service <= 0 {
			t.Errorf("%s %s: mean %f, runs %f", total.Day, total.Policy, total.Service, sum)
		}
	}
}

// Logs are counted and one message is followed through them; invalid arguments give an error of one line.
func TestFleetLogCountsAndFollowsMessages(t *testing.T) {
	dir := t.TempDir()
	text := `time=2026-01-02T03:04:05.000Z level=DEBUG msg=attempt message=a1 host=s-1 kind=0 zone=2 cell=5 waited=1ms
time=2026-01-02T03:04:05.500Z level=DEBUG msg="attempt started" message=a1 host=s-1 took=500ms
time=2026-01-02T03:04:06.000Z level=DEBUG msg="attempt ended" message=a1 host=s-1 status=1 took=1s
time=2026-01-02T03:04:06.000Z level=DEBUG msg=answered message=a1 class=0 kind=1 hint=1s took=1s
`
	if err := os.WriteFile(filepath.Join(dir, "n0.log"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, _, err := runCommand("fleet-log", dir)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	var c struct{ Attempts, Waited int }
	if json.Unmarshal([]byte(lines[len(lines)-1]), &c); err != nil || c.Attempts != 1 || c.Waited != 1 || !strings.Contains(out, "class 0 served: 1") {
		t.Error(err, out)
	}
	if out, _, err := runCommand("fleet-log", dir, "--message", "a1"); err != nil || strings.Count(out, "n0\t") != 4 {
		t.Error(err, out)
	}
	for _, bad := range [][]string{{}, {t.TempDir()}, {filepath.Join(dir, "none")}, {filepath.Join(dir, "n0.log")}, {dir, "--message", "b"}, {dir, "--step", "0s"},
		{dir, "--warm-within", "-1s"}, {dir, dir}} {
		if _, _, err := runCommand(append([]string{"fleet-log"}, bad...)...); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v", bad, err)
		}
	}
}
