package stmtcache

import "github.com/hashicorp/golang-lru/v2/simplelru"

// Limits bound what one connection holds.
type Limits struct {
	// Statements bounds the number of statements.
	Statements int
	// Bytes bounds the size of their texts. A single statement may be larger.
	Bytes int
}

// Cache records the prepared statements of one connection by name.
type Cache struct {
	limits Limits
	bytes  int
	// sizes holds the size of each statement's text, the least recently used one first.
	sizes *simplelru.LRU[string, int]
}

// New returns the cache of a connection on which nothing is prepared. Limits of less than one
// statement count as one.
func New(limits Limits) *Cache {
	limits.Statements = max(1, limits.Statements)
	sizes, err := simplelru.NewLRU[string, int](limits.Statements, nil)
	if err != nil {
		// NewLRU refuses only sizes below 1.
		panic(err)
	}
	return &Cache{limits: limits, sizes: sizes}
}

// Use records that the statement is about to be used. If prepare is true, the connection lacks it:
// the caller first deallocates the statements in dropped and then prepares this one.
func (c *Cache) Use(name string, size int) (dropped []string, prepare bool) {
	if _, ok := c.sizes.Get(name); ok {
		return nil, false
	}
	for c.sizes.Len() > 0 && (c.sizes.Len() >= c.limits.Statements || c.bytes+size > c.limits.Bytes) {
		oldest, oldestSize, _ := c.sizes.RemoveOldest()
		c.bytes -= oldestSize
		dropped = append(dropped, oldest)
	}
	c.sizes.Add(name, size)
	c.bytes += size
	return dropped, true
}

// Forget records that the connection lacks the statement.
func (c *Cache) Forget(name string) {
	if size, ok := c.sizes.Peek(name); ok {
		c.sizes.Remove(name)
		c.bytes -= size
	}
}

// Clear records that the connection lacks all statements.
func (c *Cache) Clear() {
	c.sizes.Purge()
	c.bytes = 0
}

// Len returns the number of statements that the connection holds.
func (c *Cache) Len() int { return c.sizes.Len() }
