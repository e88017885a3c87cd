package protocol

// A PartitionTable refers to few members many times: it is encoded as the list of their names, followed by views that refer to them by
// position in that list. This keeps it at about ten bytes per partition, since it is sent to every process at each change.

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

// memberNames lists the members of a table in order of first occurrence.
type memberNames struct {
	list      []string
	positions map[string]uint32 // index in list plus one; used only for encoding
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

// transcode encodes or decodes a name as its position, 0 for the empty name.
func (n *memberNames) transcode(c *coder, name *string) {
	position := n.positions[*name]
	c.uint32(&position)
	if !c.decoding {
		return
	}
	switch {
	case position == 0:
		*name = ""
	case uint64(position) > uint64(len(n.list)):
		c.fail()
	default:
		*name = n.list[position-1]
	}
}

// indexedView is a view whose members are encoded as positions.
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
	if c.decoding || len(m.view.Sources)+len(m.view.Holders) > 0 { // omitted if both are empty, as they usually are
		list(c, &m.view.Sources, m.names.transcode)
		list(c, &m.view.Holders, m.names.transcode)
	}
}
