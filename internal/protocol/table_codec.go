package protocol

// A PartitionTable names few members many times: it is encoded as the list of their names, and views that name them by their places in it.
// That keeps it at some ten bytes a partition, for it goes to every process at each change.

func (m *PartitionTable) fields(c *coder) {
	var names memberNames
	if !c.decoding {
		names.collect(m.Partitions)
	}
	c.strings(&names.list)
	list(c, &m.Partitions, func(c *coder, v *PartitionView) { c.nested(&indexedView{view: v, names: &names}) })
}

// Append implements Message.
func (m *PartitionTable) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *PartitionTable) Decode(b []byte) error { return decode(m, b) }

// memberNames are the members that a table names, in the order in which it first does.
type memberNames struct {
	list      []string
	positions map[string]uint32 // of each in the list, and one more; only for encoding
}

func (n *memberNames) collect(views []PartitionView) {
	n.positions = make(map[string]uint32)
	for i := range views {
		v := &views[i]
		n.add(v.Primary)
		for _, members := range [][]string{v.Members, v.Learners, v.Sources, v.Holders} {
			for _, member := range members {
				n.add(member)
			}
		}
	}
}

func (n *memberNames) add(name string) {
	if name == "" || n.positions[name] != 0 {
		return
	}
	n.list = append(n.list, name)
	n.positions[name] = uint32(len(n.list))
}

// pass passes a name as its place, 0 for the empty one.
func (n *memberNames) transcode(c *coder, name *string) {
	place := n.positions[*name]
	c.uint32(&place)
	if !c.decoding {
		return
	}
	switch {
	case place == 0:
		*name = ""
	case uint64(place) > uint64(len(n.list)):
		c.fail()
	default:
		*name = n.list[place-1]
	}
}

// namedView is a view whose members are passed as places.
type indexedView struct {
	view  *PartitionView
	names *memberNames
}

func (m *indexedView) fields(c *coder) {
	c.uint32(&m.view.Partition)
	c.uint64(&m.view.Epoch)
	m.names.transcode(c, &m.view.Primary)
	list(c, &m.view.Members, m.names.transcode)
	list(c, &m.view.Learners, m.names.transcode)
	if c.decoding || len(m.view.Sources)+len(m.view.Holders) > 0 { // left out at the end, as they mostly are empty
		list(c, &m.view.Sources, m.names.transcode)
		list(c, &m.view.Holders, m.names.transcode)
	}
}
