package ablation

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

const root = "../.."

// TestListIsUpToDate checks that each edit still applies to the sources and leaves valid Go syntax, and that no name is listed twice.
func TestListIsUpToDate(t *testing.T) {
	is := is.NewRelaxed(t)
	seen := map[string]bool{}
	for _, m := range Mechanisms {
		is.True(m.Name != "" && m.Purpose != "" && len(m.Edits) > 0)
		is.True(!seen[m.Name])
		seen[m.Name] = true
		for _, e := range m.Edits {
			changed, err := e.Apply(root)
			is.NoErr(err)
			_, err = parser.ParseFile(token.NewFileSet(), e.File, changed, parser.SkipObjectResolution)
			is.NoErr(err)
		}
	}
	is.True(len(Mechanisms) >= 20)
}

func TestWrite(t *testing.T) {
	is := is.New(t)
	m, err := Find("overcommit")
	is.NoErr(err)
	to := t.TempDir()
	is.NoErr(m.Write(root, to))
	changed, err := os.ReadFile(filepath.Join(to, m.Edits[0].File))
	is.NoErr(err)
	want, err := m.Edits[0].Apply(root)
	is.NoErr(err)
	is.Equal(string(changed), string(want))
	_, err = os.Stat(filepath.Join(to, "deploy", "system.toml"))
	is.NoErr(err) // the copy can be built and deployed
	_, err = Find("no such mechanism")
	is.True(err != nil)
}
