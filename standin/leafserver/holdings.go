package leafserver

import (
	"slices"
	"sync"

	"cicadagrade.example/tier"
)

// holdings are the shard maps that a server knows, by epoch, and the index versions that it
// holds.
type holdings struct {
	server    string
	mu        sync.Mutex
	shardMaps map[tier.Epoch]*tier.ShardSet
	versions  []tier.Version
}

func newHoldings(server string, set *tier.ShardSet) *holdings {
	return &holdings{
		server:    server,
		shardMaps: map[tier.Epoch]*tier.ShardSet{set.Epoch(): set},
		versions:  []tier.Version{1},
	}
}

// heldShard is a shard that a server holds according to one shard map.
type heldShard struct {
	shard    tier.Shard
	epoch    tier.Epoch
	versions []tier.Version
}

func (h *holdings) addMap(set *tier.ShardSet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shardMaps[set.Epoch()] = set
}

func (h *holdings) removeMap(e tier.Epoch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.shardMaps, e)
}

func (h *holdings) addVersion(v tier.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Contains(h.versions, v) {
		h.versions = append(h.versions, v)
		slices.Sort(h.versions)
	}
}

func (h *holdings) removeVersion(v tier.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = slices.DeleteFunc(slices.Clone(h.versions), func(x tier.Version) bool { return x == v })
}

// find returns the shard if the server holds it according to the map of epoch e.
func (h *holdings) find(shard string, e tier.Epoch) (heldShard, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	set, ok := h.shardMaps[e]
	if !ok {
		return heldShard{}, false
	}
	for _, s := range set.Shards() {
		if s.ID() == shard && slices.Contains(s.Replicas(), h.server) {
			return heldShard{shard: s, epoch: e, versions: slices.Clone(h.versions)}, true
		}
	}
	return heldShard{}, false
}

// findAny returns the shard according to the newest map by which the server holds it.
func (h *holdings) findAny(shard string) (heldShard, bool) {
	for _, e := range h.epochs() {
		if x, ok := h.find(shard, e); ok {
			return x, true
		}
	}
	return heldShard{}, false
}

// epochs lists the epochs of the known shard maps, newest first.
func (h *holdings) epochs() []tier.Epoch {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []tier.Epoch
	for e := range h.shardMaps {
		out = append(out, e)
	}
	slices.Sort(out)
	slices.Reverse(out)
	return out
}

// all lists the held shards of all maps, newest map first.
func (h *holdings) all() []heldShard {
	var out []heldShard
	for _, e := range h.epochs() {
		out = append(out, h.heldUnder(e)...)
	}
	return out
}

// heldUnder lists the held shards of the map of epoch e.
func (h *holdings) heldUnder(e tier.Epoch) []heldShard {
	h.mu.Lock()
	defer h.mu.Unlock()
	set, ok := h.shardMaps[e]
	if !ok {
		return nil
	}
	var out []heldShard
	for _, s := range set.Shards() {
		if slices.Contains(s.Replicas(), h.server) {
			out = append(out, heldShard{shard: s, epoch: e, versions: slices.Clone(h.versions)})
		}
	}
	return out
}
