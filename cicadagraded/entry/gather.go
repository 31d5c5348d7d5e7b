package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/api/gather/v1/gatherv1connect"
	"cicadagrade.example/cicadagraded/leafclient"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/ranker"
	"cicadagrade.example/tier/searcher"
)

const (
	// peerDialTimeout is the longest wait for a connection to another VM.
	peerDialTimeout = 500 * tier.Millisecond
	// peerIdleTime is how long they are kept.
	peerIdleTime = 60 * time.Second
)

// sharedTerms are what another VM needs to know of a request.
type sharedTerms struct {
	route    string
	top      int
	attempts int
	rank     int
	minimum  func(n int) int
	shards   []string
}

// peers are the clients of other VMs, by address. Each has one HTTP/2
// connection, so that a share that is recalled does not cost a connection.
type peers struct {
	mu     sync.Mutex
	byAddr map[string]gatherv1connect.GatherServiceClient
}

func newPeers() *peers {
	return &peers{byAddr: map[string]gatherv1connect.GatherServiceClient{}}
}

func (p *peers) at(address string) gatherv1connect.GatherServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.byAddr[address]
	if !ok {
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		c = gatherv1connect.NewGatherServiceClient(&http.Client{Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: peerDialTimeout.Duration(), KeepAlive: -1}).DialContext,
			IdleConnTimeout:    peerIdleTime,
			DisableCompression: true,
			Protocols:          &protocols,
		}}, "http://"+address)
		p.byAddr[address] = c
	}
	return c
}

// drop has the next call to an address make a connection of its own: the one
// there is may be dead without a sign. Calls that use it end with their own
// time limits.
func (p *peers) drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byAddr, address)
}

// divide gives the shards of a request to VMs near their leafs.
func (e *Entry) divide(route string, shards []string) []partitioner.Share {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.settings.Load()
	places := func(shard string) []partitioner.Location {
		var list []partitioner.Location
		for _, f := range e.core.Lister().Leafs(shard) {
			list = append(list, partitioner.Location{DataCentre: f.DataCentre(), Region: s.Region(f.DataCentre())})
		}
		return list
	}
	return e.core.Partitioner().Partition(route, shards, places, rand.Float64)
}

// delegate sends a share to its VM and tells the search what comes back.
func (r *run) delegate(searching context.Context, a searcher.Delegate) {
	ctx, cancel := context.WithCancel(searching)
	if r.recalls == nil {
		r.recalls = map[int]context.CancelFunc{}
	}
	r.recalls[a.Share] = cancel
	shards := make([]string, len(a.Parts))
	for i, place := range a.Parts {
		shards[i] = r.shared.shards[place]
	}
	q := &gatherv1.GatherRequest{
		Attempt: r.attempt, Method: r.message.Method(), Head: r.message.Head(), Body: r.message.Body(),
		Route: r.shared.route, Shards: shards, Top: uint32(r.shared.top), Attempts: uint32(r.shared.attempts),
		Rank: uint32(r.shared.rank), Spread: a.Member.Region() != r.entry.core.Partitioner().Self().Region(),
		Minimum: uint32(r.shared.minimum(len(shards))),
		AimMs:   int64(a.Target), EndMs: int64(a.Deadline),
	}
	r.entry.calls.Go(func() {
		defer cancel()
		if err := r.follow(ctx, searching, a, q); err != nil && ctx.Err() == nil {
			r.entry.log.RateLimitedInfo("share-failed", "request", r.attempt, "peer", a.Member.VM().Name(), "error", err)
			r.tell(searching, func(s *searcher.Search, now tier.Millis) []searcher.Action {
				return s.ShareFailed(now, a.Share)
			})
		}
	})
}

// follow tells the search each reply to a share, until the last.
func (r *run) follow(ctx, searching context.Context, a searcher.Delegate, q *gatherv1.GatherRequest) error {
	stream, err := r.entry.peers.at(a.Member.VM().Address()).Gather(ctx, connect.NewRequest(q))
	if err != nil {
		return errors.Wrap(err, "run.follow")
	}
	defer func() { _ = stream.Close() }()
	accepted := false
	for stream.Receive() {
		if !accepted {
			accepted = true
			r.tell(searching, func(s *searcher.Search, now tier.Millis) []searcher.Action {
				return s.ShareAccepted(now, a.Share)
			})
			continue
		}
		reply := stream.Msg()
		if a.Member.Region() != r.entry.core.Partitioner().Self().Region() {
			r.entry.far.Add(int64(proto.Size(reply)))
		}
		b := searcher.ShareReport{
			Reply: reply, Last: reply.GetLast(), MayHaveRun: reply.GetMayHaveRun(),
			Calls: int(reply.GetCalls()), Extra: int(reply.GetExtra()),
		}
		for _, i := range reply.GetParts() {
			if int(i) >= len(a.Parts) {
				return errors.Errorf("run.follow: part %d of %d", i, len(a.Parts))
			}
			b.Parts = append(b.Parts, a.Parts[i])
		}
		r.tell(searching, func(s *searcher.Search, now tier.Millis) []searcher.Action {
			return s.ShareReported(now, a.Share, b)
		})
		if b.Last {
			return nil
		}
	}
	if err := stream.Err(); err != nil {
		return errors.Wrap(err, "run.follow")
	}
	return errors.New("run.follow: the replies ended early")
}

