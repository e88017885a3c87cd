package protocol

func (m *ItemVersion) fields(c *coder) {
	c.uint64(&m.Term)
	c.uint64(&m.Number)
}

// Append implements Message.
func (m *ItemVersion) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *ItemVersion) Decode(b []byte) error { return decode(m, b) }

func (m *Item) fields(c *coder) {
	byteEnum(c, &m.Kind)
	c.nested(&m.Version)
	c.bytes(&m.Body)
}

// Append implements Message.
func (m *Item) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Item) Decode(b []byte) error { return decode(m, b) }

func (m *ItemDigest) fields(c *coder) {
	byteEnum(c, &m.Kind)
	c.nested(&m.Version)
}

// Append implements Message.
func (m *ItemDigest) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *ItemDigest) Decode(b []byte) error { return decode(m, b) }

func (m *Digest) fields(c *coder) {
	c.string(&m.Key)
	c.string(&m.Address)
	messages(c, &m.Versions)
	c.nested(&m.WorkersFreshness)
	c.bool(&m.Reply)
}

// Append implements Message.
func (m *Digest) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Digest) Decode(b []byte) error { return decode(m, b) }

func (m *Fetch) fields(c *coder) {
	list(c, &m.Kinds, byteEnum[ItemKind])
}

// Append implements Message.
func (m *Fetch) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Fetch) Decode(b []byte) error { return decode(m, b) }

func (m *Items) fields(c *coder) {
	messages(c, &m.Items)
}

// Append implements Message.
func (m *Items) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Items) Decode(b []byte) error { return decode(m, b) }

func (m *MemberAddress) fields(c *coder) {
	c.string(&m.Member)
	c.string(&m.Address)
	c.string(&m.ControlPlane)
}

// Append implements Message.
func (m *MemberAddress) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *MemberAddress) Decode(b []byte) error { return decode(m, b) }

func (m *ControlView) fields(c *coder) {
	c.uint64(&m.Epoch)
	c.string(&m.Primary)
	c.strings(&m.Members)
	c.strings(&m.Learners)
	c.strings(&m.Witnesses)
	messages(c, &m.Addresses)
}

// Append implements Message.
func (m *ControlView) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *ControlView) Decode(b []byte) error { return decode(m, b) }

func (m *PartitionView) fields(c *coder) {
	c.uint32(&m.Partition)
	c.uint64(&m.Epoch)
	c.string(&m.Primary)
	c.strings(&m.Members)
	c.strings(&m.Learners)
	c.strings(&m.Sources)
	c.strings(&m.Holders)
}

// Append implements Message.
func (m *PartitionView) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *PartitionView) Decode(b []byte) error { return decode(m, b) }

func (m *Worker) fields(c *coder) {
	c.string(&m.ID)
	c.string(&m.Service)
	c.string(&m.Address)
	c.string(&m.Zone)
	c.string(&m.Revision)
	c.uint32(&m.Capacity)
	c.bool(&m.Draining)
	c.duration(&m.ColdFor)
}

// Append implements Message.
func (m *Worker) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Worker) Decode(b []byte) error { return decode(m, b) }

func (m *Workers) fields(c *coder) {
	c.int64(&m.ReadAt)
	messages(c, &m.Workers)
}

// Append implements Message.
func (m *Workers) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Workers) Decode(b []byte) error { return decode(m, b) }

func (m *WorkersFreshness) fields(c *coder) {
	c.nested(&m.Version)
	c.int64(&m.ReadAt)
}

// Append implements Message.
func (m *WorkersFreshness) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *WorkersFreshness) Decode(b []byte) error { return decode(m, b) }
