package tokenroute

import (
	"cmp"
	"maps"
	"slices"
)

// tokenShards is into how many shards an index is divided. A change copies one of them, some
// 40 tokens of 10,000.
const tokenShards = 256

// tokenIndex finds the back ends of a token, by id. It is immutable.
type tokenIndex struct {
	shards [tokenShards]map[Token][]*Backend
}

func (x *tokenIndex) backends(token Token) []*Backend { return x.shards[token%tokenShards][token] }

// tokenIndexBuilder makes an index from another one, of which it takes over the shards that do
// not change.
type tokenIndexBuilder struct {
	index  *tokenIndex
	copied [tokenShards]bool
}

func newTokenIndexBuilder(previous *tokenIndex) *tokenIndexBuilder {
	copied := *previous
	return &tokenIndexBuilder{index: &copied}
}

func (c *tokenIndexBuilder) shard(token Token) map[Token][]*Backend {
	place := token % tokenShards
	if !c.copied[place] {
		c.copied[place] = true
		c.index.shards[place] = maps.Clone(c.index.shards[place])
		if c.index.shards[place] == nil {
			c.index.shards[place] = make(map[Token][]*Backend)
		}
	}
	return c.index.shards[place]
}

// add adds a back end to those of its token, and returns those that have it now.
func (c *tokenIndexBuilder) add(backend *Backend) []*Backend {
	shard := c.shard(backend.Token)
	sharing := append(slices.Clone(shard[backend.Token]), backend)
	if len(sharing) > 1 {
		sortByID(sharing)
	}
	shard[backend.Token] = sharing
	return sharing
}

func sortByID(sharing []*Backend) {
	slices.SortStableFunc(sharing, func(one, other *Backend) int { return cmp.Compare(one.ID, other.ID) })
}

// remove takes a back end from those of its token.
func (c *tokenIndexBuilder) remove(backend *Backend) {
	shard := c.shard(backend.Token)
	sharing := slices.DeleteFunc(slices.Clone(shard[backend.Token]), func(each *Backend) bool { return each == backend })
	if len(sharing) == 0 {
		delete(shard, backend.Token)
		return
	}
	shard[backend.Token] = sharing
}
