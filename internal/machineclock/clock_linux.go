package machineclock

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"liftgauge/clustertime"
)

// bootID returns the kernel's identifier of the boot; empty if it cannot be read.
var bootID = sync.OnceValue(func() string {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(id))
})

// Read reads the clocks. The steady clock counts from the boot of the machine, with the time that it was suspended.
func Read() clustertime.Reading {
	return clustertime.Reading{Boot: bootID(), Steady: read(unix.CLOCK_BOOTTIME), Wall: read(unix.CLOCK_REALTIME)}
}

// read returns the value of a clock. The two clocks above are present on every Linux, so there is no error to report.
func read(clock int32) time.Duration {
	var value unix.Timespec
	_ = unix.ClockGettime(clock, &value)
	return time.Duration(value.Nano())
}
