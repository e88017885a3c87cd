package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:8443","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964","new":[],
"limits":{"cores":1.0,"memory_mb":2048,"sockets":512},"known":{"revision":41,"complete":true,"members":[]},
"settings":{"classes":[{"name":"gauge-reading","aimNs":200000000,"hardLimitNs":5e9,"effect":"guarded","dedupScope":"cell",
"windowNs":7500000000,"credit":2.0}],"dcs":["a","b"],"kinds":["m1"],"stepNs":2000000,"membershipMode":"on_request",
"familyInfo":{"classKind":[-1],"classStretch":[2.5],"tellsStart":true},"limits":{"keepaliveNs":60000000000,"maxAttempts":4}}}`

func noEnv(string) string { return "" }

func TestParse(t *testing.T) {
	env := map[string]string{"LB_LISTEN": "127.0.0.9:1"}
	c, err := Parse([]byte(validConfig), func(key string) string { return env[key] })
	if err != nil {
		t.Fatal(err)
	}
	k := c.Settings.Classes[0]
	if c.Name != "n3" || c.Listen != "127.0.0.9:1" || c.Seed != 0x8c1f30d27a5be964 || c.Memory != 192<<20 || c.Sockets != 512 ||
		c.Keepalive != time.Minute || c.Settings.ConnectTimeout != 250*time.Millisecond || !c.Settings.ListOnRequest ||
		k.Limit != 5*time.Second || k.RuntimeFactor != 2.5 || k.Kind != -1 || len(c.Zones) != 2 || !strings.Contains(string(c.LastInventory), "41") {
		t.Errorf("config %+v", c)
	}
}

// TestBadConfig checks that an error is one line that names the field.
func TestBadConfig(t *testing.T) {
	for field, change := range map[string][2]string{
		"LB_CONFIG":                         {`{"name"`, `["name"`},
		"listen":                            {`127.0.0.1:8443`, `127.0.0.1`},
		"discovery":                         {`127.0.0.1:8500`, `127.0.0.1:http`},
		"control":                           {`"new":[]`, `"control":"nowhere"`},
		"seed":                              {`8c1f30d27a5be964`, `xyz`},
		"limits.memory_mb":                  {`2048`, `"much"`},
		"limits.sockets":                    {`512`, `3`},
		"settings:":                         {`"settings":{`, `"other":{`},
		"settings.classes:":                 {`"classes"`, `"klasses"`},
		"settings.classes[0].name":          {`gauge-reading`, `gauge/reading`},
		"settings.classes[0].hardLimitNs":   {`5e9`, `0`},
		"settings.classes[0].aimNs":         {`200000000`, `2.5`},
		"settings.familyInfo.classKind[0]":  {`[-1]`, `["x"]`},
		"settings.stepNs":                   {`"stepNs":2000000`, `"stepNs":-1`},
		"settings.limits.keepaliveNs":       {`60000000000`, `-1`},
		"settings.limits.maxAttempts":       {`"maxAttempts":4`, `"maxAttempts":4000`},
		"settings.familyInfo.tellsStart":    {`true}`, `1}`},
		"settings.limits: want an object":   {`{"keepaliveNs":60000000000,"maxAttempts":4}`, `7`},
		"settings.familyInfo.classStretch:": {`[2.5]`, `2.5`},
	} {
		text := strings.Replace(validConfig, change[0], change[1], 1)
		c, err := Parse([]byte(text), noEnv)
		if err == nil || !strings.HasPrefix(err.Error(), field) || strings.Contains(err.Error(), "\n") || text == validConfig {
			t.Errorf("%s: config %v, error %v", field, c, err)
		}
	}
}

func TestLoad(t *testing.T) {
	if _, err := Load(noEnv); err == nil || !strings.HasPrefix(err.Error(), "LB_CONFIG") {
		t.Errorf("error %v", err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(func(key string) string { return map[string]string{"LB_CONFIG": path}[key] }); err != nil {
		t.Error(err)
	}
}

// TestReload checks that on a reload the discovery address in the file takes precedence over the variable, and changes
// that need a restart are named.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := map[string]string{"LB_CONFIG": path, "LB_DISCOVERY": "127.0.0.1:1", "LB_LISTEN": "127.0.0.9:1"}
	getenv := func(key string) string { return env[key] }
	write := func(old, new string) {
		if err := os.WriteFile(path, []byte(strings.Replace(validConfig, old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("", "")
	c, err := Load(getenv)
	if err != nil || c.Discovery != "127.0.0.1:1" {
		t.Fatal(c, err)
	}
	for _, f := range []struct{ old, new, discovery, fixed, fault string }{
		{"", "", "127.0.0.1:8500", "", ""},
		{`"discovery":"127.0.0.1:8500",`, "", "127.0.0.1:1", "", ""},
		{"127.0.0.1:8500", "127.0.0.1:x", "", "", "discovery"},
		{"127.0.0.1:8500", "127.0.0.1:8501", "127.0.0.1:8501", "", ""},
		{`"dcs":["a"`, `"dcs":["c"`, "127.0.0.1:8500", "settings", ""},
		{`"sockets":512`, `"sockets":256`, "127.0.0.1:8500", "limits", ""},
		{`"maxAttempts":4`, `"maxAttempts":3`, "127.0.0.1:8500", "settings", ""},
		{`"n3"`, `"n4"`, "127.0.0.1:8500", "name", ""},
		{"127.0.0.1:8443", "127.0.0.1:8444", "127.0.0.1:8500", "", ""}, // LB_LISTEN takes precedence, as at the start
		{`"maxAttempts":4`, `"maxAttempts":"x"`, "", "", "settings.limits.maxAttempts"},
	} {
		write(f.old, f.new)
		next, err := Reload(getenv)
		if f.fault != "" {
			if err == nil || !strings.HasPrefix(err.Error(), f.fault) {
				t.Errorf("%s: error %v", f.new, err)
			}
			continue
		}
		if err != nil || next.Discovery != f.discovery || strings.Join(c.RestartOnlyChanges(next), " ") != f.fixed {
			t.Errorf("%s: %v, %+v, error %v", f.new, c.RestartOnlyChanges(next), next, err)
		}
	}
}

// FuzzParse checks that no configuration panics.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Fuzz(func(t *testing.T, in []byte) {
		if c, err := Parse(in, noEnv); err == nil && (len(c.Classes) != len(c.Settings.Classes) || c.Sockets < minSockets) {
			t.Errorf("config %+v", c)
		}
	})
}
