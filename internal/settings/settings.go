// Package settings reads the settings file of the program into plain values. Without a file, all optional features are
// off.
//
// The file is written in CUE; the schema, with the meaning and default of each field, is cuefile/schema.cue. The program
// liftgauge-cue, installed next to this one, checks the file and fills in the defaults; see package cuefile for the
// reason.
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

// Settings are the contents of a settings file. Sizes are in bytes.
type Settings struct {
	Sockets int      `json:"sockets"` // descriptors to use, where the configuration offers more than the usual limit; 0: not set
	Gearman *Gearman `json:"gearman"` // nil: off
	Capture *Capture `json:"capture"` // nil: off
	// Membership is nil if dispatchers do not communicate with each other.
	Membership *Membership `json:"membership"`
}

// Membership corresponds to #Membership in the schema.
type Membership struct {
	Listen    string   `json:"listen"`
	Advertise string   `json:"advertise"` // empty: same as Listen
	Cluster   string   `json:"cluster"`
	Seeds     []string `json:"seeds"`
	RoundTrip Duration `json:"roundTrip"`
	Silent    Duration `json:"silent"`
	Refusals  bool     `json:"refusals"`
	Bytes     int      `json:"bytes"`
}

// Capture corresponds to #Capture in the schema.
type Capture struct {
	Folder   string   `json:"folder"`
	File     int64    `json:"file"`
	Files    int      `json:"files"`
	Queue    int      `json:"queue"`
	Interval Duration `json:"interval"`
	Secret   string   `json:"secret"`
}

// Duration is a time.Duration encoded in JSON as a string like "250ms".
type Duration time.Duration

// UnmarshalText parses the string form.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Gearman corresponds to #Gearman in the schema.
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

// Function is how the jobs of one Gearman function are handled.
type Function struct {
	Class      string   `json:"class"`
	Patience   Duration `json:"patience"`
	Background Duration `json:"background"`
	Window     Duration `json:"window"` // 0: that of the class
	Pools      []string `json:"pools"`
	Priority   string   `json:"priority"`
	Cost       Duration `json:"cost"`
	CostPerKiB Duration `json:"costPerKiB"`
	CostField  string   `json:"costField"`
	MaxQueue   int      `json:"maxQueue"`
}

// DefaultFunction returns the defaults of the schema.
func DefaultFunction() Function {
	return Function{Patience: Duration(5 * time.Second), Background: Duration(time.Hour), Pools: []string{WorkerPool, HostPool}, Priority: "packet"}
}

// The predefined pools.
const (
	HostPool   = "hosts"   // hosts of the inventory
	WorkerPool = "workers" // workers that match no other pool
)

// Class is how HTTP jobs of a class reach workers.
type Class struct {
	Pools    []string `json:"pools"`
	Function string   `json:"function"`
}

// ClientGroup is the group of clients whose id matches a pattern.
type ClientGroup struct {
	Name    string `json:"name"`
	Clients string `json:"clients"`
}

// Matches reports whether a client id belongs to the group.
func (g ClientGroup) Matches(client string) bool {
	ok, err := path.Match(g.Clients, client)
	return ok && err == nil
}

// Limits are the limits of Gearman connections.
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

// Timeouts are the time-outs of Gearman connections.
type Timeouts struct {
	Grab      Duration `json:"grab"`
	Packet    Duration `json:"packet"`
	Write     Duration `json:"write"`
	Ended     Duration `json:"ended"`
	KeepEnded int      `json:"keepEnded"`
}

// Helper is the name of the program that reads settings files.
const Helper = "liftgauge-cue"

const helperTimeout = 10 * time.Second

// Load reads a settings file by running the helper, which is in the given folder. Without a file name, it returns empty
// settings. An error names the file, the line and the field, one line for each error.
func Load(ctx context.Context, file, folder string) (*Settings, error) {
	if file == "" {
		return &Settings{}, nil
	}
	if _, err := os.Stat(file); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	ctx, stop := context.WithTimeout(ctx, helperTimeout)
	defer stop()
	cmd := exec.CommandContext(ctx, filepath.Join(folder, Helper), file)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "GOMEMLIMIT=16MiB") // the helper shares this program's limits
	var out, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &stderr
	if err := cmd.Run(); err != nil {
		if text := strings.TrimSpace(stderr.String()); text != "" {
			return nil, errors.New("settings: " + text)
		}
		return nil, fmt.Errorf("settings: %s: %w", Helper, err)
	}
	return Decode(out.Bytes())
}

// Decode parses the JSON that the helper writes.
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
