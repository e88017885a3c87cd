package mutants

// clusterTimeMutants break the guarantees of the cluster time across restarts.
var clusterTimeMutants = []Mutant{
	{
		Promise: "the cluster time goes on by the steady clock", File: "clustertime/clustertime.go",
		Old: "at := c.Cluster + steady\n", New: "at := c.Cluster + wall\n",
	},
	{
		Promise: "another boot is told from a jump of the time of day", File: "clustertime/clustertime.go",
		Old: " && (wall-steady).Abs() <= maxWallStep", New: "",
		Package: "./clustertime",
	},
	{
		Promise: "a cluster that begins anew goes by the lowest estimate", File: "clustertime/settlement.go",
		Old: "lowest = lower(lowest, e.Time)", New: "lowest = max(lowest, e.Time)",
	},
	{
		Promise: "a running clock decides", File: "clustertime/settlement.go",
		Old: "if certain != 0 {", New: "if false {",
		Package: "./internal/roles/control",
	},
	{
		Promise: "a running clock is not moved by a higher checkpoint", File: "clustertime/settlement.go",
		Old: "return certain, true", New: "return max(certain, floor), true",
		Package: "./clustertime",
	},
	{
		Promise: "a process with a disk asks again soon while no time is told", File: "internal/agent/heartbeat.go",
		Old: "a.session.awaitTime(sent) //", New: "_ = sent //",
		Package: "./internal/agent",
	},
	{
		Promise: "the worker list is published by a time that is known", File: "internal/roles/control/reader.go",
		Old: "if !a.Synchronized() {", New: "if false {",
		Package: "./internal/roles/control",
	},
	{
		Promise: "the cluster time is not below a checkpoint", File: "clustertime/settlement.go",
		Old: "return max(lowest, floor), true", New: "return lowest, true",
		Package: "./clustertime",
	},
	{
		Promise: "a process that does not know the cluster time starts at its checkpoint", File: "internal/agent/clock.go",
		Old: "c := newClock(steady, time.Unix(0, int64(e.Floor)))", New: "c := newClock(steady, time.Unix(0, int64(e.Time)))",
		Package: "./internal/agent",
	},
	{
		Promise: "a process that is ahead of control's time tells control's", File: "internal/agent/clock.go",
		Old: "return max(steady, c.at) + min(c.offset, c.target)", New: "return max(steady, c.at) + c.offset",
		Package: "./internal/agent",
	},
	{
		Promise: "a settlement waits for every process that is expected", File: "clustertime/settlement.go",
		Old: "if _, reported := s.reports[process]; !reported {", New: "if _ = process; len(s.reports) < len(s.expected) {",
		Package: "./clustertime",
	},
	{
		Promise: "a jump of the time of day is in the next checkpoint", File: "internal/agent/timekeeper.go",
		Old: "\t\t(next.Reading.Wall-k.last.Reading.Wall-steady).Abs() > wallStep", New: "\t\tfalse",
		Package: "./internal/agent",
	},
	{
		Promise: "a primary settles the cluster time before it tells it", File: "internal/roles/control/timesettlement.go",
		Old: "final := !t.founded || now >= t.deadline", New: "final := true",
	},
	{
		Promise: "a store leads nothing before it knows the cluster time", File: "internal/roles/store/partition.go",
		Old: "if !s.agent.TimeUsable() {", New: "if false {",
		Package: "./internal/roles/store",
	},
	{
		Promise: "the age of the worker list is unknown until the cluster time is", File: "internal/agent/items.go",
		Old: "if !a.clock.isSynchronized() || fresh.Version != view.WorkersVersion {", New: "if fresh.Version != view.WorkersVersion {",
		Package: "./internal/agent",
	},
	{
		Promise: "a sample of the cluster time is without the opening of the connection", File: "internal/agent/heartbeat.go",
		Old: "a.sampleTime(called, received, r.ClusterTime)", New: "a.sampleTime(sent, received, r.ClusterTime)",
		Package: "./internal/agent",
	},
}
