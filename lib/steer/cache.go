package steer

import (
	"container/list"
	"math"
	"time"
)

// cache estimates which prompt prefixes an engine has cached: the most recently sent
// ones that fit into its memory.
type cache struct {
	// order lists the prefixes, most recently used first.
	order *list.List
	items map[uint64]*list.Element
	// tokens is the total size of all items.
	tokens int
}

// Cached is a prompt prefix that a target has probably cached.
type Cached struct {
	// Key is a hash of the model, the adapter and all parts of the prefix.
	Key uint64
	// Tokens is the length of the last part of the prefix.
	Tokens int
}

type cacheItem struct {
	key    uint64
	tokens int
}

// hit returns the number of tokens in the longest cached prefix.
func (c *cache) hit(r *Request, chain []uint64) int {
	n := 0
	for i, key := range chain {
		if c.items[key] == nil {
			break
		}
		n += r.Parts[i].Tokens
	}
	return n
}

// add records that the engine reads the prompt and evicts the oldest prefixes above
// limit tokens. It returns the new prefixes except the whole prompt, which no other
// request shares.
func (c *cache) add(r *Request, chain []uint64, limit int) (fresh []Cached) {
	for i, key := range chain {
		if c.put(Cached{Key: key, Tokens: r.Parts[i].Tokens}) && i < len(chain)-1 {
			fresh = append(fresh, Cached{Key: key, Tokens: r.Parts[i].Tokens})
		}
	}
	c.trim(limit, len(chain))
	return fresh
}

// put records one prefix as the most recently used and reports whether it is new.
func (c *cache) put(x Cached) bool {
	if c.items == nil {
		c.order, c.items = list.New(), make(map[uint64]*list.Element)
	}
	if e := c.items[x.Key]; e != nil {
		c.order.MoveToFront(e)
		return false
	}
	c.items[x.Key] = c.order.PushFront(&cacheItem{key: x.Key, tokens: x.Tokens})
	c.tokens += x.Tokens
	return true
}

// trim evicts the least recently used prefixes until at most limit tokens are left,
// but never the keep most recently used ones.
func (c *cache) trim(limit, keep int) {
	if c.items == nil {
		return
	}
	for c.tokens > limit && c.order.Len() > keep {
		e := c.order.Back()
		x := e.Value.(*cacheItem)
		c.order.Remove(e)
		delete(c.items, x.key)
		c.tokens -= x.tokens
	}
}

// decay returns the factor by which a value with the half-life half has shrunk after
// age.
func decay(age, half time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(half))
}
