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
	index := *previous
	return &tokenIndexBuilder{index: &index}
}

func (b *tokenIndexBuilder) shard(token Token) map[Token][]*Backend {
	i := token % tokenShards
	if !b.copied[i] {
		b.copied[i] = true
		b.index.shards[i] = maps.Clone(b.index.shards[i])
		if b.index.shards[i] == nil {
			b.index.shards[i] = make(map[Token][]*Backend)
		}
	}
	return b.index.shards[i]
}

// add adds a back end to those of its token, and returns those that have it now.
func (b *tokenIndexBuilder) add(backend *Backend) []*Backend {
	shard := b.shard(backend.Token)
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
func (b *tokenIndexBuilder) remove(backend *Backend) {
	shard := b.shard(backend.Token)
	sharing := slices.DeleteFunc(slices.Clone(shard[backend.Token]), func(each *Backend) bool { return each == backend })
	if len(sharing) == 0 {
		delete(shard, backend.Token)
		return
	}
	shard[backend.Token] = sharing
}
