package mutants

// fullDiskMutants break what holds when disks have no more room, and when links between processes of control are lost.
var fullDiskMutants = []Mutant{
	{
		Promise: "a full log is no stalled disk", File: "internal/roles/store/diskwatch.go",
		Old: "\t\tw.lastNoSpace = w.lastProgress\n", New: "\t\tw.lastNoSpace, w.lastRefusal = w.lastProgress, w.lastProgress\n",
		Package: "./internal/roles/store",
	},
	{
		Promise: "a message is refused when a store that must write it has no room", File: "internal/roles/store/room.go",
		Old: "if peer.nearlyFull && size > peer.room {", New: "if peer.nearlyFull && size < 0 {",
		Package: "./internal/roles/store",
	},
	{
		Promise: "a store without room gets no new copies", File: "placement/repair.go",
		Old: "!s.stores[i].live() || s.stores[i].Full || slices", New: "!s.stores[i].live() || slices",
		Package: "./placement",
	},
	{
		Promise: "what a loss takes away has room on the rest, or the store warns", File: "internal/roles/store/repairable.go",
		Old: "lost = max(tolerated.Machines, ", New: "lost = max(0, ",
		Package: "./internal/roles/store",
	},
	{
		Promise: "the loss of a link to another control process is handled after the send", File: "internal/roles/control/links.go",
		Old: "l.post(func() { l.disconnected(k, conn) })\n\t}\n}", New: "l.disconnected(k, conn)\n\t}\n}",
		Package: "./internal/roles/control",
	},
}
