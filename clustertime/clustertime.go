// Package clustertime carries the time of a cluster across restarts of its processes.
//
// While processes run, they share one time: a primary's, which runs with a steady clock and which others sample. The time of day of a machine
// takes no part in it, as it may be wrong and may jump. When all processes restart at once nobody has that time any more. Each process with a
// disk therefore keeps a Checkpoint: the cluster time together with a Reading of the machine's clocks. After a restart it resumes from it, and a
// Settlement determines the time of the cluster from what the processes know.
//
// The package does no I/O and reads no clock: callers pass readings and times.
package clustertime

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// Reading is a simultaneous reading of the clocks of a machine.
type Reading struct {
	Boot   string        // identifies the boot of the machine; empty if the platform does not tell
	Steady time.Duration // a clock that restarts of processes do not affect, since an arbitrary point of the boot
	Wall   time.Duration // time of day, since 1970
}

// Checkpoint is the cluster time at a reading.
type Checkpoint struct {
	Cluster time.Duration // since 1970
	Reading Reading
}

// Certainty says on what an Estimate is based.
type Certainty uint8

// The values of Certainty, least certain first.
const (
	Unknown   Certainty = iota // nothing is known
	Estimated                  // a checkpoint and the time of day: the machine was started since
	Certain                    // a running clock, or a checkpoint and a steady clock that has run since
)

// Estimate is what a process knows of the cluster time at a moment.
type Estimate struct {
	Certainty Certainty
	Floor     time.Duration // the cluster time has reached this value, since 1970
	Time      time.Duration // the most likely value, at least Floor; equal to Floor if Certain
}

// After returns the estimate for a moment that is later by d on a steady clock.
func (e Estimate) After(d time.Duration) Estimate {
	if e.Certainty == Unknown {
		return e
	}
	e.Floor += d
	e.Time += d
	return e
}

// maxWallStep is the largest jump of the time of day that is taken for one. Where it and the steady clock differ by more, the steady clock may
// have begun anew without a new Boot.
const maxWallStep = 10 * time.Second

// Resume returns what the checkpoint tells at a later reading of the same machine's clocks.
//
// If the steady clock has run since, the cluster time has advanced by exactly as much. Otherwise only the checkpoint itself is certain, and the
// time of day tells how long the machine was away. Where both clocks might be wrong, the smaller advance is taken: a cluster time that is
// behind makes messages late, one that is ahead ends them early.
func (c Checkpoint) Resume(now Reading) Estimate {
	steady := now.Steady - c.Reading.Steady
	wall := now.Wall - c.Reading.Wall
	sameBoot := now.Boot == c.Reading.Boot
	if sameBoot && steady >= 0 && (wall-steady).Abs() <= maxWallStep {
		at := c.Cluster + steady
		return Estimate{Certainty: Certain, Floor: at, Time: at}
	}
	advance := wall
	if sameBoot && steady >= 0 {
		advance = min(steady, wall)
	}
	return Estimate{Certainty: Estimated, Floor: c.Cluster, Time: c.Cluster + max(advance, 0)}
}

const checkpointFormat = 1

// ErrCheckpoint is returned for a checkpoint that cannot be decoded.
var ErrCheckpoint = errors.New("clustertime: malformed checkpoint: run the version that wrote it")

// Append appends the encoded checkpoint to b.
func (c Checkpoint) Append(b []byte) []byte {
	b = append(b, checkpointFormat)
	for _, d := range []time.Duration{c.Cluster, c.Reading.Steady, c.Reading.Wall} {
		b = binary.AppendVarint(b, int64(d))
	}
	b = binary.AppendUvarint(b, uint64(len(c.Reading.Boot)))
	return append(b, c.Reading.Boot...)
}

// Decode decodes a checkpoint; bytes after the last known field are ignored.
func (c *Checkpoint) Decode(b []byte) error {
	if len(b) == 0 || b[0] != checkpointFormat {
		return ErrCheckpoint
	}
	b = b[1:]
	var decoded Checkpoint
	for _, field := range []*time.Duration{&decoded.Cluster, &decoded.Reading.Steady, &decoded.Reading.Wall} {
		value, n := binary.Varint(b)
		if n <= 0 {
			return ErrCheckpoint
		}
		*field, b = time.Duration(value), b[n:]
	}
	length, n := binary.Uvarint(b)
	if n <= 0 || length > uint64(len(b)-n) {
		return ErrCheckpoint
	}
	decoded.Reading.Boot = string(b[n : n+int(length)])
	*c = decoded
	return nil
}
