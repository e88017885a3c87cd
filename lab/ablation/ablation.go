// Package ablation makes copies of the sources in which one mechanism of the ingest and dispatch service is switched off, so that what it is worth can
// be measured: the copy is played against the sources on the same days and seeds. docs/kpr-rounds.md has the results.
package ablation

import (
	"slices"

	"github.com/cockroachdb/errors"

	"liftgauge/lab/sourcecopy"
)

// Mechanism is a rule or a constant by which the service decides something.
type Mechanism struct {
	Name    string
	Purpose string // what it is believed to do
	Edits   []sourcecopy.Edit
}

// Find returns a mechanism of the list.
func Find(name string) (Mechanism, error) {
	at := slices.IndexFunc(Mechanisms, func(m Mechanism) bool { return m.Name == name })
	if at < 0 {
		return Mechanism{}, errors.Newf("there is no mechanism %q: liftlab ablate lists them", name)
	}
	return Mechanisms[at], nil
}

// Write copies the sources at root into a folder, with the mechanism switched off.
func (m Mechanism) Write(root, to string) error {
	return errors.Wrapf(sourcecopy.Make(root, to, m.Edits...), "switching off %s", m.Name)
}
