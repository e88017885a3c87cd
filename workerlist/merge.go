package workerlist

import (
	"cmp"
	"slices"
	"time"
)

// Merge returns the list that results from a scan, and whether it differs from the old one. Entries equivalent to their old
// version are kept unchanged. Of several entries with the same ID the last one is used.
func Merge(old List, readAt time.Duration, workers []Worker) (List, bool) {
	next := sorted(workers)
	changed := len(next) != len(old.Workers)
	i := 0
	for n, w := range next {
		for i < len(old.Workers) && old.Workers[i].ID < w.ID {
			i++
		}
		if i < len(old.Workers) && equivalent(old.Workers[i], w, readAt) {
			next[n] = old.Workers[i]
		} else {
			changed = true
		}
	}
	if !changed {
		next = old.Workers
	}
	number := old.Number
	if changed {
		number++
	}
	return List{Number: number, ReadAt: readAt, Workers: next}, changed
}

// sorted returns the workers ordered by ID, keeping only the last entry of each ID.
func sorted(workers []Worker) []Worker {
	out := slices.Clone(workers)
	slices.Reverse(out)
	slices.SortStableFunc(out, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(out, func(a, b Worker) bool { return a.ID == b.ID })
}

// Difference describes the changes between two lists.
type Difference struct {
	Added, Changed []Worker
	Removed        []string
}

// Diff returns the changes from one list of workers to another, both ordered by ID.
func Diff(from, to []Worker) Difference {
	var d Difference
	i := 0
	for _, w := range to {
		for i < len(from) && from[i].ID < w.ID {
			d.Removed = append(d.Removed, from[i].ID)
			i++
		}
		switch {
		case i == len(from) || from[i].ID != w.ID:
			d.Added = append(d.Added, w)
			continue
		case !equivalent(from[i], w, 0):
			d.Changed = append(d.Changed, w)
		}
		i++
	}
	for ; i < len(from); i++ {
		d.Removed = append(d.Removed, from[i].ID)
	}
	return d
}
