package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/api/gather/v1/gatherv1connect"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/quarantiner"
	"cicadagrade.example/tier/searcher"
)

const (
	// peerDialTimeout bounds the opening of a connection to another VM. It is several round
	// trips between regions. A VM without power does not reject connections.
	peerDialTimeout = 150 * tier.Millisecond
	// peerIdleTime is how long an idle connection to another VM is kept.
	peerIdleTime = 60 * time.Second
	// maxPeerMessageBytes bounds a message from another VM. The largest is a whole view.
	maxPeerMessageBytes = 32 << 20
	// maxPeerHeaderBytes bounds the header of a reply from another VM.
	maxPeerHeaderBytes = 64 << 10
)

// delegationTerms are the properties of a request that another VM needs to search some of
// its shards.
type delegationTerms struct {
	route        string
	topK         int
	rank         int
	minimumParts func(n int) int // how many of n shards must answer
	shards       []string
	fingerprints func() []quarantiner.Fingerprint
	whole        bool // the leaf's whole reply is wanted, of the only shard
	once         bool // the request may run at most once
	regions      tier.RegionSet
	organisation string
	weight       float64 // of the organisation's requests
}

// peerClients holds a client for each other VM, by address. Each has one HTTP/2
// connection, so that cancelling a delegated share does not close a connection.
type peerClients struct {
	mu        sync.Mutex
	byAddress map[string]gatherv1connect.GatherServiceClient
}

func newPeerClients() *peerClients {
	return &peerClients{byAddress: map[string]gatherv1connect.GatherServiceClient{}}
}

// clientOf returns the client of the VM at an address, and creates it if needed.
func (p *peerClients) clientOf(address string) gatherv1connect.GatherServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.byAddress[address]
	if !ok {
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		c = gatherv1connect.NewGatherServiceClient(&http.Client{Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: peerDialTimeout.Duration(), KeepAlive: -1}).DialContext,
			IdleConnTimeout:    peerIdleTime,
			DisableCompression: true,
			Protocols:          &protocols,

			MaxResponseHeaderBytes: maxPeerHeaderBytes,
		}}, "http://"+address, connect.WithReadMaxBytes(maxPeerMessageBytes))
		p.byAddress[address] = c
	}
	return c
}

// drop removes the client of an address, so that the next call opens a new connection: the
// present one may be dead without having been closed. Calls still in flight on it end
// with their own timeouts.
func (p *peerClients) drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byAddress, address)
}

// divideShards assigns the shards of a request to VMs near their leafs, in the regions in which it
// may be served.
func (e *Entry) divideShards(route string, shards []string, regions tier.RegionSet) []partitioner.Share {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scheduler.Divide(route, shards, regions)
}

// delegate sends a share, some of the request's shards, to another VM, and posts its
// replies to the search.
func (r *searchRun) delegate(searchCtx context.Context, a searcher.Delegate) {
	ctx, cancel := context.WithCancel(searchCtx)
	if r.cancelShare == nil {
		r.cancelShare = map[int]context.CancelFunc{}
	}
	r.cancelShare[a.Share] = cancel
	shards := make([]string, len(a.Parts))
	for i, part := range a.Parts {
		shards[i] = r.delegation.shards[part]
	}
	request := &gatherv1.GatherRequest{
		Attempt: r.attemptID, Method: r.template.Method(), Head: r.template.Head(), Body: r.template.Body(),
		Route: r.delegation.route, Shards: shards, Top: uint32(r.delegation.topK), Attempts: uint32(a.Attempts), Once: r.delegation.once,
		Rank: uint32(r.delegation.rank), Spread: !r.delegation.whole && a.Member.Region() != r.entry.scheduler.Partitioner().Self().Region(),
		Minimum: uint32(r.delegation.minimumParts(len(shards))),
		AimMs:   int64(a.Target), EndMs: int64(a.Deadline), Repeated: a.Repeated,
		Restricted: r.delegation.regions.Restricted(), Regions: r.delegation.regions.Names(),
		Organisation: r.delegation.organisation, Weight: r.delegation.weight,
	}
	if r.delegation.fingerprints != nil && r.entry.knowsCrashes() {
		for _, f := range r.delegation.fingerprints() {
			request.Fingerprints = append(request.Fingerprints, string(f))
		}
	}
	r.entry.background.Go(func() {
		defer cancel()
		if err := r.readShareReplies(ctx, searchCtx, a, request); err != nil && ctx.Err() == nil {
			r.entry.log.RateLimitedInfo("share-failed", "request", r.attemptID, "peer", a.Member.VM().Name(), "error", err)
			r.post(searchCtx, func(s *searcher.Search, now tier.Millis) []searcher.Action {
				switch connect.CodeOf(err) {
				case connect.CodeUnimplemented: // a VM of an earlier version
					return s.ShareDeclined(now, a.Share)
				case connect.CodeResourceExhausted: // a VM without memory for the request's body
					return s.ShareRefused(now, a.Share)
				}
				return s.ShareFailed(now, a.Share)
			})
		}
	})
}

