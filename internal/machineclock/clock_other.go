//go:build !linux

package machineclock

import (
	"crypto/rand"
	"sync"
	"time"

	"liftgauge/clustertime"
)

// bootID differs in each process, as there is no steady clock here that outlives the process.
var bootID = sync.OnceValue(rand.Text)

// Read reads the time of day.
func Read() clustertime.Reading {
	return clustertime.Reading{Boot: bootID(), Wall: time.Duration(time.Now().UnixNano())}
}
