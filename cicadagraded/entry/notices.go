package entry

import (
	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/cicadagraded/leafclient"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/throttler"
)

// notices is what a leaf's reply says of the leaf itself.
type notices struct {
	fromLeaf bool // there is a reply, and no other server's
	leaving  bool
	rest     tier.Millis      // for which it wants no request, or 0
	rate     throttler.Notice // or nil
	load     balancer.Load    // if loadTold
	loadTold bool
}

// readNotices decodes what the reply to a call says of a leaf. What can't be read is logged and counts as
// not said.
func (e *Entry) readNotices(leaf lister.Leaf, reply *leafclient.Reply, err error) notices {
	if err != nil {
		return notices{}
	}
	response := platform.ParseLeafReply(reply.Status(), reply.Header())
	if response.WrongServer() {
		return notices{}
	}
	n := notices{fromLeaf: true, leaving: response.Leaving()}
	if n.rate, err = response.RateNotice(); err != nil {
		e.log.RateLimitedInfo("leaf-limit-unreadable", "leaf", leaf.ID(), "error", err)
	}
	if n.rest, err = response.Rest(); err != nil {
		e.log.RateLimitedInfo("leaf-rest-unreadable", "leaf", leaf.ID(), "error", err)
	}
	if n.load, n.loadTold, err = platform.ParseLoad(reply.Header()); err != nil {
		e.log.RateLimitedInfo("leaf-load-unreadable", "leaf", leaf.ID(), "error", err)
	}
	return n
}

// hearNotices records what a leaf says of itself, in the reply to a call that was sent at sentAt, and logs
// changes. The caller holds the lock.
func (e *Entry) hearNotices(now, sentAt tier.Millis, leaf lister.Leaf, n notices) {
	if !n.fromLeaf {
		return
	}
	if n.leaving {
		e.hearLeaving(leaf.Service(), leaf.ID(), leaf.StartTime(), "")
	}
	if n.rest > 0 && e.scheduler.Balancer().WantsRest(now, leaf, n.rest) {
		e.log.RateLimitedInfo("leaf-resting", "leaf", leaf.ID(), "service", leaf.Service(), "for-ms", int64(n.rest))
	}
	if n.rate != nil {
		e.hearRateNotice(now, sentAt, leaf, n.rate)
	}
	if n.loadTold {
		e.scheduler.Balancer().HeardLoad(now, leaf, n.load)
	}
}

// hearLeaving records that a leaf has said that it leaves, to this VM or to a peer that is named. The caller
// holds the lock.
func (e *Entry) hearLeaving(service, id string, startTime int64, peer string) {
	if e.scheduler.Lister().SaidLeaving(service, id, startTime) {
		e.log.RateLimitedInfo("leaf-said-leaving", "leaf", id, "service", service, "peer", peer)
	}
}

// takeLeaving returns the leafs that have said that they leave since the last call, for the VM that has
// delegated the share: the reply that it passes on is one of theirs.
func (r *searchRun) takeLeaving() []*gatherv1.LeavingLeaf {
	var list []*gatherv1.LeavingLeaf
	for _, leaf := range r.leaving {
		list = append(list, &gatherv1.LeavingLeaf{Service: leaf.Service(), Id: leaf.ID(), StartTime: leaf.StartTime()})
	}
	r.leaving = nil
	return list
}

// hearLeavingFrom records leafs that have said to another VM that they leave. The caller holds the lock.
func (e *Entry) hearLeavingFrom(peer string, leafs []*gatherv1.LeavingLeaf) {
	for _, l := range leafs {
		e.hearLeaving(l.GetService(), l.GetId(), l.GetStartTime(), peer)
	}
}
