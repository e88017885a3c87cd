package store

// bodyCacheBytes limits the size of the body records that are kept in memory until their first delivery.
const bodyCacheBytes = 8 << 20

// messageKey identifies a message.
type messageKey struct {
	partition uint32
	id        string
}

// bodyCache keeps the body records of messages that have not been delivered yet, up to a limit in bytes. Records that do not fit are read
// from disk at delivery.
type bodyCache struct {
	bytes  int
	limit  int
	bodies map[messageKey][]byte
}

func newBodyCache(limit int) *bodyCache {
	return &bodyCache{limit: limit, bodies: map[messageKey][]byte{}}
}

func (c *bodyCache) put(key messageKey, body []byte) {
	if _, known := c.bodies[key]; known || c.bytes+len(body) > c.limit {
		return
	}
	c.bodies[key] = body
	c.bytes += len(body)
}

// take returns the body record and removes it from the cache.
func (c *bodyCache) take(key messageKey) ([]byte, bool) {
	body, found := c.bodies[key]
	if found {
		delete(c.bodies, key)
		c.bytes -= len(body)
	}
	return body, found
}

// drop removes all body records of a partition.
func (c *bodyCache) drop(partition uint32) {
	for key := range c.bodies {
		if key.partition == partition {
			c.take(key)
		}
	}
}
