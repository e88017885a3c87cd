// Package trialday generates random fault scenarios ("days") for the system's bench: faults of one kind, of two kinds or of a mix of
// kinds, at times drawn from a seed. A day is written in the format of a day in a site file.
package trialday

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Day is a generated scenario.
type Day struct {
	Name     string
	Seed     uint64
	Plan     []Entry
	Faults   []Entry
	Closing  string // the fault at the end of the day as an inline table, or empty
	Contents []string
}

// Entry is a fault or a planned operation at a point in time.
type Entry struct {
	At     float64 // seconds from the start of the day
	Fields string
}

// template generates the fields of one kind of fault or planned operation.
type template struct {
	kind    string
	planned bool
	needs   string // a contract that the site must list, or empty
	draw    func(r *rand.Rand) string
}

func pick(r *rand.Rand, options ...string) string { return options[r.IntN(len(options))] }

// between draws a number between lowest and highest and formats it with one decimal.
func between(r *rand.Rand, lowest, highest float64) string {
	return fmt.Sprintf("%.1f", lowest+r.Float64()*(highest-lowest))
}

// machines draws the machines that a fault affects.
func machines(r *rand.Rand) string {
	return pick(r, `on = "store", count = 1`, `on = "core", count = 1`, `share = 0.2`)
}

func templates() []template {
	nodeFault := func(kind, variants string, lowest, highest float64) template {
		return template{kind: kind, draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`%s, how = %q, for_s = %s`, machines(r), pick(r, strings.Split(variants, "|")...), between(r, lowest, highest))
		}}
	}
	workerFault := func(kind, variants, extraFields string) template {
		return template{kind: kind, draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`share = %s, how = %q, for_s = %s%s`, between(r, 0.1, 0.5), pick(r, strings.Split(variants, "|")...), between(r, 3, 8), extraFields)
		}}
	}
	plannedChange := func(kind, fields string) template {
		return template{kind: kind, planned: true, draw: func(*rand.Rand) string { return fields }}
	}
	return []template{
		workerFault("srv_crash", "|dark|gone|all|dark all", ""),
		workerFault("srv_slow", "|all", ", x = 8.0"),
		workerFault("answer_lost", "|reset", ", x = 0.04"),
		workerFault("garble", "|extra|extra late", ", x = 0.03"),
		nodeFault("node_kill", "|power|leader|race drain|hard", 1.5, 4),
		nodeFault("node_freeze", "", 1, 4),
		nodeFault("node_slow", "", 2, 5),
		{kind: "herd_kill", draw: func(r *rand.Rand) string {
			return pick(r, `share = 0.5, for_s = 1.0`, `share = 0.5, for_s = 1.0, how = "power"`, `on = "core", for_s = 1.0`, `on = "core", for_s = 1.0, how = "power"`, `how = "taken power", for_s = 0.8`)
		}},
		{kind: "after_ack_kill", draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`how = %q, for_s = %s`, pick(r, "", "kill", "timed", "taken"), between(r, 1, 3))
		}},
		{kind: "after_ack_wipe", draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`%s, for_s = %s`, pick(r, `on = "store", count = 1`, `how = ""`, `how = "taken"`), between(r, 1, 3))
		}},
		{kind: "replace_core", draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`%s, how = %q, x = %s`, pick(r, `on = "store"`, `on = "core"`), pick(r, "", "planned"), between(r, 1, 3))
		}},
		{kind: "core_cut", draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`%s, how = %q, for_s = %s`, pick(r, `on = "store", count = 1`, `count = 1`), pick(r, "", "one_way", "leader", "leader race", "reset", "refuse", "seeds", "both", "reader"), between(r, 2, 7))
		}},
		{kind: "node_cut", draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`share = 0.2, how = %q, for_s = %s`, pick(r, "", "servers", "reset"), between(r, 2, 5))
		}},
		{kind: "disk_slow", draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`%s, for_s = %s`, pick(r, `on = "store"`, `on = "core"`), between(r, 2, 5))
		}},
		{kind: "disk_full", draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`%s, for_s = %s`, pick(r, `on = "store"`, `on = "core"`), between(r, 2, 5))
		}},
		{kind: "disk_stall", draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`%s, for_s = %s`, pick(r, `on = "store"`, `on = "core"`), between(r, 2, 4))
		}},
		{kind: "clock_step", draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`share = 0.4, how = %q, x = 3000, for_s = %s`, pick(r, "back", "ahead"), between(r, 3, 8))
		}},
		{kind: "reset_conns", draw: func(*rand.Rand) string { return `share = 0.4, x = 0.6` }},
		{kind: "ack_lost", draw: func(r *rand.Rand) string { return `x = 0.6, for_s = ` + between(r, 5, 12) }},
		{kind: "poison", draw: func(r *rand.Rand) string { return `share = 0.06, for_s = ` + between(r, 2, 4) }},
		{kind: "release", planned: true, draw: func(*rand.Rand) string { return `share = 0.4, gap_s = 0.8` }},
		{kind: "scale_in", planned: true, draw: func(r *rand.Rand) string { return fmt.Sprintf(`share = 0.15, how = %q`, pick(r, "", "spot")) }},
		{kind: "roll_term", planned: true, draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`%s, gap_s = 1.2, how = %q`, pick(r, `share = 0.4`, `on = "store", count = 2`, `on = "core", count = 2`), pick(r, "", "busy"))
		}},
		plannedChange("hup", `share = 0.5, gap_s = 1.5`),
		plannedChange("config_change", `how = "idle"`),
		plannedChange("config_change", `how = "route"`),
		plannedChange("config_change", `how = "timeout"`),
		plannedChange("config_race", `count = 2, gap_s = 1.0`),
		plannedChange("seed_turnover", ``),
		{kind: "bad_config", planned: true, draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`count = 3, gap_s = 0.7, how = %q`, pick(r, "cut_short", "unknown_service", "same_place", "no_timeout", "old_version", "same_version"))
		}},
		{kind: "retire", planned: true, needs: "retire", draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`for_s = 9.0, how = %q`, pick(r, "", "wipe"))
		}},
		{kind: "add_nodes", planned: true, needs: "add_nodes", draw: func(r *rand.Rand) string { return pick(r, `on = "store", count = 1`, `count = 2`) }},
		{kind: "srv_grey", needs: "srv_grey", draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`share = 0.15, x = 0.5, for_s = 5.5, how = %q`, pick(r, "errors", "shed", "busy", "hang", "reset", "mute", "slow"))
		}},
		{kind: "srv_lying_health", needs: "srv_lying_health", draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`share = 0.1, for_s = 6.0, how = %q`, pick(r, "errors", "hang", "reset", "bad"))
		}},
		{kind: "srv_flap", needs: "srv_flap", draw: func(*rand.Rand) string { return `share = 0.1, gap_s = 1.4, for_s = 6.0` }},
		{kind: "burst", needs: "burst", draw: func(*rand.Rand) string { return `x = 1.7, for_s = 3.0` }},
	}
}

