// Package trialday draws days of trouble for the bench of the system: each kind of trouble alone, in pairs, or in mixes, at times
// drawn from a seed. A day is written in the form of a day of a site file.
package trialday

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Day is one drawn day.
type Day struct {
	Name     string
	Seed     uint64
	Plan     []Entry
	Faults   []Entry
	Closing  string // an inline table, or empty
	Contents []string
}

// Entry is one trouble at a time.
type Entry struct {
	At     float64
	Fields string
}

// template draws the fields of one kind of trouble.
type template struct {
	kind    string
	planned bool
	needs   string // a contract that the site must name, or empty
	draw    func(r *rand.Rand) string
}

func pick(r *rand.Rand, options ...string) string { return options[r.IntN(len(options))] }

// between draws a number with one decimal.
func between(r *rand.Rand, least, most float64) string {
	return fmt.Sprintf("%.1f", least+r.Float64()*(most-least))
}

// machines draws which machines a trouble strikes.
func machines(r *rand.Rand) string {
	return pick(r, `on = "store", count = 1`, `on = "core", count = 1`, `share = 0.2`)
}

func templates() []template {
	lasting := func(kind, hows string, least, most float64) template {
		return template{kind: kind, draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`%s, how = %q, for_s = %s`, machines(r), pick(r, strings.Split(hows, "|")...), between(r, least, most))
		}}
	}
	service := func(kind, hows, x string) template {
		return template{kind: kind, draw: func(r *rand.Rand) string {
			return fmt.Sprintf(`share = %s, how = %q, for_s = %s%s`, between(r, 0.1, 0.5), pick(r, strings.Split(hows, "|")...), between(r, 3, 8), x)
		}}
	}
	change := func(kind, fields string) template {
		return template{kind: kind, planned: true, draw: func(*rand.Rand) string { return fields }}
	}
	return []template{
		service("srv_crash", "|dark|gone|all|dark all", ""),
		service("srv_slow", "|all", ", x = 8.0"),
		service("answer_lost", "|reset", ", x = 0.04"),
		service("garble", "|extra|extra late", ", x = 0.03"),
		lasting("node_kill", "|power|leader|race drain|hard", 1.5, 4),
		lasting("node_freeze", "", 1, 4),
		lasting("node_slow", "", 2, 5),
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
		change("hup", `share = 0.5, gap_s = 1.5`),
		change("config_change", `how = "idle"`),
		change("config_change", `how = "route"`),
		change("config_change", `how = "timeout"`),
		change("config_race", `count = 2, gap_s = 1.0`),
		change("seed_turnover", ``),
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

// Kinds lists the kinds of trouble that days are drawn from.
func Kinds() []string {
	var names []string
	for _, t := range templates() {
		if !slices.Contains(names, t.kind) {
			names = append(names, t.kind)
		}
	}
	return names
}

// Options say what a day may hold.
type Options struct {
	Only      []string // kinds; empty: all that the site knows
	Supported func(kind string) bool
	Troubles  int     // drawn entries; each kind may come more than once
	LengthS   float64 // of the traffic
	Closing   bool
}

// Draw returns the day of a seed.
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
		if n < len(o.Only) { // each kind that was asked for comes at least once
			of := slices.DeleteFunc(slices.Clone(usable), func(t template) bool { return t.kind != o.Only[n] })
			if len(of) > 0 {
				t = of[r.IntN(len(of))]
			}
		}
		at := 2 + r.Float64()*max(1, o.LengthS-10)
		fields := fmt.Sprintf("kind = %q", t.kind)
		if more := t.draw(r); more != "" {
			fields += ", " + more
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

// TOML returns the day in the form of a day of a site file.
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
