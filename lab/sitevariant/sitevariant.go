// Package sitevariant generates variants of a site file for the system's bench: the same deployment with some values changed.
//
// Site files belong to the bench and are not part of this repository, which holds only the changes.
package sitevariant

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// site is a decoded site file or a table in it. Fields that no variant changes are written back as they were read.
type site = map[string]any

// Variant is a named change to a deployment.
type Variant struct {
	Name        string
	Description string
	apply       func(site)
}

// All returns the variants in a fixed order.
func All() []Variant {
	return []Variant{
		{"distant", "zones lie 6 ms apart and a sync takes 4 ms", distant},
		{"one-service", "only the first kind of request", oneService},
		{"unordered", "no route keeps an order", unordered},
		{"hot-key", "ordered messages are about few things, one of them hot", hotKey},
		{"large-bodies", "bodies are four times as large", largeBodies},
		{"short-timeouts", "deliveries get 0.7 of their time", shortTimeouts},
		{"cold-workers", "workers are cold for 8 s and slow by 3", coldWorkers},
		{"small-workers", "workers have half of their slots and twice as many of them run", smallWorkers},
		{"two-stores-a-zone", "two store machines in each zone, two machines may be lost", twoStoresAZone},
		{"three-zones", "the last zone is left out", threeZones},
		{"small-disks", "store disks hold 40 MB", smallDisks},
		{"fast-disks", "a sync takes 1 ms", fastDisks},
		{"slow-disks", "a sync takes 12 ms", slowDisks},
		{"half-dispatchers", "half of the machines that only dispatch", halfDispatchers},
		{"twice-dispatchers", "twice the machines that only dispatch", twiceDispatchers},
		{"one-loss", "one machine may be lost, and no trouble takes two", oneLoss},
		{"long-day", "traffic for 90 s", longDay},
	}
}

// Find returns the variant with the given name.
func Find(name string) (Variant, error) {
	variants := All()
	at := slices.IndexFunc(variants, func(v Variant) bool { return v.Name == name })
	if at < 0 {
		return Variant{}, errors.Newf("unknown variant %q: leave --variant empty for a list", name)
	}
	return variants[at], nil
}

// Write creates a folder with the variant's site file and a copy of wire.json, which the bench reads from the same folder, and returns the
// path of the site file.
func Write(source string, v Variant, folder string) (string, error) {
	text, err := os.ReadFile(source)
	if err != nil {
		return "", errors.Wrap(err, "read the site file")
	}
	changed, err := Apply(text, v)
	if err != nil {
		return "", errors.Wrapf(err, "%s", filepath.Base(source))
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", errors.Wrap(err, "create the folder of the variant")
	}
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(source), "wire.json"))
	if err != nil {
		return "", errors.Wrap(err, "read wire.json beside the site file")
	}
	if err := os.WriteFile(filepath.Join(folder, "wire.json"), wire, 0o644); err != nil {
		return "", errors.Wrap(err, "write wire.json")
	}
	target := filepath.Join(folder, v.Name+".toml")
	return target, errors.Wrap(os.WriteFile(target, changed, 0o644), "write the site file of the variant")
}

// Apply returns the text of a site file with the variant applied.
func Apply(text []byte, v Variant) ([]byte, error) {
	s := site{}
	if err := toml.Unmarshal(text, &s); err != nil {
		return nil, errors.Wrap(err, "decode the site file")
	}
	v.apply(s)
	changed, err := toml.Marshal(s)
	return changed, errors.Wrap(err, "encode the variant")
}
