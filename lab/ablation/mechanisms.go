package ablation

import "liftgauge/lab/sourcecopy"

// Mechanisms lists the mechanisms on the path of a message and those of recovery after a loss.
var Mechanisms = []Mechanism{
	// Worker selection.
	{"interleaved-period", "spreads the turns of a worker evenly over the period", edit("balance/balance.go",
		"place := (2*j + 1) * n / (2 * q)", "place := min(n-1, 0*j)")},
	{"dispatcher-offset", "keeps dispatchers from choosing the same worker at the same time", edit("balance/balance.go",
		"p.turns[(count+d.cfg.Number*(n+turnsPerWorker)/d.cfg.Dispatchers)%n]", "p.turns[count%n]")},
	{"overflow-past-k", "sends on to the next worker what finds k jobs at the scheduled one", edit("balance/balance.go",
		"for i := range min(limit, len(p.members)) {", "for i := range min(1, limit, len(p.members)) {")},
	{"avoid-after-failures", "leaves out a worker that erred lately", edit("balance/balance.go",
		"return w.down || now < w.excludedUntil && (w.unreachable || !overload)", "return w.down || false && overload")},
	{"own-zone-workers", "sends to workers of the own zone first", edit("internal/roles/dispatcher/delivery/service.go",
		"crossZoneFee       = 0.1", "crossZoneFee       = 0.0")},
	{"offer-elsewhere", "offers what a worker did not run to others before it is given back", edit("internal/roles/dispatcher/delivery/service.go",
		"maxWorkersPerJob   = 4", "maxWorkersPerJob   = 1")},
	{"pause-no-room", "holds back for 100 ms what no worker had room for", edit("internal/roles/dispatcher/delivery/delivery.go",
		"pauseFull        = 100 * time.Millisecond", "pauseFull        = time.Millisecond")},
	{"pause-down", "holds back for 250 ms what no worker could be reached for", edit("internal/roles/dispatcher/delivery/delivery.go",
		"pauseUnreachable = 250 * time.Millisecond", "pauseUnreachable = time.Millisecond")},
	{"kept-connection-share", "keeps the limit of connections to a worker while dispatchers come and go", edit("internal/roles/dispatcher/delivery/workers.go",
		"if current == 0 || target == 0 || s.Owners > 0 {", "if current >= 0 || target == 0 || s.Owners > 0 {")},
	{"dispatcher-window-share", "has a dispatcher take twice its part of the workers' slots", edit("internal/roles/dispatcher/delivery/windows.go",
		"windowFactor         = 2.0", "windowFactor         = 1.0")},

	// The queue of a store.
	{"overcommit", "has stores hand out half as much again as the workers have slots", edit("internal/roles/store/windows.go",
		"overcommit = 1.5", "overcommit = 1.0")},
	{"in-time-first", "hands out four messages in time before one that is late already", edit("queue/service.go",
		"lateShare = 4", "lateShare = 0")},
	{"inline-bodies", "hands out a body from memory", edit("internal/roles/store/bodies.go",
		"if _, known := c.bodies[key]; known || c.bytes+len(body) > c.limit {", "if _, known := c.bodies[key]; known || c.bytes+len(body) >= 0 {")},
	{"early-lease-end", "ends a lease once its holder is known to act by the newer table, or gave it back", edit("internal/roles/store/lease.go",
		"return !grant.latestTable.Less(lease.table) || now >= max(g.unknownUntil, grant.until)", "return false")},

	// Acceptance of a message.
	{"own-zone-partitions", "stores a message without a key in a partition of the own zone", edit("internal/roles/dispatcher/directory/directory.go",
		"case node.Zone == d.self.Zone:\n\t\treturn 0", "case false:\n\t\treturn 0")},
	{"spare-full-stores", "prefers other stores to one whose window for the service is full", edit("internal/roles/store/accept.go",
		"retryAfter = backlogRetryAfter", "retryAfter = 0")},
	{"pass-by-silent-stores", "passes by a store that has not answered for 150 ms", edit("internal/roles/dispatcher/ingress/health.go",
		"return store != nil && store.pending > 0 && now.Sub(store.waitingSince) > unresponsiveAfter", "return store != nil && store.pending > 0 && now.Sub(store.waitingSince) < 0")},
	{"avoid-failed-partition", "passes by a partition for 0.2 s after it refused", edit("internal/roles/dispatcher/ingress/message.go",
		"avoidFor             = 200 * time.Millisecond", "avoidFor             = 0 * time.Millisecond")},
	{"ask-again", "asks the same partition again while the fate of a message is not known", edit("internal/roles/dispatcher/ingress/message.go",
		"func (in *Ingress) resend(ctx context.Context, m *message) storeOutcome {\n", "func (in *Ingress) resend(ctx context.Context, m *message) storeOutcome {\n\tif ctx != nil {\n\t\treturn outcomeUnknown\n\t}\n")},
	{"wait-for-newer-table", "waits a quarter of the objective for a newer partition table", edit("internal/roles/dispatcher/ingress/message.go",
		"return m.arrived.Add(m.route.TargetLatency / tableWaitDivisor)", "return m.arrived.Add(0 * m.route.TargetLatency / tableWaitDivisor)")},

	// Control and placement.
	{"copies-in-one-zone", "puts the copies of a partition into as few zones as have room", edit("internal/roles/control/placement.go",
		"SharedZones:   settings.FaultTolerance.Regions == 0", "SharedZones:   settings.FaultTolerance.Regions < 0")},
	{"tell-primaries", "has a store tell the primary of a partition that its view has changed", edit("internal/roles/store/table.go",
		"	s.notifyPrimaries(view, changed)\n", "")},
	{"refusing-address-ends-session", "ends the session of a store at once when its address refuses connections", edit("internal/roles/control/refusal.go",
		"if p == nil {\n\t\treturn\n\t}\n\tevents := p.sessions.ConnectionRefused", "if p == nil || d != nil {\n\t\treturn\n\t}\n\tevents := p.sessions.ConnectionRefused")},
	{"verdict-on-links", "leaves one of two stores out that do not reach each other", edit("internal/roles/control/storefaults.go",
		"changed = fault.extend(now, unreachableFirstExclusion) || changed", "changed = changed || false")},
	{"verdict-on-disks", "counts a store whose disk stalls as gone", edit("internal/roles/control/storefaults.go",
		"return fault.extend(now, stalledFirstExclusion)", "return fault == nil")},
	{"take-over-when-cut-off", "has control's primary hand over when it alone is cut off from the stores", edit("internal/roles/control/cutoff.go",
		"if now >= c.holdUntil && (now < c.nextRequest ||", "if now >= 0 || now >= c.holdUntil && (now < c.nextRequest ||")},
	{"learners-in-need", "takes a store that was cut off for a learner where no other is left", edit("placement/repair.go",
		"\t\tif i == none {\n\t\t\ti = s.unreachedCandidate(p, members, learners)\n\t\t}\n", "")},
	{"own-reading-of-list", "has a dispatcher read the list of workers itself when the known one is old", edit("internal/roles/dispatcher/list.go",
		"if d.settings.CloudApi.Address == \"\" {", "if d.settings.CloudApi.Address != \"\" {")},
	{"quick-list", "reads the list of workers every 0.4 s, not every second", edit("workerlist/reader.go",
		"DefaultInterval = 400 * time.Millisecond", "DefaultInterval = time.Second")},
	{"frugal-collector", "lets the heap grow by 75%, not by 100%", edit("cmd/liftgauge/memory.go",
		"collectorPercent   = 75", "collectorPercent   = 100")},
}

func edit(file, old, replacement string) []sourcecopy.Edit {
	return []sourcecopy.Edit{{File: file, Old: old, New: replacement}}
}
