package entry

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/cicadagraded/leafclient"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/quarantiner"
	"cicadagrade.example/tier/ranker"
	"cicadagrade.example/tier/searcher"
	"cicadagrade.example/tier/shedder"
)

// peerService serves the calls of other VMs.
type peerService struct{ entry *Entry }

// Ping answers a probe of another VM.
func (p *peerService) Ping(context.Context, *connect.Request[gatherv1.PingRequest]) (*connect.Response[gatherv1.PingReply], error) {
	return connect.NewResponse(&gatherv1.PingReply{TakesShares: p.entry.takesShares()}), nil
}

// takesShares reports whether this VM searches shares of others' requests. Without a view it
// knows no leafs, without links it reaches none, and if it stops it might not finish.
func (e *Entry) takesShares() bool { return e.serves() && !e.linksLost.Load() }

// serves reports whether this VM serves callers, itself or through other VMs.
func (e *Entry) serves() bool { return e.table.Load() != nil && !e.stopping.Load() }

// Gather searches a share (some of the shards) of another VM's request. It acknowledges the
// share with an empty reply and then streams partial results as they come in.
func (p *peerService) Gather(ctx context.Context, c *connect.Request[gatherv1.GatherRequest], stream *connect.ServerStream[gatherv1.GatherReply]) error {
	return errors.Wrap(p.search(ctx, c.Msg, stream, false), "peerService.Gather")
}

// Relay calls a leaf for another VM's request and returns the leaf's whole reply.
func (p *peerService) Relay(ctx context.Context, c *connect.Request[gatherv1.GatherRequest], stream *connect.ServerStream[gatherv1.GatherReply]) error {
	if n := len(c.Msg.GetShards()); n != 1 {
		return connect.NewError(connect.CodeInvalidArgument, errors.Errorf("peerService.Relay: %d services, want 1", n))
	}
	return errors.Wrap(p.search(ctx, c.Msg, stream, true), "peerService.Relay")
}

