package caller

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	backendv1 "cicadagrade.example/api/backend/v1"
	"cicadagrade.example/api/backend/v1/backendv1connect"
	"cicadagrade.example/standin/checker"
	"cicadagrade.example/tier"
)

// DirectClient bypasses the tier: it calls one replica of every shard at once,
// alternating between replicas from search to search, without slots, queues, hedges or
// retries. Comparison with it shows the latency that the tier adds.
type DirectClient struct {
	sets    map[string]*tier.ShardSet
	version tier.Version
	clients map[string]backendv1connect.LeafServiceClient
	counter atomic.Uint64
}

// NewDirectClient returns a client that requests one index version of the sets.
func NewDirectClient(v tier.Version, sets ...*tier.ShardSet) *DirectClient {
	c := &DirectClient{
		sets:    map[string]*tier.ShardSet{},
		version: v,
		clients: map[string]backendv1connect.LeafServiceClient{},
	}
	for _, s := range sets {
		c.sets[s.Name()] = s
		for _, x := range s.Servers() {
			t := &http.Transport{MaxConnsPerHost: x.Connections(), MaxIdleConnsPerHost: x.Connections()}
			c.clients[x.Address()] = backendv1connect.NewLeafServiceClient(&http.Client{Transport: t}, "http://"+x.Address())
		}
	}
	return c
}

func (*DirectClient) isTarget() {}

// Search calls every shard and merges the replies. It fails if one call fails.
func (c *DirectClient) Search(ctx context.Context, q Search) (*checker.Answer, error) {
	set, ok := c.sets[q.set]
	if !ok {
		return nil, errors.Errorf("DirectClient.Search: unknown set %q", q.set)
	}
	ctx, cancel := context.WithTimeout(ctx, q.deadline.Duration())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	var mu sync.Mutex
	var records []tier.Record
	var covered []string
	number := c.counter.Add(1)
	for _, s := range set.Shards() {
		g.Go(func() error {
			part, err := c.searchShard(ctx, set, s, q, number)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			records = append(records, part...)
			covered = append(covered, s.ID())
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, errors.Wrap(err, "DirectClient.Search")
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key() < records[j].Key() })
	merged := tier.NewAnswered(tier.NewSnapshot(set.Epoch(), c.version), tier.NewCoverage(covered, nil), records)
	return checker.NewMergedAnswer(q.requestID, q.profile.Rank(), merged, len(covered)), nil
}

func (c *DirectClient) searchShard(ctx context.Context, set *tier.ShardSet, s tier.Shard, q Search, number uint64) ([]tier.Record, error) {
	server, _ := set.Server(s.Replicas()[number%uint64(len(s.Replicas()))])
	r, err := c.clients[server.Address()].Search(ctx, connect.NewRequest(&backendv1.SearchRequest{
		Attempt:  fmt.Sprintf("bare/1/%d", number),
		Set:      q.set,
		Shard:    s.ID(),
		Snapshot: &backendv1.Snapshot{Epoch: uint64(set.Epoch()), Version: uint64(c.version)},
		Term:     q.term,
	}))
	if err != nil {
		return nil, err
	}
	var out []tier.Record
	for _, x := range r.Msg.GetRecords() {
		out = append(out, tier.NewRecord(x.GetKey(), x.GetValue()))
	}
	return out, nil
}
