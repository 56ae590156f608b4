package tokenroute

import (
	"cmp"
	"maps"
	"slices"
)

// tokenShards is the number of shards of an index. A change copies one shard, which holds about 40
// of 10,000 tokens.
const tokenShards = 256

// tokenIndex maps each token to the back ends that share it, sorted by ID. It is immutable.
type tokenIndex struct {
	shards [tokenShards]map[Token][]*Backend
}

func (x *tokenIndex) backends(token Token) []*Backend { return x.shards[token%tokenShards][token] }

// tokenIndexBuilder builds an index from another one and shares the unchanged shards with it.
type tokenIndexBuilder struct {
	index  *tokenIndex
	copied [tokenShards]bool
}

func newTokenIndexBuilder(previous *tokenIndex) *tokenIndexBuilder {
	shared := *previous
	return &tokenIndexBuilder{index: &shared}
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

// add adds a back end under its token and returns all back ends that now share the token.
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

// remove removes a back end from those that share its token.
func (b *tokenIndexBuilder) remove(backend *Backend) {
	shard := b.shard(backend.Token)
	sharing := slices.DeleteFunc(slices.Clone(shard[backend.Token]), func(each *Backend) bool { return each == backend })
	if len(sharing) == 0 {
		delete(shard, backend.Token)
		return
	}
	shard[backend.Token] = sharing
}
