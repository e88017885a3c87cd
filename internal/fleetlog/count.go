package fleetlog

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"time"
)

// LateStartThreshold is the wait after which an attempt that has not started counts as waited.
const LateStartThreshold = 200 * time.Millisecond

// ZoneTime is the activity of the hosts of a zone in one interval.
type ZoneTime struct {
	Sent    int     `json:"sent"`
	Waited  int     `json:"waited"`  // of these, not started within 0.2 s
	Running float64 `json:"running"` // jobs per host, averaged over the interval and all hosts that were ever used
}

// Spread is how evenly the attempts went to the hosts of a zone and kind.
type Spread struct {
	Zone                int `json:"zone"`
	Kind                int `json:"kind"`
	Hosts               int `json:"hosts"`
	Least, Median, Most int
}

// Outcome counts the messages of a class with one kind of response.
type Outcome struct {
	Class    int `json:"class"`
	Kind     int `json:"kind"` // 0 failed, 1 served, 2 back-off response
	Messages int `json:"messages"`
}

// Counts summarizes the logs of a fleet of dispatchers.
type Counts struct {
	Lines              int            `json:"lines"`
	Dispatchers        int            `json:"dispatchers"` // that made attempts
	Attempts           int            `json:"attempts"`
	Late               int            `json:"waited"`        // attempts that did not start within 0.2 s
	Statuses           map[string]int `json:"ended"`         // attempts by outcome
	HostsByZone        map[int]int    `json:"hosts_by_zone"` // hosts used, by zone
	MessagesByAttempts map[int]int    `json:"tries"`         // messages by number of attempts
	Outcomes           []Outcome      `json:"outcomes"`      // messages by class and response
	Unanswered         int            `json:"unanswered"`    // messages with an attempt but no response
	Cold               int            `json:"to_cold"`       // attempts at cold hosts
	MaxColdPerHost     int            `json:"to_cold_most"`  // maximum of these at one host within 2 s
	HomeZones          map[int]int    `json:"homes"`         // dispatchers by their home zone, the one that they used most
	OutsideHomeZone    float64        `json:"outside"`       // fraction of the attempts sent outside the home zone
	Step               time.Duration  `json:"step_ns"`       // interval of Times
	Times              [][]ZoneTime   `json:"times"`         // by interval and index in Zones
	Zones              []int          `json:"zones"`         // sorted
	Spreads            []Spread       `json:"spreads"`       // by zone and kind
	Unrecognized       int            `json:"strange_lines"` // ignored
	Truncated          []string       `json:"cut_files"`     // files whose last line is truncated
	Foreign            []string       `json:"foreign_files"` // files without any line of a dispatcher's log
	Orphans            int            `json:"without_send"`  // starts and ends of attempts whose send is in none of the logs
	First              time.Time      `json:"first"`         // earliest time of all lines
	Span               time.Duration  `json:"span_ns"`       // from the first to the last line
}

// maxRows is the maximum number of intervals: the seconds of a day. Logs from different days would otherwise take memory for all the time
// between them.
const maxRows = 24 * 3600

// statuses are the names that the balance package gives to the outcomes of an attempt.
var statuses = [...]string{"none", "ok", "errored", "full", "timed out", "connect failed", "reset", "withdrawn", "never sent"}

type attempt struct {
	host       string
	sent       time.Time
	start, end time.Time
	status     int
}

type key struct{ dispatcher, message, host string }

