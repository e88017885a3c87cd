package workerlist

import "slices"

// supersededScans is the number of complete scans that must not find a superseded worker before it is forgotten: entries move between pages, so
// that one scan may miss it.
const supersededScans = 2

// supersede removes the workers whose address a new worker on this page has, and returns the page without those that were superseded before.
// The platform lists a worker that has crashed for some time, maybe on a later page than its next incarnation.
func (r *Reader) supersede(page []Worker) []Worker {
	if owners := r.newOwners(page); len(owners) > 0 {
		for _, w := range r.list.Workers {
			if id, taken := owners[w.Address]; taken && id != w.ID {
				r.superseded[w.ID] = 0
			}
		}
	}
	if len(r.superseded) == 0 {
		return page
	}
	r.list, _ = Merge(r.list, r.list.ReadAt, r.withoutSuperseded(r.list.Workers))
	r.scan.workers = r.withoutSuperseded(r.scan.workers)
	for _, w := range page {
		if _, listed := r.superseded[w.ID]; listed {
			r.superseded[w.ID] = 0
		}
	}
	return r.withoutSuperseded(page)
}

// newOwners returns the IDs of the new workers on a page by their addresses.
func (r *Reader) newOwners(page []Worker) map[string]string {
	owners := map[string]string{}
	for _, w := range page {
		if _, superseded := r.superseded[w.ID]; !superseded && !r.list.contains(w.ID) {
			owners[w.Address] = w.ID
		}
	}
	return owners
}

func (r *Reader) withoutSuperseded(workers []Worker) []Worker {
	return slices.DeleteFunc(slices.Clone(workers), func(w Worker) bool {
		_, superseded := r.superseded[w.ID]
		return superseded
	})
}

// forgetSuperseded ends the memory of superseded workers that several complete scans have not found.
func (r *Reader) forgetSuperseded() {
	for id, scans := range r.superseded {
		if scans == supersededScans {
			delete(r.superseded, id)
		} else {
			r.superseded[id]++
		}
	}
}
