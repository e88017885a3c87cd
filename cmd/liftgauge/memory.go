package main

import "runtime/debug"

// Garbage collector settings of a role. The heap may grow by collectorPercent of the live heap between collections; collections become more
// frequent as the process approaches memorySharePercent of its memory limit. The rest is for socket buffers and unread data.
const (
	collectorPercent   = 75
	memorySharePercent = 60
	bytesInMegabyte    = 1 << 20
)

// limitMemory configures the garbage collector for a process that is killed above the given number of megabytes; 0 means no limit.
func limitMemory(megabytes int) {
	debug.SetGCPercent(collectorPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) * bytesInMegabyte * memorySharePercent / 100)
	}
}
