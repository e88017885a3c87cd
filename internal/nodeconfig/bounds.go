package nodeconfig

import "time"

// Bounds holds the parameters of the rules that the system must keep, in the units that the field names end with. Each duration has a
// method of the same name without the unit.
type Bounds struct {
	SeedLagS        float64 // maximum age of the operator's list of control processes
	ReuseAfterS     float64 // after this time the address of an ended worker may be reused
	ContactMs       float64 // a machine counts as reachable once it has run and been connected for this long
	AckMs           float64 // an order of the operator is acknowledged within this time
	CatchUpS        float64 // a machine that came back still counts as lost for this long
	DrainMs         float64 // deliveries to a worker stop within this time after the list showed it draining
	GraceS          float64 // time from SIGTERM to SIGKILL
	LossSlackMs     float64 // around planned maintenance, requests read later than this after being sent may be dropped
	ConfigApplyMs   float64 // a configuration is in effect everywhere within this time after its acknowledgement
	RollbackSlackMs float64 // a process may still use an older configuration for this long after the first effect of a newer one
	MaxSkewMs       float64 // added to ConfigApplyMs for an unstable core
	RecoveryS       float64 // requests are served again within this time after the last fault
	CompletionS     float64 // time for accepted messages to complete after the traffic has ended
	StatusS         float64 // the states of ended messages are kept for this long
	EarliestMs      float64 // a delayed message may run early by this much
	CeilingWindowS  float64 // window over which the rate of a service is measured
	OriginOverage   float64 // factor by which a service's rate may be exceeded in a window
}

// defaultBounds holds the values of bounds that the file does not set: for each a cautious value within the usual range.
var defaultBounds = Bounds{
	SeedLagS: 3, ReuseAfterS: 2, ContactMs: 4000, AckMs: 5000, CatchUpS: 4, DrainMs: 3000, GraceS: 5, LossSlackMs: 200,
	ConfigApplyMs: 3000, RollbackSlackMs: 250, MaxSkewMs: 12000, RecoveryS: 10, CompletionS: 10, StatusS: 120,
	EarliestMs: 100, CeilingWindowS: 5, OriginOverage: 1,
}

// SeedLag returns the maximum age of the operator's list of control processes.
func (b *Bounds) SeedLag() time.Duration { return seconds(b.SeedLagS) }

// ReuseAfter returns the time after the end of a worker from which another service may use its address.
func (b *Bounds) ReuseAfter() time.Duration { return seconds(b.ReuseAfterS) }

// Contact returns how long a machine must have run and been connected to count as reachable.
func (b *Bounds) Contact() time.Duration { return milliseconds(b.ContactMs) }

// Ack returns the time within which an order of the operator is acknowledged.
func (b *Bounds) Ack() time.Duration { return milliseconds(b.AckMs) }

// CatchUp returns how long a machine that came back still counts as lost.
func (b *Bounds) CatchUp() time.Duration { return seconds(b.CatchUpS) }

// Drain returns the time within which deliveries to a draining worker stop, counted from when the list shows it draining.
func (b *Bounds) Drain() time.Duration { return milliseconds(b.DrainMs) }

// Grace returns the time between SIGTERM and SIGKILL.
func (b *Bounds) Grace() time.Duration { return seconds(b.GraceS) }

// LossSlack returns how long after its last byte was sent a request may still be dropped around planned maintenance.
func (b *Bounds) LossSlack() time.Duration { return milliseconds(b.LossSlackMs) }

// ConfigApply returns the time within which an acknowledged configuration is in effect everywhere.
func (b *Bounds) ConfigApply() time.Duration { return milliseconds(b.ConfigApplyMs) }

// RollbackSlack returns how long a process may still use an older configuration after a newer one first took effect there.
func (b *Bounds) RollbackSlack() time.Duration { return milliseconds(b.RollbackSlackMs) }

// MaxSkew returns the time that is added to ConfigApply for an unstable core.
func (b *Bounds) MaxSkew() time.Duration { return milliseconds(b.MaxSkewMs) }

// Recovery returns the time after the last fault within which requests are served again.
func (b *Bounds) Recovery() time.Duration { return seconds(b.RecoveryS) }

// Completion returns the time that accepted messages have to complete after the traffic has ended.
func (b *Bounds) Completion() time.Duration { return seconds(b.CompletionS) }

// Status returns how long the state of an ended message is kept.
func (b *Bounds) Status() time.Duration { return seconds(b.StatusS) }

// Earliest returns by how much a delayed message may run early.
func (b *Bounds) Earliest() time.Duration { return milliseconds(b.EarliestMs) }

// CeilingWindow returns the window over which arrivals at a service with a rate limit are counted.
func (b *Bounds) CeilingWindow() time.Duration { return seconds(b.CeilingWindowS) }

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