// readShareReplies posts each reply to a share to the search, until the last one. The first
// reply only acknowledges the share. ctx ends when the share is recalled, searchCtx when the
// search ends.
func (r *searchRun) readShareReplies(ctx, searchCtx context.Context, a searcher.Delegate, request *gatherv1.GatherRequest) error {
	client := r.entry.peers.clientOf(a.Member.VM().Address())
	call := client.Gather
	if r.delegation.whole {
		call = client.Relay
	}
	stream, err := call(ctx, connect.NewRequest(request))
	if err != nil {
		return errors.Wrap(err, "searchRun.readShareReplies")
	}
	defer func() { _ = stream.Close() }()
	acknowledged := false
	for stream.Receive() {
		if !acknowledged {
			r.entry.hearPeerLevel(a.Member.VM().Name(), !r.delegation.whole, stream.Msg())
		}
		if !acknowledged && stream.Msg().GetDeclined() {
			overloaded := stream.Msg().GetRefusedPermille() > 0
			r.post(searchCtx, func(s *searcher.Search, now tier.Millis) []searcher.Action {
				if overloaded {
					return s.ShareRefused(now, a.Share)
				}
				return s.ShareDeclined(now, a.Share)
			})
			return nil
		}
		if !acknowledged {
			acknowledged = true
			r.post(searchCtx, func(s *searcher.Search, now tier.Millis) []searcher.Action {
				return s.ShareAccepted(now, a.Share)
			})
			continue
		}
		reply := stream.Msg()
		if a.Member.Region() != r.entry.scheduler.Partitioner().Self().Region() {
			r.entry.crossRegionBytes.Add(int64(proto.Size(reply)))
		}
		report := searcher.ShareReport{
			Reply: reply, Last: reply.GetLast(), MayHaveRun: reply.GetMayHaveRun(),
			Calls: int(reply.GetCalls()), Extra: int(reply.GetExtra()), Ended: reply.GetEnded(), Suspected: reply.GetSuspected(),
		}
		switch whole := reply.GetWhole(); {
		case whole == nil && r.delegation.whole && len(reply.GetParts()) > 0:
			return errors.New("searchRun.readShareReplies: the leaf's reply is missing")
		case whole != nil && report.Last:
			// An earlier build reports any reply as a failure.
			if failure := restoreReply(whole); platform.ParseLeafReply(failure.Status(), failure.Header()).Failure() {
				report.Failure = failure
			}
		case whole != nil:
			success := restoreReply(whole)
			if !platform.ParseLeafReply(success.Status(), success.Header()).Success() {
				return errors.Errorf("searchRun.readShareReplies: status %d is no leaf's success", success.Status())
			}
			report.Whole = success
		}
		if report.Parts, err = shareParts(a, reply.GetParts()); err != nil {
			return err
		}
		if report.Uncalled, err = shareParts(a, reply.GetUncalled()); err != nil {
			return err
		}
		if report.Broken, err = shareParts(a, reply.GetBroken()); err != nil {
			return err
		}
		r.post(searchCtx, func(s *searcher.Search, now tier.Millis) []searcher.Action {
			r.entry.hearLeavingFrom(a.Member.VM().Name(), reply.GetLeaving())
			return s.ShareReported(now, a.Share, report)
		})
		if report.Last {
			return nil
		}
	}
	if err := stream.Err(); err != nil {
		return errors.Wrap(err, "searchRun.readShareReplies")
	}
	return errors.New("searchRun.readShareReplies: the stream ended before the last reply")
}

