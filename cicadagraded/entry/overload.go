package entry

import (
	"math"
	"math/rand/v2"
	"strconv"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/searcher"
	"cicadagrade.example/tier/shedder"
)

// overloadRetryAfter is the shortest Retry-After of a VM that is overloaded.
const overloadRetryAfter = 500 * tier.Millisecond

// loadLevel is the part of the requests that this VM takes now, from 0 to 1: of those over the shards
// of a set, or of those to one leaf.
func (e *Entry) loadLevel(scatter bool) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.levelFor(e.clock.Now(), scatter)
}

// levelFor is loadLevel for a caller that holds the lock.
func (e *Entry) levelFor(now tier.Millis, scatter bool) float64 {
	level := e.shedder.Level(now)
	if scatter {
		level = min(level, e.room.Level())
	}
	return level
}

// sheds reports whether a request is refused because this VM is overloaded, or because it reaches no
// leaf and all VMs that do are overloaded. The cause is for the log.
func (e *Entry) sheds(q *request) (cause string, refused bool) {
	id := q.attempt.ID()
	if id == "" {
		id = strconv.FormatUint(rand.Uint64(), 16)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	scatter := q.route.IsScatterGather()
	switch {
	case !shedder.Admits(e.shedder.Level(now), q.rank(), id):
		return "overloaded", true
	case !shedder.Admits(e.levelFor(now, scatter), q.rank(), id):
		return "leafs-overloaded", true
	case e.linksLost.Load() && !shedder.Admits(e.bestPeerLevel(now, scatter), q.rank(), id):
		return "vms-overloaded", true
	}
	return "", false
}

// overload is an overload of this VM that has been logged.
type overload struct {
	since    tier.Millis // or 0
	requests int64       // refused before it
	shares   int64
}

// logOverload logs when this VM begins to refuse requests and when it takes all again. Only
// RunTurnSamples calls it.
func (e *Entry) logOverload(now tier.Millis, level float64) {
	requests, shares := e.shedRequests.Load(), e.shedShares.Load()
	switch o := e.overload; {
	case level < 1 && o.since == 0:
		e.overload = overload{since: now, requests: requests, shares: shares}
		e.log.Info("overloaded", "turn-wait-ms", int64(e.turns.wait(now)))
	case level >= 1 && o.since != 0:
		e.overload = overload{}
		e.log.Info("overload-ended", "lasted-ms", int64(now-o.since), "refused-requests", requests-o.requests, "refused-shares", shares-o.shares)
	}
}

// bestPeerLevel is the highest level of the other VMs that are not suspected, or 1 if there is none.
// The caller holds the lock.
func (e *Entry) bestPeerLevel(now tier.Millis, scatter bool) float64 {
	best, any := 0.0, false
	for _, m := range e.scheduler.Partitioner().HealthyPeers() {
		best, any = max(best, e.peerLevels[scatter].Level(now, m.VM().Name())), true
	}
	if !any {
		return 1
	}
	return best
}

// refusals tells which VMs would refuse shares of a request. The function is called with the lock held.
func (e *Entry) refusals(attemptID string, rank int, scatter bool) searcher.TermsOption {
	return searcher.WithRefusals(func(vm string) bool {
		return !shedder.Admits(e.peerLevels[scatter].Level(e.clock.Now(), vm), rank, attemptID)
	})
}

// hearPeerLevel records the level that another VM tells with its first reply to a share.
func (e *Entry) hearPeerLevel(name string, scatter bool, reply *gatherv1.GatherReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peerLevels[scatter].Heard(e.clock.Now(), name, 1-float64(reply.GetRefusedPermille())/permille)
}

const permille = 1000

// refusedPermille is the part of the requests that a VM refuses at a level, in thousandths. It is 0
// only if the VM takes all.
func refusedPermille(level float64) uint32 {
	return uint32(math.Ceil((1 - level) * permille))
}