// Count summarizes the logs in a directory. A host is cold until it has been up for the duration warm, if the logs report its age.
func Count(dir fs.FS, warm, step time.Duration) (*Counts, error) {
	c := &Counts{Statuses: map[string]int{}, HostsByZone: map[int]int{}, MessagesByAttempts: map[int]int{}, HomeZones: map[int]int{}, Step: step}
	var all []*attempt
	var last time.Time
	live := map[key]*attempt{}
	type zoneAndKind struct{ zone, kind int }
	hosts, sentByZone := map[string]zoneAndKind{}, map[string]map[int]int{}
	attempts, answered := map[string]int{}, map[string]bool{}
	outcomes, cold := map[Outcome]int{}, map[string][]time.Time{}
	noise, err := Read(dir, func(l Line) {
		c.Lines++
		if c.First.IsZero() || l.At.Before(c.First) {
			c.First = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
		k := key{l.Dispatcher, l.Fields["message"], l.Fields["host"]}
		switch l.Message {
		case "attempt":
			a := &attempt{host: k.host, sent: l.At}
			live[k] = a
			all = append(all, a)
			hosts[k.host] = zoneAndKind{l.number("zone"), l.number("kind")}
			if sentByZone[l.Dispatcher] == nil {
				sentByZone[l.Dispatcher] = map[int]int{}
			}
			sentByZone[l.Dispatcher][l.number("zone")]++
			attempts[k.message]++
			if age, ok := l.duration("age"); ok && age < warm {
				cold[k.host] = append(cold[k.host], l.At)
			}
		case "attempt started", "attempt ended":
			a := live[k]
			switch {
			case a == nil:
				c.Orphans++
			case l.Message == "attempt started":
				a.start = l.At
			default:
				a.end, a.status = l.At, l.number("status")
				delete(live, k)
			}
		case "answered":
			answered[k.message] = true
			outcomes[Outcome{Class: l.number("class"), Kind: l.number("kind")}]++
		}
	})
	c.Unrecognized, c.Truncated, c.Foreign = noise.Unrecognized, noise.Truncated, noise.Foreign
	if err != nil {
		return c, err
	}
	if len(all) == 0 {
		return c, errors.New("no attempts found: are these logs of dispatchers at level debug?")
	}
	c.Attempts, c.Dispatchers, c.Span = len(all), len(sentByZone), last.Sub(c.First)
	if c.Span/step > maxRows {
		return c, fmt.Errorf("the logs span %v, %d rows of %v: remove logs of other runs, or give a longer --step", c.Span, c.Span/step, step)
	}
	for _, p := range hosts {
		c.HostsByZone[p.zone]++
	}
	c.Zones = slices.Sorted(maps.Keys(c.HostsByZone))
	for message, n := range attempts {
		c.MessagesByAttempts[n]++
		if !answered[message] {
			c.Unanswered++
		}
	}
	for o, n := range outcomes {
		o.Messages = n
		c.Outcomes = append(c.Outcomes, o)
	}
	slices.SortFunc(c.Outcomes, func(a, b Outcome) int { return cmp.Or(a.Class-b.Class, a.Kind-b.Kind) })
	for _, at := range cold {
		c.Cold += len(at)
		slices.SortFunc(at, time.Time.Compare)
		for from, to := 0, 0; to < len(at); to++ {
			for at[to].Sub(at[from]) > 2*time.Second {
				from++
			}
			c.MaxColdPerHost = max(c.MaxColdPerHost, to-from+1)
		}
	}
	outside := 0
	for _, zones := range sentByZone {
		home, most, sum := 0, 0, 0
		for _, z := range slices.Sorted(maps.Keys(zones)) {
			if sum += zones[z]; zones[z] > most {
				home, most = z, zones[z]
			}
		}
		c.HomeZones[home]++
		outside += sum - most
	}
	c.OutsideHomeZone = float64(outside) / float64(len(all))
	perHost := map[string]int{}
	for _, a := range all {
		perHost[a.host]++
		c.addAttempt(a, hosts[a.host].zone, last)
	}
	byZoneAndKind := map[zoneAndKind][]int{}
	for host, n := range perHost {
		byZoneAndKind[hosts[host]] = append(byZoneAndKind[hosts[host]], n)
	}
	for p, n := range byZoneAndKind {
		slices.Sort(n)
		c.Spreads = append(c.Spreads, Spread{p.zone, p.kind, len(n), n[0], n[len(n)/2], n[len(n)-1]})
	}
	slices.SortFunc(c.Spreads, func(a, b Spread) int { return cmp.Or(a.Zone-b.Zone, a.Kind-b.Kind) })
	return c, nil
}

// addAttempt adds an attempt to the activity of its zone.
func (c *Counts) addAttempt(a *attempt, zone int, last time.Time) {
	if a.status < 0 || a.status >= len(statuses) {
		a.status = 0
	}
	c.Statuses[statuses[a.status]]++
	z, _ := slices.BinarySearch(c.Zones, zone)
	at := func(t time.Duration) *ZoneTime {
		for len(c.Times) <= int(t/c.Step) {
			c.Times = append(c.Times, make([]ZoneTime, len(c.Zones)))
		}
		return &c.Times[t/c.Step][z]
	}
	end := a.end
	if end.IsZero() {
		end = last
	}
	started := a.start
	if started.IsZero() {
		started = end
	}
	sent := at(a.sent.Sub(c.First))
	sent.Sent++
	if started.Sub(a.sent) > LateStartThreshold {
		sent.Waited++
		c.Late++
	}
	if a.start.IsZero() {
		return
	}
	for t := a.start.Sub(c.First); t < end.Sub(c.First); t = (t/c.Step + 1) * c.Step { // the share of each interval
		until := min((t/c.Step+1)*c.Step, end.Sub(c.First))
		at(t).Running += (until - t).Seconds() / c.Step.Seconds() / float64(c.HostsByZone[zone])
	}
}
