package steer

import (
	"container/list"
	"math"
	"time"
)

// cache estimates which beginnings of prompts an engine keeps: those that were
// sent there last, within its memory.
type cache struct {
	order *list.List
	items map[uint64]*list.Element
	// tokens is the sum over all items.
	tokens int
}

// Cached is the beginning of a prompt that a target keeps.
type Cached struct {
	// Key is a hash over model, adapter and the parts up to its end.
	Key uint64
	// Tokens is the length of its last part.
	Tokens int
}

type cacheItem struct {
	key    uint64
	tokens int
}

// hit returns the number of tokens of the longest known beginning.
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

// add notes that the engine reads the prompt; limit bounds the tokens kept. It
// returns the shared beginnings that were not known before.
func (c *cache) add(r *Request, chain []uint64, limit int) (fresh []Cached) {
	for i, key := range chain {
		if c.put(Cached{Key: key, Tokens: r.Parts[i].Tokens}) && i < len(chain)-1 {
			fresh = append(fresh, Cached{Key: key, Tokens: r.Parts[i].Tokens})
		}
	}
	c.trim(limit, len(chain))
	return fresh
}

// put notes one beginning; true means that it was not known.
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

// trim forgets the oldest beginnings above limit, but keeps the newest ones.
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

// decay is the part of a memory with that half-life that is left after age.
func decay(age, half time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(half))
}
