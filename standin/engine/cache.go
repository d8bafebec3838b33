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
	lru    *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{
		seed: maphash.MakeSeed(), limit: limit,
		lru: list.New(), blocks: make(map[uint64]*list.Element),
	}
}

// insert caches the whole blocks of prompt and returns the number of bytes that were
// not part of a cached prefix before.
func (c *prefixCache) insert(art artifact, prompt string) (uncached int) {
	uncached = len(prompt)
	var h maphash.Hash
	h.SetSeed(c.seed)
	_, _ = h.WriteString(art.model + "\x00" + art.version + "\x00" + art.adapter + "\x00")
	prefixCached := true
	for end := cacheBlock; end <= len(prompt); end += cacheBlock {
		_, _ = h.WriteString(prompt[end-cacheBlock : end])
		sum := h.Sum64()
		if el, ok := c.blocks[sum]; ok {
			c.lru.MoveToFront(el)
			if prefixCached {
				uncached -= cacheBlock
			}
			continue
		}
		prefixCached = false
		c.addBlock(sum)
	}
	return uncached
}

func (c *prefixCache) addBlock(sum uint64) {
	if c.limit <= 0 {
		return
	}
	if c.lru.Len() >= c.limit {
		oldest := c.lru.Back()
		delete(c.blocks, c.lru.Remove(oldest).(uint64))
	}
	c.blocks[sum] = c.lru.PushFront(sum)
}