// shareParts converts indexes into a share's shards to indexes into the request's.
func shareParts(a searcher.Delegate, indexes []uint32) ([]int, error) {
	parts := make([]int, 0, len(indexes))
	for _, i := range indexes {
		if int(i) >= len(a.Parts) {
			return nil, errors.Errorf("shareParts: part %d is out of range, the share has %d", i, len(a.Parts))
		}
		parts = append(parts, a.Parts[i])
	}
	return parts, nil
}

// PeerProtocols returns the protocols that the server for other VMs accepts: HTTP/1.1 and
// HTTP/2, both without TLS.
func PeerProtocols() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &p
}

// PeerHandler returns the handler of calls from other VMs.
func (e *Entry) PeerHandler() http.Handler {
	m := http.NewServeMux()
	path, service := gatherv1connect.NewGatherServiceHandler(&peerService{entry: e}, connect.WithReadMaxBytes(maxPeerMessageBytes))
	m.Handle(path, service)
	m.Handle(gatherv1connect.GatherServiceGatherProcedure, e.shareMemory.handler(service))
	m.Handle(gatherv1connect.GatherServiceRelayProcedure, e.shareMemory.handler(service))
	return m
}

const (
	// probeInterval is the interval of the checks for VMs that are due for a probe.
	probeInterval = 100 * tier.Millisecond
	// probeTimeout bounds a probe. It allows for a round trip between regions and for
	// processing on the other VM.
	probeTimeout = 150 * tier.Millisecond
)

// RunProbes probes the VMs that are suspected to have failed, so that they are used again
// once they answer, and the gateways to other regions, to keep connections to them open. It
// runs until ctx ends.
func (e *Entry) RunProbes(ctx context.Context) error {
	return every(ctx, probeInterval, func() {
		e.mu.Lock()
		suspicions := e.scheduler.Partitioner().TakeSuspicions()
		due := append(e.scheduler.Partitioner().Probes(e.clock.Now()), e.scheduler.Partitioner().IdleGateways(e.clock.Now())...)
		e.mu.Unlock()
		for _, s := range suspicions {
			e.log.RateLimitedInfo("vm-suspected", "peer", s.Name(), "cause", s.Cause())
		}
		for _, m := range due {
			e.background.Go(func() { e.probe(ctx, m) })
		}
	})
}

// probe pings a VM. If it takes shares, it is no longer suspected to have failed.
func (e *Entry) probe(ctx context.Context, m partitioner.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	response, err := e.peers.clientOf(m.VM().Address()).Ping(ctx, connect.NewRequest(&gatherv1.PingRequest{}))
	if err != nil {
		e.peers.drop(m.VM().Address())
		e.mu.Lock()
		e.scheduler.Partitioner().ProbeFailed(m.VM().Name())
		e.mu.Unlock()
		return
	}
	e.mu.Lock()
	e.scheduler.Partitioner().Reached(m.VM().Name())
	if !response.Msg.GetTakesShares() {
		e.mu.Unlock()
		return
	}
	recovered := e.scheduler.Partitioner().Recovered(e.clock.Now(), m.VM().Name())
	e.mu.Unlock()
	if recovered {
		e.log.Info("vm-answers-again", "peer", m.VM().Name())
	}
}
