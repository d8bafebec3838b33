package engine

import (
	"container/list"
	"hash/maphash"
)

// cacheBlock is the number of prompt bytes per cache entry.
const cacheBlock = 64

// prefixCache is an LRU cache of prompt prefixes in blocks of cacheBlock bytes.
type prefixCache struct {
	seed   maphash.Seed
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{
		seed: maphash.MakeSeed(), limit: limit,
		order: list.New(), blocks: make(map[uint64]*list.Element),
	}
}

// use caches the whole blocks of prompt and returns the number of bytes that were
// not part of a cached prefix before.
func (c *prefixCache) use(art artifact, prompt string) (uncached int) {
	uncached = len(prompt)
	var h maphash.Hash
	h.SetSeed(c.seed)
	_, _ = h.WriteString(art.model + "\x00" + art.version + "\x00" + art.adapter + "\x00")
	hit := true
	for end := cacheBlock; end <= len(prompt); end += cacheBlock {
		_, _ = h.WriteString(prompt[end-cacheBlock : end])
		sum := h.Sum64()
		if el, ok := c.blocks[sum]; ok {
			c.order.MoveToFront(el)
			if hit {
				uncached -= cacheBlock
			}
			continue
		}
		hit = false
		c.add(sum)
	}
	return uncached
}

func (c *prefixCache) add(sum uint64) {
	if c.limit <= 0 {
		return
	}
	if c.order.Len() >= c.limit {
		last := c.order.Back()
		delete(c.blocks, c.order.Remove(last).(uint64))
	}
	c.blocks[sum] = c.order.PushFront(sum)
}
