package planner

import "sync"

// Budget bounds the shard requests that plans of one set repeat, as a
// fraction of the first ones. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	fraction float64
	most     float64
	tokens   float64
}

// NewBudget returns a full budget that earns fraction of a token for each
// first shard request and keeps at most the given number of tokens.
func NewBudget(fraction float64, most int) *Budget {
	return &Budget{fraction: fraction, most: float64(most), tokens: float64(most)}
}

func (b *Budget) earn(shards int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.most, b.tokens+b.fraction*float64(shards))
}

// spend takes a token for each shard, or none and reports false. A nil
// budget always has tokens.
func (b *Budget) spend(shards int) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < float64(shards) {
		return false
	}
	b.tokens -= float64(shards)
	return true
}
