package planner

import "sync"

// Budget limits repeated shard requests of the plans of one set to a fraction of the
// first requests. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	fraction float64
	capacity float64
	tokens   float64
}

// NewBudget returns a full budget. It earns a fraction of a token for each first shard
// request, and holds at most capacity tokens.
func NewBudget(fraction float64, capacity int) *Budget {
	return &Budget{fraction: fraction, capacity: float64(capacity), tokens: float64(capacity)}
}

func (b *Budget) earn(shards int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.fraction*float64(shards))
}

// spend takes a token for each shard. If there are too few, it takes none and returns
// false. A nil budget never runs out.
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
