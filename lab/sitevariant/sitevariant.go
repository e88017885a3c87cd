// Package sitevariant makes further deployments of a site file for the bench of the system: the same deployment with other figures.
//
// A site file belongs to the bench and is not part of this repository; what is kept here are the changes alone.
package sitevariant

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// site is a decoded site file; the bench's fields that no variant touches pass through unchanged.
type site = map[string]any

// Variant is a named change of a deployment.
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

// Find returns the variant of a name.
func Find(name string) (Variant, error) {
	variants := All()
	at := slices.IndexFunc(variants, func(v Variant) bool { return v.Name == name })
	if at < 0 {
		return Variant{}, errors.Newf("no variant %q; list them with an empty --variant", name)
	}
	return variants[at], nil
}

// Write makes a folder with the changed site file beside the other files of its folder that the bench reads.
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
		return "", errors.Wrap(err, "make the folder of the variant")
	}
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(source), "wire.json"))
	if err != nil {
		return "", errors.Wrap(err, "read the wire beside the site file")
	}
	if err := os.WriteFile(filepath.Join(folder, "wire.json"), wire, 0o644); err != nil {
		return "", errors.Wrap(err, "write the wire")
	}
	target := filepath.Join(folder, v.Name+".toml")
	return target, errors.Wrap(os.WriteFile(target, changed, 0o644), "write the variant")
}

// Apply returns the text of a site file with the variant's change.
func Apply(text []byte, v Variant) ([]byte, error) {
	s := site{}
	if err := toml.Unmarshal(text, &s); err != nil {
		return nil, errors.Wrap(err, "decode the site file")
	}
	v.apply(s)
	changed, err := toml.Marshal(s)
	return changed, errors.Wrap(err, "encode the variant")
}
