// Package settings reads the program's own settings file into plain values. Without a file everything that it could switch
// on is off.
//
// The file is CUE; the schema, with what each field means and its default, is cuefile/schema.cue. The program liftgauge-cue
// beside this one checks it and fills in the defaults; package cuefile tells why.
package settings

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"strings"
	"time"
)

// Settings are all that a settings file says. Sizes are bytes.
type Settings struct {
	Sockets int      `json:"sockets"` // descriptors, where the configuration offers more than its usual most; 0: not set
	Gearman *Gearman `json:"gearman"` // nil: off
	Capture *Capture `json:"capture"` // nil: off
	// Membership is nil where dispatchers do not talk to each other.
	Membership *Membership `json:"membership"`
}

// Membership is what the schema calls #Membership.
type Membership struct {
	Listen    string   `json:"listen"`
	Advertise string   `json:"advertise"` // empty: as it listens
	Cluster   string   `json:"cluster"`
	Seeds     []string `json:"seeds"`
	RoundTrip Duration `json:"roundTrip"`
	Silent    Duration `json:"silent"`
	Refusals  bool     `json:"refusals"`
	Bytes     int      `json:"bytes"`
}

// Capture is what the schema calls #Capture.
type Capture struct {
	Folder   string   `json:"folder"`
	File     int64    `json:"file"`
	Files    int      `json:"files"`
	Queue    int      `json:"queue"`
	Interval Duration `json:"interval"`
	Secret   string   `json:"secret"`
}

// Duration is a time.Duration that stands in JSON as a text like "250ms".
type Duration time.Duration

// UnmarshalText reads the text.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Gearman is what the schema calls #Gearman.
type Gearman struct {
	Listen    string              `json:"listen"`
	Workers   string              `json:"workers"`
	Functions map[string]Function `json:"functions"`
	Classes   map[string]Class    `json:"classes"`
	Pools     []ClientGroup       `json:"pools"`
	Cells     []ClientGroup       `json:"cells"`
	Limits    Limits              `json:"limits"`
	Timeouts  Timeouts            `json:"timeouts"`
	Shutdown  bool                `json:"shutdown"`
}

// Function is how the jobs of one Gearman function are dealt with.
type Function struct {
	Class      string   `json:"class"`
	Patience   Duration `json:"patience"`
	Background Duration `json:"background"`
	Window     Duration `json:"window"` // 0: the class's
	Pools      []string `json:"pools"`
	Priority   string   `json:"priority"`
	Cost       Duration `json:"cost"`
	CostPerKiB Duration `json:"costPerKiB"`
	CostField  string   `json:"costField"`
	MaxQueue   int      `json:"maxQueue"`
}

// DefaultFunction is what the schema fills in.
func DefaultFunction() Function {
	return Function{Patience: Duration(5 * time.Second), Background: Duration(time.Hour), Pools: []string{WorkerPool, HostPool}, Priority: "packet"}
}

// The pools that need no word in the settings.
const (
	HostPool   = "hosts"   // of the inventory
	WorkerPool = "workers" // that fit no other pool
)

// Class is how the jobs of a class that come over HTTP reach workers.
type Class struct {
	Pools    []string `json:"pools"`
	Function string   `json:"function"`
}

// ClientGroup names those whose client id fits a pattern.
type ClientGroup struct {
	Name    string `json:"name"`
	Clients string `json:"clients"`
}

// Matches says whether a client id is in the group.
func (g ClientGroup) Matches(client string) bool {
	ok, err := path.Match(g.Clients, client)
	return ok && err == nil
}

// Limits bound what Gearman connections may ask for.
type Limits struct {
	Packet             int `json:"packet"`
	Function           int `json:"function"`
	Unique             int `json:"unique"`
	Client             int `json:"client"`
	JobsPerConnection  int `json:"jobsPerConnection"`
	FunctionsPerWorker int `json:"functionsPerWorker"`
	OpenJobs           int `json:"openJobs"`
	Buffer             int `json:"buffer"`
	Connections        int `json:"connections"` // 0: not set
}

// Timeouts bound what Gearman connections are waited for.
type Timeouts struct {
	Grab      Duration `json:"grab"`
	Packet    Duration `json:"packet"`
	Write     Duration `json:"write"`
	Ended     Duration `json:"ended"`
	KeepEnded int      `json:"keepEnded"`
}

// Helper is the program that reads settings files.
const Helper = "liftgauge-cue"

const helpWithin = 10 * time.Second

// Load reads a settings file by the helper, which stands in a folder. Without a path there are no settings. An error names
// the file, the line and the field, a line for each mistake.
func Load(ctx context.Context, file, folder string) (*Settings, error) {
	if file == "" {
		return &Settings{}, nil
	}
	if _, err := os.Stat(file); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	ctx, stop := context.WithTimeout(ctx, helpWithin)
	defer stop()
	cmd := exec.CommandContext(ctx, filepath.Join(folder, Helper), file)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "GOMEMLIMIT=16MiB") // it shares this program's limits
	var out, wrong bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &wrong
	if err := cmd.Run(); err != nil {
		if text := strings.TrimSpace(wrong.String()); text != "" {
			return nil, errors.New("settings: " + text)
		}
		return nil, fmt.Errorf("settings: %s: %w", Helper, err)
	}
	return Decode(out.Bytes())
}

// Decode reads the JSON that the helper writes.
func Decode(text []byte) (*Settings, error) {
	s := &Settings{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if g := s.Gearman; g != nil {
		for _, group := range append(append([]ClientGroup{}, g.Pools...), g.Cells...) {
			if _, err := path.Match(group.Clients, ""); err != nil {
				return nil, fmt.Errorf("settings: gearman: clients %q of %s: %w", group.Clients, group.Name, err)
			}
		}
		if g.Listen == g.Workers {
			g.Workers = ""
		}
	}
	return s, nil
}
