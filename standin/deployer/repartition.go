package deployer

import (
	"fmt"

	"cicadagrade.example/tier"
)

// splitShards is how many shards a repartition splits in two, at most.
const splitShards = 5

// repartitioned is the set's next shard map: the first shards are split, and
// their upper halves go to the servers of the shard above.
func repartitioned(set *tier.ShardSet) (*tier.ShardSet, error) {
	var out []tier.Shard
	for i, s := range set.Shards() {
		if i >= splitShards || i+1 == len(set.Shards()) {
			out = append(out, s)
			continue
		}
		middle := s.From() + (s.To()-s.From())/2
		above := set.Shards()[i+1].Replicas()
		id := fmt.Sprintf("%s-%02d", set.Name(), len(set.Shards())+i+1)
		out = append(
			out,
			tier.NewShard(s.ID(), s.From(), middle, s.Replicas()...),
			tier.NewShard(id, middle+1, s.To(), above...),
		)
	}
	return tier.NewShardSet(
		set.Name(),
		tier.WithEpoch(set.Epoch()+1),
		tier.WithServers(set.Servers()...),
		tier.WithShards(out...),
	)
}
