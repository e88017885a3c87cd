package config

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"liftgauge/balance"
)

const sites = "../../deploy/sites"

// TestSettingsOfSites checks that the settings of the deployments in deploy/sites, as received in simulations, are
// decoded to the expected classes: what a class may do depends on its settings and on no name.
func TestSettingsOfSites(t *testing.T) {
	type class struct {
		effect balance.Effect
		group  balance.DedupScope
		window time.Duration
	}
	safe, unsafe := class{balance.Safe, balance.DedupAll, 5 * time.Second}, class{balance.Unsafe, balance.DedupAll, 5 * time.Second}
	for name, want := range map[string][]class{
		"short-windows": {safe, unsafe, {balance.Keyed, balance.DedupAll, 666666 * time.Microsecond},
			{balance.Keyed, balance.DedupCell, 833333 * time.Microsecond}, {balance.Keyed, balance.DedupZone, time.Second}, safe},
		"untold-starts": {safe, safe, {balance.Keyed, balance.DedupZone, time.Second}, unsafe},
	} {
		text, err := os.ReadFile(filepath.Join(sites, name+".settings.json"))
		if err != nil {
			t.Fatal(err)
		}
		s, err := ParseSettings(text)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(s.Classes) != len(want) {
			t.Fatalf("%s: %d classes", name, len(s.Classes))
		}
		for i, w := range want {
			if c := s.Classes[i]; (class{c.Effect, c.DedupScope, c.Window.Truncate(time.Microsecond)}) != w {
				t.Errorf("%s: class %d is %+v, want %+v", name, i, c, w)
			}
		}
		if pushed := name == "short-windows"; s.ListOnRequest == pushed || (s.FreeSlots >= 0) != pushed || s.ReportsStart || s.SecondCopies != pushed || s.WarmWithin != 24*time.Second {
			t.Errorf("%s: %+v", name, s)
		}
	}
}

// TestCodeContainsNoDeploymentNames checks that no class, zone, kind or tenant of a deployment in deploy/sites occurs as
// a string in the program. Names of fewer than four letters are not checked.
func TestCodeContainsNoDeploymentNames(t *testing.T) {
	names := map[string]bool{}
	files, err := filepath.Glob(sites + "/*.settings.json")
	if err != nil || len(files) < 2 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var s struct {
			Classes, Projects []struct{ Name string }
			DCs, Kinds        []string
		}
		if err := json.Unmarshal(text, &s); err != nil {
			t.Fatal(err)
		}
		for _, x := range append(s.Classes, s.Projects...) {
			names[x.Name] = len(x.Name) > 3
		}
		for _, x := range append(s.DCs, s.Kinds...) {
			names[x] = len(x) > 3
		}
	}
	seen := 0
	err = filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() && (d.Name() == "journal" || d.Name() == ".git" || d.Name() == "bin") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
				seen++
				if text, err := strconv.Unquote(l.Value); err == nil && names[text] {
					t.Errorf("%s: %q is a name of a deployment", path, text)
				}
			}
			return true
		})
		return nil
	})
	if err != nil || seen < 1000 || !names["the-harbour-masters-office"] {
		t.Errorf("%d texts looked at, %d names, %v", seen, len(names), err)
	}
}
