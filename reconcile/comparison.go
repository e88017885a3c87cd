package reconcile

// Source is one side's set of items. Tree and every storage with digests are sources.
type Source interface {
	Digest(Range) Digest
	Items(Range) []Item
}

// Limits bound the questions of a Comparison. Zero fields take their defaults.
type Limits struct {
	Items  int // a range where both sides together hold no more than this is asked for its items; default 64
	Ranges int // ranges in one question for digests; default 256
}

const (
	defaultItems  = 64
	defaultRanges = 256
)

// Request is what to ask the other side next: the digests of some ranges and the items of others.
type Request struct {
	Digests []Range
	Items   []Range
}

// Empty tells whether there is nothing to ask.
func (q Request) Empty() bool { return len(q.Digests) == 0 && len(q.Items) == 0 }

// Difference lists what makes the other side's set unlike the own one.
type Difference struct {
	Changed []Item // own items that the other side lacks or holds in another version
	Extra   []Item // items of the other side whose keys are unknown here
}

// Comparison compares the own set with that of another side, for the one who asks. It begins with the range of all keys.
//
// The owner takes questions with Next, as many at a time as it likes, sends them, and hands in each answer with Digests and Items.
// Both sets may change meanwhile: the result then holds for the state at the time of each answer.
type Comparison struct {
	local      Source
	limits     Limits
	digests    []Range // to ask
	items      []Range // to ask
	pending    map[Range]bool
	difference Difference
}

// NewComparison begins a comparison.
func NewComparison(local Source, limits Limits) *Comparison {
	if limits.Items <= 0 {
		limits.Items = defaultItems
	}
	if limits.Ranges <= 0 {
		limits.Ranges = defaultRanges
	}
	return &Comparison{local: local, limits: limits, digests: []Range{All()}, pending: make(map[Range]bool)}
}

// Next returns the next question, which is empty when there is none before more answers come.
func (c *Comparison) Next() Request {
	var q Request
	q.Digests, c.digests = take(c.digests, c.limits.Ranges)
	q.Items, c.items = take(c.items, max(1, c.limits.Ranges/c.limits.Items))
	for _, r := range q.Digests {
		c.pending[r] = true
	}
	for _, r := range q.Items {
		c.pending[r] = true
	}
	return q
}

func take(ranges []Range, limit int) (taken, rest []Range) {
	n := min(limit, len(ranges))
	return ranges[:n:n], ranges[n:]
}

// HandleDigest hands in the other side's digest of a range. Answers that were not asked for are ignored.
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

// HandleItems hands in the other side's items of a range. Answers that were not asked for are ignored.
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

func (c *Comparison) answered(r Range) bool {
	pending := c.pending[r]
	delete(c.pending, r)
	return pending
}

// TakeDifference returns what was found since the last call.
func (c *Comparison) TakeDifference() Difference {
	found := c.difference
	c.difference = Difference{}
	return found
}

// Done tells whether all questions were asked and answered. What Found returns then is the rest.
func (c *Comparison) Done() bool {
	return len(c.digests) == 0 && len(c.items) == 0 && len(c.pending) == 0
}
