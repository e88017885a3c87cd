package member

import "time"

// Config configures a Member. WithDefaults replaces zero values.
type Config struct {
	Self      Peer
	Seeds     []string // addresses of members that may be asked for admission
	FleetSize int      // intended number of members: a lineage that never had more than half of them has no quorum

	Watchers          int           // per member; at most 16
	TickInterval      time.Duration // longest time between two calls of Tick
	HeartbeatInterval time.Duration // between two heartbeats to one watcher
	PingAfter         time.Duration // silence after which a watcher pings its subject
	SuspicionTimeout  time.Duration // silence after which a watcher reports its subject; longer than any pause to be tolerated
	ProposalDelay     time.Duration // time without new reports or joins before a change is proposed
	BallotTimeout     time.Duration // time without progress after which the next proposer starts a ballot
	FoundingDelay     time.Duration // time without finding a member after which a seed founds a lineage
	RejoinDelay       time.Duration // before a removed member is admitted again; doubles with each removal
	BytesPerSecond    int           // including IP and UDP headers
	// IgnoreRefusals disregards "port unreachable" as proof, for networks where another host may send it.
	IgnoreRefusals bool
	Shared         *Shared // between members of one process; may be nil
	// Disabled switches protections off, to measure their effect.
	Disabled Protection
}

// Protection is a set of measures against false failure detection.
type Protection uint8

const (
	Refutation     Protection = 1 << iota // a reported member clears itself with a higher generation
	SelfSuspicion                         // a watcher that finds most subjects silent reports none of them; one that receives nothing sends no heartbeats
	PauseDetection                        // a watcher that was paused extends its subjects' timeouts by the pause
	Watermarks                            // a member is down when 0.7 of its watchers report it, not one
)

// WithDefaults returns the configuration with defaults for zero values, scaled to the network's round-trip time.
func (c Config) WithDefaults(roundTrip time.Duration) Config {
	// A heartbeat, two pings and their answers must fit into these intervals at any round-trip time. They scale with round-trip
	// times above 50 ms.
	scale := max(1, float64(roundTrip)/float64(50*time.Millisecond))
	set := func(d *time.Duration, standard time.Duration) {
		if *d <= 0 {
			*d = time.Duration(float64(standard) * scale)
		}
	}
	set(&c.TickInterval, 50*time.Millisecond)
	set(&c.HeartbeatInterval, 500*time.Millisecond)
	set(&c.PingAfter, 1250*time.Millisecond)
	set(&c.SuspicionTimeout, 6*time.Second)
	set(&c.ProposalDelay, 700*time.Millisecond)
	set(&c.BallotTimeout, 2*time.Second)
	set(&c.FoundingDelay, 2*time.Second)
	set(&c.RejoinDelay, 5*time.Second)
	if c.Watchers <= 0 {
		c.Watchers = 10
	}
	c.Watchers = min(c.Watchers, 16)
	if c.BytesPerSecond <= 0 {
		c.BytesPerSecond = 3400 // with the burst, less than 4,000 in any minute
	}
	return c
}
