package mutants

import "slices"

// SystemPackage is the package whose tests must catch the mutants of System, unless a mutant names another.
const SystemPackage = "./sim/system"

// System lists the mutants of the ingest and dispatch service.
var System = slices.Concat(messageMutants, recoveryMutants, clusterTimeMutants, workerListMutants, deliveryMutants, fullDiskMutants)

// messageMutants break the guarantees of messages, views and partition tables.
var messageMutants = []Mutant{
	{
		Promise: "a write is on disk before it is done", File: "internal/recordlog/writer.go",
		Old: "if err := w.journal.Sync(); err != nil {\n\t\treturn err\n\t}\n\tif len(w.filled) == 0 {", New: "if len(w.filled) == 0 {",
	},
	{
		Promise: "a write is done once its backups have it", File: "replication/leadership.go",
		Old: "copies := 1\n", New: "return true\n\tcopies := 1\n",
	},
	{
		Promise: "a learner is equal only after its repair", File: "replication/outbound.go",
		Old: "p.state == peerRepairing && len(p.changed)+len(p.extra) == 0 && p.acked >= p.inSyncAt", New: "p.state == peerRepairing",
		Package: "./replication",
	},
	{
		Promise: "lower epochs may not join", File: "replication/inbound.go",
		Old: "if m.Epoch < r.fence || m.Epoch == r.joined.Epoch", New: "if m.Epoch == r.joined.Epoch",
		Package: "./replication",
	},
	{
		Promise: "the joined epoch outlives a restart", File: "replication/joined.go",
		Old: "if err != nil || !found {", New: "if err != nil || !found || found {",
		Package: "./replication",
	},
	{
		Promise: "a new primary waits for the dispatchers' Hello", File: "internal/roles/store/partition.go",
		Old: "return p.hellosComplete\n", New: "return true\n",
		Package: "./internal/roles/store",
	},
	{
		Promise: "a Hello by a newer table shows nothing by what it does not list", File: "internal/roles/store/hello.go",
		Old: "!sess.tableVersion.Less(p.tableVersion) && !s.tableVersion.Less(sess.tableVersion)", New: "!sess.tableVersion.Less(p.tableVersion)",
		Package: "./internal/roles/store",
	},
	{
		Promise: "a new primary waits for connected dispatchers beside its node table", File: "internal/roles/store/hello.go",
		Old: "return sess.conn != nil && !inTable &&", New: "return false && !inTable &&",
		Package: "./internal/roles/store",
	},
	{
		Promise: "a primary without leases acknowledges no outcome that it does not know", File: "internal/roles/store/result.go",
		Old: "case ended || p.mayAct(s.now()):", New: "case ended || true:",
		Package: "./internal/roles/store",
	},
	{
		Promise: "a new connection shows nothing of other stores' deliveries", File: "queue/dispatcher.go",
		Old: "case delivery.foreign:", New: "case false:",
		Package: "./internal/roles/store",
	},
	{
		Promise: "a primary acts only by its leases", File: "internal/roles/store/partition.go",
		Old: "return p.leading && p.earlierLeasesUntil(now) == 0 && p.leasesUntil() > now", New: "return p.leading",
	},
	{
		Promise: "a message that is known is not accepted again", File: "internal/roles/store/accept.go",
		Old: "case p.hasMessage(m.ID):", New: "case false:",
		Package: "./internal/roles/store",
	},
	{
		Promise: "failed attempts are kept", File: "internal/roles/store/result.go",
		Old: "state.Attempts = uint64(t.Attempts)\n\tstate.countFailure(attempt)", New: "state.countFailure(attempt)",
		Package: "./internal/roles/store",
	},
	{
		Promise: "messages of a key go out one after the other", File: "queue/schedule.go",
		Old: `wanted := m.route.Fifo && m.key != ""`, New: "wanted := false",
	},
	{
		Promise: "a message waits for its delay", File: "internal/roles/store/accept.go",
		Old: "DueAt: now + int64(m.Delay)", New: "DueAt: now",
	},
	{
		Promise: "a message of unknown fate is not refused", File: "internal/roles/dispatcher/ingress/message.go",
		Old: "respondStatus(w, http.StatusGatewayTimeout)", New: "respondUnavailable(w, defaultRetryAfter)",
		Package: "./internal/roles/dispatcher/ingress",
	},
	{
		Promise: "a message of unknown fate goes to no other partition", File: "internal/roles/dispatcher/ingress/message.go",
		Old:     "if outcome == stored || outcome == outcomeUnknown || in.routeRemoved(m) {\n\t\t\treturn in.finalOutcome(m, outcome)\n\t\t}\n\t\tin.picker.avoid",
		New:     "if outcome == stored || in.routeRemoved(m) {\n\t\t\treturn in.finalOutcome(m, outcome)\n\t\t}\n\t\tin.picker.avoid",
		Package: "./internal/roles/dispatcher/ingress",
	},
	{
		Promise: "an order is on disk before it is acknowledged", File: "internal/roles/control/orders.go",
		Old: "p.writer.onDurable(func(err error) {\n\t\tif err != nil {\n\t\t\td.logger.Warn(\"control: the outcome",
		New: "d.finishOrder(o, response{status: http.StatusOK})\n\tp.writer.onDurable(func(err error) {\n\t\tif err != nil {\n\t\t\td.logger.Warn(\"control: the outcome",
	},
	{
		Promise: "a majority confirms what is read", File: "internal/roles/control/waiting.go",
		Old: "d.execute(d.elector.Confirm(d.now(), once))", New: "once(true)",
	},
	{
		Promise: "complaints from before a silence are void", File: "internal/roles/control/storefaults.go",
		Old:     "known && now-before > unresponsiveAfter {",
		New:     "known && now < before {",
		Package: "./internal/roles/control",
	},
	{
		Promise: "a store that was cut off may learn where nobody else is left", File: "placement/repair.go",
		Old:     "i = s.unreachedCandidate(p, members, learners)",
		New:     "i = none",
		Package: "./placement",
	},
	{
		Promise: "an order that was taken is acknowledged for good", File: "configuration/orders.go",
		Old:     "if _, ok := o.applied[d.Hash]; ok {",
		New:     "if _, ok := o.applied[d.Hash]; ok && len(o.applied) == 0 {",
		Package: "./configuration",
	},
	{
		Promise: "an order builds on the version in force", File: "configuration/orders.go",
		Old:     "if current := o.revision(); order.Base != current {",
		New:     "if current := o.revision(); order.Base > current {",
		Package: "./configuration",
	},
	{
		Promise: "one order is under way at a time", File: "configuration/orders.go",
		Old:     "if o.pending != nil {\n\t\td.Action",
		New:     "if o.pending != nil && o.current == nil {\n\t\td.Action",
		Package: "./configuration",
	},
	{
		Promise: "a refused order is refused by a primary that a majority confirms", File: "internal/roles/control/orders.go",
		Old:     "\t\tif confirmed {\n",
		New:     "\t\tif confirmed || text != \"\" {\n",
		Package: "./internal/roles/control",
	},
	{
		Promise: "the state of a retirement is told by a primary that a majority confirms", File: "internal/roles/control/operator.go",
		Old:     "if !confirmed || d.primary != p {",
		New:     "if d.primary != p {",
		Package: "./internal/roles/control",
	},
	{
		Promise: "a retirement has succeeded when no partition names the store", File: "internal/roles/control/retire.go",
		Old:     "if p.model.references(s.Member) {",
		New:     "if s.Emptied && p.model.references(s.Member) {",
		Package: "./internal/roles/control",
	},
	{
		Promise: "a primary acts once its state is on enough disks", File: "internal/roles/control/activation.go",
		Old:     "\td.replica.AwaitCommit(func(err error) {\n\t\tif err == nil {\n\t\t\td.loop.post(func() { d.beginActivation(epoch) })\n\t\t}\n\t})\n",
		New:     "\td.beginActivation(epoch)\n",
		Package: "./internal/roles/control",
	},
	{
		Promise: "answers from before a question do not confirm", File: "replication/confirm.go",
		Old:     "if round >= c.round {",
		New:     "if round > 0 {",
		Package: "./replication",
	},
	{
		Promise: "a confirmation begins anew with each view", File: "replication/confirm.go",
		Old:     "\t\t\tclear(c.confirmedBy)\n",
		New:     "",
		Package: "./replication",
	},
	{
		Promise: "a confirmation needs a majority", File: "replication/confirm.go",
		Old:     "if hasMajority(primary.view.Witnesses, func(id MemberID) bool { return c.confirmedBy[id] }) {",
		New:     "if len(c.confirmedBy) > 0 {",
		Package: "./replication",
	},
	{
		Promise: "a witness goes back to no lower epoch", File: "replication/witness.go",
		Old:     "return epoch > register.Promised || epoch",
		New:     "return epoch > register.Installed.Epoch || epoch",
		Package: "./replication",
	},
	{
		Promise: "a promise is on disk before it is given", File: "replication/registerwriter.go",
		Old:     "if w.written >= w.issued {",
		New:     "if w.written <= w.issued {",
		Package: "./replication",
	},
	{
		Promise: "a view needs a majority of the witnesses before it", File: "replication/ballot.go",
		Old:     "\treturn hasMajority(b.base.Witnesses, accepted)\n",
		New:     "\treturn true\n",
		Package: "./replication",
	},
	{
		Promise: "a view follows a majority of promises", File: "replication/ballot.go",
		Old:     "return hasMajority(b.base.Witnesses, func(id MemberID) bool { return b.promised[id] })",
		New:     "return len(b.promised) > 1",
		Package: "./replication",
	},
	{
		Promise: "only a member of the view before becomes primary", File: "replication/candidacy.go",
		Old:     "if !c.founding && !c.base.IsMember(e.o.Self.Member) {",
		New:     "if !c.founding && !c.base.IsWitness(e.o.Self.Member) {",
		Package: "./replication",
	},
	{
		Promise: "writes wait for a learner that was offered", File: "replication/leadership.go",
		Old:     "return l.view.IsMember(id) || l.offered[id] || l.resumed",
		New:     "return l.view.IsMember(id) || l.resumed",
		Package: "./replication",
	},
	{
		Promise: "a primary that restarts in its epoch waits for every learner", File: "replication/leadership.go",
		Old:     "return l.view.IsMember(id) || l.offered[id] || l.resumed",
		New:     "return l.view.IsMember(id) || l.offered[id]",
		Package: "./replication",
	},
	{
		Promise: "a primary that restarts draws no version twice", File: "replication/leadership.go",
		Old:     "\t\tused = r.joined.Reserved\n",
		New:     "\t\tused = 0\n",
		Package: "./replication",
	},
	{
		Promise: "a gap in a stream breaks it", File: "replication/inbound.go",
		Old:     "if m.Seq != s.last+1 {",
		New:     "if m.Seq < s.last+1 {",
		Package: "./replication",
	},
	{
		Promise: "what settles is on the disks of equal peers", File: "replication/awaitcommit.go",
		Old:     "return copies >= r.o.Copies",
		New:     "return copies > 0",
		Package: "./replication",
	},
	{
		Promise: "a member that is dropped has joined the epoch without it", File: "replication/replica.go",
		Old:     "\tr.persist(joinState{Epoch: epoch, View: r.view})\n\tfail :=",
		New:     "\tfail :=",
		Package: "./replication",
	},
	{
		Promise: "a known message is answered once it is on enough disks", File: "internal/roles/store/accept.go",
		Old:     "\tp.replica.AwaitCommit(func(err error) {\n",
		New:     "\tfunc(settle func(error)) { settle(nil) }(func(err error) {\n",
		Package: "./internal/roles/store",
	},
	{
		Promise: "a lease covers only what the newest table says", File: "internal/roles/store/lease.go",
		Old:     "r.Table.Less(g.minTable) || r.Table.Less(grant.minTable)",
		New:     "r.Table.Less(g.minTable)",
		Package: "./internal/roles/store",
	},
	{
		Promise: "a member whose replica did not join may learn", File: "replication/proposal.go",
		Old:     "b.addLearners(primary.view.Learners, eligible)\n\t\tb.addLearners(b.witnesses, eligible)",
		New:     "b.addLearners(primary.view.Learners, joinable)\n\t\tb.addLearners(b.witnesses, joinable)",
		Package: "./replication",
	},
	{
		Promise: "a learner that is equal is joinable", File: "replication/elector.go",
		Old:     "\t\t\tdelete(e.unjoinable, learner) // it has joined\n",
		New:     "",
		Package: "./replication",
	},
	{
		Promise: "as many witnesses as F losses ask for are taken in", File: "replication/proposal.go",
		Old: "if !primary.view.IsWitness(id) && spare(n+1, len(lost))", New: "if n < 4 && !primary.view.IsWitness(id) && spare(n+1, len(lost))",
	},
	{
		Promise: "too few witnesses are told of", File: "internal/roles/control/tolerance.go",
		Old: "if w.reported || now-w.shortSince < timeout {", New: "if true {",
		Package: "./internal/roles/control",
	},
	{
		Promise: "a process that leaves leaves the witnesses", File: "replication/proposal.go",
		Old: "return n > 2 && spare(n-1, 0) > spare(n, 1)", New: "return n > 2 && spare(n-1, 0) > n",
	},
	{
		Promise: "copies are at most a majority of the witnesses", File: "internal/roles/control/membership.go",
		Old:     "\td.replica.SetCopies(view.UsefulCopies(d.settings.Copies()))\n",
		New:     "",
		Package: "./internal/roles/control",
	},
	{
		Promise: "a primary of control that is cut off from the stores hands over", File: "internal/roles/control/sessions.go",
		Old: "if !p.awaitsTakeOver(now) {", New: "if now > 0 {",
	},
	{
		Promise: "a store with another disk is told what runs", File: "internal/roles/dispatcher/stores/links.go",
		Old:     "\t\tlink.store = store\n",
		New:     "",
		Package: "./internal/roles/dispatcher/stores",
	},
	{
		Promise: "a member whose disk stalls is left out", File: "replication/primarystate.go",
		Old:     "\tfor _, id := range stalled {\n",
		New:     "\tfor _, id := range stalled[:0] {\n",
		Package: "./replication",
	},
	{
		Promise: "a primary whose disk stalls hands over", File: "replication/primarystate.go",
		Old:     "if (e.demoteStalled() || e.resigned) &&",
		New:     "if (e.demoteStalled() && e.resigned || e.resigned) &&",
		Package: "./replication",
	},
	{
		Promise: "a process that was left out of a view is told of it", File: "replication/primarystate.go",
		Old:     "\t\tprimary.noteRemoved(c.base.Peers)\n",
		New:     "\t\tprimary.noteRemoved(nil)\n",
		Package: "./replication",
	},
	{
		Promise: "a process that is about to end becomes no witness", File: "replication/proposal.go",
		Old:     "introductionTTL && !e.primary.leaving[id]",
		New:     "introductionTTL",
		Package: "./replication",
	},
	{
		Promise: "a primary that is no witness becomes one", File: "replication/proposal.go",
		Old:     "\t\tids = append(ids, e.o.Self.Member)\n",
		New:     "",
		Package: "./replication",
	},
	{
		Promise: "a primary takes what its sources hold", File: "replication/sourcemerge.go",
		Old:     "\t\tif id != r.o.Self {\n",
		New:     "\t\tif id == r.o.Self {\n",
		Package: "./replication",
	},
	{
		Promise: "a primary takes only newer versions from its sources", File: "replication/sourcemerge.go",
		Old:     "if !found || local.Version < record.Version {",
		New:     "if !found || local.Version != record.Version {",
		Package: "./replication",
	},
	{
		Promise: "nothing is written before the sources are absorbed", File: "replication/write.go",
		Old:     " || len(r.lead.sources) > 0 {",
		New:     " {",
		Package: "./replication",
	},
	{
		Promise: "a primary is active once its sources are absorbed", File: "replication/leadership.go",
		Old:     "if !l.joined || len(l.sources) > 0 {",
		New:     "if !l.joined {",
		Package: "./replication",
	},
	{
		Promise: "sources are absorbed once", File: "replication/sourcemerge.go",
		Old:     "len(l.view.Sources) > 0 && len(l.sources) == 0 {",
		New:     "len(l.view.Sources) > 0 && len(l.sources) < 0 {",
		Package: "./replication",
	},
	{
		Promise: "whoever may hold what was acknowledged stays listed without Copies members", File: "placement/merge.go",
		Old:     "if len(members) >= s.in.Copies {",
		New:     "if len(members) > 0 {",
		Package: "./placement",
	},
	{
		Promise: "a partition is put together only where the disks of all members are lost", File: "placement/merge.go",
		Old:     "slices.Contains(v.members, i) || !s.stores[i].live():",
		New:     "!s.stores[i].live() && !slices.Contains(v.members, i):",
		Package: "./placement",
	},
	{
		Promise: "a merge waits for all that may hold something", File: "placement/merge.go",
		Old:     "case slices.Contains(v.members, i) || !s.stores[i].live():",
		New:     "case slices.Contains(v.members, i):",
		Package: "./placement",
	},
	{
		Promise: "a store keeps its records while a view names it a holder", File: "internal/protocol/item.go",
		Old: "slices.Contains(m.Learners, member) || slices.Contains(m.Holders, member)", New: "slices.Contains(m.Learners, member)",
	},
}
