package protocol

func (m *Node) fields(c *coder) {
	c.string(&m.Key)
	c.string(&m.Name)
	byteEnum(c, &m.Role)
	c.uint64(&m.Incarnation)
	c.string(&m.Member)
	c.string(&m.Zone)
	c.string(&m.Region)
	c.string(&m.Address)
	c.string(&m.ControlPlane)
	c.bool(&m.Leaving)
	c.bool(&m.CountsForQuorum)
}

// Append implements Message.
func (m *Node) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Node) Decode(b []byte) error { return decode(m, b) }

func (m *NodeTable) fields(c *coder) {
	messages(c, &m.Nodes)
}

// Append implements Message.
func (m *NodeTable) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *NodeTable) Decode(b []byte) error { return decode(m, b) }

func (m *Heartbeat) fields(c *coder) {
	c.nested(&m.Node)
	c.nested(&m.Digest)
	messages(c, &m.Offers)
	c.uint32(&m.PartitionsLed)
	c.bool(&m.DiskFull)
	c.strings(&m.UnreachablePeers)
	c.bool(&m.DiskStalled)
	c.bool(&m.WorkerListStale)
	c.nested(&m.Time)
}

func (m *TimeReport) fields(c *coder) {
	byteEnum(c, &m.Certainty)
	c.int64(&m.Floor)
	c.int64(&m.Time)
}

// Append implements Message.
func (m *Heartbeat) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Heartbeat) Decode(b []byte) error { return decode(m, b) }

func (m *PromotionOffer) fields(c *coder) {
	c.uint32(&m.Partition)
	c.uint64(&m.Epoch)
	c.string(&m.Learner)
}

// Append implements Message.
func (m *PromotionOffer) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *PromotionOffer) Decode(b []byte) error { return decode(m, b) }

func (m *HeartbeatReply) fields(c *coder) {
	c.bool(&m.Accepted)
	c.string(&m.Primary)
	c.int64(&m.ClusterTime)
	c.nested(&m.Digest)
}

// Append implements Message.
func (m *HeartbeatReply) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *HeartbeatReply) Decode(b []byte) error { return decode(m, b) }

func (m *Leave) fields(c *coder) {
	c.string(&m.Key)
	c.uint64(&m.Incarnation)
	c.bool(&m.EndSession)
}

// Append implements Message.
func (m *Leave) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Leave) Decode(b []byte) error { return decode(m, b) }