// search searches a share. whole says that the leaf's reply is returned as it is.
func (p *peerService) search(ctx context.Context, request *gatherv1.GatherRequest, stream *connect.ServerStream[gatherv1.GatherReply], whole bool) error {
	e := p.entry
	takes, level := e.takesShares(), e.loadLevel(!whole)
	if takes && !shedder.Admits(level, int(request.GetRank()), request.GetAttempt()) {
		e.shedShares.Add(1)
		return errors.Wrap(stream.Send(&gatherv1.GatherReply{Declined: true, RefusedPermille: refusedPermille(level)}), "peerService.search")
	}
	first := &gatherv1.GatherReply{Declined: !takes}
	if takes {
		first.RefusedPermille = refusedPermille(level)
	}
	if err := stream.Send(first); err != nil {
		return errors.Wrap(err, "peerService.search")
	}
	if !takes {
		e.log.RateLimitedInfo("share-declined", "request", request.GetAttempt(), "stopping", e.stopping.Load(), "links-lost", e.linksLost.Load())
		return nil
	}
	now := e.clock.Now()
	options := []searcher.TermsOption{
		searcher.WithMaxAttempts(int(request.GetAttempts())),
		searcher.WithMinimumParts(int(request.GetMinimum())), searcher.WithRank(int(request.GetRank())),
		searcher.ForAnotherVM(),
	}
	if !request.GetOnce() {
		options = append(options, searcher.Idempotent())
	}
	if whole {
		options = append(options, searcher.ForwardFailures())
	}
	if request.GetRepeated() {
		options = append(options, searcher.Repeated())
	}
	fingerprints := make([]quarantiner.Fingerprint, len(request.GetFingerprints()))
	for i, f := range request.GetFingerprints() {
		fingerprints[i] = quarantiner.Fingerprint(f)
	}
	fingerprintsOf := func() []quarantiner.Fingerprint { return fingerprints }
	var regions tier.RegionSet
	if request.GetRestricted() {
		regions = tier.RestrictedTo(request.GetRegions()...)
	}
	options = append(options, searcher.WithFingerprints(fingerprintsOf), searcher.InRegions(regions),
		searcher.WithOrganisation(request.GetOrganisation(), request.GetWeight()),
		e.refusals(request.GetAttempt(), int(request.GetRank()), !whole))
	terms := searcher.NewTerms(request.GetRoute(), now+tier.Millis(request.GetAimMs()), now+tier.Millis(request.GetEndMs()), options...)
	var shares []partitioner.Share
	if request.GetSpread() {
		shares = e.divideShards(request.GetRoute(), request.GetShards(), regions)
	}
	run := e.newRun(request.GetAttempt(), !request.GetOnce(), leafclient.RestoreTemplate(request.GetMethod(), request.GetHead(), request.GetBody()),
		terms, request.GetShards(), shares)
	run.delegation = delegationTerms{
		route: request.GetRoute(), topK: int(request.GetTop()), rank: int(request.GetRank()),
		minimumParts: func(n int) int { return n * int(request.GetMinimum()) / max(1, len(request.GetShards())) }, shards: request.GetShards(),
		fingerprints: fingerprintsOf, whole: whole, once: request.GetOnce(),
		regions: regions, organisation: request.GetOrganisation(), weight: request.GetWeight(),
	}
	run.flush = func(f searcher.Flush) error {
		reply := shareReply(request, f)
		if whole {
			reply = wholeReply(f)
		}
		reply.Leaving = run.takeLeaving()
		return stream.Send(reply)
	}
	run.suspected = func() {
		if err := stream.Send(&gatherv1.GatherReply{Suspected: true}); err != nil {
			e.log.RateLimitedInfo("share-not-reported", "request", request.GetAttempt(), "error", err)
		}
	}
	outcome, cancelled := run.execute(ctx)
	e.countCalls(outcome)
	if outcome.Missing() > 0 {
		e.log.RateLimitedInfo("share-ended", withOrganisation(request.GetOrganisation(), "request", request.GetAttempt(), "route", request.GetRoute(), "recalled", cancelled,
			"took-ms", int64(e.clock.Now()-now), "aim-ms", request.GetAimMs(), "missing", outcome.Missing(), "of", len(request.GetShards()),
			"calls", outcome.CallsSent(), "extra", outcome.ExtraCalls(), "misses", describeMisses(outcome))...)
	}
	if cancelled {
		return ctx.Err()
	}
	last := &gatherv1.GatherReply{
		Last: true, MayHaveRun: outcome.MayHaveRun(), Calls: uint32(outcome.CallsSent()), Extra: uint32(outcome.ExtraCalls()),
		Leaving: run.takeLeaving(),
	}
	for _, leaf := range outcome.Ended() {
		last.Ended = append(last.Ended, leaf.ID())
	}
	last.Ended = append(last.Ended, outcome.EndedElsewhere()...)
	for _, i := range outcome.Uncalled() {
		last.Uncalled = append(last.Uncalled, uint32(i))
	}
	for _, i := range outcome.Broken() {
		last.Broken = append(last.Broken, uint32(i))
	}
	if outcome.Failure() != nil {
		last.Whole = encodeReply(outcome.Failure().(*leafclient.Reply))
	}
	return errors.Wrap(stream.Send(last), "peerService.search")
}

// shareReply merges the parts received since the last reply, for the VM that delegated them.
func shareReply(request *gatherv1.GatherRequest, f searcher.Flush) *gatherv1.GatherReply {
	top := ranker.New(int(request.GetTop()))
	signatures := make([]string, 0, len(request.GetShards()))
	reply := &gatherv1.GatherReply{Proofs: mergeReplies(top, f.Parts, f.Shares, signatures)}
	for _, i := range f.Arrived {
		reply.Parts = append(reply.Parts, uint32(i))
	}
	reply.Records = top.Bytes()
	reply.MayHaveRun = len(f.Arrived) > 0
	return reply
}
