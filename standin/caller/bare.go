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

// DirectClient asks the backend servers itself: every shard at once, its replicas in
// turn, without slots, queues, hedges or retries. It shows what the tier
// adds.
type DirectClient struct {
	sets    map[string]*tier.ShardSet
	version tier.Version
	clients map[string]backendv1connect.LeafServiceClient
	turn    atomic.Uint64
}

// NewDirectClient returns a caller that asks for one index version of the sets.
func NewDirectClient(v tier.Version, sets ...*tier.ShardSet) *DirectClient {
	b := &DirectClient{
		sets:    map[string]*tier.ShardSet{},
		version: v,
		clients: map[string]backendv1connect.LeafServiceClient{},
	}
	for _, s := range sets {
		b.sets[s.Name()] = s
		for _, x := range s.Servers() {
			t := &http.Transport{MaxConnsPerHost: x.Connections(), MaxIdleConnsPerHost: x.Connections()}
			b.clients[x.Address()] = backendv1connect.NewLeafServiceClient(&http.Client{Transport: t}, "http://"+x.Address())
		}
	}
	return b
}

func (*DirectClient) target() {}

// Search asks every shard and merges the replies; it fails when one does.
func (b *DirectClient) Search(ctx context.Context, q Search) (*checker.Answer, error) {
	set, ok := b.sets[q.set]
	if !ok {
		return nil, errors.Errorf("Bare.Search: no set %q", q.set)
	}
	ctx, cancel := context.WithTimeout(ctx, q.deadline.Duration())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	var mu sync.Mutex
	var records []tier.Record
	var covered []string
	turn := b.turn.Add(1)
	for _, s := range set.Shards() {
		g.Go(func() error {
			part, err := b.shard(ctx, set, s, q, turn)
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
		return nil, errors.Wrap(err, "Bare.Search")
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key() < records[j].Key() })
	o := tier.NewAnswered(tier.NewSnapshot(set.Epoch(), b.version), tier.NewCoverage(covered, nil), records)
	return checker.NewMergedAnswer(q.requestID, q.profile.Rank(), o, len(covered)), nil
}

func (b *DirectClient) shard(ctx context.Context, set *tier.ShardSet, s tier.Shard, q Search, turn uint64) ([]tier.Record, error) {
	server, _ := set.Server(s.Replicas()[turn%uint64(len(s.Replicas()))])
	r, err := b.clients[server.Address()].Search(ctx, connect.NewRequest(&backendv1.SearchRequest{
		Attempt:  fmt.Sprintf("bare/1/%d", turn),
		Set:      q.set,
		Shard:    s.ID(),
		Snapshot: &backendv1.Snapshot{Epoch: uint64(set.Epoch()), Version: uint64(b.version)},
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
