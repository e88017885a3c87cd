// Package ablation makes copies of the sources in which one mechanism of the ingest and dispatch service is disabled, to measure what the
// mechanism contributes: the copy is compared with the original on the same days and seeds. docs/kpr-rounds.md has the results.
package ablation

import (
	"slices"

	"github.com/cockroachdb/errors"

	"liftgauge/lab/sourcecopy"
)

// Mechanism is a rule or a constant by which the service decides something.
type Mechanism struct {
	Name    string
	Purpose string // its intended effect
	Edits   []sourcecopy.Edit
}

// Find returns the mechanism with the given name.
func Find(name string) (Mechanism, error) {
	index := slices.IndexFunc(Mechanisms, func(m Mechanism) bool { return m.Name == name })
	if index < 0 {
		return Mechanism{}, errors.Newf("unknown mechanism %q: run liftlab ablate for a list", name)
	}
	return Mechanisms[index], nil
}

// Write copies the sources at root into a folder, with the mechanism disabled.
func (m Mechanism) Write(root, to string) error {
	return errors.Wrapf(sourcecopy.Make(root, to, m.Edits...), "disable %s", m.Name)
}
