package deployer

import (
	"fmt"

	"cicadagrade.example/tier"
)

// maxSplitShards is the maximum number of shards that a repartition splits in two.
const maxSplitShards = 5

// repartition returns the shard map of the set's next epoch. The first shards are split
// in two, and each upper half moves to the servers of the next shard.
func repartition(set *tier.ShardSet) (*tier.ShardSet, error) {
	var out []tier.Shard
	for i, s := range set.Shards() {
		if i >= maxSplitShards || i+1 == len(set.Shards()) {
			out = append(out, s)
			continue
		}
		middle := s.From() + (s.To()-s.From())/2
		nextReplicas := set.Shards()[i+1].Replicas()
		id := fmt.Sprintf("%s-%02d", set.Name(), len(set.Shards())+i+1)
		out = append(
			out,
			tier.NewShard(s.ID(), s.From(), middle, s.Replicas()...),
			tier.NewShard(id, middle+1, s.To(), nextReplicas...),
		)
	}
	return tier.NewShardSet(
		set.Name(),
		tier.WithEpoch(set.Epoch()+1),
		tier.WithServers(set.Servers()...),
		tier.WithShards(out...),
	)
}
