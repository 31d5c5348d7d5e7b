package leafserver

import (
	"slices"
	"sync"

	"cicadagrade.example/tier"
)

// holdings are the shard maps that a server was told about and the index
// versions that it holds now.
type holdings struct {
	server   string
	mu       sync.Mutex
	maps     map[tier.Epoch]*tier.ShardSet
	versions []tier.Version
}

func newHoldings(server string, set *tier.ShardSet) *holdings {
	return &holdings{
		server:   server,
		maps:     map[tier.Epoch]*tier.ShardSet{set.Epoch(): set},
		versions: []tier.Version{1},
	}
}

// held is a shard that a server holds under one shard map.
type held struct {
	shard    tier.Shard
	epoch    tier.Epoch
	versions []tier.Version
}

func (h *holdings) learn(set *tier.ShardSet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.maps[set.Epoch()] = set
}

func (h *holdings) forget(e tier.Epoch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.maps, e)
}

func (h *holdings) publish(v tier.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Contains(h.versions, v) {
		h.versions = append(h.versions, v)
		slices.Sort(h.versions)
	}
}

func (h *holdings) drop(v tier.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = slices.DeleteFunc(slices.Clone(h.versions), func(x tier.Version) bool { return x == v })
}

// find returns the shard as held under the map of epoch e.
func (h *holdings) find(shard string, e tier.Epoch) (held, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	set, ok := h.maps[e]
	if !ok {
		return held{}, false
	}
	for _, s := range set.Shards() {
		if s.ID() == shard && slices.Contains(s.Replicas(), h.server) {
			return held{shard: s, epoch: e, versions: slices.Clone(h.versions)}, true
		}
	}
	return held{}, false
}

// findAny returns the shard under the newest map that has it here.
func (h *holdings) findAny(shard string) (held, bool) {
	for _, e := range h.epochs() {
		if x, ok := h.find(shard, e); ok {
			return x, true
		}
	}
	return held{}, false
}

// epochs lists the known shard maps, newest first.
func (h *holdings) epochs() []tier.Epoch {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []tier.Epoch
	for e := range h.maps {
		out = append(out, e)
	}
	slices.Sort(out)
	slices.Reverse(out)
	return out
}

// all lists everything held, newest map first.
func (h *holdings) all() []held {
	var out []held
	for _, e := range h.epochs() {
		out = append(out, h.under(e)...)
	}
	return out
}

func (h *holdings) under(e tier.Epoch) []held {
	h.mu.Lock()
	defer h.mu.Unlock()
	set, ok := h.maps[e]
	if !ok {
		return nil
	}
	var out []held
	for _, s := range set.Shards() {
		if slices.Contains(s.Replicas(), h.server) {
			out = append(out, held{shard: s, epoch: e, versions: slices.Clone(h.versions)})
		}
	}
	return out
}
