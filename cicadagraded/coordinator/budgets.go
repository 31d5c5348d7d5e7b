package coordinator

import (
	"sync"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/planner"
)

// rerunTokens is how many repeated shard requests a set's budget saves up.
const rerunTokens = 512

// budgets holds the rerun budget of each set.
type budgets struct {
	mu    sync.Mutex
	bySet map[string]*planner.Budget
}

// of returns the budget of a set.
func (b *budgets) of(set *tier.ShardSet) *planner.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.bySet[set.Name()]
	if ok {
		return p
	}
	if b.bySet == nil {
		b.bySet = map[string]*planner.Budget{}
	}
	p = planner.NewBudget(set.HedgeBudget(), rerunTokens)
	b.bySet[set.Name()] = p
	return p
}