// PeerProtocols are what other VMs speak.
func PeerProtocols() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &p
}

// PeerHandler answers other VMs.
func (e *Entry) PeerHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(gatherv1connect.NewGatherServiceHandler(&gatherer{entry: e}))
	return m
}

const (
	// probeInterval is how often VMs that are passed over are looked at.
	probeInterval = 100 * tier.Millisecond
	// probeTimeout is the longest that a probe's answer may take: the way
	// between regions and back, and the other VM's processor.
	probeTimeout = 150 * tier.Millisecond
)

// RunProbes looks for VMs that were passed over and answer again, and keeps
// connections to other regions open.
func (e *Entry) RunProbes(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		e.mu.Lock()
		due := append(e.core.Partitioner().Probes(e.clock.Now()), e.core.Partitioner().IdleGateways(e.clock.Now())...)
		e.mu.Unlock()
		for _, m := range due {
			e.calls.Go(func() { e.probe(ctx, m) })
		}
	}
}

func (e *Entry) probe(ctx context.Context, m partitioner.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	if _, err := e.peers.at(m.VM().Address()).Ping(ctx, connect.NewRequest(&gatherv1.PingRequest{})); err != nil {
		e.peers.drop(m.VM().Address())
		return
	}
	e.mu.Lock()
	back := e.core.Partitioner().Recovered(e.clock.Now(), m.VM().Name())
	e.mu.Unlock()
	if back {
		e.log.Info("vm-answers-again", "peer", m.VM().Name())
	}
}

// Ping shows another VM that this one answers.
func (g *gatherer) Ping(context.Context, *connect.Request[gatherv1.PingRequest]) (*connect.Response[gatherv1.PingReply], error) {
	return connect.NewResponse(&gatherv1.PingReply{}), nil
}

// gatherer asks shares for other VMs.
type gatherer struct{ entry *Entry }

// Gather asks a share.
func (g *gatherer) Gather(ctx context.Context, c *connect.Request[gatherv1.GatherRequest], stream *connect.ServerStream[gatherv1.GatherReply]) error {
	e, q := g.entry, c.Msg
	if err := stream.Send(&gatherv1.GatherReply{}); err != nil {
		return errors.Wrap(err, "gatherer.Gather")
	}
	now := e.clock.Now()
	terms := searcher.NewTerms(q.GetRoute(), now+tier.Millis(q.GetAimMs()), now+tier.Millis(q.GetEndMs()),
		searcher.Idempotent(), searcher.WithMaxAttempts(int(q.GetAttempts())),
		searcher.WithMinimumParts(int(q.GetMinimum())), searcher.WithRank(int(q.GetRank())),
		searcher.ForAnotherVM())
	var shares []partitioner.Share
	if q.GetSpread() {
		shares = e.divide(q.GetRoute(), q.GetShards())
	}
	run := e.newRun(q.GetAttempt(), true, leafclient.RestoreTemplate(q.GetMethod(), q.GetHead(), q.GetBody()),
		terms, q.GetShards(), shares)
	run.shared = sharedTerms{
		route: q.GetRoute(), top: int(q.GetTop()), attempts: int(q.GetAttempts()), rank: int(q.GetRank()),
		minimum: func(n int) int { return n * int(q.GetMinimum()) / max(1, len(q.GetShards())) }, shards: q.GetShards(),
	}
	run.flush = func(f searcher.Flush) error { return stream.Send(reportOf(q, f)) }
	o, left := run.drive(ctx)
	e.count(o)
	if o.Missing() > 0 {
		e.log.RateLimitedInfo("share-ended", "request", q.GetAttempt(), "route", q.GetRoute(), "recalled", left,
			"took-ms", int64(e.clock.Now()-now), "aim-ms", q.GetAimMs(), "missing", o.Missing(), "of", len(q.GetShards()),
			"calls", o.CallsSent(), "extra", o.ExtraCalls(), "misses", missText(o))
	}
	if left {
		return ctx.Err()
	}
	return errors.Wrap(stream.Send(&gatherv1.GatherReply{
		Last: true, MayHaveRun: o.MayHaveRun(), Calls: uint32(o.CallsSent()), Extra: uint32(o.ExtraCalls()),
	}), "gatherer.Gather")
}

// reportOf merges parts for the VM that asked for them.
func reportOf(q *gatherv1.GatherRequest, f searcher.Flush) *gatherv1.GatherReply {
	top := ranker.New(int(q.GetTop()))
	proofs := make([]string, 0, len(q.GetShards()))
	reply := &gatherv1.GatherReply{Proofs: mergeAll(top, f.Parts, f.Shares, proofs)}
	for _, i := range f.Arrived {
		reply.Parts = append(reply.Parts, uint32(i))
	}
	reply.Records = top.Bytes()
	reply.MayHaveRun = len(f.Arrived) > 0
	return reply
}
