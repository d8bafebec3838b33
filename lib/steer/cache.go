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

// add notes that the engine reads the prompt; limit bounds the tokens kept.
func (c *cache) add(r *Request, chain []uint64, limit int) {
	if len(chain) == 0 {
		return
	}
	if c.items == nil {
		c.order, c.items = list.New(), make(map[uint64]*list.Element)
	}
	for i, key := range chain {
		if e := c.items[key]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.items[key] = c.order.PushFront(&cacheItem{key: key, tokens: r.Parts[i].Tokens})
		c.tokens += r.Parts[i].Tokens
	}
	for c.tokens > limit && c.order.Len() > len(chain) {
		e := c.order.Back()
		x := e.Value.(*cacheItem)
		c.order.Remove(e)
		delete(c.items, x.key)
		c.tokens -= x.tokens
	}
}

func decay(age time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(errorHalf))
}
