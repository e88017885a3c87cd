package reconcile

// Source is the set of items of one side. It is implemented by Tree and by any storage that maintains digests.
type Source interface {
	Digest(Range) Digest
	Items(Range) []Item
}

// Limits bounds the requests of a Comparison. Zero fields take their defaults.
type Limits struct {
	Items  int // the items of a range are requested if both sides together have no more than this number; default 64
	Ranges int // maximum number of ranges in one request for digests; default 256
}

const (
	defaultItems  = 64
	defaultRanges = 256
)

// Request is the next request to the other side: the digests of some ranges and the items of others.
type Request struct {
	Digests []Range
	Items   []Range
}

// Empty reports whether there is nothing to request.
func (r Request) Empty() bool { return len(r.Digests) == 0 && len(r.Items) == 0 }

// Difference lists the differences between the local set and that of the other side.
type Difference struct {
	Changed []Item // local items that the other side lacks or has in another version
	Extra   []Item // items of the other side whose keys the local set lacks
}

// Comparison compares the local set with that of another side, on the requesting side. It starts with the range of all keys.
//
// The caller takes requests with Next, as many at a time as it wants, sends them, and passes each response to HandleDigest or
// HandleItems. Both sets may change meanwhile: the result then reflects the state at the time of each response.
type Comparison struct {
	local      Source
	limits     Limits
	digests    []Range // to request
	items      []Range // to request
	pending    map[Range]bool
	difference Difference
}

// NewComparison returns a comparison of local with the set of another side.
func NewComparison(local Source, limits Limits) *Comparison {
	if limits.Items <= 0 {
		limits.Items = defaultItems
	}
	if limits.Ranges <= 0 {
		limits.Ranges = defaultRanges
	}
	return &Comparison{local: local, limits: limits, digests: []Range{All()}, pending: make(map[Range]bool)}
}

// Next returns the next request. It is empty if there is nothing to request before further responses arrive.
func (c *Comparison) Next() Request {
	var request Request
	request.Digests, c.digests = take(c.digests, c.limits.Ranges)
	request.Items, c.items = take(c.items, max(1, c.limits.Ranges/c.limits.Items))
	for _, r := range request.Digests {
		c.pending[r] = true
	}
	for _, r := range request.Items {
		c.pending[r] = true
	}
	return request
}

func take(ranges []Range, limit int) (taken, rest []Range) {
	n := min(limit, len(ranges))
	return ranges[:n:n], ranges[n:]
}

// HandleDigest processes the other side's digest of a range. It ignores responses that were not requested.
func (c *Comparison) HandleDigest(r Range, other Digest) {
	if !c.answered(r) {
		return
	}
	local := c.local.Digest(r)
	switch {
	case local == other:
	case other.Count == 0:
		c.difference.Changed = append(c.difference.Changed, c.local.Items(r)...)
	case local.Count+other.Count <= uint64(c.limits.Items) || !r.CanSplit():
		c.items = append(c.items, r)
	default:
		parts := r.Split()
		c.digests = append(c.digests, parts[:]...)
	}
}

// HandleItems processes the other side's items of a range. It ignores responses that were not requested.
func (c *Comparison) HandleItems(r Range, other []Item) {
	if !c.answered(r) {
		return
	}
	theirs := make(map[string]uint64, len(other))
	for _, item := range other {
		theirs[item.Key] = item.Version
	}
	for _, item := range c.local.Items(r) {
		version, held := theirs[item.Key]
		if !held || version != item.Version {
			c.difference.Changed = append(c.difference.Changed, item)
		}
		delete(theirs, item.Key)
	}
	for _, item := range other {
		if _, extra := theirs[item.Key]; extra {
			c.difference.Extra = append(c.difference.Extra, item)
		}
	}
}

// answered removes a range from the pending ones and reports whether it was pending.
func (c *Comparison) answered(r Range) bool {
	pending := c.pending[r]
	delete(c.pending, r)
	return pending
}

// TakeDifference returns the differences found since the last call.
func (c *Comparison) TakeDifference() Difference {
	found := c.difference
	c.difference = Difference{}
	return found
}

// Done reports whether all requests were sent and answered. TakeDifference then returns the remaining differences.
func (c *Comparison) Done() bool {
	return len(c.digests) == 0 && len(c.items) == 0 && len(c.pending) == 0
}
