package cuefile

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"liftgauge/internal/settings"
)

func TestDefaults(t *testing.T) {
	for _, text := range []string{``, `gearman: listen: "127.0.0.1:4730"`, `gearman: {listen: "127.0.0.1:4730", functions: "level": {}}`} {
		json, err := Compile("x.cue", []byte(text))
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		s, err := settings.Decode(json)
		if err != nil {
			t.Fatal(err)
		}
		g := s.Gearman
		if (g != nil) != (text != "") {
			t.Fatalf("%q: %+v", text, s)
		}
		if g == nil {
			continue
		}
		if g.Limits.Packet != 256<<10 || g.Timeouts.Grab != settings.Duration(time.Second) || g.Shutdown {
			t.Errorf("%q: %+v", text, g)
		}
		for name, f := range g.Functions { // the program uses the same defaults for functions that are not in the file
			if !reflect.DeepEqual(f, settings.DefaultFunction()) {
				t.Errorf("%s: %+v", name, f)
			}
		}
	}
}

// TestErrors checks that each error is one line with file, line, field, what was found and what is expected.
func TestErrors(t *testing.T) {
	for _, c := range []struct {
		text string
		want []string // substrings of lines, in any order
	}{
		{"gearman: {\n listen: \"here\"\n}", []string{"x.cue:2: gearman.listen: invalid value \"here\" (out of bound"}},
		{"gearman: {\n listen: \"a:1\"\n limits: packet: 12\n}", []string{"x.cue:3: gearman.limits.packet: "}},
		{"gearman: {\n listen: \"a:1\"\n functions: f: patience: 5\n}", []string{"x.cue:3: gearman.functions.f.patience: "}},
		{"gearman: {\n listen: \"a:1\"\n functons: f: {}\n}", []string{"x.cue:3: gearman.functons: field not allowed"}},
		{"gearman: {}", []string{"gearman.listen: "}},
		{"sockets: 1\nsockets: 2", []string{"x.cue:"}},
		{"membership: {\n listen: \"10.0.0.4\"\n seeds: [\"10.0.0.4:1\"]\n}", []string{"x.cue:2: membership.listen: invalid value"}},
		{"membership: {\n listen: \"10.0.0.4:65536\"\n seeds: [\"10.0.0.4:1\"]\n}", []string{"x.cue:2: membership.listen: invalid value"}},
		{"membership: {\n listen: \"10.0.0.256:1\"\n seeds: [\"10.0.0.4:1\"]\n}", []string{"x.cue:2: membership.listen: invalid value"}},
		{"membership: {\n listen: \"10.0.0.4:1\"\n seeds: [\"10.0.0.4:1\", \"there\"]\n}", []string{"x.cue:3: membership.seeds.1: invalid value"}},
		{"membership: {\n listen: \"10.0.0.4:1\"\n seeds: []\n}", []string{"membership.seeds: "}},
		{"membership: {listen: \"10.0.0.4:1\"}", []string{"membership.seeds"}},
		{"membership: {\n listen: \"10.0.0.4:65535\"\n seeds: [\"10.0.0.4:1\"]\n seed: 1\n}", []string{"x.cue:4: membership.seed: field not allowed"}},
		{"gearman: {", []string{"x.cue:1: "}},
	} {
		_, err := Compile("x.cue", []byte(c.text))
		e, ok := err.(Error)
		if !ok {
			t.Errorf("%q: %v", c.text, err)
			continue
		}
		for _, want := range c.want {
			if !strings.Contains("\n"+e.Error(), "\n"+want) && !strings.Contains(e.Error(), want) {
				t.Errorf("%q: no line with %q in\n%s", c.text, want, e)
			}
		}
		if strings.Contains(e.Error(), "\n\n") {
			t.Errorf("%q: an empty line in\n%s", c.text, e)
		}
	}
}
