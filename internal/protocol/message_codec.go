package protocol

func (m *ReplicationFrame) fields(c *coder) {
	c.uint32(&m.Group)
	c.string(&m.From)
	c.string(&m.To)
	c.bytes(&m.Body)
}

// Append implements Message.
func (m *ReplicationFrame) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *ReplicationFrame) Decode(b []byte) error { return decode(m, b) }

func (m *LeaseRequest) fields(c *coder) {
	c.string(&m.From)
	c.string(&m.To)
	c.uint64(&m.Sequence)
	c.duration(&m.Duration)
	c.bool(&m.Release)
}

// Append implements Message.
func (m *LeaseRequest) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *LeaseRequest) Decode(b []byte) error { return decode(m, b) }

func (m *LeaseReply) fields(c *coder) {
	c.bool(&m.Granted)
	c.uint64(&m.Sequence)
	c.bool(&m.NearlyFull)
	c.uint64(&m.Room)
}

// Append implements Message.
func (m *LeaseReply) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *LeaseReply) Decode(b []byte) error { return decode(m, b) }

func (m *Header) fields(c *coder) {
	c.string(&m.Name)
	c.string(&m.Value)
}

// Append implements Message.
func (m *Header) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Header) Decode(b []byte) error { return decode(m, b) }

func (m *Accept) fields(c *coder) {
	c.uint32(&m.Partition)
	c.string(&m.ID)
	c.string(&m.RequestID)
	c.string(&m.Method)
	c.string(&m.Host)
	c.string(&m.URI)
	c.string(&m.Key)
	messages(c, &m.Headers)
	c.duration(&m.Delay)
	c.duration(&m.Age)
	c.nested(&m.Table)
	c.bytes(&m.Body)
}

// Append implements Message.
func (m *Accept) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Accept) Decode(b []byte) error { return decode(m, b) }

func (m *AcceptReply) fields(c *coder) {
	byteEnum(c, &m.Status)
	c.duration(&m.RetryAfter)
}

// Append implements Message.
func (m *AcceptReply) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *AcceptReply) Decode(b []byte) error { return decode(m, b) }

func (m *Lookup) fields(c *coder) {
	c.uint32(&m.Partition)
	c.string(&m.ID)
	c.bool(&m.WantBody)
}

// Append implements Message.
func (m *Lookup) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Lookup) Decode(b []byte) error { return decode(m, b) }

func (m *LookupReply) fields(c *coder) {
	c.bool(&m.Found)
	byteEnum(c, &m.State)
	c.string(&m.Signature)
	c.bytes(&m.Body)
	c.bool(&m.HasBody)
}

// Append implements Message.
func (m *LookupReply) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *LookupReply) Decode(b []byte) error { return decode(m, b) }

func (m *HeldDelivery) fields(c *coder) {
	c.uint32(&m.Partition)
	c.string(&m.ID)
	c.uint32(&m.Attempt)
}

// Append implements Message.
func (m *HeldDelivery) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *HeldDelivery) Decode(b []byte) error { return decode(m, b) }

func (m *ServiceWindow) fields(c *coder) {
	c.string(&m.Service)
	c.uint32(&m.Slots)
}

// Append implements Message.
func (m *ServiceWindow) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *ServiceWindow) Decode(b []byte) error { return decode(m, b) }

func (m *Hello) fields(c *coder) {
	c.string(&m.Dispatcher)
	c.uint64(&m.Incarnation)
	c.string(&m.Zone)
	c.string(&m.Region)
	c.nested(&m.Table)
	c.nested(&m.Configuration)
	messages(c, &m.Held)
	messages(c, &m.Windows)
}

// Append implements Message.
func (m *Hello) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Hello) Decode(b []byte) error { return decode(m, b) }

func (m *Deliver) fields(c *coder) {
	c.uint32(&m.Partition)
	c.uint64(&m.Epoch)
	c.string(&m.ID)
	c.uint32(&m.Attempt)
	c.string(&m.RequestID)
	c.string(&m.Method)
	c.string(&m.Host)
	c.string(&m.URI)
	c.string(&m.Key)
	messages(c, &m.Headers)
	c.nested(&m.Configuration)
	c.duration(&m.DueFor)
	c.duration(&m.ExpiresIn)
	c.uint32(&m.FailedAttempts)
	c.bytes(&m.Body)
}

// Append implements Message.
func (m *Deliver) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Deliver) Decode(b []byte) error { return decode(m, b) }

func (m *Result) fields(c *coder) {
	c.uint32(&m.Partition)
	c.string(&m.ID)
	c.uint32(&m.Attempt)
	c.string(&m.Dispatcher)
	byteEnum(c, &m.Outcome)
	c.uint16(&m.Status)
	c.string(&m.Signature)
	c.duration(&m.RetryAfter)
	c.duration(&m.Elapsed)
}

// Append implements Message.
func (m *Result) Append(b []byte) []byte { return encode(m, b) }

// Decode implements Message.
func (m *Result) Decode(b []byte) error { return decode(m, b) }
