package sitevariant

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"
)

const smallSite = `
length_s = 30.0
zones = [{ name = "a" }, { name = "b" }]
machines = [
  { class = "front", zone = "a", count = 1, counted = true, disk = { mb = 64, sync_ms = 2.0 } },
  { class = "front", zone = "a", count = 8, spare = 2 },
  { class = "store", zone = "a", count = 1, disk = { mb = 360, sync_ms = 2.0 } },
  { class = "store", zone = "b", count = 1, disk = { mb = 360, sync_ms = 2.0 } },
]
services = [
  { name = "one", slots = 9, queue = 36, servers = [{ zone = "a", count = 3 }, { zone = "b", count = 3 }] },
  { name = "two", slots = 4, fixed = true, servers = [{ zone = "a", count = 1 }] },
]
classes = [
  { name = "x", service = "one", timeout_ms = 1000, req_bytes = { mean = 100.0, max = 500.0 }, ingest = { ordered = true }, things = 380 },
  { name = "y", service = "two", timeout_ms = 1000, req_bytes = { mean = 100.0 } },
]
traffic = [{ zone = "a", per_s = 10.0, mix = { x = 1, y = 1 } }, { zone = "b", per_s = 10.0, mix = { x = 1, y = 1 } }]
troubles = [{ kind = "poison", class = "y" }, { kind = "srv_crash", service = "one" }, { kind = "node_kill", on = "store", count = 2 }]
[net]
cross_zone_ms = 0.9
[tolerate]
machines = 1
[[day]]
name = "quiet-1"
floor_classes = [0.5]
faults = [{ kind = "srv_crash", service = "two" }]
traffic = [{ zone = "b", per_s = 5.0, mix = { x = 1, y = 1 } }]
`

func applyVariant(t *testing.T, name string) site {
	t.Helper()
	is := is.New(t)
	v, err := Find(name)
	is.NoErr(err)
	text, err := Apply([]byte(smallSite), v)
	is.NoErr(err)
	s := site{}
	is.NoErr(toml.Unmarshal(text, &s))
	return s
}

func TestEveryVariantChangesTheSite(t *testing.T) {
	is := is.New(t)
	original := site{}
	is.NoErr(toml.Unmarshal([]byte(smallSite), &original))
	plain, err := toml.Marshal(original)
	is.NoErr(err)
	for _, v := range All() {
		text, err := Apply([]byte(smallSite), v)
		is.NoErr(err)
		is.True(string(text) != string(plain)) // each variant must change something
	}
}

func TestOneServiceRemovesOtherServices(t *testing.T) {
	is := is.New(t)
	s := applyVariant(t, "one-service")
	is.Equal(len(tables(s, "services")), 1)
	is.Equal(len(tables(s, "troubles")), 2) // the worker crash and the store crash remain; the poison of the other class is removed
	day := tables(s, "day")[0]
	is.Equal(len(tables(day, "faults")), 0)
	is.Equal(len(subtable(tables(day, "traffic")[0], "mix")), 1)
}

func TestThreeZonesRemovesLastZone(t *testing.T) {
	is := is.New(t)
	s := applyVariant(t, "three-zones")
	is.Equal(len(tables(s, "zones")), 1)
	is.Equal(len(tables(s, "machines")), 3)
	is.Equal(len(tables(s, "traffic")), 1)
}

func TestTwoStoresPerZone(t *testing.T) {
	is := is.New(t)
	s := applyVariant(t, "two-stores-a-zone")
	is.Equal(subtable(s, "tolerate")["machines"], int64(2))
	is.Equal(storeMachines(s)[0]["count"], int64(2))
}

func TestDispatchersAreScaledAndControlIsNot(t *testing.T) {
	is := is.New(t)
	for name, count := range map[string]int64{"half-dispatchers": 4, "twice-dispatchers": 16} {
		machines := tables(applyVariant(t, name), "machines")
		is.Equal(machines[0]["count"], int64(1))
		is.Equal(machines[1]["count"], count)
	}
}

func TestOneLossLimitsTroublesToOneMachine(t *testing.T) {
	is := is.New(t)
	s := applyVariant(t, "one-loss")
	is.Equal(subtable(s, "tolerate")["machines"], int64(1))
	is.Equal(tables(s, "troubles")[2]["count"], int64(1))
}

func TestWriteCopiesWireFile(t *testing.T) {
	is := is.New(t)
	source := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(source, "site.toml"), []byte(smallSite), 0o644))
	is.NoErr(os.WriteFile(filepath.Join(source, "wire.json"), []byte("{}"), 0o644))
	v, err := Find("distant")
	is.NoErr(err)
	path, err := Write(filepath.Join(source, "site.toml"), v, filepath.Join(t.TempDir(), "out"))
	is.NoErr(err)
	_, err = os.Stat(filepath.Join(filepath.Dir(path), "wire.json"))
	is.NoErr(err)
	_, err = Find("none")
	is.True(err != nil)
}
