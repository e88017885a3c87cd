package mutants

// workerListMutants break the guarantees of the platform's worker list.
var workerListMutants = []Mutant{
	{
		Promise: "a change of the worker list is published on whichever page it was", File: "internal/roles/control/reader.go",
		Old: "case !r.published.current || list.Number != r.published.number:", New: "case !r.published.current:",
		Package: "./internal/roles/control",
	},
	{
		Promise: "a former incarnation does not displace the worker at its address", File: "workerlist/superseded.go",
		Old: "owners := r.newOwners(page); len(owners) > 0 {", New: "owners := r.newOwners(page); len(owners) < 0 {",
		Package: "./workerlist",
	},
	{
		Promise: "the first scan of another reader keeps the workers that it misses", File: "workerlist/reader.go",
		Old: "Workers: sorted(o.Known.Workers)}", New: "}",
		Package: "./workerlist",
	},
	{
		Promise: "a dispatcher that reads the list applies each page", File: "internal/roles/dispatcher/list.go",
		Old: "if list.Number == r.appliedNumber && !complete {", New: "if !complete {",
		Package: "./internal/roles/dispatcher",
	},
	{
		Promise: "pages undo no change that was published meanwhile", File: "internal/roles/dispatcher/directory/directory.go",
		Old: " || list.ReadAt == before.WorkersReadAt && list.Basis != before.WorkersVersion", New: "",
		Package: "./internal/roles/dispatcher/directory",
	},
	{
		Promise: "a long list is read in time", File: "workerlist/reader.go",
		Old: "return min(max(o.Share, needed), o.MaxShare)", New: "return min(o.Share, needed+o.MaxShare)",
		Package: "./workerlist",
	},
	{
		Promise: "the list is as old as its oldest page", File: "workerlist/reader.go",
		Old: "return max(r.list.ReadAt, r.pageTimes[", New: "return min(r.list.ReadAt, r.pageTimes[",
		Package: "./workerlist",
	},
	{
		Promise: "a list that another process goes on reading is not read locally", File: "internal/roles/dispatcher/list.go",
		Old: "return now-w.refreshedAt >= old ||", New: "return age > old ||",
		Package: "./internal/roles/dispatcher",
	},
}
