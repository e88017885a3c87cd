package mutants

// recoveryMutants break the guarantees of recovering control after the loss of its majority.
var recoveryMutants = []Mutant{
	{
		Promise: "a primary of an earlier generation is told of the present one", File: "replication/primarystate.go",
		Old: "if m.Epoch < installed.Epoch && installed.Generation > 0 {", New: "if false {",
		Package: "./replication",
	},
	{
		Promise: "a founder does not begin by hearsay", File: "replication/elector.go",
		Old: " && v.Primary != e.o.Self.Member {", New: " {",
		Package: "./replication",
	},
	{
		Promise: "views stay of their generation", File: "replication/ballot.go",
		Old: "\tb.view.Generation = b.base.Generation\n", New: "",
		Package: "./replication",
	},
	{
		Promise: "a founder draws no version twice", File: "replication/generation.go",
		Old: "Reserved: versionBlock, ", New: "",
		Package: "./replication",
	},
	{
		Promise: "a generation goes before promises of an earlier one", File: "replication/generation.go",
		Old: "\te.writer.changed(e, true)\n", New: "",
		Package: "./replication",
	},
	{
		Promise: "nothing is founded where control may have a majority", File: "internal/recovery/plan.go",
		Old: "len(s.witnesses) > 0 && len(unresponsive) >= majority", New: "false && len(unresponsive) >= majority",
		Package: "./internal/recovery",
	},
	{
		Promise: "nothing is founded where a silent member would have a majority", File: "internal/recovery/plan.go",
		Old: ">= majority && len(unresponsive) > 0", New: ">= majority && len(unresponsive) < 0",
		Package: "./internal/recovery",
	},
	{
		Promise: "nothing is founded beside a control that works", File: "internal/recovery/plan.go",
		Old: "\t\treturn ErrControlAvailable\n", New: "\t\treturn nil\n",
		Package: "./internal/recovery",
	},
	{
		Promise: "a founder knows the newest of what everybody heard", File: "internal/recovery/plan.go",
		Old: "return nil, nil, errors.Wrap(ErrStaleFounder, founder.Node)", New: "continue",
		Package: "./internal/recovery",
	},
	{
		Promise: "partitions begin far above what stores may have followed", File: "internal/roles/control/recovered.go",
		Old: "+= replication.RecoveryEpochGap", New: "+= 1",
		Package: "./internal/roles/control",
	},
	{
		Promise: "a founder keeps the orders that were taken", File: "internal/roles/control/recovered.go",
		Old: "records = append(records, acceptedRecord(hash, m.acceptedOrders[hash]))", New: "_ = hash",
		Package: "./internal/roles/control",
	},
	{
		Promise: "a founder refuses a plan that it has gone beyond", File: "internal/roles/control/recovery.go",
		Old: "case d.founding || !d.elector.MayFound(view):", New: "case d.founding:",
		Package: "./internal/roles/control",
	},
	{
		Promise: "a source that lost its disk is waited for beyond F", File: "placement/merge.go",
		Old: "case len(s.filter(v.sources, (*store).lost)) == 0 || !s.canProceedWithoutLost(p):", New: "case len(s.filter(v.sources, (*store).lost)) == 0:",
		Package: "./placement",
	},
	{
		Promise: "what is listed beside a lost source takes its place", File: "placement/merge.go",
		Old:     "return slices.DeleteFunc(s.listed(p), func(i int) bool { return s.stores[i].lost() || slices.Contains(v.members, i) })",
		New:     "return s.filter(v.sources, func(st *store) bool { return !st.lost() })",
		Package: "./placement",
	},
	{
		Promise: "nothing is given up beyond F without the operator's word", File: "placement/merge.go",
		Old: "return len(lost) < s.in.Copies || s.allAbandoned(lost)", New: "return len(lost) >= 0",
		Package: "./placement",
	},
	{
		Promise: "a partition begins anew only where all of its disks are given up", File: "placement/merge.go",
		Old: "case len(survivors) == 0 && s.allAbandoned(s.listed(p)):", New: "case len(survivors) == 0:",
		Package: "./placement",
	},
	{
		Promise: "a partition that waits for the operator's word holds up no other", File: "placement/balance.go",
		Old: "== 0 || s.awaitsLostSource(p)", New: "== 0",
		Package: "./placement",
	},
	{
		Promise: "a store that is there is not given up", File: "internal/roles/control/abandon.go",
		Old: "if _, live := p.sessionOf(s.Member); !live {", New: "if _, live := p.sessionOf(s.Member); !live || live {",
		Package: "./internal/roles/control",
	},
	{
		Promise: "a store that is lost together with control's primary is noticed by the next", File: "internal/roles/control/primary.go",
		Old: "\tp.daemon.probeStores(p)\n", New: "",
		Package: "./internal/roles/control",
	},
	{
		Promise: "a primary of control whose disk refuses has another take over", File: "internal/roles/control/writer.go",
		Old: "if refusals > toleratedRefusals {", New: "if refusals < 0 {",
		Package: "./internal/roles/control",
	},
	{
		Promise: "a connection to a process that was replaced is dropped", File: "internal/agent/items.go",
		Old: "a.pool.DropReplaced(node.Address)", New: "_ = node.Address",
		Package: "./internal/agent",
	},
	{
		Promise: "a connection that may be one to the new process is kept", File: "internal/rpc/pool.go",
		Old: "c != nil && c.silentTicks.Load() >= replacedAfterTicks {", New: "c != nil {",
		Package: "./internal/rpc",
	},
	{
		Promise: "a member whose disk refuses is left out", File: "replication/stall.go",
		Old: "if p.diskFailing && now-p.diskFailingSince >= stallTimeout {", New: "if false {",
		Package: "./replication",
	},
	{
		Promise: "an election waits for members as long as disks take", File: "replication/candidacy.go",
		Old: "max(2*e.o.ElectionTimeout, syncsPerCatchUp*e.writer.syncTime)", New: "2*e.o.ElectionTimeout",
		Package: "./replication",
	},
	{
		Promise: "a holder that cannot reach the platform gives the duty up", File: "internal/roles/control/duty.go",
		Old: "if listStale && s.election", New: "if false && s.election",
		Package: "./internal/roles/control",
	},
}
