package coordinator

import (
	"sync"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/planner"
)

// rerunBudgetCapacity is the largest number of repeated shard requests that the budget of
// a set can accumulate.
const rerunBudgetCapacity = 512

// rerunBudgets holds the rerun budget of each shard set, which all searches of the set
// share.
type rerunBudgets struct {
	mu    sync.Mutex
	bySet map[string]*planner.Budget
}

// of returns the budget of a set, and creates it at first use.
func (b *rerunBudgets) of(set *tier.ShardSet) *planner.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.bySet[set.Name()]
	if ok {
		return p
	}
	if b.bySet == nil {
		b.bySet = map[string]*planner.Budget{}
	}
	p = planner.NewBudget(set.HedgeBudget(), rerunBudgetCapacity)
	b.bySet[set.Name()] = p
	return p
}