// Kinds lists the kinds of faults and planned operations that days are generated from.
func Kinds() []string {
	var names []string
	for _, t := range templates() {
		if !slices.Contains(names, t.kind) {
			names = append(names, t.kind)
		}
	}
	return names
}

// Options limit what a day contains.
type Options struct {
	Only      []string // kinds to draw from; empty means all that the site supports
	Supported func(kind string) bool
	Troubles  int     // number of entries; a kind may occur more than once
	LengthS   float64 // duration of the traffic, in seconds
	Closing   bool
}

// Draw generates the day of a seed.
func Draw(seed uint64, o Options) Day {
	r := rand.New(rand.NewPCG(seed, 7))
	var usable []template
	for _, t := range templates() {
		if (len(o.Only) == 0 || slices.Contains(o.Only, t.kind)) && (t.needs == "" || o.Supported(t.kind)) {
			usable = append(usable, t)
		}
	}
	day := Day{Name: fmt.Sprintf("trial-%d", seed), Seed: seed}
	for n := range o.Troubles {
		t := usable[r.IntN(len(usable))]
		if n < len(o.Only) { // each kind in Only is drawn at least once
			candidates := slices.DeleteFunc(slices.Clone(usable), func(t template) bool { return t.kind != o.Only[n] })
			if len(candidates) > 0 {
				t = candidates[r.IntN(len(candidates))]
			}
		}
		at := 2 + r.Float64()*max(1, o.LengthS-10)
		fields := fmt.Sprintf("kind = %q", t.kind)
		if drawn := t.draw(r); drawn != "" {
			fields += ", " + drawn
		}
		entry := Entry{At: at, Fields: fields}
		day.Contents = append(day.Contents, fields)
		if t.planned {
			day.Plan = append(day.Plan, entry)
		} else {
			day.Faults = append(day.Faults, entry)
		}
	}
	if o.Closing && r.IntN(2) == 0 {
		day.Closing = pick(r, `{ kind = "power_off_all", down_s = 1.2, how = "all taken" }`, `{ kind = "wipe_after_ack", down_s = 1.0, how = "all" }`,
			`{ kind = "kill_all", down_s = 1.0 }`, `{ kind = "power_off_all", down_s = 1.0, how = "timed" }`, `{ kind = "wipe_after_ack", down_s = 1.0, how = "timed" }`)
		day.Contents = append(day.Contents, "closing "+day.Closing)
	}
	return day
}

// TOML returns the day in the format of a day in a site file.
func (d Day) TOML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nslot = \"trouble\"\nseed = %d\none = 1.0\nzero = 0.5\ngoal = { floor = 0.2 }\nlabels = []\n", d.Name, d.Seed)
	if d.Closing != "" {
		fmt.Fprintf(&b, "closing = %s\n", d.Closing)
	}
	list := func(name string, entries []Entry) {
		fmt.Fprintf(&b, "%s = [\n", name)
		for _, e := range entries {
			fmt.Fprintf(&b, "  { at = %.2f, %s },\n", e.At, e.Fields)
		}
		fmt.Fprintf(&b, "]\n")
	}
	list("plan", d.Plan)
	list("faults", d.Faults)
	return b.String()
}
