package steer

import (
	"container/list"
	"math"
	"time"
)

// prefixCache estimates which prompt prefixes an engine has cached: the most recently
// sent ones that fit into its memory.
type prefixCache struct {
	// lru lists the prefixes, most recently used first.
	lru   *list.List
	items map[uint64]*list.Element
	// tokens is the total size of all items.
	tokens int
}

// CachedPrefix is a prompt prefix that a target has probably cached.
type CachedPrefix struct {
	// Key is a hash of the model, the adapter and all parts of the prefix.
	Key uint64
	// Tokens is the length of the last part of the prefix.
	Tokens int
}

// cacheEntry is the value of an element of prefixCache.lru.
type cacheEntry struct {
	key    uint64
	tokens int
}

// hitTokens returns the number of tokens in the longest cached prefix.
func (c *prefixCache) hitTokens(r *Request, keys []uint64) int {
	n := 0
	for i, key := range keys {
		if c.items[key] == nil {
			break
		}
		n += r.Parts[i].Tokens
	}
	return n
}

// insert records that the prompt is sent to the engine, and evicts the least recently
// used prefixes above limit tokens. It returns the new prefixes except the whole prompt, which no other
// request shares.
func (c *prefixCache) insert(r *Request, keys []uint64, limit int) (added []CachedPrefix) {
	for i, key := range keys {
		if c.touch(CachedPrefix{Key: key, Tokens: r.Parts[i].Tokens}) && i < len(keys)-1 {
			added = append(added, CachedPrefix{Key: key, Tokens: r.Parts[i].Tokens})
		}
	}
	c.evict(limit, len(keys))
	return added
}

// touch records one prefix as the most recently used and reports whether it is new.
func (c *prefixCache) touch(x CachedPrefix) bool {
	if c.items == nil {
		c.lru, c.items = list.New(), make(map[uint64]*list.Element)
	}
	if e := c.items[x.Key]; e != nil {
		c.lru.MoveToFront(e)
		return false
	}
	c.items[x.Key] = c.lru.PushFront(&cacheEntry{key: x.Key, tokens: x.Tokens})
	c.tokens += x.Tokens
	return true
}

// evict removes the least recently used prefixes until at most limit tokens are left,
// but never the keep most recently used ones.
func (c *prefixCache) evict(limit, keep int) {
	if c.items == nil {
		return
	}
	for c.tokens > limit && c.lru.Len() > keep {
		e := c.lru.Back()
		x := e.Value.(*cacheEntry)
		c.lru.Remove(e)
		delete(c.items, x.key)
		c.tokens -= x.tokens
	}
}

// decay returns the fraction of a value that is left after age, with the half-life half.
func decay(age, half time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(half))
}
